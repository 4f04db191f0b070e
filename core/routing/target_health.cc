#include "core/routing/target_health.h"

#include <algorithm>

namespace peridot {
namespace {

constexpr int failures_to_avoid = 3;  // in a row, for failures that are answers
constexpr int breaks_to_avoid = 2;    // in a row, for answers that broke off
constexpr milliseconds trial_gap{500};

void avoid(target_health& health, instant now) {
  if (now < health.avoid_until) {
    return;
  }
  health.avoid_until = now + health.next_avoid_time;
  health.next_avoid_time = std::min<duration>(health.next_avoid_time * 2, max_avoid_time);
  health.last_trial_at = now;
}

}  // namespace

void record_call_result(health_table& table, const target_name& target, call_result result,
                        double pool_failure_rate, instant now) {
  target_health& health = table.targets[target];
  const bool failure = result != call_result::success && result != call_result::target_full;
  if (result != call_result::target_full) {
    health.failure_rate = health.failure_rate * (1 - failure_rate_ewma_weight) +
                          (failure ? failure_rate_ewma_weight : 0);
  }
  if (!failure) {
    health.consecutive_failures = 0;
    if (result == call_result::success) {
      health.avoid_until = std::min(health.avoid_until, now);
      if (health.failure_rate < max_failure_rate_excess / 2) {
        health.next_avoid_time = min_avoid_time;
      }
    }
    return;
  }
  ++health.consecutive_failures;
  const int in_row = result == call_result::unreachable           ? 1
                     : result == call_result::incomplete_response ? breaks_to_avoid
                                                                  : failures_to_avoid;
  const bool fails_often = result == call_result::error_response &&
                           health.failure_rate > pool_failure_rate + max_failure_rate_excess;
  if (health.consecutive_failures >= in_row || fails_often) {
    avoid(health, now);
  }
}

bool is_avoided(const health_table& table, const target_name& target, instant now) {
  auto found = table.targets.find(target);
  return found != table.targets.end() && now < found->second.avoid_until;
}

bool try_start_trial(health_table& table, const target_name& target, instant now) {
  target_health& health = table.targets[target];
  if (now - health.last_trial_at < trial_gap) {
    return false;
  }
  health.last_trial_at = now;
  return true;
}

double failure_rate(const health_table& table, const target_name& target) {
  auto found = table.targets.find(target);
  return found == table.targets.end() ? 0 : found->second.failure_rate;
}

void remove_target_health(health_table& table, const target_name& target) {
  table.targets.erase(target);
}

}  // namespace peridot
