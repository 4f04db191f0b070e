// Limits the retries that one router sends to one pool.
//
// The platform allows ratio * calls + extra_retries retries in any window of 10 s, over all
// routers. Each call's first send earns `credit_per_call`; each retry costs a credit of 1.
// Each router earns credit by its own calls alone and starts with a part of the extra
// retries, so that the routers keep the limit without coordination.
//
//   earn_retry_credit(budget, limits);                     // at the first send
//   if (try_spend_retry_credit(budget)) { send again }
//
// Invariant: 0 <= credit <= limits.max_credit. Thread safety: none; for use from
// one event loop.
#pragma once

#include <algorithm>

namespace peridot {

struct retry_limits {
  // Below the platform's ratio; the rest covers errors of estimates.
  double credit_per_call = 0.1;
  // This router's part of the platform's extra retries, scaled down likewise; at least 1.
  double max_credit = 4;
};

struct retry_budget {
  double credit = 0;
  bool initialized = false;  // the first credit was given
};

// The limits of one router, such that `routers` routers stay within the platform's bound.
retry_limits retry_limits_for(double ratio, double extra_retries, int routers);

void earn_retry_credit(retry_budget& budget, const retry_limits& limits);
// True if there was credit for one retry, which it takes.
bool try_spend_retry_credit(retry_budget& budget);

}  // namespace peridot
