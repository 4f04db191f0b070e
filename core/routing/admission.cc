#include "core/routing/admission.h"

#include <algorithm>

namespace peridot {
namespace {

// How strictly calls of an organisation at or above its fair share are refused. Where the
// admission level limits organisations, less strictly below the level and more strictly above.
double strictness(const admission_input& input) {
  if (input.level_position <= 0) {
    return input.share_position;
  }
  const double factor = std::clamp(input.level_position * input.level_position,
                                   1 / max_level_factor, max_level_factor);
  return input.share_position * factor;
}

double slack_fraction(const admission_input& input) {
  if (input.is_fallback) {
    return input.share_position < 1 ? under_share_fallback_slack_fraction
                                    : at_share_fallback_slack_fraction;
  }
  return input.share_position < 1
             ? under_share_slack_fraction
             : std::max(min_slack_fraction,
                        at_share_slack_fraction / std::max(1.0, strictness(input)));
}

}  // namespace

duration retry_after(duration expected, duration time_left, double jitter) {
  const duration delay = scaled(std::max<duration>(expected, min_retry_after), 1 + jitter);
  return std::max(duration{0}, std::min(delay, scaled(time_left, max_retry_after_fraction)));
}

admission_decision admit(const admission_input& input) {
  const duration slack = std::max(duration{0}, input.latency_objective - input.processing_time);
  const duration usable_time =
      scaled(input.time_left, usable_time_fraction) - input.processing_time;
  const duration max_queue_wait =
      std::min(scaled(slack, slack_fraction(input)) - input.elapsed, usable_time);
  const bool no_queue_wait = input.queue_wait <= duration{0};
  if (input.queue_wait <= max_queue_wait || (no_queue_wait && usable_time >= duration{0})) {
    return {};
  }
  admission_decision decision;
  decision.admitted = false;
  decision.reason = input.share_position >= 1 ? refusal::over_share : refusal::overloaded;
  decision.retry_after =
      retry_after(input.queue_wait - max_queue_wait, input.time_left, input.jitter);
  return decision;
}

}  // namespace peridot
