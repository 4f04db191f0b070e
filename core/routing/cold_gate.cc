#include "core/routing/cold_gate.h"

#include <algorithm>
#include <cmath>

#include "core/base/stable_hash.h"

namespace peridot {
namespace {

constexpr milliseconds window{1'000};
constexpr milliseconds jitter_margin{60};  // sends may arrive closer together than they left

}  // namespace

int sends_per_second(double fleet_limit, int routers) {
  return static_cast<int>(
      std::floor(fleet_limit * cold_safety / std::max(routers, least_routers_assumed)));
}

int rank_for(const target_name& target, const router_address& self,
             const std::vector<router_address>& others) {
  const std::uint64_t target_hash = stable_hash(target.value);
  const std::uint64_t own = stable_hash(self.value, target_hash);
  return static_cast<int>(std::count_if(
      others.begin(), others.end(),
      [&](const router_address& other) { return stable_hash(other.value, target_hash) > own; }));
}

bool may_send_cold(const cold_gate& gate, const target_name& target, double fleet_limit,
                   const cold_view& view, instant now) {
  if (view.running < view_settles) {
    return false;
  }
  const int routers = static_cast<int>(view.others.size()) + 1;
  int each = sends_per_second(fleet_limit, routers);
  if (each == 0) {
    if (rank_for(target, view.self, view.others) >= static_cast<int>(fleet_limit * cold_safety)) {
      return false;
    }
    each = 1;
  }
  auto found = gate.last_send.find(target);
  return found == gate.last_send.end() || now - found->second >= (window + jitter_margin) / each;
}

void note_cold_send(cold_gate& gate, const target_name& target, instant now) {
  gate.last_send[target] = now;
}

}  // namespace peridot
