#include "core/routing/surge_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <limits>
#include <random>
#include <string>
#include <vector>

#include "core/base/stable_hash.h"
#include "core/routing/fair_share.h"

using namespace peridot;

namespace {

const instant start = instant{} + std::chrono::hours{1};
const organisation_name surging{"surging"};

}  // namespace

TEST_CASE("unbounded_share agrees with max_min_fair_share of the same demand without a bound") {
  std::mt19937 random(3);
  for (int round = 0; round < 300; ++round) {
    std::vector<double> asked(1 + random() % 12);
    for (double& tokens : asked) {
      tokens = 1 + static_cast<double>(random() % 1'000);
    }
    const double capacity = 1 + static_cast<double>(random() % 6'000);
    const double own = asked[random() % asked.size()];
    std::vector<double> unbounded = asked;
    *std::find(unbounded.begin(), unbounded.end(), own) = std::numeric_limits<double>::max();
    CHECK(unbounded_share(make_demand_profile(asked), capacity, own) ==
          doctest::Approx(max_min_fair_share(unbounded, capacity)));
  }
}

TEST_CASE("a surge allowance limits what a router admits") {
  surge_allowance allowance;
  SUBCASE("before the first update it limits nothing") {
    spend_surge_allowance(allowance, 1e9);
    CHECK(has_surge_allowance(allowance, start));
  }
  SUBCASE("a flood gets the rate with its headroom, the burst and one call") {
    constexpr double rate = 10'000;
    constexpr double call_tokens = 700;
    double admitted = 0;
    update_surge_allowance(allowance, rate, start);
    for (milliseconds elapsed{0}; elapsed < milliseconds{3'000}; elapsed += milliseconds{5}) {
      if (elapsed % milliseconds{100} == milliseconds{0}) {
        update_surge_allowance(allowance, rate, start + elapsed);
      }
      if (has_surge_allowance(allowance, start + elapsed)) {
        spend_surge_allowance(allowance, call_tokens);
        admitted += call_tokens;
      }
    }
    CHECK(admitted <= surge_headroom * rate * 3.3 + call_tokens);
    CHECK(admitted >= surge_headroom * rate * 3);
  }
  SUBCASE("a call larger than the allowance is admitted, and the next ones wait for it") {
    update_surge_allowance(allowance, 100, start);
    CHECK(has_surge_allowance(allowance, start));
    spend_surge_allowance(allowance, 1'000);
    CHECK_FALSE(has_surge_allowance(allowance, start + milliseconds{5'000}));
    CHECK(has_surge_allowance(allowance, start + milliseconds{9'000}));
  }
  SUBCASE("after a long pause only the burst has been saved") {
    update_surge_allowance(allowance, 1'000, start);
    update_surge_allowance(allowance, 1'000, start + std::chrono::hours{1});
    spend_surge_allowance(allowance, 361);
    CHECK_FALSE(has_surge_allowance(allowance, start + std::chrono::hours{1}));
  }
}

TEST_CASE("the usual part of an organisation's calls") {
  CHECK(usual_part(10, 30, 3) == doctest::Approx(0.25));
  SUBCASE("an organisation that moved to this router gets an even part at once") {
    CHECK(usual_part(0, 40, 1) == doctest::Approx(0.5));
  }
  SUBCASE("nothing is known") {
    CHECK(usual_part(0, 0, 0) == 1);
  }
}

// Guards against the first second of a flood (incident inc1 of ashyq-esik-grown and the days after
// it): no report shows it yet, and the routers together admitted all of it.
TEST_CASE("a flood through all routers is held before any peer has reported it") {
  constexpr int router_count = 88;
  constexpr double capacity_per_second = 1'000'000;
  constexpr double others_per_second = 600'000;
  constexpr double usual_per_second = 176'000;  // 2,000 at each router
  constexpr double call_tokens = 100;
  // Of a window of 2 s, and of one router.
  const double usual = 2 * usual_per_second / router_count;
  share_table table;
  const auto offer_calls = [&table](double tokens, instant now) {
    double admitted = 0;
    for (double sent = 0; sent < tokens; sent += call_tokens) {
      record_asked_tokens(table, surging, call_tokens, now);
      if (is_within_surge_limit(table, surging, now)) {
        record_served_tokens(table, surging, call_tokens, now);
        admitted += call_tokens;
      }
    }
    return admitted;
  };
  // One of the routers, all alike: three seconds of usual demand.
  for (int peer = 1; peer < router_count; ++peer) {
    update_peer_usage(
        table, router_address{std::to_string(peer)},
        {{stable_hash(surging.value), {usual, usual}},
         {stable_hash("others"),
          {2 * others_per_second / router_count, 2 * others_per_second / router_count}}},
        start + std::chrono::seconds{10});
  }
  instant now = start;
  for (; now < start + milliseconds{3'000}; now += milliseconds{100}) {
    CHECK(offer_calls(usual_per_second / router_count / 10, now) == 200);
    update_fair_share(table, capacity_per_second, 6, now);
  }
  // Ten times as much for a second, while the peers' reports are those of before.
  double admitted = 0;
  for (; now < start + milliseconds{4'000}; now += milliseconds{100}) {
    update_fair_share(table, capacity_per_second, 6, now);
    admitted += offer_calls(10 * usual_per_second / router_count / 10, now);
  }
  // What the others leave: 0.4 of the capacity, with the growth that the admission level allows.
  const double entitled = capacity_per_second * admission_growth_factor(6) - others_per_second;
  CHECK(admitted * router_count <= 2 * entitled);
  CHECK(admitted * router_count >= entitled / 2);
}
