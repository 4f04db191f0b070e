#include "core/routing/fleet_rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/base/stable_hash.h"

namespace peridot {
namespace {

constexpr milliseconds cold_rate_window{1'000};
// Sends may arrive closer together than they were sent.
constexpr milliseconds network_jitter_margin{60};

// The rank of this router among all for the target, from 0.
int rendezvous_rank(const fleet_rate_limiter& limiter, const target_name& target) {
  const std::uint64_t target_hash = stable_hash(target.value);
  const std::uint64_t own_hash = stable_hash(limiter.self.value, target_hash);
  return static_cast<int>(std::count_if(
      limiter.peers.begin(), limiter.peers.end(),
      [&](const router_address& peer) { return stable_hash(peer.value, target_hash) > own_hash; }));
}

// `interval` after the router's start at first: the run before it may have sent until then.
send_schedule& schedule_of(fleet_rate_limiter& limiter, const target_name& target,
                           const send_allowance& allowance) {
  auto [found, is_new] = limiter.schedules.try_emplace(target);
  send_schedule& schedule = found->second;
  if (is_new) {
    schedule.next_due = limiter.started_at + allowance.interval;
  }
  if (schedule.view_number != limiter.view_number) {
    schedule.view_number = limiter.view_number;
    schedule.rank = rendezvous_rank(limiter, target);
  }
  return schedule;
}

}  // namespace

void update_senders(fleet_rate_limiter& limiter, std::vector<router_address> peers) {
  std::sort(peers.begin(), peers.end());
  if (peers != limiter.peers) {
    limiter.peers = std::move(peers);
    ++limiter.view_number;
  }
}

send_allowance cold_start_allowance(double max_sends_per_second, int routers) {
  const double usable_rate = max_sends_per_second * cold_rate_fraction;
  const int sends_per_router =
      static_cast<int>(std::floor(usable_rate / std::max(routers, min_assumed_routers)));
  return {sends_per_router > 0 ? routers : static_cast<int>(usable_rate),
          (cold_rate_window + network_jitter_margin) / std::max(1, sends_per_router), 1};
}

send_allowance rate_limit_allowance(double calls_per_second, int routers) {
  const double senders =
      std::min<double>(routers, std::floor(senders_per_rate * calls_per_second) + min_senders);
  return {static_cast<int>(senders), from_ms(1'000 * senders / calls_per_second), rate_limit_burst};
}

send_allowance stricter(const send_allowance& left, const send_allowance& right) {
  return {std::min(left.max_senders, right.max_senders), std::max(left.interval, right.interval),
          std::min(left.burst, right.burst)};
}

int router_count(const fleet_rate_limiter& limiter) {
  return static_cast<int>(limiter.peers.size()) + 1;
}

duration time_until_send(fleet_rate_limiter& limiter, const target_name& target,
                         const send_allowance& allowance, instant now) {
  const duration until_settled = limiter.started_at + membership_settle_time - now;
  if (until_settled > duration{0}) {
    return until_settled;
  }
  const send_schedule& schedule = schedule_of(limiter, target, allowance);
  if (schedule.rank >= allowance.max_senders) {
    return duration::max();
  }
  const duration wait = schedule.next_due - scaled(allowance.interval, allowance.burst - 1) - now;
  return std::max(duration{0}, wait);
}

void record_limited_send(fleet_rate_limiter& limiter, const target_name& target,
                         const send_allowance& allowance, instant now) {
  send_schedule& schedule = schedule_of(limiter, target, allowance);
  schedule.next_due = std::max(schedule.next_due, now) + allowance.interval;
}

}  // namespace peridot
