#include "standins/engine_model.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace peridot::standins {
namespace {

using namespace std::chrono_literals;

engine_call call_of(std::uint32_t tokens, const std::string& id = "") {
  engine_call call;
  call.request_id = id;
  call.organisation.value = "museum";
  call.tokens = tokens;
  return call;
}

// Runs the engine in ticks of 1 ms and returns all events up to `end` or a crash.
std::vector<engine_event> run_until(engine_table& table, const engine_options& options,
                                    instant& now, instant end) {
  std::vector<engine_event> all;
  for (; now < end; now += 1ms) {
    const std::vector<engine_event> events = run_engine(table, options, now);
    all.insert(all.end(), events.begin(), events.end());
    if (!all.empty() && all.back().kind == engine_event_kind::crash) {
      break;
    }
  }
  return all;
}

TEST_CASE("an engine starts cold") {
  engine_options options;
  engine_table table;
  instant now{};
  boot(table, "boot-1", now);

  SUBCASE("and bears more with each completed call, up to its batch") {
    CHECK(borne_calls(options, 0) == 1);
    CHECK(borne_calls(options, 3) == 1);
    CHECK(borne_calls(options, 4) == 2);
    CHECK(borne_calls(options, 1'000) == 8);
  }
  SUBCASE("one call above what it bears is within the slack") {
    CHECK_FALSE(add_call(table, options, call_of(8)).overload);
    CHECK_FALSE(add_call(table, options, call_of(8)).overload);

    SUBCASE("the next one overloads it") {
      CHECK(add_call(table, options, call_of(8)).overload);
      crash_engine(table, options, crash_cause::overload, now);
      CHECK(table.stats.lost_calls == 3);
      CHECK(run_until(table, options, now, now + 1s).empty());

      SUBCASE("and its next start is cold again") {
        boot(table, "boot-2", now);
        CHECK(table.completed == 0);
        CHECK(table.sample.boot_id == "boot-2");
        CHECK_FALSE(add_call(table, options, call_of(8)).overload);
      }
    }
    SUBCASE("the same three do not overload a warm engine") {
      table.completed = 4;
      CHECK_FALSE(add_call(table, options, call_of(8)).overload);
    }
  }
}

TEST_CASE("a batch runs continuously") {
  engine_options options;
  options.max_batch = 2;
  options.cold_batch = 2;
  options.overload_slack = 8;
  options.slowdown = 0;
  engine_table table;
  instant now{};
  boot(table, "boot-1", now);
  const std::uint64_t first = add_call(table, options, call_of(2, "a")).id;
  const std::uint64_t second = add_call(table, options, call_of(20, "b")).id;
  const std::uint64_t third = add_call(table, options, call_of(2, "c")).id;

  SUBCASE("a waiting call takes the place of the one that ended, in order of arrival") {
    std::vector<std::uint64_t> ended;
    for (const engine_event& event : run_until(table, options, now, now + 1s)) {
      if (event.kind == engine_event_kind::finished) {
        ended.push_back(event.call);
      }
    }
    CHECK(ended == std::vector<std::uint64_t>{first, third, second});
    CHECK(table.stats.units.at(organisation_name{"museum"}) == 24);
  }
  SUBCASE("a cancelled call is resumed from its tokens without making them again") {
    run_until(table, options, now, now + 100ms);
    const std::uint32_t made = table.calls.at(second).next;
    REQUIRE(made > 5);
    cancel_call(table, options, second);
    const kept_answer* kept = find_answer(table, "b");
    REQUIRE(kept != nullptr);
    CHECK(kept->cached == made);
    engine_call again = call_of(20, "b");
    again.cached = kept->cached;
    again.next = 3;
    add_call(table, options, again);
    const std::vector<engine_event> events = run_until(table, options, now, now + 1s);
    CHECK(std::count_if(events.begin(), events.end(), [](const engine_event& event) {
            return event.kind == engine_event_kind::token && event.token >= 3;
          }) == 17);
    CHECK(table.stats.units.at(organisation_name{"museum"}) == 24);
  }
  SUBCASE("a pause delays all tokens and loses none") {
    table.paused_until = now + 500ms;
    CHECK(run_until(table, options, now, now + 500ms).empty());
    CHECK(run_until(table, options, now, now + 1s).size() == 27);
  }
  SUBCASE("a poisonous call crashes it before or after its first token") {
    engine_call harmful = call_of(20);
    std::uint32_t tokens = 0;
    SUBCASE("before") {
      harmful.harm = poison::before_first_token;
    }
    SUBCASE("after") {
      harmful.harm = poison::after_first_token;
      tokens = 1;
    }
    cancel_call(table, options, first);
    add_call(table, options, harmful);
    cancel_call(table, options, third);
    const std::vector<engine_event> events = run_until(table, options, now, now + 1s);
    REQUIRE(!events.empty());
    CHECK(events.back().kind == engine_event_kind::crash);
    CHECK(table.calls.at(events.back().call).next == tokens);
  }
}

TEST_CASE("load reports lag") {
  engine_options options;
  engine_table table;
  instant now{};
  boot(table, "boot-1", now);
  add_call(table, options, call_of(50));
  run_until(table, options, now, now + 100ms);
  sample_load(table, options, now);
  CHECK(table.sample.running == 0);
  run_until(table, options, now, now + 101ms);
  sample_load(table, options, now);
  CHECK(table.sample.running == 1);
}

TEST_CASE("whatever arrives and leaves, each call that stays gets each token once") {
  std::mt19937 random(7);
  engine_options options;
  options.overload_slack = 1'000;
  options.cold_batch = 4;
  engine_table table;
  instant now{};
  boot(table, "boot-1", now);
  std::map<std::uint64_t, std::uint32_t> expected;
  std::map<std::uint64_t, std::uint32_t> seen;
  for (int step = 0; step < 3'000; ++step, now += 1ms) {
    if (random() % 20 == 0 && step < 2'000) {
      const std::uint32_t tokens = 1 + random() % 30;
      expected[add_call(table, options, call_of(tokens)).id] = tokens;
    }
    if (random() % 60 == 0 && !expected.empty()) {
      const std::uint64_t id = expected.rbegin()->first;
      cancel_call(table, options, id);
      expected.erase(id);
    }
    for (const engine_event& event : run_engine(table, options, now)) {
      if (event.kind == engine_event_kind::token) {
        CHECK(event.token == seen[event.call]++);
      }
    }
  }
  REQUIRE(expected.size() > 20);
  CHECK(table.calls.empty());
  for (const std::pair<const std::uint64_t, std::uint32_t>& entry : expected) {
    CHECK(seen[entry.first] == entry.second);
  }
}

}  // namespace
}  // namespace peridot::standins
