// The bound on the gap between two organisations; docs/design/fairness.md
// derives each term.
#include "core/scheduler.h"

namespace peridot {

double fairness_gap_bound(const gap_inputs& inputs) {
  // One owner alone: what is in flight may be corrected by a call's whole cost.
  const double in_flight = inputs.slots * inputs.cost_ceiling / inputs.lowest_weight;
  const double lead = inputs.reserved_lead;
  if (inputs.owners <= 1) {
    return 2 * (in_flight + lead);
  }
  // What the other owners charged and this one has not heard of: what the pool
  // serves in one exchange, what is in flight, and refunds that totals hide.
  const double seconds = std::chrono::duration<double>(inputs.exchange).count();
  const double served = inputs.service_rate * seconds / inputs.lowest_weight;
  const double unheard = served + 2 * in_flight;
  // Twice for the two ends of the window, twice more for owners that saw the
  // organisations become backlogged at different moments.
  return 2 * (in_flight + lead) + 4 * unheard;
}

}  // namespace peridot
