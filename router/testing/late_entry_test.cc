// Entries that the store does late, and routers that started after them: what they learn from their
// peers. The routers have no sockets here.
#include <doctest/doctest.h>

#include "router/peer_internal.h"

using namespace peridot;

namespace {

using std::chrono::seconds;

const target_name target{"i-1"};
const router_address peer{"10.0.0.2:7400"};
constexpr instant start{seconds{3'600}};

struct statement {
  std::int64_t started = 0;
  std::uint64_t sequence = 0;
  const char* state = "ready";
};

platform::store_item entry_item(std::uint64_t revision, const statement& said) {
  return {"servers/" + target.value,
          R"({"service":"plain","address":"10.0.0.9:80","zone":"zone-a","version":"v1","slots":6,)"
          R"("cold_left_ms":0,"state":")" +
              std::string(said.state) + R"(","call_seq":)" + std::to_string(said.sequence) +
              R"(,"born":)" + std::to_string(said.started) + "}",
          {1, revision},
          false};
}

platform::store_item removal_item(std::uint64_t revision) {
  return {"servers/" + target.value, "", {1, revision}, true};
}

void read_item(router_state& router, const platform::store_item& item, instant now) {
  platform::apply_items(router.store, {item}, platform::item_source::store_watch, now);
  record_leaving_entries(router.statements, router.store.targets, now);
}

void report(const router_state& from, router_state& to, instant now) {
  wire::gossip message;
  add_statements(from, limit_selection::all, now, message);
  apply_statements(to, peer, message, now);
}

// Ticks for `time`, while `from` reports to `to` in each round. Returns the time afterwards.
instant wait(const router_state& from, router_state& to, instant now, duration time) {
  const instant end = now + time;
  while (now < end) {
    now = std::min<instant>(end, now + to.settings.gossip_interval);
    platform::remove_expired_targets(to.store, now);
    report(from, to, now);
  }
  return now;
}

bool is_in_use(const router_state& router) {
  auto found = router.store.targets.targets.find(target);
  return found != router.store.targets.targets.end() &&
         is_usable(router.store.targets, found->second);
}

}  // namespace

// Guards against review/13 at a router that started after the removal (DRAIN): it had read nothing
// but the entry that the store did late.
TEST_CASE("a router that did not see a target leave learns from its peers that it has") {
  router_state knows;
  read_item(knows, entry_item(1, {1'000, 1}), start);
  read_item(knows, removal_item(2), start + seconds{60});
  router_state started;
  const platform::store_item late = entry_item(3, {1'000, 50});
  const instant late_at = start + seconds{62};
  SUBCASE("before the late entry") {
    report(knows, started, late_at);
    read_item(started, late, late_at);
    CHECK_FALSE(is_in_use(started));
  }
  SUBCASE("after it") {
    read_item(started, late, late_at);
    REQUIRE(is_in_use(started));
    report(knows, started, late_at);
    CHECK_FALSE(is_in_use(started));
    SUBCASE("and passes that on") {
      router_state third;
      read_item(third, late, late_at);
      report(started, third, late_at + seconds{1});
      CHECK_FALSE(is_in_use(third));
    }
    SUBCASE("a peer that knows less does not overrule it") {
      router_state also_started;
      read_item(also_started, late, late_at);
      report(also_started, started, late_at + seconds{1});
      CHECK_FALSE(is_in_use(started));
    }
    SUBCASE("a target that has started again is used at once") {
      read_item(started, entry_item(4, {70'000, 1}), late_at + seconds{1});
      report(knows, started, late_at + seconds{1});
      CHECK(is_in_use(started));
    }
    SUBCASE("a target that had lost the store only is used once its entry stands") {
      read_item(knows, late, late_at);
      const milliseconds lifetime = started.store.targets.times.entry_lifetime;
      const instant later = wait(knows, started, late_at, lifetime - milliseconds{200});
      CHECK_FALSE(is_in_use(started));
      const instant stands_at = wait(knows, started, later, milliseconds{600});
      CHECK(is_in_use(started));
      SUBCASE("and stays in use, whatever is reported still") {
        wait(knows, started, stands_at, seconds{1});
        CHECK(is_in_use(started));
        read_item(started, entry_item(5, {1'000, 60}), stands_at + seconds{1});
        wait(knows, started, stands_at + seconds{1}, seconds{10});
        CHECK(is_in_use(started));
      }
    }
  }
  SUBCASE("too long ago to be late: it is used at once") {
    const instant later =
        late_at + contradiction_time(started.store.targets.times) + milliseconds{1};
    report(knows, started, later);
    read_item(started, late, later);
    CHECK(is_in_use(started));
  }
}

TEST_CASE("a peer that did not see an outage does not overrule a router that did") {
  router_state saw_outage;
  router_state did_not;
  for (router_state* router : {&saw_outage, &did_not}) {
    read_item(*router, entry_item(1, {1'000, 1}), start);
  }
  const instant removed_at = start + seconds{60};
  platform::record_store_failure(saw_outage.store, removed_at - seconds{5}, removed_at);
  platform::record_store_success(saw_outage.store, removed_at);
  for (router_state* router : {&saw_outage, &did_not}) {
    read_item(*router, removal_item(2), removed_at);
  }
  REQUIRE(is_in_use(saw_outage));
  REQUIRE_FALSE(is_in_use(did_not));
  const instant returned_at = removed_at + seconds{1};
  SUBCASE("the report comes before the entry") {
    report(did_not, saw_outage, returned_at);
    read_item(saw_outage, entry_item(3, {1'000, 50}), returned_at);
  }
  SUBCASE("the entry comes before the report") {
    read_item(saw_outage, entry_item(3, {1'000, 50}), returned_at);
    report(did_not, saw_outage, returned_at);
  }
  CHECK(is_in_use(saw_outage));
  platform::remove_expired_targets(saw_outage.store, returned_at + seconds{3});
  CHECK(is_in_use(saw_outage));
}

TEST_CASE("a router that read only an entry of an earlier start learns that it is outdated") {
  router_state knows;
  read_item(knows, entry_item(1, {1'000, 1}), start);
  router_state started;
  SUBCASE("its peer has seen both starts") {
    read_item(knows, entry_item(2, {70'000, 1}), start + seconds{70});
    read_item(knows, entry_item(3, {1'000, 9}), start + seconds{72});
  }
  SUBCASE("its peer has seen the later start only") {
    knows.store = {};
    read_item(knows, entry_item(2, {70'000, 1}), start + seconds{70});
    read_item(knows, entry_item(3, {1'000, 9}), start + seconds{72});
  }
  read_item(started, entry_item(3, {1'000, 9}), start + seconds{72});
  report(knows, started, start + seconds{72});
  CHECK_FALSE(is_in_use(started));
  CHECK(is_in_use(knows));
  read_item(started, entry_item(4, {70'000, 2}), start + seconds{73});
  CHECK(is_in_use(started));
}

// Guards against review/13 at a router that started after the late write (DRAIN): it had not read
// that the target leaves.
TEST_CASE("a router that read only an older statement learns that the target leaves") {
  router_state knows;
  read_item(knows, entry_item(1, {1'000, 1}), start);
  read_item(knows, entry_item(2, {1'000, 9, "draining"}), start + seconds{60});
  read_item(knows, entry_item(3, {1'000, 5}), start + seconds{62});
  router_state started;
  read_item(started, entry_item(3, {1'000, 5}), start + seconds{62});
  REQUIRE(is_in_use(started));
  report(knows, started, start + seconds{62});
  CHECK_FALSE(is_in_use(started));
  CHECK_FALSE(is_in_use(knows));
}
