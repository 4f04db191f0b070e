#include "core/routing/cold_start_limiter.h"

#include <algorithm>
#include <cmath>

#include "core/base/stable_hash.h"

namespace peridot {
namespace {

constexpr milliseconds window{1'000};
constexpr milliseconds jitter_margin{60};  // sends may arrive closer together than they left

}  // namespace

int cold_sends_per_second(double fleet_sends_per_second, int routers) {
  return static_cast<int>(std::floor(fleet_sends_per_second * cold_rate_fraction /
                                     std::max(routers, min_assumed_routers)));
}

int rendezvous_rank(const target_name& target, const router_address& self,
                    const std::vector<router_address>& peers) {
  const std::uint64_t target_hash = stable_hash(target.value);
  const std::uint64_t own = stable_hash(self.value, target_hash);
  return static_cast<int>(std::count_if(
      peers.begin(), peers.end(),
      [&](const router_address& other) { return stable_hash(other.value, target_hash) > own; }));
}

bool may_send_to_cold_target(const cold_start_limiter& limiter, const target_name& target,
                             double fleet_sends_per_second, const router_view& view, instant now) {
  if (view.uptime < membership_settle_time) {
    return false;
  }
  const int routers = static_cast<int>(view.peers.size()) + 1;
  int each = cold_sends_per_second(fleet_sends_per_second, routers);
  if (each == 0) {
    if (rendezvous_rank(target, view.self, view.peers) >=
        static_cast<int>(fleet_sends_per_second * cold_rate_fraction)) {
      return false;
    }
    each = 1;
  }
  auto found = limiter.last_sent_at.find(target);
  return found == limiter.last_sent_at.end() ||
         now - found->second >= (window + jitter_margin) / each;
}

void record_cold_send(cold_start_limiter& limiter, const target_name& target, instant now) {
  limiter.last_sent_at[target] = now;
}

}  // namespace peridot
