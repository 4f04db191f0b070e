// Spillover: when calls leave their failure domain, how many, and where to.
//
// Traffic between failure domains is slower and costs money, yet a domain's own targets are
// sometimes too few. Each router decides for the calls that enter through it:
//
//   update_spillover(state, own, others, crossing_ms, view_age, now);  // once a round, by pool
//   double cost_ms = crossing_cost_ms(prices, bytes);                  // of one call
//   failure_domain_id to = spillover_domain(state, stable_hash(call.id));
//
// What a call pays to leave is the way there and back and the price of its bytes, so a small call
// leaves at a shorter wait than a long prompt. A call leaves where that is less than what it gains.
// All routers of a domain see the same late sums, and if each call went by them alone, all would
// leave at once and come back at once. So only a share of the calls goes by that price, each to a
// domain that is drawn; the others stay unless they gain a good part of their latency objective
// more, or their prompt is cached in the other domain.
//
// A domain's wait is the work that its targets have in hand, which grows by what arrives beyond
// their capacity. The share that leaves is proportional to the difference of waits beyond the price
// of a crossing: the time in which it would make up for the difference is twice the age of the sums
// plus min_settle_time, so that it acts before the next sums arrive, and does not swing. Each other
// domain that waits less gets a part by its capacity and its difference, so that several domains
// that send to one of them do not overshoot either. The sums are old: a difference is extended by
// its trend over their age, so that a rising peak is met in time.
//
// Evacuated, leaving and unusable targets count in no wait and no capacity; a domain without usable
// targets lets all calls leave. A router whose sums are older than max_spillover_view_age, alone or
// parted, sends no share.
//
// Load patterns handled: domains whose demand peaks at different moments; a domain that loses
// targets or is evacuated. Bounds: linear in the number of domains. Thread safety: none.
#pragma once

#include <cstdint>
#include <vector>

#include "core/base/types.h"

namespace peridot {

// Older sums say nothing of waits, which change within a second or two.
inline constexpr milliseconds max_spillover_view_age{3'000};
// Calls that were sent count in the waits for about that long, however fresh the sums.
inline constexpr milliseconds min_settle_time{200};
// Trends are averaged over about this time: waits jump with single long prompts.
inline constexpr milliseconds trend_time{600};
// Fraction of the latency objective that a call has to gain to leave, if it is not in the share.
inline constexpr double reluctance_fraction = 0.25;

// Identifies a failure domain within a deployment; 0: none.
using failure_domain_id = std::uint32_t;

failure_domain_id domain_id(const failure_domain_name& domain);

// What an operator pays for calls between failure domains.
struct crossing_prices {
  double call_ms = 2;      // time there and back, beyond the same within a domain
  double kilobyte_ms = 1;  // a kilobyte is worth that much of a caller's time
};

// One pool's usable targets in one failure domain.
struct domain_load {
  failure_domain_id domain = 0;
  double wait_ms = 0;   // mean time until a call makes progress
  double capacity = 0;  // in targets of slowdown 1; 0: there are none
};

// The share of the calls that goes to one other domain.
struct domain_share {
  failure_domain_id domain = 0;
  double share = 0;
};

// By how much longer the own domain waits than another one, as of the last update.
struct wait_difference {
  failure_domain_id domain = 0;
  double ms = 0;
  double trend = 0;  // change of `ms` in a millisecond, moving average
};

struct spillover_state {
  std::vector<domain_share> shares;  // sum up to 1 at most
  std::vector<wait_difference> differences;
  instant updated_at{};
};

// Price for one call that transfers so many bytes in both directions.
double crossing_cost_ms(const crossing_prices& prices, double bytes);

// `crossing_ms`: price of a mean call. `view_age`: of what is known of other routers' calls.
void update_spillover(spillover_state& state, const domain_load& own,
                      const std::vector<domain_load>& others, double crossing_ms, duration view_age,
                      instant now);

// Share of the calls that leave, to any domain.
double total_share(const spillover_state& state);

// The domain that the call may go to at the price of a crossing; 0: it stays. The same for all
// attempts of a call.
failure_domain_id spillover_domain(const spillover_state& state, std::uint64_t call_hash);

}  // namespace peridot
