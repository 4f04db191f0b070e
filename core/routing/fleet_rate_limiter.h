// Limits the rate of calls that all routers together send to one target, without coordination
// between them: to a cold target, and to one that names a limit (core/fleet/target_statements.h).
//
// Each router may send a part of the rate by itself. Where there are more routers than the rate can
// be divided among, only some of them send to the target, those that rank highest for it by
// rendezvous hashing; other targets have other senders. A router counts every peer that may be
// sending calls, alive or not, so that the parts of routers that are cut off from each other add up
// to the rate too. One that has just started knows too few of its peers to compute its rank, so it
// sends nothing to such targets until its membership view has settled, and then as if it had
// sent a call when it started.
//
//   const send_allowance allowance = rate_limit_allowance(calls_per_second, routers);
//   if (time_until_send(limiter, target, allowance, now) <= duration{0}) {
//     record_limited_send(limiter, target, allowance, now);
//     send
//   }
//
// Invariants: within any time t, one router sends at most burst + t / interval calls.
// All routers with the same view send a cold target at most its usable rate in any second, and a
// target with limit L at most 4 L + 1.5 (0.75 L + 2) calls in any 4 s, less than the 6 L + 5 that
// the platform allows; the difference is for views that differ and for delays.
// Cost: one look-up per call and target; ranks are computed when the fleet has changed.
// Thread safety: none; for use from one event loop.
#pragma once

#include <unordered_map>
#include <vector>

#include "core/base/types.h"

namespace peridot {

// Lower bound of the assumed number of routers for cold targets: a fleet that restarts with
// empty state knows few of its members at first.
inline constexpr int min_assumed_routers = 12;
inline constexpr double cold_rate_fraction = 0.8;  // of the target's limit, for all routers

// Routers among which a limit is divided: this number for each call per second, and a few more.
inline constexpr double senders_per_rate = 0.75;
inline constexpr int min_senders = 2;  // while one is down, the other sends
// Calls that one sender may send at once after a pause. Above 1, so that a call that comes late
// does not delay the next ones.
inline constexpr double rate_limit_burst = 1.5;

// Time from a router's start until it knows all others: one gossip cycle of a fleet of
// a hundred routers, and the contact with the seeds before that.
inline constexpr milliseconds membership_settle_time{2'000};

// What one of the senders of a target may send.
struct send_allowance {
  int max_senders = 0;
  duration interval{};  // between sends, in the long run
  double burst = 1;     // calls at once after a pause
};

// When and as which of its senders a router sends to a target.
struct send_schedule {
  instant next_due{};             // of sends exactly `interval` apart
  std::uint64_t view_number = 0;  // of the fleet for which `rank` was computed; 0: none
  int rank = 0;
};

struct fleet_rate_limiter {
  router_address self;
  std::vector<router_address> peers;  // that may be sending calls
  instant started_at{};               // of this router
  std::uint64_t view_number = 1;      // changes with `peers`
  std::unordered_map<target_name, send_schedule> schedules;
};

// Replaces the peers, in any order.
void update_senders(fleet_rate_limiter& limiter, std::vector<router_address> peers);

// `max_sends_per_second`: what the cold target takes from all routers together.
send_allowance cold_start_allowance(double max_sends_per_second, int routers);

// `calls_per_second`: the limit that the target names, above 0.
send_allowance rate_limit_allowance(double calls_per_second, int routers);

// What both allow.
send_allowance stricter(const send_allowance& left, const send_allowance& right);

// Number of routers that share the rate, this one included.
int router_count(const fleet_rate_limiter& limiter);

// Time until this router may send a call to the target; 0: now. duration::max(): not while the
// fleet stays as it is, because other routers send to the target.
duration time_until_send(fleet_rate_limiter& limiter, const target_name& target,
                         const send_allowance& allowance, instant now);

void record_limited_send(fleet_rate_limiter& limiter, const target_name& target,
                         const send_allowance& allowance, instant now);

}  // namespace peridot
