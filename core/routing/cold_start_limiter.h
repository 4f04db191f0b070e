// Bounds what cold targets get from all routers together, without agreement.
//
// Each router spaces its own sends to a cold target so that, if every router that
// may exist did the same, any window of one second would hold no more than the
// target bears. Where there are more routers than sends, only those ranked first
// for the target by rendezvous send at all. A router that has just started knows too
// few of the others to rank itself: it sends none until its view has settled.
//
//   const cold_view view{self, others, now - started};
//   if (may_send_cold(gate, target, limit, view, now)) { note_cold_send(...); send }
//
// Invariant: sends of one router in any second <= sends_per_second(limit, routers).
// Thread safety: none; one loop.
#pragma once

#include <map>
#include <vector>

#include "core/base/types.h"

namespace peridot {

// Routers assumed to exist while fewer are known: a fleet that has just started
// empty has heard of few.
inline constexpr int min_assumed_routers = 12;
inline constexpr double cold_rate_fraction = 0.8;  // part of the bound that is planned for

// From a router's start until it has been told of all others: a cycle of gossip of a
// hundred routers, and the way to the seeds before.
inline constexpr milliseconds membership_settle_time{2'000};

// What a router knows of those that may send as well.
struct router_view {
  router_address self;
  std::vector<router_address> peers;
  duration uptime{};  // since the router started
};

struct cold_start_limiter {
  std::map<target_name, instant> last_sent_at;
};

// Most sends of one router in one second; 0: rank decides.
int cold_sends_per_second(double fleet_sends_per_second, int routers);

// The rank of `self` among the routers for this target, 0 first.
int rendezvous_rank(const target_name& target, const router_address& self,
                    const std::vector<router_address>& peers);

// `fleet_limit`: sends a second that the target bears from all routers.
bool may_send_to_cold_target(const cold_start_limiter& limiter, const target_name& target,
                             double fleet_sends_per_second, const router_view& view, instant now);
void record_cold_send(cold_start_limiter& limiter, const target_name& target, instant now);

}  // namespace peridot
