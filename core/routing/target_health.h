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

inline constexpr milliseconds first_avoidance{400};      // about one round trip and a restart check
inline constexpr milliseconds longest_avoidance{3'000};  // a target that returns is found this soon
inline constexpr double memory_of_results = 0.15;        // weight of the newest result in the mean
inline constexpr double failure_margin = 0.3;            // above the pool's mean: avoided

enum class call_result {
  done,
  refused_full,  // a true "not run" of a target that is full: no sign of a fault
  failed,        // an answer of failure
  broken,        // the answer broke off or never came
  unreachable,   // no connection
};

struct target_health {
  double failure_mean = 0;
  int failures_in_row = 0;
  instant avoid_until{};
  duration avoid_for = first_avoidance;
  instant last_trial{};
};

struct health_table {
  std::map<target_name, target_health> targets;
};

// `pool_mean`: share of failures among all targets of the pool.
void note_result(health_table& table, const target_name& target, call_result result,
                 double pool_mean, instant now);

bool is_avoided(const health_table& table, const target_name& target, instant now);

// True if an avoided target may get one call to try it; marks the trial.
bool take_trial(health_table& table, const target_name& target, instant now);

double failure_mean(const health_table& table, const target_name& target);

void forget_target(health_table& table, const target_name& target);

}  // namespace peridot
