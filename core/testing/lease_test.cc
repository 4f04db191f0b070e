#include "core/lease.h"

#include <doctest/doctest.h>

#include "core/testing/lease_fleet.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::lease_fleet;
using testing::make_fleet;
using testing::mutation;

constexpr std::uint64_t random_seeds = 400;
constexpr std::uint64_t mutation_seeds = 100;

// Odd seeds run a fleet of four, where few faults make a majority.
std::size_t size_for(std::uint64_t seed) {
  return seed % 2 == 0 ? 10 : 4;
}

TEST_CASE("random faults never make two holders, and after them each shard has one") {
  for (std::uint64_t seed = 1; seed <= random_seeds; ++seed) {
    CAPTURE(seed);
    lease_fleet fleet = make_fleet(size_for(seed), 4, seed, mutation::none);
    run_faults(fleet, seconds{16});
    run(fleet, 5 * fleet.fleet.lease);
    // From here on a shard lacks a holder only while it is handed over.
    fleet.unheld.clear();
    run(fleet, seconds{8});
    for (const std::pair<const shard_key, testing::true_time>& entry : fleet.unheld) {
      REQUIRE(entry.second < milliseconds{2'000});
    }
    REQUIRE(fleet.double_holds == 0);
    REQUIRE(fleet.stale_numbers == 0);
  }
}

// Two holders seen while lists change in up to half of the routers.
std::size_t double_holds_when_lists_change(milliseconds lag, std::uint64_t seed) {
  lease_fleet fleet = make_fleet(10, 4, seed, mutation::none);
  for (testing::process& who : fleet.processes) {
    give_list(fleet, who, 1, {});
  }
  run(fleet, seconds{4});
  run_list_changes(fleet, seconds{30}, lag);
  return fleet.double_holds;
}

TEST_CASE("lists that change by half make no second holder if they spread in time") {
  std::size_t failed_seeds = 0;
  for (std::uint64_t seed = 1; seed <= mutation_seeds; ++seed) {
    CAPTURE(seed);
    REQUIRE(double_holds_when_lists_change(milliseconds{3'800}, seed) == 0);
    failed_seeds += double_holds_when_lists_change(milliseconds{20'000}, seed) > 0 ? 1 : 0;
  }
  MESSAGE("when lists spread too slowly: two holders in ", failed_seeds, " of ", mutation_seeds);
  CHECK(failed_seeds > 0);
}

// The router with the highest score for the first shard.
router_address preferred_of(const lease_fleet& fleet) {
  return *std::max_element(fleet.seeds.begin(), fleet.seeds.end(),
                           [&fleet](const router_address& a, const router_address& b) {
                             return rendezvous_score(a, fleet.shards[0]) <
                                    rendezvous_score(b, fleet.shards[0]);
                           });
}

// Cuts off the holder of the first shard at a time that differs by seed, after
// faults that strain one mechanism, and looks for a second holder.
std::size_t double_holds_when_cut_off(mutation strained, mutation change, std::uint64_t seed) {
  lease_fleet fleet = make_fleet(4, 1, seed, change);
  for (testing::process& who : fleet.processes) {
    const bool owner = preferred_of(fleet) == who.self.address;
    const double drift = change == mutation::drift_above_margin ? 0.1 : 0.01;
    who.rate = owner ? 1 - drift : 1 + drift;  // the worst case
  }
  run(fleet, seconds{6});
  if (strained == mutation::counted_from_reply) {
    fleet.slow = 1;
    fleet.slowest = milliseconds{600};
  }
  run(fleet, milliseconds{1'000 + seed * 7 % 667});
  fleet.slow = 0;
  for (testing::process& who : fleet.processes) {
    const bool holder = who.claims.claims.at(fleet.shards[0]).was_held;
    who.side = holder ? 1 : 0;
    if (!holder && strained == mutation::no_abstention) {
      restart(fleet, who);
    }
  }
  run(fleet, seconds{6});
  return fleet.double_holds;
}

TEST_CASE("the search for two holders finds what each mechanism prevents") {
  const mutation changes[] = {mutation::no_abstention, mutation::counted_from_reply,
                              mutation::drift_above_margin};
  for (mutation change : changes) {
    CAPTURE(static_cast<int>(change));
    std::size_t failed_seeds = 0;
    for (std::uint64_t seed = 1; seed <= mutation_seeds; ++seed) {
      REQUIRE(double_holds_when_cut_off(change, mutation::none, seed) == 0);
      failed_seeds += double_holds_when_cut_off(change, change, seed) > 0 ? 1 : 0;
    }
    MESSAGE("without the mechanism: two holders in ", failed_seeds, " of ", mutation_seeds);
    CHECK(failed_seeds > 0);
  }
}

// One voter, asked by hand.
struct voter_fixture {
  fleet_config fleet;
  membership_table members =
      make_membership({{"10.0.0.9:7400"}, 9}, domain_name{"north"}, "10.0.0.9:8080", {}, instant{});
  voter_table votes;
  std::uint64_t config_version = 5;

  // The verdict on one request: null if there was no reply.
  std::unique_ptr<wire::lease_verdict> ask(const router_identity& from, milliseconds sent,
                                           milliseconds now, bool release = false,
                                           std::uint64_t version = 5) {
    wire::lease_request request;
    *request.add_shards() = to_wire(shard_key{pool_name{"explain"}, 0});
    request.set_sent_at_us(to_wire(instant{sent}));
    request.set_config_version(version);
    request.set_lease_us(2'000'000);
    request.set_release(release);
    outbox out;
    const lease_context context{members, nullptr, fleet, config_version, false};
    on_lease_request(votes, context, from, request, instant{now}, out);
    if (out.empty()) {
      return nullptr;
    }
    CHECK(out.front().to == from.address);
    CHECK(out.front().to_incarnation == from.incarnation);
    CHECK(out.front().message.lease_reply().sent_at_us() == request.sent_at_us());
    return std::make_unique<wire::lease_verdict>(out.front().message.lease_reply().verdicts(0));
  }
};

TEST_CASE("a voter grants a shard to one holder at a time") {
  voter_fixture voter;
  const router_identity first{{"10.0.0.1:7400"}, 11};
  const router_identity first_restarted{{"10.0.0.1:7400"}, 12};
  const router_identity second{{"10.0.0.2:7400"}, 21};

  SUBCASE("it abstains for a lease after its start") {
    CHECK_FALSE(voter.ask(first, milliseconds{1'990}, milliseconds{1'999})->granted());
    CHECK(voter.ask(first, milliseconds{1'990}, milliseconds{2'000})->granted());
  }

  SUBCASE("a claimant with an older configuration is refused") {
    CHECK_FALSE(voter.ask(first, milliseconds{0}, milliseconds{3'000}, false, 4)->granted());
    CHECK(voter.ask(first, milliseconds{0}, milliseconds{3'000}, false, 6)->granted());
  }

  SUBCASE("once it has granted") {
    const std::uint64_t number = voter.ask(first, milliseconds{10}, milliseconds{3'000})->fencing();

    SUBCASE("others wait for the expiry, and get a higher number") {
      CHECK(voter.ask(second, milliseconds{0}, milliseconds{4'999})->holder() == "10.0.0.1:7400");
      CHECK(voter.ask(second, milliseconds{0}, milliseconds{5'000})->fencing() > number);
    }

    SUBCASE("a restarted holder is another holder, and can't release for its earlier self") {
      CHECK_FALSE(voter.ask(first_restarted, milliseconds{20}, milliseconds{3'100})->granted());
      voter.ask(first_restarted, milliseconds{30}, milliseconds{3'200}, true);
      CHECK_FALSE(voter.ask(second, milliseconds{0}, milliseconds{3'300})->granted());
    }

    SUBCASE("a release frees it, but not for a late copy of the request") {
      voter.ask(first, milliseconds{20}, milliseconds{3'100}, true);
      CHECK(voter.ask(first, milliseconds{10}, milliseconds{3'150}) == nullptr);
      CHECK(voter.ask(second, milliseconds{0}, milliseconds{3'200})->fencing() > number);
    }

    SUBCASE("a late copy of a release does not end a later grant") {
      voter.ask(first, milliseconds{20}, milliseconds{3'100}, true);
      CHECK(voter.ask(first, milliseconds{300}, milliseconds{3'300})->granted());
      voter.ask(first, milliseconds{20}, milliseconds{3'400}, true);
      CHECK_FALSE(voter.ask(second, milliseconds{0}, milliseconds{3'500})->granted());
      // The same copy, if it looked newer than the grant, would end it.
      voter.ask(first, milliseconds{301}, milliseconds{3'600}, true);
      CHECK(voter.ask(second, milliseconds{0}, milliseconds{3'700})->granted());
    }
  }
}

TEST_CASE("quorums of views that differ by the slack share a voter") {
  CHECK(quorum_size(1) == 1);
  CHECK(quorum_size(2) == 2);
  CHECK(quorum_size(3) == 3);
  CHECK(quorum_size(9) == 6);
  for (std::size_t voters = 2; voters < 50; ++voters) {
    CHECK(2 * quorum_size(voters) > voters + view_slack);
    CHECK(quorum_size(voters) + quorum_size(voters + 1) > voters + 1);
    CHECK(quorum_size(voters) <= voters);
  }
}

}  // namespace
}  // namespace peridot
