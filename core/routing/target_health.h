// Passive health checks: the health of each target, by the results of its calls.
//
// There are no active health checks; every call's result counts. A target that cannot be
// reached, breaks off its responses or fails far more often than its pool is avoided for
// a while. This time doubles each time the target is avoided again. Meanwhile the target
// gets a trial call from time to time.
//
//   record_call_result(table, target, call_result::success, pool_failure_rate, now);
//   if (is_avoided(table, target, now)) { prefer other targets }
//
// Invariant: `next_avoid_time` lies between min_avoid_time and max_avoid_time.
// Thread safety: none; for use from one event loop.
#pragma once

#include <unordered_map>

#include "core/base/types.h"

namespace peridot {

inline constexpr milliseconds min_avoid_time{400};  // about a round trip and a check for a restart
inline constexpr milliseconds max_avoid_time{3'000};  // limits the delay until a recovery is seen
inline constexpr double failure_rate_ewma_weight = 0.15;
inline constexpr double max_failure_rate_excess = 0.3;  // above the pool's; avoided beyond

enum class call_result {
  success,
  target_full,          // refused with "not run" because the target is full; not a failure
  error_response,       // a complete response that reports a failure
  incomplete_response,  // the response broke off or never came
  unreachable,          // no connection
};

struct target_health {
  double failure_rate = 0;  // moving average
  int consecutive_failures = 0;
  instant avoid_until{};
  duration next_avoid_time = min_avoid_time;
  instant last_trial_at{};  // last trial call, or start of the avoidance
};

struct health_table {
  std::unordered_map<target_name, target_health> targets;
};

// `pool_failure_rate`: fraction of failed calls among the results of all targets
// of the pool.
void record_call_result(health_table& table, const target_name& target, call_result result,
                        double pool_failure_rate, instant now);

bool is_avoided(const health_table& table, const target_name& target, instant now);

// To be called for an avoided target: true if it may get a trial call now, which is then
// recorded as sent.
bool try_start_trial(health_table& table, const target_name& target, instant now);

double failure_rate(const health_table& table, const target_name& target);

void remove_target_health(health_table& table, const target_name& target);

}  // namespace peridot
