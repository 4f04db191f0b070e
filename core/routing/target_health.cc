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
  health.avoid_until = now + health.avoid_for;
  health.avoid_for = std::min<duration>(health.avoid_for * 2, longest_avoidance);
  health.last_trial = now;
}

}  // namespace

void note_result(health_table& table, const target_name& target, call_result result,
                 double pool_mean, instant now) {
  target_health& health = table.targets[target];
  const bool failure = result != call_result::done && result != call_result::refused_full;
  if (result != call_result::refused_full) {
    health.failure_mean =
        health.failure_mean * (1 - memory_of_results) + (failure ? memory_of_results : 0);
  }
  if (!failure) {
    health.failures_in_row = 0;
    if (result == call_result::done) {
      health.avoid_until = std::min(health.avoid_until, now);
      if (health.failure_mean < failure_margin / 2) {
        health.avoid_for = first_avoidance;
      }
    }
    return;
  }
  ++health.failures_in_row;
  const int in_row = result == call_result::unreachable ? 1
                     : result == call_result::broken    ? breaks_to_avoid
                                                        : failures_to_avoid;
  const bool fails_often =
      result == call_result::failed && health.failure_mean > pool_mean + failure_margin;
  if (health.failures_in_row >= in_row || fails_often) {
    avoid(health, now);
  }
}

bool is_avoided(const health_table& table, const target_name& target, instant now) {
  auto found = table.targets.find(target);
  return found != table.targets.end() && now < found->second.avoid_until;
}

bool take_trial(health_table& table, const target_name& target, instant now) {
  target_health& health = table.targets[target];
  if (now - health.last_trial < trial_gap) {
    return false;
  }
  health.last_trial = now;
  return true;
}

double failure_mean(const health_table& table, const target_name& target) {
  auto found = table.targets.find(target);
  return found == table.targets.end() ? 0 : found->second.failure_mean;
}

void forget_target(health_table& table, const target_name& target) {
  table.targets.erase(target);
}

}  // namespace peridot
