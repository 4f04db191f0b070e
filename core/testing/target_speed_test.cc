#include "core/routing/target_speed.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>

#include "core/base/stable_hash.h"
#include "core/routing/placement.h"

using namespace peridot;

namespace {

const instant start = instant{} + std::chrono::hours{1};

}  // namespace

TEST_CASE("a target that states its speed") {
  target_speed speed;
  CHECK(estimated_slowdown(speed, start) == 1);
  record_slowdown(speed, 1.6, start);
  CHECK(estimated_slowdown(speed, start + std::chrono::seconds{5}) == doctest::Approx(1.6));
  SUBCASE("is slowed by its neighbours for a moment") {
    const instant slowed_at = start + milliseconds{500};
    record_slowdown(speed, 4, slowed_at);
    CHECK(estimated_slowdown(speed, slowed_at) == doctest::Approx(4));
    CHECK(estimated_slowdown(speed, slowed_at + slowdown_decay_time) < 2.6);
    CHECK(estimated_slowdown(speed, slowed_at + 5 * slowdown_decay_time) ==
          doctest::Approx(1.6).epsilon(0.02));
    SUBCASE("an older statement that arrives late does not count as the newest") {
      record_slowdown(speed, 1.6, start + milliseconds{200});
      CHECK(estimated_slowdown(speed, slowed_at) == doctest::Approx(4));
    }
  }
  SUBCASE("has become slower for good: that is its usual speed two periods later") {
    for (int step = 0; step < 60; ++step) {
      record_slowdown(speed, 3, start + milliseconds{500 * (step + 1)});
    }
    CHECK(usual_slowdown(speed) == 3);
  }
  SUBCASE("states the impossible: the estimate stays within bounds") {
    record_slowdown(speed, 0, start + milliseconds{1});
    CHECK(estimated_slowdown(speed, start + milliseconds{1}) == min_slowdown);
    record_slowdown(speed, 1e9, start + milliseconds{2});
    CHECK(estimated_slowdown(speed, start + milliseconds{2}) <= max_slowdown);
  }
}

// Load pattern: plain targets that differ by three times in speed. Each gets calls by what it can
// do; by slots alone, each got as many.
TEST_CASE("load pattern: unequal targets: each is used for what it can do in time") {
  load_table table;
  std::vector<candidate> candidates;
  for (const char* name : {"fast", "usual", "slow"}) {
    candidates.push_back({target_name{name}, 6});
  }
  record_slowdown(table.targets[candidates[0].name].speed, 0.6, start);
  record_slowdown(table.targets[candidates[2].name].speed, 1.8, start);
  std::map<std::string, int> calls;
  std::vector<std::pair<instant, std::pair<target_name, call_load>>> running;
  for (int number = 0; number < 2'000; ++number) {
    const instant now = start + milliseconds{6 * number};
    std::erase_if(running, [&](std::pair<instant, std::pair<target_name, call_load>>& call) {
      if (call.first <= now) {
        record_call_ended(table, call.second.first, call.second.second);
      }
      return call.first <= now;
    });
    const placement choice =
        choose_plain_target(table, candidates, {}, static_cast<std::uint64_t>(number), now);
    ++calls[choice.chosen->name.value];
    const double factor = choice.chosen->name.value == "fast"    ? 0.6
                          : choice.chosen->name.value == "usual" ? 1
                                                                 : 1.8;
    running.push_back(
        {now + from_ms(60 * factor),
         {choice.chosen->name, record_call_sent(table, choice.chosen->name, nullptr, 0, now)}});
  }
  CHECK(calls["fast"] > calls["usual"]);
  CHECK(calls["usual"] > calls["slow"]);
  CHECK(calls["fast"] > 2 * calls["slow"]);
}

// Load pattern: a target is slowed by its neighbours, and all routers of a large fleet hear it 50
// ms to 1 s later. Bound: the busiest target gets at most 1.25 times the mean, as the users ask for
// on their deployment of unequal targets.
TEST_CASE("load pattern: many routers read the same late statements: no herd") {
  for (const int router_count : {9, 70, 300}) {
    for (const int age_ms : {50, 200, 1'000}) {
      CAPTURE(router_count);
      CAPTURE(age_ms);
      constexpr int target_count = 20;
      std::vector<candidate> candidates;
      load_table table;
      int usual_count = 0;
      std::mt19937_64 random(7);
      for (int number = 0; number < target_count; ++number) {
        candidates.push_back({target_name{"target-" + std::to_string(number)}, 6});
        // One in seven is slowed 2.5 times, as stated age_ms ago.
        target_speed& speed = table.targets[candidates.back().name].speed;
        record_slowdown(speed, 1, start - std::chrono::seconds{2});
        const bool is_slowed = random() % 7 == 0;
        record_slowdown(speed, is_slowed ? 2.5 : 1, start - milliseconds{age_ms});
        usual_count += is_slowed ? 0 : 1;
      }
      std::map<std::string, int> calls;
      constexpr int calls_per_router = 400;
      for (int call = 0; call < router_count * calls_per_router; ++call) {
        // Every router knows these statements and none of the others' calls.
        ++calls[choose_plain_target(table, candidates, {}, random(), start).chosen->name.value];
      }
      int most = 0;
      for (const std::pair<const std::string, int>& entry : calls) {
        most = std::max(most, entry.second);
      }
      // Over the targets that are not slowed: a mean over all would excuse the others' load.
      CHECK(most <= 1.25 * router_count * calls_per_router / usual_count);
    }
  }
}
