#include "core/routing/domain_spillover.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <vector>

#include "core/base/stable_hash.h"
#include "core/routing/placement.h"

using namespace peridot;

namespace {

const instant start = instant{} + std::chrono::hours{1};
constexpr milliseconds round_time{200};
constexpr double crossing_ms = 5;

// Work that waits in each domain, in ms, under demand in units of a domain's capacity.
struct fluid_domains {
  std::vector<double> wait_ms;
  std::vector<std::vector<double>> history;  // of wait_ms, by round
};

// The waits as known after `age`.
const std::vector<double>& seen_waits(const fluid_domains& domains, duration age) {
  const std::size_t rounds =
      std::min(domains.history.size() - 1, static_cast<std::size_t>(age / duration{round_time}));
  return domains.history[domains.history.size() - 1 - rounds];
}

void run_round(fluid_domains& domains, const std::vector<double>& arrivals) {
  for (std::size_t index = 0; index < domains.wait_ms.size(); ++index) {
    domains.wait_ms[index] =
        std::max(0.0, domains.wait_ms[index] + (arrivals[index] - 1) * to_ms(round_time));
  }
  domains.history.push_back(domains.wait_ms);
}

// Demand of domains whose peaks follow each other, half around a mean of 0.9, 13 s a wave.
std::vector<double> wave(std::size_t count, double seconds) {
  std::vector<double> demand;
  for (std::size_t index = 0; index < count; ++index) {
    const double phase = static_cast<double>(index) / static_cast<double>(count);
    demand.push_back(0.9 + 0.45 * std::sin(2 * std::numbers::pi * (seconds / 13 + phase)));
  }
  return demand;
}

enum class policy { stay, least_wait, spillover };

struct wave_result {
  double worst_wait_ms = 0;
  double sent_share = 0;  // of all demand
  int reversals = 0;      // of a domain's share, by more than a fifth within one second
};

// 40 s of waves. Calls that leave are spread over the domains that seem to wait least.
wave_result run_waves(std::size_t count, duration age, policy chosen) {
  fluid_domains domains{std::vector<double>(count, 0), {std::vector<double>(count, 0)}};
  std::vector<spillover_state> states(count);
  std::vector<std::vector<double>> shares(count);
  wave_result result;
  double demand_sum = 0;
  double sent_sum = 0;
  constexpr int rounds = 200;
  for (int round = 0; round < rounds; ++round) {
    const instant now = start + round * round_time;
    const std::vector<double> demand = wave(count, to_ms(now - start) / 1'000);
    const std::vector<double>& seen = seen_waits(domains, age);
    std::vector<double> arrivals(count, 0);
    for (std::size_t own = 0; own < count; ++own) {
      std::size_t least = own == 0 ? 1 : 0;
      std::vector<domain_load> others;
      for (std::size_t other = 0; other < count; ++other) {
        if (other != own) {
          least = seen[other] < seen[least] ? other : least;
          others.push_back({static_cast<failure_domain_id>(other + 1), seen[other], 1});
        }
      }
      double share = 0;
      if (chosen == policy::spillover) {
        spillover_state& state = states[own];
        update_spillover(state, {0, seen[own], 1}, others, crossing_ms, age, now);
        share = total_share(state);
        for (const domain_share& entry : state.shares) {
          arrivals[entry.domain - 1] += demand[own] * entry.share;
        }
      } else if (chosen == policy::least_wait && seen[own] > seen[least] + crossing_ms) {
        share = 1;
        arrivals[least] += demand[own];
      }
      shares[own].push_back(share);
      arrivals[own] += demand[own] * (1 - share);
      demand_sum += demand[own];
      sent_sum += demand[own] * share;
    }
    run_round(domains, arrivals);
    result.worst_wait_ms = std::max(
        result.worst_wait_ms, *std::max_element(domains.wait_ms.begin(), domains.wait_ms.end()));
  }
  result.sent_share = sent_sum / demand_sum;
  constexpr std::size_t second = 5;  // rounds
  for (const std::vector<double>& series : shares) {
    for (std::size_t round = 2 * second; round < series.size(); ++round) {
      const double before = series[round - second] - series[round - 2 * second];
      const double after = series[round] - series[round - second];
      result.reversals += before * after < 0 && std::min(std::abs(before), std::abs(after)) > 0.2;
    }
  }
  return result;
}

}  // namespace

TEST_CASE("what a call pays to leave its failure domain grows with its bytes") {
  const crossing_prices prices{2, 1};
  CHECK(crossing_cost_ms(prices, 0) == 2);
  CHECK(crossing_cost_ms(prices, 1'400) == doctest::Approx(3.4));
  CHECK(crossing_cost_ms(prices, 9'700) == doctest::Approx(11.7));
}

TEST_CASE("the share of calls that leave") {
  spillover_state state;
  const std::vector<domain_load> others{{2, 6, 3}, {3, 6, 3}};
  const milliseconds age{300};
  const instant now = start;
  SUBCASE("is none while waits differ by less than a crossing costs") {
    update_spillover(state, {1, 10, 3}, others, crossing_ms, age, now);
    CHECK(total_share(state) == 0);
    CHECK(spillover_domain(state, 0) == 0);
  }
  SUBCASE("grows with the difference, and goes to the domains that wait less") {
    update_spillover(state, {1, 100, 3}, others, crossing_ms, age, now);
    const double share = total_share(state);
    CHECK(share > 0.05);
    update_spillover(state, {1, 200, 3}, others, crossing_ms, age, now);
    CHECK(total_share(state) > share);
    update_spillover(state, {1, 200, 3}, {{2, 6, 3}, {3, 300, 3}}, crossing_ms, age, now);
    REQUIRE(state.shares.size() == 1);
    CHECK(state.shares[0].domain == 2);
  }
  SUBCASE("is smaller while the sums are older") {
    update_spillover(state, {1, 100, 3}, others, crossing_ms, milliseconds{1'000}, now);
    const double share = total_share(state);
    update_spillover(state, {1, 100, 3}, others, crossing_ms, age, now);
    CHECK(total_share(state) > 2 * share);
  }
  SUBCASE("is all of them at once where the own domain has no usable target: lost or evacuated") {
    for (const milliseconds view_age : {age, 2 * max_spillover_view_age}) {
      update_spillover(state, {1, 0, 0}, others, crossing_ms, view_age, now);
      CHECK(total_share(state) == doctest::Approx(1));
      CHECK(spillover_domain(state, 9'999) == 3);
    }
  }
  SUBCASE("is none where no other domain has a usable target") {
    update_spillover(state, {1, 500, 3}, {{2, 0, 0}}, crossing_ms, age, now);
    CHECK(total_share(state) == 0);
  }
  SUBCASE("is none at a router that hears nobody: it goes by its own calls") {
    update_spillover(state, {1, 500, 3}, others, crossing_ms,
                     max_spillover_view_age + milliseconds{1}, now);
    CHECK(total_share(state) == 0);
  }
  SUBCASE("holds for as many calls") {
    state.shares = {{2, 0.1}, {3, 0.2}};
    int to_second = 0;
    int to_third = 0;
    for (std::uint64_t call = 0; call < 10'000; ++call) {
      const failure_domain_id to = spillover_domain(state, stable_hash(std::to_string(call)));
      to_second += to == 2;
      to_third += to == 3;
    }
    CHECK(std::abs(to_second - 1'000) < 150);
    CHECK(std::abs(to_third - 2'000) < 200);
  }
}

// Load pattern: domains whose demand peaks at different moments. Bounds: half of the waits that
// staying causes, less than going by the late sums alone, and no swing of the share.
TEST_CASE("load pattern: peaks at different moments: calls leave in time and without a swing") {
  for (const std::size_t count : {std::size_t{3}, std::size_t{4}, std::size_t{15}}) {
    for (const int age_ms : {200, 500, 1'000}) {
      CAPTURE(count);
      CAPTURE(age_ms);
      const milliseconds age{age_ms};
      const wave_result stay = run_waves(count, age, policy::stay);
      const wave_result least = run_waves(count, age, policy::least_wait);
      const wave_result spillover = run_waves(count, age, policy::spillover);
      CAPTURE(stay.worst_wait_ms);
      CAPTURE(least.worst_wait_ms);
      CHECK(spillover.worst_wait_ms < stay.worst_wait_ms / 2);
      CHECK(spillover.worst_wait_ms < least.worst_wait_ms);
      CHECK(spillover.reversals == 0);
      CHECK(spillover.sent_share < 0.35);
    }
  }
}

TEST_CASE("a plain call and a long prompt leave at different waits") {
  std::vector<candidate> candidates{{target_name{"near"}, 6, true}, {target_name{"far"}, 6, false}};
  load_table table;
  candidates[1].domain = 2;
  const auto choice = [&](double bytes, failure_domain_id free_domain) {
    return choose_plain_target(table, candidates,
                               {crossing_cost_ms({2, 1}, bytes), 30, free_domain}, 1, start)
        .chosen->name.value;
  };
  for (int call = 0; call < 2; ++call) {
    record_call_sent(table, target_name{"near"}, nullptr, 0, start);
  }
  CHECK(choice(1'000, 2) == "far");
  CHECK(choice(30'000, 2) == "near");
  SUBCASE("a call that is not in the share stays longer") {
    CHECK(choice(1'000, 0) == "near");
  }
}
