// The bound on the gap between two organisations; docs/design/fairness.md
// derives each term.
#include "core/scheduler.h"

namespace peridot {

double fairness_gap_bound(const gap_inputs& inputs) {
  // Calls in flight, each of which may yet be corrected by up to its whole cost.
  const double in_flight = inputs.slots * inputs.cost_ceiling / inputs.lowest_weight;
  if (inputs.owners <= 1) {
    return 2 * (in_flight + inputs.reserved_lead);
  }
  const double seconds = std::chrono::duration<double>(inputs.exchange).count();
  const double served = inputs.service_rate * seconds / inputs.lowest_weight;
  // A slot may hold one call whose estimate was wrong when others heard of it,
  // then one that they have not heard of.
  const double lead = served + 2 * in_flight;
  // Owners may disagree by as much on where a newly backlogged organisation
  // started: the lowest tag, as two of them see it.
  return 2 * (lead + inputs.reserved_lead) + lead;
}

}  // namespace peridot
