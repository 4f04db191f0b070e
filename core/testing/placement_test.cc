#include "core/routing/placement.h"

#include <doctest/doctest.h>

#include <random>
#include <set>
#include <string>

using namespace peridot;

namespace {

const instant start = instant{} + std::chrono::hours{1};
constexpr double memory = 260'000;

std::vector<candidate> engines(int count) {
  std::vector<candidate> result;
  result.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) {
    result.push_back({target_name{"engine-" + std::to_string(number)}, 64, false});
  }
  return result;
}

// A prompt of a head, a subject that others share, and a part of its own.
prompt make_prompt(std::uint64_t subject, double shared = 6'000, double own = 2'000) {
  prompt what;
  what.model = "m";
  what.prompt_tokens = shared + own;
  what.max_output_tokens = 100;
  what.expected_output_tokens = 50;
  static std::uint64_t unique = 1'000'000;
  what.prefixes = {{7, shared / 3}, {100 + subject, shared}, {++unique, shared + own}};
  return what;
}

engine_call call_of(const prompt& what) {
  return {&what, memory, milliseconds{600}, milliseconds{5'000}};
}

placement send(load_table& table, const std::vector<candidate>& all, const prompt& what,
               instant now, call_load& cost) {
  const placement where = choose_engine(table, all, call_of(what));
  cost = record_call_sent(table, where.chosen->name, &what, memory, now);
  return where;
}

}  // namespace

TEST_CASE("load pattern: long shared prompts over many subjects live on few engines each") {
  const std::vector<candidate> all = engines(9);
  load_table table;
  std::map<std::uint64_t, std::set<std::string>> homes;
  std::mt19937 random(5);
  double read = 0;
  double shared_again = 0;
  for (int call = 0; call < 2'000; ++call) {
    const instant now = start + milliseconds{30 * call};
    const std::uint64_t subject = random() % 40;
    const prompt what = make_prompt(subject);
    call_load cost;
    const placement where = send(table, all, what, now, cost);
    shared_again += std::max(0.0, 6'000 - where.cached_tokens);
    read += cost.prefill_tokens;
    homes[subject].insert(where.chosen->name.value);
    record_first_token(table, where.chosen->name, cost, now + milliseconds{25});
    record_call_ended(table, where.chosen->name, cost);
  }
  double engines_used = 0;
  for (const std::pair<const std::uint64_t, std::set<std::string>>& home : homes) {
    engines_used += static_cast<double>(home.second.size());
  }
  CHECK(engines_used / static_cast<double>(homes.size()) < 2.5);
  CHECK(shared_again < 0.1 * 2'000 * 6'000);
}

TEST_CASE("a router that knows nothing chooses what the others would choose") {
  const std::vector<candidate> all = engines(9);
  for (std::uint64_t subject = 0; subject < 50; ++subject) {
    const load_table first;
    const load_table second;
    const prompt one = make_prompt(subject);
    const prompt other = make_prompt(subject);
    CHECK(choose_engine(first, all, call_of(one)).chosen->name ==
          choose_engine(second, all, call_of(other)).chosen->name);
  }
}

TEST_CASE("load pattern: one hot subject spills to further engines, and not before its aim") {
  const std::vector<candidate> all = engines(9);
  load_table table;
  std::set<std::string> used;
  for (int call = 0; call < 60; ++call) {
    const prompt what = make_prompt(1);
    call_load cost;
    const placement where = send(table, all, what, start, cost);  // none is read meanwhile
    used.insert(where.chosen->name.value);
    if (call < 3) {
      CHECK(used.size() == 1);
    }
  }
  CHECK(used.size() >= 5);
}

TEST_CASE("load pattern: a burst between two rounds of gossip: own sends count at once") {
  const std::vector<candidate> all = engines(3);
  load_table table;
  std::set<std::string> used;
  for (int call = 0; call < 12; ++call) {
    const prompt what = make_prompt(static_cast<std::uint64_t>(call), 0, 9'000);
    call_load cost;
    used.insert(send(table, all, what, start, cost).chosen->name.value);
  }
  CHECK(used.size() == 3);
}

TEST_CASE("load pattern: long outputs go where tokens come fast") {
  const std::vector<candidate> all = engines(2);
  load_table table;
  prompt reader = make_prompt(1);
  call_load cost = record_call_sent(table, all[0].name, &reader, memory, start);
  call_load other = record_call_sent(table, all[1].name, &reader, memory, start);
  record_first_token(table, all[0].name, cost, start);
  record_first_token(table, all[1].name, other, start);
  for (int event = 0; event < 200; ++event) {
    record_event_gap(table, all[0].name, milliseconds{200}, 4);
    record_event_gap(table, all[1].name, milliseconds{32}, 4);
  }
  for (std::uint64_t subject = 0; subject < 20; ++subject) {
    prompt writer = make_prompt(subject, 170, 500);
    writer.expected_output_tokens = 700;
    writer.max_output_tokens = 900;
    CHECK(choose_engine(table, all, call_of(writer)).chosen->name == all[1].name);
  }
}

TEST_CASE("a prefix is forgotten once the engine has read its memory's worth since") {
  load_table table;
  const target_name target{"engine-0"};
  const prompt kept = make_prompt(1);
  call_load cost = record_call_sent(table, target, &kept, memory, start);
  record_call_ended(table, target, cost);
  const target_load& load = table.targets.at(target);
  CHECK(cached_prompt_tokens(load, make_prompt(1), memory) == 6'000);
  CHECK(cached_prompt_tokens(load, make_prompt(2), memory) == 2'000);
  update_peer_load(table, router_address{"p"}, target, {0, 0, 0, start}, {}, memory);
  CHECK(cached_prompt_tokens(load, make_prompt(1), memory) == 0);
  SUBCASE("what a peer read there counts") {
    const prompt told = make_prompt(3);
    update_peer_load(table, router_address{"p"}, target, {0, 0, 0, start},
                     {static_cast<std::uint32_t>(told.prefixes[0].hash),
                      static_cast<std::uint32_t>(told.prefixes[1].hash)},
                     0);
    CHECK(cached_prompt_tokens(load, make_prompt(3), memory) == 6'000);
  }
}

TEST_CASE("load pattern: a fleet so large that a cycle of gossip takes many rounds") {
  load_table table;
  const target_name target{"engine-0"};
  const prompt what = make_prompt(1);
  record_call_sent(table, target, &what, memory, start);
  rotate_prefill_reports(table);
  const target_load& load = table.targets.at(target);
  const std::size_t told = load.current_prefill_report.prefixes.size();
  CHECK(told == 2);  // all but the prompt's own part
  CHECK(load.current_prefill_report.tokens == 8'000);
  SUBCASE("every peer of the cycle is told the same, whatever is read meanwhile") {
    const prompt later = make_prompt(2);
    record_call_sent(table, target, &later, memory, start);
    CHECK(load.current_prefill_report.prefixes.size() == told);
    rotate_prefill_reports(table);
    CHECK(load.current_prefill_report.tokens == 6'000);  // the head was kept
  }
  SUBCASE("nothing is told twice") {
    rotate_prefill_reports(table);
    CHECK(load.current_prefill_report.prefixes.empty());
    CHECK(load.current_prefill_report.tokens == 0);
  }
}

TEST_CASE("load is counted back to nothing, whatever the order of events") {
  std::mt19937 random(11);
  load_table table;
  const std::vector<candidate> all = engines(4);
  std::vector<std::pair<target_name, call_load>> open;
  for (int step = 0; step < 5'000; ++step) {
    const instant now = start + milliseconds{step};
    if (open.empty() || random() % 2 == 0) {
      const prompt what = make_prompt(random() % 30);
      call_load cost;
      const placement where = send(table, all, what, now, cost);
      open.emplace_back(where.chosen->name, cost);
    } else {
      const std::size_t index = random() % open.size();
      if (random() % 3 != 0) {
        record_first_token(table, open[index].first, open[index].second, now);
      }
      record_call_ended(table, open[index].first, open[index].second);
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }
  for (std::pair<target_name, call_load>& one : open) {
    record_call_ended(table, one.first, one.second);
  }
  for (const std::pair<const target_name, target_load>& entry : table.targets) {
    CHECK(entry.second.running_calls == 0);
    CHECK(entry.second.pending_prefill_tokens == doctest::Approx(0));
    CHECK(entry.second.kv_used_tokens == doctest::Approx(0));
  }
}

TEST_CASE("plain targets: the least busy by slots, the own failure domain among equals") {
  load_table table;
  const std::vector<candidate> all = {{target_name{"near"}, 6, true},
                                      {target_name{"far"}, 6, false}};
  CHECK(choose_plain_target(table, all, 1).chosen->name.value == "near");
  for (int call = 0; call < 3; ++call) {
    record_call_sent(table, target_name{"near"}, nullptr, 0, start);
  }
  CHECK(choose_plain_target(table, all, 1).chosen->name.value == "far");
  SUBCASE("peers' calls count while their news is fresh") {
    update_peer_load(table, router_address{"p"}, target_name{"far"},
                     {6, 0, 0, start + milliseconds{1'500}}, {}, 0);
    CHECK(choose_plain_target(table, all, 1).chosen->name.value == "near");
    expire_peer_loads(table, start + milliseconds{1'500});
    CHECK(choose_plain_target(table, all, 1).chosen->name.value == "near");
    expire_peer_loads(table, start + milliseconds{1'501});
    CHECK(choose_plain_target(table, all, 1).chosen->name.value == "far");
  }
}

TEST_CASE("the sum over peers agrees with adding them up") {
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
    int running = 0;
    double unread = 0;
    double used = 0;
    for (const std::pair<const router_address, peer_load>& one : load.peers) {
      running += one.second.running_calls;
      unread += one.second.pending_prefill_tokens;
      used += one.second.kv_used_tokens;
      CHECK((step % 7 != 0 || one.second.valid_until >= now));
    }
    CHECK(total_running_calls(load) == running);
    CHECK(total_pending_prefill_tokens(load) == doctest::Approx(unread));
    CHECK(total_kv_used_tokens(load) == doctest::Approx(used));
  }
}
