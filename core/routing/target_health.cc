#include "core/routing/target_health.h"

#include <algorithm>

namespace peridot {
namespace {

// Consecutive failures after which a target is avoided, by the result of the last one.
constexpr int error_response_threshold = 3;
constexpr int incomplete_response_threshold = 2;
constexpr milliseconds min_trial_interval{500};

void start_avoiding(target_health& health, instant now) {
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
  const bool is_failure = result != call_result::success && result != call_result::target_full;
  if (result != call_result::target_full) {
    health.failure_rate = health.failure_rate * (1 - failure_rate_ewma_weight) +
                          (is_failure ? failure_rate_ewma_weight : 0);
  }
  if (!is_failure) {
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
  const int failure_threshold = result == call_result::unreachable ? 1
                                : result == call_result::incomplete_response
                                    ? incomplete_response_threshold
                                    : error_response_threshold;
  const bool fails_often = result == call_result::error_response &&
                           health.failure_rate > pool_failure_rate + max_failure_rate_excess;
  if (health.consecutive_failures >= failure_threshold || fails_often) {
    start_avoiding(health, now);
  }
}

bool is_avoided(const health_table& table, const target_name& target, instant now) {
  auto found = table.targets.find(target);
  return found != table.targets.end() && now < found->second.avoid_until;
}

bool try_start_trial(health_table& table, const target_name& target, instant now) {
  target_health& health = table.targets[target];
  if (now - health.last_trial_at < min_trial_interval) {
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
