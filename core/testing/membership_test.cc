#include "core/membership.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace peridot {
namespace {

using std::chrono::milliseconds;

router_address address_of(int router) {
  return {"10.0.0." + std::to_string(router) + ":7400"};
}

instance_list list_of(std::uint64_t version, int routers) {
  instance_list list;
  list.version = version;
  for (int router = 1; router <= routers; ++router) {
    const domain_name domain{router % 3 == 0 ? "east" : "north"};
    list.routers.push_back({address_of(router), "10.0.0.1:8080", domain, instance_state::live});
  }
  return list;
}

wire::heartbeat heartbeat_at(milliseconds sent, const std::string& domain = "north") {
  wire::heartbeat message;
  message.set_domain(domain);
  message.set_sent_at_us(to_wire(instant{sent}));
  return message;
}

struct membership_fixture {
  fleet_config fleet;
  local_status local;
  instance_list list = list_of(1, 3);
  membership_table table =
      make_membership({address_of(1), 1}, domain_name{"north"}, "10.0.0.1:8080",
                      {address_of(1), address_of(2)}, instant{});

  outbox tick(milliseconds now, const instance_list* newest) {
    outbox out;
    membership_tick(table, fleet, newest, local, instant{now}, out);
    return out;
  }
  heartbeat_effect hear(int router, std::uint64_t incarnation, milliseconds sent,
                        milliseconds now) {
    return on_heartbeat(table, {address_of(router), incarnation}, heartbeat_at(sent), instant{now});
  }
};

TEST_CASE("a router learns which peers run") {
  membership_fixture view;

  SUBCASE("seeds get heartbeats before there is a list, listed peers after") {
    CHECK(view.tick(milliseconds{0}, nullptr).size() == 1);
    CHECK(view.tick(milliseconds{100}, &view.list).empty());
    CHECK(view.tick(milliseconds{500}, &view.list).size() == 2);
    CHECK(live_routers(view.table) == std::vector<router_address>{address_of(1)});
  }

  SUBCASE("a peer that was heard is alive until it falls silent") {
    CHECK(view.hear(2, 20, milliseconds{5}, milliseconds{1'000}) ==
          heartbeat_effect::first_contact);
    CHECK(live_routers(view.table).size() == 2);
    view.tick(milliseconds{2'999}, nullptr);
    CHECK(live_routers(view.table).size() == 2);
    view.tick(milliseconds{3'000}, nullptr);
    CHECK(live_routers(view.table).size() == 1);

    SUBCASE("and alive again when it is heard again") {
      CHECK(view.hear(2, 20, milliseconds{9}, milliseconds{3'100}) == heartbeat_effect::known);
      CHECK(live_routers(view.table).size() == 2);
    }
  }

  SUBCASE("a restart is noticed once, whatever arrives late") {
    const auto hear_echo = [&view](std::uint64_t incarnation, milliseconds echo) {
      wire::heartbeat message = heartbeat_at(milliseconds{5});
      message.set_echo_sent_at_us(to_wire(instant{echo}));
      message.set_echo_incarnation(1);
      return on_heartbeat(view.table, {address_of(2), incarnation}, message,
                          instant{milliseconds{1'200}});
    };
    hear_echo(20, milliseconds{500});
    CHECK(view.hear(2, 21, milliseconds{5}, milliseconds{1'100}) == heartbeat_effect::known);
    CHECK(hear_echo(21, milliseconds{1'000}) == heartbeat_effect::restarted);
    // Late ones of the run before, and of one that was never heard in its time.
    CHECK(hear_echo(20, milliseconds{600}) == heartbeat_effect::known);
    CHECK(hear_echo(19, milliseconds{100}) == heartbeat_effect::known);
    CHECK(view.table.members.at(address_of(2)).identity.incarnation == 21);
  }

  SUBCASE("a heartbeat that was overtaken changes nothing") {
    view.hear(2, 20, milliseconds{500}, milliseconds{1'000});
    view.hear(2, 20, milliseconds{400}, milliseconds{2'000});
    CHECK(view.table.members.at(address_of(2)).last_heard == instant{milliseconds{1'000}});
  }

  SUBCASE("an echo counts only if it is of this run's clock") {
    wire::heartbeat message = heartbeat_at(milliseconds{5});
    message.set_echo_sent_at_us(to_wire(instant{milliseconds{700}}));
    message.set_echo_incarnation(99);
    on_heartbeat(view.table, {address_of(2), 20}, message, instant{milliseconds{1'000}});
    CHECK(view.table.members.at(address_of(2)).confirmed_until == instant{});
    message.set_echo_incarnation(1);
    message.set_sent_at_us(message.sent_at_us() + 1);
    on_heartbeat(view.table, {address_of(2), 20}, message, instant{milliseconds{1'010}});
    CHECK(view.table.members.at(address_of(2)).confirmed_until == instant{milliseconds{700}});
  }

  SUBCASE("a peer that only spoke is forgotten at last, a seed is not") {
    view.hear(2, 20, milliseconds{5}, milliseconds{1'000});
    view.hear(7, 70, milliseconds{5}, milliseconds{1'000});
    view.tick(milliseconds{3'000}, nullptr);
    view.tick(milliseconds{21'000}, nullptr);
    CHECK(view.table.members.contains(address_of(2)));
    CHECK_FALSE(view.table.members.contains(address_of(7)));
  }
}

TEST_CASE("choices follow from the view") {
  membership_fixture view;
  const shard_key shard{pool_name{"explain"}, 0};

  SUBCASE("voters depend on the list alone, and one change moves one voter") {
    const instance_list before = list_of(1, 12);
    instance_list after = before;
    after.routers.erase(after.routers.begin());
    for (std::uint32_t index = 0; index < 50; ++index) {
      const shard_key key{pool_name{"explain"}, index};
      const std::vector<router_address> old = voters_of(view.table, &before, view.fleet, key);
      const std::vector<router_address> now = voters_of(view.table, &after, view.fleet, key);
      std::vector<router_address> left;
      std::set_difference(old.begin(), old.end(), now.begin(), now.end(), std::back_inserter(left));
      CHECK(old.size() == view.fleet.voters_per_shard);
      CHECK(left.size() <= 1);
    }
    CHECK(voters_of(view.table, nullptr, view.fleet, shard).size() == 2);
  }

  SUBCASE("each domain has its watchers, the same in every router's view") {
    std::size_t watching = 0;
    for (int self = 1; self <= 9; ++self) {
      const auto domain = [](int router) { return router % 3 == 0 ? "east" : "north"; };
      membership_table table = make_membership({address_of(self), 1}, domain_name{domain(self)},
                                               "10.0.0.1:8080", {}, instant{});
      for (int peer = 1; peer <= 9; ++peer) {
        on_heartbeat(table, {address_of(peer), 5}, heartbeat_at(milliseconds{5}, domain(peer)),
                     instant{milliseconds{10}});
      }
      watching += should_watch_service(table) ? 1 : 0;
    }
    CHECK(watching == 2 * watchers_per_domain);
  }

  SUBCASE("the owner that was heard last is believed") {
    wire::heartbeat owning = heartbeat_at(milliseconds{5});
    *owning.add_owned() = to_wire(shard);
    on_heartbeat(view.table, {address_of(2), 20}, owning, instant{milliseconds{1'000}});
    on_heartbeat(view.table, {address_of(3), 30}, owning, instant{milliseconds{1'001}});
    CHECK(known_owner(view.table, shard, {}) == address_of(3));
    CHECK(known_owner(view.table, shard, {shard}) == address_of(1));
  }

  SUBCASE("hundreds of peers: a bounded set is told, and all in turn") {
    const instance_list list = list_of(1, 640);
    std::vector<router_address> reached;
    for (std::uint32_t index = 0; index < 30; ++index) {
      view.local.shards.push_back({pool_name{"explain"}, index});
    }
    for (int round = 0; round < 160; ++round) {
      const outbox out = view.tick(milliseconds{500 * round}, &list);
      CHECK(out.size() <= 3 * view.fleet.voters_per_shard);
      for (const outgoing_message& message : out) {
        reached.push_back(message.to);
      }
    }
    std::sort(reached.begin(), reached.end());
    reached.erase(std::unique(reached.begin(), reached.end()), reached.end());
    CHECK(reached.size() == 639);
  }
}

}  // namespace
}  // namespace peridot
