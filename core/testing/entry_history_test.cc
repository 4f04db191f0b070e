// Which entry of a target counts where the store does writes late.
#include "core/fleet/entry_history.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
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
    SUBCASE("the entry of the start before it, done late, does not count") {
      store_entry(router, {61'000, 9, "v2"});
      CHECK_FALSE(continues_streams_of(router, "v2"));
    }
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
  SUBCASE("not even if it is removed and stored once more") {
    remove_entry(router);
    store_entry(router, {1'000, 7});
    CHECK_FALSE(is_in_use(router));
  }
  SUBCASE("once it has started again it is used at once, cold") {
    store_entry(router, {70'000, 1, "v2"});
    CHECK(is_in_use(router));
    CHECK(is_cold(*find_target(router), router.now));
    CHECK(continues_streams_of(router, "v2"));
  }
}

// Guards against review/13 where the target does not report draining (DRAIN): its entry is removed,
// and a heartbeat that the store does late put it back, with a larger sequence number than known.
TEST_CASE("an entry that is stored late after the target has left does not bring it back") {
  fixture router;
  store_entry(router, {1'000, 1});
  wait(router, seconds{60});
  remove_entry(router);
  REQUIRE(find_target(router) == nullptr);
  wait(router, milliseconds{2'700});
  SUBCASE("it is not used, and expires") {
    store_entry(router, {1'000, 50});
    CHECK(find_target(router) == nullptr);
    wait(router, 3 * heartbeat);
    remove_entry(router);
    wait(router, seconds{60});
    CHECK(find_target(router) == nullptr);
    CHECK(router.table.histories.empty());
  }
  SUBCASE("another late one does not either") {
    store_entry(router, {1'000, 50});
    wait(router, seconds{1});
    store_entry(router, {1'000, 49});
    wait(router, seconds{1});
    store_entry(router, {1'000, 51});
    CHECK(find_target(router) == nullptr);
  }
  SUBCASE("it had lost the store only: in use again once its entry stands") {
    store_entry(router, {1'000, 50});
    wait(router, router.table.times.entry_lifetime - tick);
    CHECK_FALSE(is_in_use(router));
    wait(router, history_check_interval + tick);
    CHECK(is_in_use(router));
    SUBCASE("and what it says from then on counts at once") {
      store_entry(router, {1'000, 54});
      CHECK(find_target(router)->entry.sequence == 54);
      CHECK_FALSE(find_target(router)->is_disputed);
    }
  }
  SUBCASE("it comes later than any late write: it is used at once") {
    wait(router, contradiction_time(router.table.times));
    store_entry(router, {1'000, 50});
    CHECK(is_in_use(router));
  }
  SUBCASE("it has started again: it is used at once") {
    store_entry(router, {70'000, 1, "v2"});
    CHECK(is_in_use(router));
    SUBCASE("an entry of the start before, done late, does not count") {
      store_entry(router, {1'000, 50});
      CHECK(find_target(router)->entry.build == "v2");
    }
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
  SUBCASE("its clock went back, as no write is so late") {
    first.started = 100'000;
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

TEST_CASE("entries that expired in an outage count again as soon as they are back") {
  fixture router;
  store_entry(router, {1'000, 7});
  wait(router, seconds{5});
  remove_entry(router, removal_cause::outage);
  CHECK(is_in_use(router));
  SUBCASE("in time") {
    store_entry(router, {1'000, 60});
    CHECK_FALSE(find_target(router)->entry_expired);
  }
  SUBCASE("after the target was dropped") {
    wait(router, seconds{4});
    REQUIRE(find_target(router) == nullptr);
    store_entry(router, {1'000, 60});
    CHECK(is_in_use(router));
  }
  SUBCASE("not by an older statement") {
    store_entry(router, {1'000, 6});
    CHECK(find_target(router)->entry_expired);
    wait(router, seconds{4});
    CHECK(find_target(router) == nullptr);
    SUBCASE("unless it stands") {
      wait(router, router.table.times.entry_lifetime);
      CHECK(is_in_use(router));
    }
  }
  SUBCASE("in an outage that this router had not seen") {
    remove_entry(router, removal_cause::unseen_outage);
    REQUIRE(find_target(router) == nullptr);
    store_entry(router, {1'000, 60});
    CHECK(is_in_use(router));
  }
}

TEST_CASE("an entry of another writer does not make late writes count") {
  fixture router;
  store_entry(router, {61'000, 1, "v2"});
  remove_entry(router, removal_cause::rejected);
  CHECK(find_target(router) == nullptr);
  SUBCASE("of a start before") {
    store_entry(router, {1'000, 9, "v1"});
    CHECK_FALSE(is_in_use(router));
  }
  SUBCASE("once it is repaired, the target is used at once") {
    store_entry(router, {61'000, 2, "v2"});
    CHECK(is_in_use(router));
  }
}

namespace {

// A version of an entry, for the oracle.
struct oracle_version {
  std::uint64_t revision = 0;
  bool removed = false;
  bool may_be_expired = false;  // valid if removed
  statement said;               // valid if not removed
};

struct oracle_answer {
  std::uint64_t revision = 0;  // of the entry that counts; 0: none
  bool expired = false;
  bool disputed = false;
  bool leaving = false;

  friend bool operator==(const oracle_answer&, const oracle_answer&) = default;
};

// True if an entry of this start may only count if an earlier version of the list is not true.
bool is_contradicted(const std::vector<oracle_version>& before, const oracle_version& version) {
  bool is_removed = false;
  bool is_expired = false;
  for (auto earlier = before.rbegin(); earlier != before.rend(); ++earlier) {
    if (earlier->removed) {
      (earlier->may_be_expired ? is_expired : is_removed) = true;
      continue;
    }
    const bool same = earlier->said.started == version.said.started;
    const bool is_smaller = version.said.sequence < earlier->said.sequence;
    if (earlier->said.started > version.said.started ||
        (same && (is_removed || (is_expired && is_smaller)))) {
      return true;
    }
  }
  return false;
}

bool is_older(const std::vector<oracle_version>& before, const oracle_version& version) {
  for (auto earlier = before.rbegin(); earlier != before.rend(); ++earlier) {
    if (earlier->removed) {
      return false;
    }
    if (earlier->said.started == version.said.started &&
        earlier->said.sequence > version.said.sequence) {
      return true;
    }
  }
  return false;
}

// What a router answers that got all versions one by one, in the order of their revisions.
oracle_answer expected_answer(const std::vector<oracle_version>& versions) {
  oracle_answer answer;
  std::vector<oracle_version> before;
  std::int64_t counting_start = 0;
  for (const oracle_version& version : versions) {
    answer.disputed = false;
    if (version.removed) {
      answer = version.may_be_expired && answer.revision != 0
                   ? oracle_answer{answer.revision, true, false, false}
                   : oracle_answer{};
    } else if (is_contradicted(before, version)) {
      answer.disputed = answer.revision != 0;
    } else if (!is_older(before, version)) {
      answer = {version.revision, false, false, false};
      counting_start = version.said.started;
    }
    before.push_back(version);
  }
  answer.leaving =
      answer.revision != 0 && std::any_of(versions.begin(), versions.end(),
                                          [counting_start](const oracle_version& version) {
                                            return !version.removed && version.said.draining &&
                                                   version.said.started == counting_start;
                                          });
  return answer.leaving && answer.expired ? oracle_answer{} : answer;
}

oracle_answer answer_of(const fixture& router) {
  const target_state* target = find_target(router);
  return target == nullptr ? oracle_answer{}
                           : oracle_answer{target->entry.revision.number, target->entry_expired,
                                           target->is_disputed, target->leaving};
}

std::string to_text(const oracle_answer& answer) {
  return "revision " + std::to_string(answer.revision) + (answer.expired ? " expired" : "") +
         (answer.disputed ? " disputed" : "") + (answer.leaving ? " leaving" : "");
}

std::string to_text(const std::vector<oracle_version>& versions,
                    const std::vector<std::size_t>& order) {
  std::string text;
  for (std::size_t index : order) {
    const oracle_version& version = versions[index];
    text += " " + std::to_string(version.revision) + ":" +
            (version.removed ? (version.may_be_expired ? "expired" : "removed")
                             : std::to_string(version.said.started) + "/" +
                                   std::to_string(version.said.sequence) +
                                   (version.said.draining ? "/draining" : ""));
  }
  return text;
}

std::vector<oracle_version> random_versions(std::mt19937& random) {
  std::vector<oracle_version> versions;
  for (std::uint64_t revision = 1; revision <= 5; ++revision) {
    oracle_version version;
    version.revision = revision;
    version.removed = random() % 3 == 0;
    version.may_be_expired = random() % 2 == 0;
    version.said.started = 1 + static_cast<std::int64_t>(random() % 3);
    version.said.sequence = random() % 4;
    version.said.draining = random() % 6 == 0;
    versions.push_back(version);
  }
  return versions;
}

void apply(fixture& router, const oracle_version& version) {
  if (version.removed) {
    on_target_removed(router.table, router.config.get(), name_of_target,
                      version.may_be_expired ? removal_cause::outage : removal_cause::left,
                      {1, version.revision}, router.now);
  } else {
    on_target_entry(router.table, router.config.get(), make_entry(version.said, version.revision),
                    router.now);
  }
}

}  // namespace

TEST_CASE("routers that got the same versions in any order agree") {
  std::mt19937 random(60);
  for (int round = 0; round < 2'000; ++round) {
    const std::vector<oracle_version> versions = random_versions(random);
    const oracle_answer expected = expected_answer(versions);
    std::vector<std::size_t> order = {0, 1, 2, 3, 4};
    do {
      fixture router;
      for (std::size_t index : order) {
        apply(router, versions[index]);
      }
      const oracle_answer answer = answer_of(router);
      CAPTURE(to_text(versions, order));
      CAPTURE(to_text(answer));
      CAPTURE(to_text(expected));
      REQUIRE(answer == expected);
    } while (std::next_permutation(order.begin(), order.end()));
  }
}
