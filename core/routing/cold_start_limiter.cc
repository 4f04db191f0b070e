#include "core/routing/cold_start_limiter.h"

#include <algorithm>
#include <cmath>

#include "core/base/stable_hash.h"

namespace peridot {
namespace {

constexpr milliseconds rate_window{1'000};
// Sends may arrive closer together than they were sent.
constexpr milliseconds network_jitter_margin{60};

}  // namespace

int cold_sends_per_second(double max_sends_per_second, int routers) {
  return static_cast<int>(std::floor(max_sends_per_second * cold_rate_fraction /
                                     std::max(routers, min_assumed_routers)));
}

int rendezvous_rank(const target_name& target, const router_address& self,
                    const std::vector<router_address>& peers) {
  const std::uint64_t target_hash = stable_hash(target.value);
  const std::uint64_t own_hash = stable_hash(self.value, target_hash);
  return static_cast<int>(std::count_if(
      peers.begin(), peers.end(),
      [&](const router_address& peer) { return stable_hash(peer.value, target_hash) > own_hash; }));
}

bool may_send_to_cold_target(const cold_start_limiter& limiter, const target_name& target,
                             double max_sends_per_second, const router_view& view, instant now) {
  if (view.uptime < membership_settle_time) {
    return false;
  }
  const int routers = static_cast<int>(view.peers.size()) + 1;
  int own_sends_per_second = cold_sends_per_second(max_sends_per_second, routers);
  if (own_sends_per_second == 0) {
    if (rendezvous_rank(target, view.self, view.peers) >=
        static_cast<int>(max_sends_per_second * cold_rate_fraction)) {
      return false;
    }
    own_sends_per_second = 1;
  }
  auto last_sent = limiter.last_sent_at.find(target);
  return last_sent == limiter.last_sent_at.end() ||
         now - last_sent->second >= (rate_window + network_jitter_margin) / own_sends_per_second;
}

void record_cold_send(cold_start_limiter& limiter, const target_name& target, instant now) {
  limiter.last_sent_at[target] = now;
}

}  // namespace peridot
