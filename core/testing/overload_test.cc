#include "core/routing/overload.h"

#include <doctest/doctest.h>

#include <functional>

using namespace peridot;

namespace {

const instant start = instant{} + std::chrono::hours{1};

}  // namespace

TEST_CASE("load pattern: one busy caller overloads one instance while the others are idle") {
  overload_state state;
  instant now = start;
  bool peers_accept_calls = true;
  const std::function<void(int, milliseconds)> record_samples = [&](int count,
                                                                    milliseconds loop_time) {
    for (int iteration = 0; iteration < count; ++iteration) {
      now += milliseconds{100};
      record_loop_time(state, loop_time, peers_accept_calls, now);
    }
  };
  const duration latency_objective = milliseconds{600};
  record_samples(20, milliseconds{3});
  CHECK_FALSE(should_refuse_new_call(state, latency_objective, true));
  SUBCASE("long loop iterations: new calls are refused, so that they go to another instance") {
    record_samples(4, milliseconds{110});
    CHECK(should_refuse_new_call(state, latency_objective, true));
    CHECK_FALSE(state.shedding);
    SUBCASE("the last live instance keeps serving") {
      CHECK_FALSE(should_refuse_new_call(state, latency_objective, false));
    }
    SUBCASE("if it lasts, the instance sheds load until it has recovered for a while") {
      record_samples(6, milliseconds{110});
      CHECK(state.shedding);
      record_samples(15, milliseconds{3});
      CHECK(state.shedding);
      record_samples(15, milliseconds{3});
      CHECK_FALSE(state.shedding);
    }
  }
  SUBCASE("no load is shed while the other instances are overloaded too") {
    record_samples(10, milliseconds{110});
    CHECK(state.shedding);
    peers_accept_calls = false;
    record_samples(1, milliseconds{110});
    CHECK_FALSE(state.shedding);
    record_samples(20, milliseconds{110});
    CHECK_FALSE(state.shedding);
  }
  SUBCASE("iterations so long that even a refusal would be late: new connections are closed") {
    record_samples(8, milliseconds{110});
    CHECK_FALSE(state.closing_new_connections);
    record_samples(12, milliseconds{200});
    CHECK(state.closing_new_connections);
    record_samples(2, milliseconds{3});
    CHECK(state.closing_new_connections);
    record_samples(8, milliseconds{3});
    CHECK_FALSE(state.closing_new_connections);
  }
  SUBCASE("a single long iteration is not overload") {
    record_samples(1, milliseconds{120});
    CHECK_FALSE(should_refuse_new_call(state, latency_objective, true));
    record_samples(10, milliseconds{3});
    CHECK_FALSE(state.shedding);
  }
  SUBCASE("a process that was suspended for long accepts calls again within a second") {
    record_samples(1, milliseconds{60'000});
    record_samples(9, milliseconds{3});
    CHECK_FALSE(should_refuse_new_call(state, latency_objective, true));
    CHECK_FALSE(state.shedding);
  }
  SUBCASE("calls with a short latency objective are not refused for scheduling pauses") {
    record_samples(10, milliseconds{20});
    CHECK_FALSE(should_refuse_new_call(state, milliseconds{100}, true));
  }
}

TEST_CASE("enough peers accept calls if at least min_accepting_peer_fraction of them do") {
  CHECK_FALSE(enough_peers_accept_calls(0, 0));
  CHECK_FALSE(enough_peers_accept_calls(0, 8));
  CHECK_FALSE(enough_peers_accept_calls(5, 8));
  CHECK(enough_peers_accept_calls(6, 8));
  CHECK(enough_peers_accept_calls(1, 1));
}
