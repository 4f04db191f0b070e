#include "core/routing/retry_budget.h"

namespace peridot {
namespace {

constexpr double bound_safety_factor = 0.75;  // of the platform's bound that the fleet uses

}  // namespace

retry_limits retry_limits_for(double ratio, double extra_retries, int routers) {
  // One window may hold retries from saved credit and from credit earned in the window, so
  // the saved credit is limited to this router's part of the extra retries, and starts at
  // half of it.
  return {ratio * bound_safety_factor,
          std::max(1.0, extra_retries * bound_safety_factor / std::max(1, routers))};
}

void earn_retry_credit(retry_budget& budget, const retry_limits& limits) {
  if (!budget.initialized) {
    budget.initialized = true;
    budget.credit = limits.max_credit / 2;
  }
  budget.credit = std::min(limits.max_credit, budget.credit + limits.credit_per_call);
}

bool try_spend_retry_credit(retry_budget& budget) {
  if (budget.credit < 1) {
    return false;
  }
  budget.credit -= 1;
  return true;
}

}  // namespace peridot
