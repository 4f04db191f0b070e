// Bounds the sends beyond the first that one router makes to one pool.
//
// Each first send earns `earned_per_call`; each further send costs one. The sum
// over all routers stays within ratio x calls + slack in any window, because each
// router earns a share of its own calls and starts with a share of the slack:
// no exchange between routers is needed.
//
//   earn(budget, limits);
//   if (try_spend(budget)) { send again }
//
// Invariant: 0 <= credit <= limits.most. Thread safety: none; one loop.
#pragma once

#include <algorithm>

namespace peridot {

struct retry_limits {
  double credit_per_call = 0.1;  // half the platform's ratio; the rest covers estimates
  double max_credit = 4;         // this router's share of the platform's slack
};

struct retry_budget {
  double credit = 0;
  bool initialized = false;
};

// The share of the platform's bound that one of `routers` routers may use.
retry_limits retry_limits_for(double ratio, double slack, int routers);

void earn_retry_credit(retry_budget& budget, const retry_limits& limits);
bool try_spend_retry_credit(retry_budget& budget);

}  // namespace peridot
