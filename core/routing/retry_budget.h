// Limits the retries that one router sends to one pool.
//
// Each call's first send earns `credit_per_call`; each retry costs a credit of 1. Each
// router earns credit by its own calls alone and starts with a part of the slack, so that
// over all routers the retries stay within ratio * calls + slack in any window,
// without coordination.
//
//   earn_retry_credit(budget, limits);                     // at the first send
//   if (try_spend_retry_credit(budget)) { send again }
//
// Invariant: 0 <= credit <= limits.max_credit. Thread safety: none; one loop.
#pragma once

#include <algorithm>

namespace peridot {

struct retry_limits {
  // Half of the platform's ratio; the rest covers errors of the estimates.
  double credit_per_call = 0.1;
  double max_credit = 4;  // this router's part of the platform's slack
};

struct retry_budget {
  double credit = 0;
  bool initialized = false;  // the first credit was given
};

// The part of the platform's bound that one of `routers` routers may use.
retry_limits retry_limits_for(double ratio, double slack, int routers);

void earn_retry_credit(retry_budget& budget, const retry_limits& limits);
// True if there was credit for one retry, which it takes.
bool try_spend_retry_credit(retry_budget& budget);

}  // namespace peridot
