#include "core/routing/retry_budget.h"

namespace peridot {
namespace {

constexpr double safety = 0.75;  // part of the platform's bound that the fleet plans to use

}  // namespace

retry_limits retry_limits_for(double ratio, double slack, int routers) {
  // The credit that was saved up and the credit earned meanwhile may fall into one
  // window: the saved part is kept to half of the share.
  return {ratio * safety, std::max(1.0, slack * safety / std::max(1, routers))};
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
