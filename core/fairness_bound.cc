// The bound on the gap between two organisations; docs/design/fairness.md
// derives each term.
#include "core/scheduler.h"

namespace peridot {

double fairness_gap_bound(const gap_inputs& inputs) {
  // Calls in flight may yet be corrected by up to their whole cost.
  const double in_flight = inputs.slots * inputs.cost_ceiling / inputs.lowest_weight;
  if (inputs.owners <= 1) {
    return 2 * (in_flight + inputs.reserved_lead);
  }
  // Charges of other owners that this one has not heard of: what the pool serves
  // in one exchange, what is in flight at its two ends, and refunds that totals hide.
  const double seconds = std::chrono::duration<double>(inputs.exchange).count();
  const double served = inputs.service_rate * seconds / inputs.lowest_weight;
  const double unheard = served + 3 * in_flight;
  // Either organisation may lead, and owners may disagree by as much on where
  // the two stood when the later one became backlogged.
  return 4 * (in_flight + inputs.reserved_lead + unheard);
}

}  // namespace peridot
