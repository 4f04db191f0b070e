#include "core/routing/overload.h"

#include <doctest/doctest.h>

#include <functional>

using namespace peridot;

namespace {

const instant start = instant{} + std::chrono::hours{1};

}  // namespace

TEST_CASE("load pattern: one busy caller fills one instance while the others idle") {
  overload_state state;
  instant now = start;
  bool others_have_room = true;
  const std::function<void(int, milliseconds)> turns = [&](int count, milliseconds turn) {
    for (int measured = 0; measured < count; ++measured) {
      now += milliseconds{100};
      record_loop_time(state, turn, others_have_room, now);
    }
  };
  const duration aim = milliseconds{600};
  turns(20, milliseconds{3});
  CHECK_FALSE(should_refuse_new_call(state, aim, true));
  SUBCASE("long turns: new calls are refused, so that they go to another instance") {
    turns(4, milliseconds{110});
    CHECK(should_refuse_new_call(state, aim, true));
    CHECK_FALSE(state.shedding);
    SUBCASE("the last instance alive goes on serving") {
      CHECK_FALSE(should_refuse_new_call(state, aim, false));
    }
    SUBCASE("if it lasts, no new connections are wanted until it has been calm") {
      turns(6, milliseconds{110});
      CHECK(state.shedding);
      turns(15, milliseconds{3});
      CHECK(state.shedding);
      turns(15, milliseconds{3});
      CHECK_FALSE(state.shedding);
    }
  }
  SUBCASE("nothing is shed while the others are as busy") {
    turns(10, milliseconds{110});
    CHECK(state.shedding);
    others_have_room = false;
    turns(1, milliseconds{110});
    CHECK_FALSE(state.shedding);
    turns(20, milliseconds{110});
    CHECK_FALSE(state.shedding);
  }
  SUBCASE("turns so long that even a refusal comes late: new connections are closed") {
    turns(8, milliseconds{110});
    CHECK_FALSE(state.closing_new_connections);
    turns(12, milliseconds{200});
    CHECK(state.closing_new_connections);
    turns(2, milliseconds{3});
    CHECK(state.closing_new_connections);
    turns(8, milliseconds{3});
    CHECK_FALSE(state.closing_new_connections);
  }
  SUBCASE("one long turn is not overload") {
    turns(1, milliseconds{120});
    CHECK_FALSE(should_refuse_new_call(state, aim, true));
    turns(10, milliseconds{3});
    CHECK_FALSE(state.shedding);
  }
  SUBCASE("a process that slept for long takes calls again within a second") {
    turns(1, milliseconds{60'000});
    turns(9, milliseconds{3});
    CHECK_FALSE(should_refuse_new_call(state, aim, true));
    CHECK_FALSE(state.shedding);
  }
  SUBCASE("calls with a short aim are not refused for the pauses of a shared processor") {
    turns(10, milliseconds{20});
    CHECK_FALSE(should_refuse_new_call(state, milliseconds{100}, true));
  }
}

TEST_CASE("others have room if most of them take new calls") {
  CHECK_FALSE(enough_peers_accept_calls(0, 0));
  CHECK_FALSE(enough_peers_accept_calls(0, 8));
  CHECK_FALSE(enough_peers_accept_calls(5, 8));
  CHECK(enough_peers_accept_calls(6, 8));
  CHECK(enough_peers_accept_calls(1, 1));
}
