#include "core/routing/admission.h"

#include <algorithm>

namespace peridot {
namespace {

double slack_part(const admission_input& input) {
  const double position = input.share_position;
  if (input.is_fallback) {
    return position < 1 ? fallback_slack_fraction : over_share_fallback_slack_fraction;
  }
  return position < 1 ? under_share_slack_fraction
                      : std::max(min_slack_fraction, at_share_slack_fraction / position);
}

}  // namespace

duration retry_after(duration expected, duration time_left, double jitter) {
  const duration wanted = scaled(std::max<duration>(expected, min_retry_after), 1 + jitter);
  return std::max(duration{0}, std::min(wanted, scaled(time_left, max_retry_after_fraction)));
}

admission_decision admit(const admission_input& input) {
  const duration slack = std::max(duration{0}, input.latency_objective - input.processing_time);
  const duration usable = scaled(input.time_left, usable_time_fraction) - input.processing_time;
  const duration limit = std::min(scaled(slack, slack_part(input)) - input.elapsed, usable);
  const bool idle = input.queue_wait <= duration{0};
  if (input.queue_wait <= limit || (idle && usable >= duration{0})) {
    return {};
  }
  admission_decision verdict;
  verdict.admitted = false;
  verdict.reason = input.share_position >= 1 ? refusal::over_share : refusal::overloaded;
  verdict.retry_after = retry_after(input.queue_wait - limit, input.time_left, input.jitter);
  return verdict;
}

}  // namespace peridot
