#include "core/routing/placement.h"

#include <doctest/doctest.h>

#include <random>
#include <set>
#include <string>

using namespace peridot;

namespace {

const instant start = instant{} + std::chrono::hours{1};
constexpr double kv_capacity_tokens = 260'000;

std::vector<candidate> make_engines(int count) {
  std::vector<candidate> result;
  result.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) {
    result.push_back({target_name{"engine-" + std::to_string(number)}, 64, false});
  }
  return result;
}

// A prompt of three segments: a head that all prompts share, one that the prompts of a group
// share, and one that no other prompt has. `shared` and `unshared` are in tokens.
prompt make_prompt(std::uint64_t prefix_group, double shared = 6'000, double unshared = 2'000) {
  prompt call_prompt;
  call_prompt.model = "m";
  call_prompt.prompt_tokens = shared + unshared;
  call_prompt.max_output_tokens = 100;
  call_prompt.expected_output_tokens = 50;
  static std::uint64_t last_unshared_hash = 1'000'000;
  call_prompt.prefixes = {
      {7, shared / 3}, {100 + prefix_group, shared}, {++last_unshared_hash, shared + unshared}};
  return call_prompt;
}

engine_call make_engine_call(const prompt& call_prompt) {
  return {&call_prompt, kv_capacity_tokens, milliseconds{600}, milliseconds{5'000}};
}

placement choose_and_send(load_table& table, const std::vector<candidate>& candidates,
                          const prompt& call_prompt, instant now, call_load& added) {
  placement choice = choose_engine(table, candidates, make_engine_call(call_prompt));
  added = record_call_sent(table, choice.chosen->name, &call_prompt, kv_capacity_tokens, now);
  return choice;
}

}  // namespace

TEST_CASE(
    "load pattern: many groups of prompts, each with a long shared prefix: few engines per group") {
  const std::vector<candidate> candidates = make_engines(9);
  load_table table;
  std::map<std::uint64_t, std::set<std::string>> engines_by_prefix_group;
  std::mt19937 random(5);
  double prefilled_tokens = 0;
  double prefilled_shared_tokens = 0;
  for (int call = 0; call < 2'000; ++call) {
    const instant now = start + milliseconds{30 * call};
    const std::uint64_t prefix_group = random() % 40;
    const prompt call_prompt = make_prompt(prefix_group);
    call_load added;
    const placement choice = choose_and_send(table, candidates, call_prompt, now, added);
    prefilled_shared_tokens += std::max(0.0, 6'000 - choice.cached_tokens);
    prefilled_tokens += added.prefill_tokens;
    engines_by_prefix_group[prefix_group].insert(choice.chosen->name.value);
    record_first_token(table, choice.chosen->name, added, now + milliseconds{25});
    record_call_ended(table, choice.chosen->name, added);
  }
  double engine_count = 0;
  for (const std::pair<const std::uint64_t, std::set<std::string>>& entry :
       engines_by_prefix_group) {
    engine_count += static_cast<double>(entry.second.size());
  }
  CHECK(engine_count / static_cast<double>(engines_by_prefix_group.size()) < 2.5);
  CHECK(prefilled_shared_tokens < 0.1 * 2'000 * 6'000);
}

TEST_CASE("routers without any load reports choose the same engine") {
  const std::vector<candidate> candidates = make_engines(9);
  for (std::uint64_t prefix_group = 0; prefix_group < 50; ++prefix_group) {
    const load_table first_table;
    const load_table second_table;
    const prompt first_prompt = make_prompt(prefix_group);
    const prompt second_prompt = make_prompt(prefix_group);
    CHECK(choose_engine(first_table, candidates, make_engine_call(first_prompt)).chosen->name ==
          choose_engine(second_table, candidates, make_engine_call(second_prompt)).chosen->name);
  }
}

TEST_CASE(
    "load pattern: one hot prefix: calls use other engines only once first tokens would be late") {
  const std::vector<candidate> candidates = make_engines(9);
  load_table table;
  std::set<std::string> used_engines;
  for (int call = 0; call < 60; ++call) {
    const prompt call_prompt = make_prompt(1);
    call_load added;
    const placement choice =
        choose_and_send(table, candidates, call_prompt, start, added);  // no prefill completes
    used_engines.insert(choice.chosen->name.value);
    if (call < 3) {
      CHECK(used_engines.size() == 1);
    }
  }
  CHECK(used_engines.size() >= 5);
}

TEST_CASE("load pattern: a burst between two gossip rounds: a router's own sends count at once") {
  const std::vector<candidate> candidates = make_engines(3);
  load_table table;
  std::set<std::string> used_engines;
  for (int call = 0; call < 12; ++call) {
    const prompt call_prompt = make_prompt(static_cast<std::uint64_t>(call), 0, 9'000);
    call_load added;
    used_engines.insert(
        choose_and_send(table, candidates, call_prompt, start, added).chosen->name.value);
  }
  CHECK(used_engines.size() == 3);
}

TEST_CASE("load pattern: long outputs go to the engine that generates tokens fastest") {
  const std::vector<candidate> candidates = make_engines(2);
  load_table table;
  prompt prefill_prompt = make_prompt(1);
  call_load added =
      record_call_sent(table, candidates[0].name, &prefill_prompt, kv_capacity_tokens, start);
  call_load added_to_second =
      record_call_sent(table, candidates[1].name, &prefill_prompt, kv_capacity_tokens, start);
  record_first_token(table, candidates[0].name, added, start);
  record_first_token(table, candidates[1].name, added_to_second, start);
  for (int event = 0; event < 200; ++event) {
    record_event_gap(table, candidates[0].name, milliseconds{200}, 4, start);
    record_event_gap(table, candidates[1].name, milliseconds{32}, 4, start);
  }
  for (std::uint64_t prefix_group = 0; prefix_group < 20; ++prefix_group) {
    prompt long_output_prompt = make_prompt(prefix_group, 170, 500);
    long_output_prompt.expected_output_tokens = 700;
    long_output_prompt.max_output_tokens = 900;
    CHECK(choose_engine(table, candidates, make_engine_call(long_output_prompt)).chosen->name ==
          candidates[1].name);
  }
}

TEST_CASE("a prefix counts as evicted after prefills of the engine's whole KV capacity") {
  load_table table;
  const target_name target{"engine-0"};
  const prompt cached_prompt = make_prompt(1);
  call_load added = record_call_sent(table, target, &cached_prompt, kv_capacity_tokens, start);
  record_call_ended(table, target, added);
  const target_load& load = table.targets.at(target);
  CHECK(cached_prompt_tokens(load, make_prompt(1), kv_capacity_tokens) == 6'000);
  CHECK(cached_prompt_tokens(load, make_prompt(2), kv_capacity_tokens) == 2'000);
  update_peer_load(table, router_address{"p"}, target, {0, 0, 0, start}, {}, kv_capacity_tokens);
  CHECK(cached_prompt_tokens(load, make_prompt(1), kv_capacity_tokens) == 0);
  SUBCASE("prefixes that a peer reported count as cached") {
    const prompt peer_prompt = make_prompt(3);
    update_peer_load(table, router_address{"p"}, target, {0, 0, 0, start},
                     {static_cast<std::uint32_t>(peer_prompt.prefixes[0].hash),
                      static_cast<std::uint32_t>(peer_prompt.prefixes[1].hash)},
                     0);
    CHECK(cached_prompt_tokens(load, make_prompt(3), kv_capacity_tokens) == 6'000);
  }
}

TEST_CASE(
    "load pattern: many rounds per gossip cycle in a large fleet: reports change once per cycle") {
  load_table table;
  const target_name target{"engine-0"};
  const prompt call_prompt = make_prompt(1);
  record_call_sent(table, target, &call_prompt, kv_capacity_tokens, start);
  rotate_prefill_reports(table);
  const target_load& load = table.targets.at(target);
  const std::size_t reported_count = load.current_prefill_report.prefixes.size();
  CHECK(reported_count == 2);  // all but the unshared last one
  CHECK(load.current_prefill_report.tokens == 8'000);
  SUBCASE("all peers get the same report in a cycle, whatever is prefilled meanwhile") {
    const prompt later_prompt = make_prompt(2);
    record_call_sent(table, target, &later_prompt, kv_capacity_tokens, start);
    CHECK(load.current_prefill_report.prefixes.size() == reported_count);
    rotate_prefill_reports(table);
    CHECK(load.current_prefill_report.tokens == 6'000);  // the head was cached
  }
  SUBCASE("nothing is reported twice") {
    rotate_prefill_reports(table);
    CHECK(load.current_prefill_report.prefixes.empty());
    CHECK(load.current_prefill_report.tokens == 0);
  }
}

TEST_CASE("load returns to zero when all calls have ended, whatever the order of events") {
  std::mt19937 random(11);
  load_table table;
  const std::vector<candidate> candidates = make_engines(4);
  std::vector<std::pair<target_name, call_load>> running_calls;
  for (int step = 0; step < 5'000; ++step) {
    const instant now = start + milliseconds{step};
    if (running_calls.empty() || random() % 2 == 0) {
      const prompt call_prompt = make_prompt(random() % 30);
      call_load added;
      const placement choice = choose_and_send(table, candidates, call_prompt, now, added);
      running_calls.emplace_back(choice.chosen->name, added);
    } else {
      const std::size_t index = random() % running_calls.size();
      if (random() % 3 != 0) {
        record_first_token(table, running_calls[index].first, running_calls[index].second, now);
      }
      record_call_ended(table, running_calls[index].first, running_calls[index].second);
      running_calls.erase(running_calls.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }
  for (std::pair<target_name, call_load>& call : running_calls) {
    record_call_ended(table, call.first, call.second);
  }
  for (const std::pair<const target_name, target_load>& entry : table.targets) {
    CHECK(entry.second.running_calls == 0);
    CHECK(entry.second.pending_prefill_tokens == doctest::Approx(0));
    CHECK(entry.second.kv_used_tokens == doctest::Approx(0));
  }
}

TEST_CASE(
    "plain targets: the least loaded by slots; among equals, one in the router's failure domain") {
  load_table table;
  const std::vector<candidate> candidates = {{target_name{"near"}, 6, true},
                                             {target_name{"far"}, 6, false}};
  CHECK(choose_plain_target(table, candidates, {1, 5}, 1, start).chosen->name.value == "near");
  for (int call = 0; call < 3; ++call) {
    record_call_sent(table, target_name{"near"}, nullptr, 0, start);
  }
  CHECK(choose_plain_target(table, candidates, {1, 5}, 1, start).chosen->name.value == "far");
  SUBCASE("peers' calls count while their report is valid") {
    update_peer_load(table, router_address{"p"}, target_name{"far"},
                     {6, 0, 0, start + milliseconds{1'500}}, {}, 0);
    CHECK(choose_plain_target(table, candidates, {1, 5}, 1, start).chosen->name.value == "near");
    expire_peer_loads(table, start + milliseconds{1'500});
    CHECK(choose_plain_target(table, candidates, {1, 5}, 1, start).chosen->name.value == "near");
    expire_peer_loads(table, start + milliseconds{1'501});
    CHECK(choose_plain_target(table, candidates, {1, 5}, 1, start).chosen->name.value == "far");
  }
}

TEST_CASE("the cached sum over peers equals the sum of their reports") {
  std::mt19937 random(7);
  load_table table;
  const target_name target{"engine-0"};
  for (int step = 0; step < 3'000; ++step) {
    const instant now = start + milliseconds{10 * step};
    const router_address peer{"peer-" + std::to_string(random() % 80)};
    const double tokens = static_cast<double>(random() % 9'000);
    update_peer_load(
        table, peer, target,
        {static_cast<int>(random() % 9), tokens, 2 * tokens, now + milliseconds{1'500}}, {}, 0);
    if (step % 7 == 0) {
      expire_peer_loads(table, now);
    }
    const target_load& load = table.targets.at(target);
    int running_calls = 0;
    double pending_prefill_tokens = 0;
    double kv_used_tokens = 0;
    for (const std::pair<const router_address, peer_load>& reported : load.peer_loads) {
      running_calls += reported.second.running_calls;
      pending_prefill_tokens += reported.second.pending_prefill_tokens;
      kv_used_tokens += reported.second.kv_used_tokens;
      CHECK((step % 7 != 0 || reported.second.valid_until >= now));
    }
    CHECK(total_running_calls(load) == running_calls);
    CHECK(total_pending_prefill_tokens(load) == doctest::Approx(pending_prefill_tokens));
    CHECK(total_kv_used_tokens(load) == doctest::Approx(kv_used_tokens));
  }
}

// Guards against loads that outlive their calls: a router left targets without load out of its
// report, and its peers counted its last calls there for two and a half gossip cycles more.
TEST_CASE("a peer's load at a target is gone once its next report leaves the target out") {
  load_table table;
  const router_address peer{"peer"};
  const instant valid_until = start + milliseconds{3'000};
  const target_name busy{"busy"};
  const target_name idle{"idle"};
  update_peer_load(table, peer, busy, {3, 5'000, 9'000, valid_until}, {}, 0);
  update_peer_load(table, peer, idle, {1, 2'000, 2'500, valid_until}, {}, 0);
  update_peer_load(table, router_address{"other"}, idle, {2, 700, 900, valid_until}, {}, 0);
  complete_peer_report(table, peer, {{busy, idle}, valid_until});
  CHECK(total_running_calls(table.targets.at(idle)) == 3);
  SUBCASE("the other targets and the loads of other peers stay") {
    update_peer_load(table, peer, busy, {2, 1'000, 3'000, valid_until}, {}, 0);
    complete_peer_report(table, peer, {{busy}, valid_until});
    CHECK(total_running_calls(table.targets.at(busy)) == 2);
    CHECK(total_running_calls(table.targets.at(idle)) == 2);
    CHECK(total_pending_prefill_tokens(table.targets.at(idle)) == 700);
    CHECK(total_kv_used_tokens(table.targets.at(idle)) == 900);
  }
  SUBCASE("a report without targets drops all of the peer's load") {
    complete_peer_report(table, peer, {{}, valid_until});
    CHECK(total_running_calls(table.targets.at(busy)) == 0);
    CHECK(total_running_calls(table.targets.at(idle)) == 2);
  }
  SUBCASE("a target that was removed meanwhile is ignored") {
    remove_target_load(table, idle);
    complete_peer_report(table, peer, {{busy}, valid_until});
    CHECK(total_running_calls(table.targets.at(busy)) == 3);
  }
  SUBCASE("expired reports are forgotten") {
    expire_peer_loads(table, valid_until + milliseconds{1});
    CHECK(table.peer_reports.empty());
    CHECK(total_running_calls(table.targets.at(busy)) == 0);
  }
}

// Guards against routers of a large fleet that all send to the engines that their reports, one
// gossip cycle old, show idle.
TEST_CASE("load pattern: a large fleet chooses by the same reports: the calls are spread") {
  constexpr int router_count = 84;
  constexpr std::size_t rounds_per_cycle = 6;
  const std::vector<candidate> candidates = make_engines(60);
  // All routers know the same reports: every engine is busy, but for the first.
  load_table reports;
  for (const candidate& engine : candidates) {
    const double pending_tokens = engine.name.value == "engine-0" ? 0 : 6'000;
    update_peer_load(reports, router_address{"peer"}, engine.name,
                     {1, pending_tokens, pending_tokens, start + milliseconds{3'000}}, {}, 0);
  }
  std::mt19937_64 random(3);
  std::map<std::string, int> calls_by_engine;
  const auto send_all = [&](double sample_fraction) {
    calls_by_engine.clear();
    for (int router = 0; router < router_count; ++router) {
      const prompt call_prompt = make_prompt(random(), 30, 2'000);
      engine_call call = make_engine_call(call_prompt);
      call.sample_fraction = sample_fraction;
      call.sample_seed = random();
      ++calls_by_engine[choose_engine(reports, candidates, call).chosen->name.value];
    }
  };
  SUBCASE("among all engines, nearly every router chooses the same one") {
    send_all(1);
    CHECK(calls_by_engine["engine-0"] > router_count / 2);
  }
  SUBCASE("among a sample, few do, and the calls reach many engines") {
    send_all(engine_sample_fraction(rounds_per_cycle));
    CHECK(calls_by_engine["engine-0"] < router_count / 4);
    CHECK(calls_by_engine.size() > candidates.size() / 3);
  }
  SUBCASE("a small fleet, which reports in every round, chooses among all") {
    CHECK(engine_sample_fraction(1) == 1);
  }
  SUBCASE("an engine that has the prompt's prefix cached is chosen, sampled or not") {
    const prompt call_prompt = make_prompt(1);
    load_table table;
    record_call_sent(table, target_name{"engine-7"}, &call_prompt, kv_capacity_tokens, start);
    for (int round = 0; round < 50; ++round) {
      const prompt next_prompt = make_prompt(1);
      engine_call call = make_engine_call(next_prompt);
      call.sample_fraction = engine_sample_fraction(rounds_per_cycle);
      call.sample_seed = random();
      CHECK(choose_engine(table, candidates, call).chosen->name.value == "engine-7");
    }
  }
}
