// Holds the surge of one organisation until the peers' reports show it.
//
// Peers' reports are up to a gossip cycle old. In the first second of a surge each router
// therefore still believes what the organisation asked for before, and all routers together
// would admit whatever it sends. Until the reports show the surge, a router admits at most its
// usual part of the tokens that the organisation would be entitled to if it asked without bound:
//
//   double share = unbounded_share(demand, capacity, asked);
//   double part = usual_part(own_asked_before, peers_asked, reporting_peers);
//   update_surge_allowance(allowance, share * part / window_seconds, now);  // a few times a second
//   if (!has_surge_allowance(allowance, now)) refuse
//   spend_surge_allowance(allowance, tokens);                               // of a call that was
//   sent
//
// Load pattern handled: an organisation that enters through many routers sends many times its
// usual; one that enters through few routers, each of which sees all of its calls at once, would
// otherwise be held alone.
//
// Invariants: what a router admits in any span is at most surge_headroom times the rate times
// (the span + surge_burst) and one call more. The usual parts of all routers sum up to less than 2.
// Thread safety: none; plain values for use from one event loop.
#pragma once

#include <cstddef>
#include <vector>

#include "core/base/types.h"

namespace peridot {

// Covers calls that arrive unevenly, so that steady demand near the capacity is not refused.
inline constexpr double surge_headroom = 1.2;
inline constexpr milliseconds surge_burst{300};

struct surge_allowance {
  double tokens_per_second = 0;  // surge_headroom included
  double available = 0;          // tokens, at updated_at; below 0 after a call larger than that
  instant updated_at{};          // instant{}: never
};

// What organisations asked for in a window.
struct demand_profile {
  std::vector<double> asked;       // sorted, smallest first
  std::vector<double> prefix_sum;  // prefix_sum[k]: of the first k
};

demand_profile make_demand_profile(std::vector<double> asked);

// The max-min share of an organisation that asks without bound, of the capacity of a window. It is
// in the profile with `own_asked`. Logarithmic in the number of organisations.
double unbounded_share(const demand_profile& demand, double capacity, double own_asked);

// The part of the organisation's calls that usually arrive at this router: its own part of what
// was asked for before the surge, but at least an even one, in case the organisation moved here.
// 1 if nothing is known about it.
double usual_part(double own_asked_before, double peers_asked, std::size_t reporting_peers);

// Sets the rate at which the allowance grows, without surge_headroom.
void update_surge_allowance(surge_allowance& allowance, double tokens_per_second, instant now);

// True if the allowance is not used up, or has never been updated.
bool has_surge_allowance(const surge_allowance& allowance, instant now);

void spend_surge_allowance(surge_allowance& allowance, double tokens);

}  // namespace peridot
