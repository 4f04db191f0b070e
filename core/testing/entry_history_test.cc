// Which entry of a target counts where the store does writes late.
#include "core/fleet/entry_history.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "core/fleet/config_and_targets.h"
#include "core/fleet/stream_builds.h"

using namespace peridot;

namespace {

using std::chrono::seconds;

constexpr instant start{seconds{3'600}};
const target_name name_of_target{"i-1"};
constexpr milliseconds cold_time{3'000};
constexpr milliseconds tick{100};
constexpr milliseconds heartbeat{1'200};

std::shared_ptr<const fleet_config> make_config() {
  fleet_config config;
  pool plain;
  plain.name = pool_name{"plain"};
  plain.cold_time = cold_time;
  config.pools[plain.name] = plain;
  return finish_config(std::move(config));
}

// What a target says of itself.
struct statement {
  std::int64_t started = 0;
  std::uint64_t sequence = 0;
  std::string build = "v1";
  bool draining = false;
  std::string address = "10.0.0.1:80";
};

// A target's entry in the store, as one router knows it.
struct fixture {
  std::shared_ptr<const fleet_config> config = make_config();
  target_table table;
  std::uint64_t revision = 0;
  instant now = start;
};

target_entry make_entry(const statement& said, std::uint64_t revision) {
  target_entry entry;
  entry.name = name_of_target;
  entry.pool = pool_name{"plain"};
  entry.address = said.address;
  entry.domain = failure_domain_name{"zone-a"};
  entry.build = said.build;
  entry.draining = said.draining;
  entry.sequence = said.sequence;
  entry.started_unix_ms = said.started;
  entry.revision = {1, revision};
  return entry;
}

void store_entry(fixture& router, const statement& said) {
  on_target_entry(router.table, router.config.get(), make_entry(said, ++router.revision),
                  router.now);
}

void remove_entry(fixture& router, removal_cause cause = removal_cause::left) {
  on_target_removed(router.table, router.config.get(), name_of_target, cause,
                    {1, ++router.revision}, router.now);
}

void wait(fixture& router, duration time) {
  const instant end = router.now + time;
  while (router.now < end) {
    router.now = std::min(end, router.now + tick);
    remove_expired_targets(router.table, false, start, router.now);
    check_entry_histories(router.table, router.config.get(), router.now);
  }
}

// Null if the target is gone.
const target_state* find_target(const fixture& router) {
  auto found = router.table.targets.find(name_of_target);
  return found == router.table.targets.end() ? nullptr : &found->second;
}

bool is_in_use(const fixture& router) {
  const target_state* target = find_target(router);
  return target != nullptr && is_usable(router.table, *target);
}

// True if streams that a target of this build began may go on at this one.
bool continues_streams_of(const fixture& router, const std::string& build) {
  const target_state* target = find_target(router);
  return target != nullptr &&
         runs_build(*target, build_of(make_entry({1, 1, build}, 1)), false, router.now);
}

}  // namespace

// Guards against review/12 (ORDER): the store did a heartbeat from before a restart late, the
// target counted as one of its former build, and streams of that build went on there.
TEST_CASE("an entry of an earlier start does not take a target back to its former build") {
  fixture router;
  store_entry(router, {1'000, 1, "v1"});
  wait(router, seconds{60});
  store_entry(router, {61'000, 1, "v2"});
  REQUIRE(continues_streams_of(router, "v2"));
  wait(router, seconds{5});
  store_entry(router, {1'000, 5, "v1"});
  CHECK_FALSE(continues_streams_of(router, "v1"));
  SUBCASE("what was known counts, except that it may have started again") {
    CHECK(is_in_use(router));
    CHECK(find_target(router)->entry.build == "v2");
    CHECK_FALSE(continues_streams_of(router, "v2"));
    CHECK(is_cold(*find_target(router), router.now));
    stream_table streams;
    update_pool_builds(streams, router.table, router.now);
    CHECK(runs_several_builds(streams, pool_name{"plain"}));
  }
  SUBCASE("its next heartbeat puts it right") {
    wait(router, heartbeat);
    store_entry(router, {61'000, 6, "v2"});
    CHECK(is_in_use(router));
    CHECK(continues_streams_of(router, "v2"));
    CHECK_FALSE(is_cold(*find_target(router), router.now));
  }
  SUBCASE("its clock went back as it started again: in use cold, at its build, once it stands") {
    wait(router, router.table.times.entry_lifetime - tick);
    CHECK_FALSE(continues_streams_of(router, "v1"));
    wait(router, history_check_interval + tick);
    CHECK(is_in_use(router));
    CHECK(continues_streams_of(router, "v1"));
    CHECK(is_cold(*find_target(router), router.now));
  }
  SUBCASE("while the store is unavailable, no heartbeat can put it right") {
    for (int count = 0; count < 100; ++count) {
      wait(router, tick);
      router.table.times.readable_since = router.now;
    }
    CHECK_FALSE(continues_streams_of(router, "v1"));
    wait(router, router.table.times.entry_lifetime + history_check_interval);
    CHECK(continues_streams_of(router, "v1"));
  }
  SUBCASE("the target is gone, and its entry expires") {
    wait(router, 3 * heartbeat);
    remove_entry(router);
    CHECK(find_target(router) == nullptr);
  }
}

TEST_CASE("no write is so late that an earlier start long after the last one is doubted") {
  fixture router;
  store_entry(router, {61'000, 1, "v2"});
  wait(router, contradiction_time(router.table.times));
  store_entry(router, {1'000, 1, "v1"});
  CHECK(is_in_use(router));
  CHECK(continues_streams_of(router, "v1"));
  CHECK(is_cold(*find_target(router), router.now));
}

// Guards against review/13 (DRAIN): the store did a heartbeat from before draining late, and the
// leaving target got calls.
TEST_CASE("an older statement of the same incarnation does not make a leaving target usable") {
  fixture router;
  store_entry(router, {1'000, 1});
  store_entry(router, {1'000, 9, "v1", true});
  REQUIRE_FALSE(is_in_use(router));
  wait(router, milliseconds{2'700});
  store_entry(router, {1'000, 5});
  CHECK_FALSE(is_in_use(router));
  SUBCASE("however long it stands") {
    wait(router, seconds{60});
    CHECK_FALSE(is_in_use(router));
  }
  SUBCASE("once it has started again it is used at once, cold") {
    store_entry(router, {70'000, 1, "v2"});
    CHECK(is_in_use(router));
    CHECK(is_cold(*find_target(router), router.now));
    CHECK(continues_streams_of(router, "v2"));
  }
}

TEST_CASE("a target that has started again under its name is used at once, cold") {
  fixture router;
  statement first{1'000, 7};
  statement second{70'000, 1, "v2"};
  SUBCASE("at the same address") {}
  SUBCASE("at another address") {
    second.address = "10.0.0.2:80";
  }
  SUBCASE("after draining") {
    first.draining = true;
  }
  SUBCASE("as the first that says when it started") {
    first.started = 0;
  }
  SUBCASE("it does not say when it started, at another address") {
    first.started = second.started = 0;
    second.address = "10.0.0.2:80";
  }
  SUBCASE("it does not say when it started, and counts anew") {
    first.started = second.started = 0;
  }
  store_entry(router, first);
  wait(router, seconds{60});
  store_entry(router, second);
  CHECK(is_in_use(router));
  CHECK(is_cold(*find_target(router), router.now));
  CHECK(continues_streams_of(router, "v2"));
  CHECK(find_target(router)->entry.address == second.address);
}

TEST_CASE("without a start, a smaller sequence number may be a restart or a late write") {
  fixture router;
  store_entry(router, {0, 7, "v1", true});
  wait(router, seconds{1});
  store_entry(router, {0, 1, "v2"});
  CHECK_FALSE(is_in_use(router));
  SUBCASE("a late write: the target's next heartbeat follows") {
    wait(router, heartbeat);
    store_entry(router, {0, 8, "v1", true});
    CHECK_FALSE(is_in_use(router));
    wait(router, seconds{60});
    CHECK_FALSE(is_in_use(router));
  }
  SUBCASE("a restart: in use once it stands, cold and at its build") {
    wait(router, router.table.times.entry_lifetime + history_check_interval);
    CHECK(is_in_use(router));
    CHECK(is_cold(*find_target(router), router.now));
    CHECK(continues_streams_of(router, "v2"));
  }
}
