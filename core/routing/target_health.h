// What answers tell of each target's health.
//
// No probes: every call is one. A target that cannot be reached, breaks answers off
// or fails far more often than its pool is avoided for a while, which doubles with
// each relapse; one call a while then tries it.
//
//   note_result(table, target, call_result::done, pool_mean, now);
//   if (is_avoided(table, target, now)) { prefer others }
//
// Invariant: `avoid_for` lies between first_avoidance and longest_avoidance.
// Thread safety: none; one loop.
#pragma once

#include <map>

#include "core/base/types.h"

namespace peridot {

inline constexpr milliseconds min_avoid_time{400};    // about one round trip and a restart check
inline constexpr milliseconds max_avoid_time{3'000};  // a target that returns is found this soon
inline constexpr double failure_rate_ewma_weight = 0.15;  // weight of the newest result in the mean
inline constexpr double max_failure_rate_excess = 0.3;    // above the pool's mean: avoided

enum class call_result {
  success,
  target_full,          // a true "not run" of a target that is full: no sign of a fault
  error_response,       // an answer of failure
  incomplete_response,  // the answer broke off or never came
  unreachable,          // no connection
};

struct target_health {
  double failure_rate = 0;
  int consecutive_failures = 0;
  instant avoid_until{};
  duration next_avoid_time = min_avoid_time;
  instant last_trial_at{};
};

struct health_table {
  std::map<target_name, target_health> targets;
};

// `pool_mean`: share of failures among all targets of the pool.
void record_call_result(health_table& table, const target_name& target, call_result result,
                        double pool_failure_rate, instant now);

bool is_avoided(const health_table& table, const target_name& target, instant now);

// True if an avoided target may get one call to try it; marks the trial.
bool try_start_trial(health_table& table, const target_name& target, instant now);

double failure_rate(const health_table& table, const target_name& target);

void remove_target_health(health_table& table, const target_name& target);

}  // namespace peridot
