// Limits the rate of calls that all routers together send to a cold target, without
// coordination between them. A target is cold for some time after its start.
//
// Each router spaces its own sends to a cold target such that, if all routers did the
// same, no window of one second would hold more sends than the target can take. If
// there are more routers than sends per second, only that many routers send to it, those
// that rank highest for the target by rendezvous hashing. A router that has just started
// knows too few of its peers to compute its rank, so it sends nothing to cold targets until
// its membership view has settled.
//
//   const router_view view{self, peers, now - started_at};
//   if (may_send_to_cold_target(limiter, target, max_sends_per_second, view, now)) {
//     record_cold_send(limiter, target, now);
//     send
//   }
//
// Invariant: in any second, one router sends a cold target at most
// cold_sends_per_second(max_sends_per_second, routers) calls, or one if that is 0.
// Thread safety: none; for use from one event loop.
#pragma once

#include <map>
#include <vector>

#include "core/base/types.h"

namespace peridot {

// Lower bound of the assumed number of routers: a fleet that restarts with empty state
// knows few of its members at first.
inline constexpr int min_assumed_routers = 12;
inline constexpr double cold_rate_fraction = 0.8;  // of the target's limit, for all routers

// Time from a router's start until it knows all others: one gossip cycle of a fleet of
// a hundred routers, and the contact with the seeds before that.
inline constexpr milliseconds membership_settle_time{2'000};

// The members of the fleet as one router knows them.
struct router_view {
  router_address self;
  std::vector<router_address> peers;
  duration uptime{};  // of this router
};

struct cold_start_limiter {
  std::map<target_name, instant> last_sent_at;
};

// Sends per second that each router may make to one cold target. 0: the usable
// part of the limit is below one send per second and router, so that the rank decides which routers
// send.
int cold_sends_per_second(double max_sends_per_second, int routers);

// The rank of `self` among the routers for this target, from 0.
int rendezvous_rank(const target_name& target, const router_address& self,
                    const std::vector<router_address>& peers);

// `max_sends_per_second`: the target's limit for all routers together.
bool may_send_to_cold_target(const cold_start_limiter& limiter, const target_name& target,
                             double max_sends_per_second, const router_view& view, instant now);
void record_cold_send(cold_start_limiter& limiter, const target_name& target, instant now);

}  // namespace peridot
