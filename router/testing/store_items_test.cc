// Which items of the store routers take from each other, with a stand-in of the store and messages
// over TCP connections.
#include <doctest/doctest.h>

#include "net/testing/raw_peers.h"
#include "router/peer_internal.h"
#include "standins/platform_standin.h"

using namespace peridot;

namespace {

constexpr const char* entry_in_zone_a =
    R"({"service":"engines","address":"10.0.0.1:80","zone":"zone-a","version":"v1","slots":1,)"
    R"("state":"ready","cold_left_ms":0,"call_seq":1})";

// How long a router that is behind a peer waits before it requests items, and then some.
constexpr milliseconds request_time{1'500};

struct fleet_fixture {
  event_base_ptr base{event_base_new()};
  std::string store_address = testing::unused_address();
  std::unique_ptr<standin::platform_standin> platform;
};

void start_store(fleet_fixture& fixture) {
  std::signal(SIGPIPE, SIG_IGN);
  standin::platform_options options;
  options.store_address = fixture.store_address;
  options.engine_count = 0;
  options.plain_target_count = 0;
  fixture.platform =
      leaf::try_handle_all([&]() { return standin::start_platform(fixture.base.get(), options); },
                           []() { return std::unique_ptr<standin::platform_standin>(); });
  REQUIRE(fixture.platform != nullptr);
}

// A router that reads the store and exchanges messages, but sends no reports by itself.
void start_router(fleet_fixture& fixture, router_state& router) {
  const instant now = current_time();
  router.self = {router_address{testing::unused_address()}, 7};
  router.membership = make_membership(router.self, {}, router.settings.gossip_interval, now);
  const message_handler handler = [&router](const router_identity& from,
                                            const wire::peer_message& message) {
    on_peer_message(router, from, message);
  };
  router.peer_mesh = leaf::try_handle_all(
      [&]() {
        return start_mesh(fixture.base.get(), {router.self, "router", "0123456789abcdef"}, handler);
      },
      []() { return std::unique_ptr<mesh>(); });
  REQUIRE(router.peer_mesh != nullptr);
  start_store_client(router.store_client, fixture.base.get(), fixture.store_address, router.store,
                     []() {});
}

void wait_until_read(fleet_fixture& fixture, const router_state& router) {
  REQUIRE(testing::run_until(fixture.base.get(),
                             [&router]() { return is_complete(router.store_client); }));
}

bool knows_target(const router_state& router, const std::string& name) {
  return router.store.targets.targets.contains(target_name{name});
}

// Reports of `from` reach `to` in each round for request_time.
void report(fleet_fixture& fixture, const router_state& from, router_state& to) {
  const instant end = current_time() + request_time;
  while (current_time() < end) {
    wire::peer_message message;
    set_revisions(from, *message.mutable_gossip());
    on_peer_message(to, from.self, message);
    testing::run_for(fixture.base.get(), to.settings.gossip_interval);
  }
}

}  // namespace

// Guards against review/10 (DRAIN): the router that started held no item as new as the removed one
// of the peer, took the peer for ahead, and sent calls to a target that was gone.
TEST_CASE("a router that starts after a target has left, and a peer that the store cut off") {
  fleet_fixture fixture;
  start_store(fixture);
  standin::set_item(*fixture.platform, "servers/i-1", entry_in_zone_a);
  standin::set_item(*fixture.platform, "op/evacuate/zone-b", "{}");
  standin::set_item(*fixture.platform, "servers/i-2", entry_in_zone_a);
  router_state peer;
  start_router(fixture, peer);
  wait_until_read(fixture, peer);
  REQUIRE(knows_target(peer, "i-2"));
  stop_store_client(peer.store_client);
  standin::remove_item(*fixture.platform, "servers/i-2");
  standin::remove_item(*fixture.platform, "op/evacuate/zone-b");
  router_state starting;
  SUBCASE("the store serves the router that starts") {
    start_router(fixture, starting);
    wait_until_read(fixture, starting);
    const instant asked_before = starting.store_items_requested_at;
    report(fixture, peer, starting);
    CHECK_FALSE(knows_target(starting, "i-2"));
    CHECK(starting.store.targets.evacuated.empty());
    CHECK(knows_target(starting, "i-1"));
    SUBCASE("and it requests nothing from the peer") {
      CHECK(starting.store_items_requested_at == asked_before);
    }
    SUBCASE("not even if the peer sends its items all the same") {
      wire::items_request request;
      on_items_request(peer, starting.self, request);
      testing::run_for(fixture.base.get(), request_time);
      CHECK_FALSE(knows_target(starting, "i-2"));
      CHECK(starting.store.targets.evacuated.empty());
    }
    SUBCASE("a peer that is ahead is believed once the store is silent") {
      fixture.platform->mode = standin::store_mode::silent;
      standin::set_item(*fixture.platform, "servers/i-3", entry_in_zone_a);
      standin::set_item(*fixture.platform, "op/evacuate/zone-c", "{}");
      fixture.platform->mode = standin::store_mode::ok;
      stop_store_client(starting.store_client);
      router_state ahead;
      start_router(fixture, ahead);
      wait_until_read(fixture, ahead);
      stop_store_client(ahead.store_client);
      report(fixture, ahead, starting);
      CHECK(knows_target(starting, "i-3"));
      CHECK(starting.store.targets.evacuated.size() == 1);
    }
  }
  SUBCASE("the store is silent: the router that starts has only the peer") {
    fixture.platform->mode = standin::store_mode::silent;
    start_router(fixture, starting);
    report(fixture, peer, starting);
    CHECK(knows_target(starting, "i-1"));
    CHECK(knows_target(starting, "i-2"));
    CHECK(starting.store.config != nullptr);
    SUBCASE("once the store serves it, it drops what was removed") {
      fixture.platform->mode = standin::store_mode::ok;
      wait_until_read(fixture, starting);
      testing::run_for(fixture.base.get(), 2 * expiry_grace);
      remove_expired_targets(starting.store, current_time());
      CHECK_FALSE(knows_target(starting, "i-2"));
      CHECK(starting.store.targets.evacuated.empty());
      SUBCASE("and does not take it back from the peer") {
        report(fixture, peer, starting);
        CHECK_FALSE(knows_target(starting, "i-2"));
      }
    }
  }
  for (router_state* router : {&peer, &starting}) {
    stop_store_client(router->store_client);
  }
}

// Guards against the other side of review/10: a router that started after a removal has no
// tombstone of it, so one that relied on it kept the target, and counted as up to date after the
// next change.
TEST_CASE("a router that is behind learns of removals from before its peer started") {
  fleet_fixture fixture;
  start_store(fixture);
  standin::set_item(*fixture.platform, "servers/i-1", entry_in_zone_a);
  standin::set_item(*fixture.platform, "op/evacuate/zone-b", "{}");
  standin::set_item(*fixture.platform, "servers/i-2", entry_in_zone_a);
  router_state behind;
  start_router(fixture, behind);
  wait_until_read(fixture, behind);
  stop_store_client(behind.store_client);
  standin::remove_item(*fixture.platform, "servers/i-2");
  standin::remove_item(*fixture.platform, "op/evacuate/zone-b");
  router_state started;
  start_router(fixture, started);
  wait_until_read(fixture, started);
  const auto change_store = [&fixture, &started]() {
    standin::set_item(*fixture.platform, "servers/i-3", entry_in_zone_a);
    REQUIRE(testing::run_until(fixture.base.get(),
                               [&started]() { return knows_target(started, "i-3"); }));
  };
  const auto check_up_to_date = [&behind]() {
    CHECK(knows_target(behind, "i-1"));
    CHECK_FALSE(knows_target(behind, "i-2"));
    CHECK(knows_target(behind, "i-3"));
    CHECK(behind.store.targets.evacuated.empty());
  };
  SUBCASE("it may have missed an outage: the target is used for a while, then dropped") {
    change_store();
    report(fixture, started, behind);
    CHECK(knows_target(behind, "i-3"));
    CHECK(knows_target(behind, "i-2"));
    testing::run_for(fixture.base.get(), expiry_grace);
    remove_expired_targets(behind.store, current_time());
    check_up_to_date();
  }
  SUBCASE("it has read the store for long enough: the target is dropped at once") {
    testing::run_for(fixture.base.get(), expiry_grace);
    change_store();
    report(fixture, started, behind);
    check_up_to_date();
  }
  SUBCASE("changes that it passes on by itself leave a gap, which is closed by a request") {
    testing::run_for(fixture.base.get(), expiry_grace);
    started.membership.uses_delegates = true;
    started.digests.plan.subscribers = {behind.self.address};
    pass_on_items(started);
    change_store();
    pass_on_items(started);
    CHECK(testing::run_until(fixture.base.get(),
                             [&behind]() { return knows_target(behind, "i-3"); }));
    CHECK(knows_target(behind, "i-2"));
    CHECK(revisions_known(behind).target_items < revisions_known(started).target_items);
    report(fixture, started, behind);
    check_up_to_date();
    CHECK(revisions_known(behind).target_items == revisions_known(started).target_items);
  }
  for (router_state* router : {&behind, &started}) {
    stop_store_client(router->store_client);
  }
}
