#include "core/routing/admission.h"

#include <algorithm>

namespace peridot {
namespace {

double slack_part(const admission_input& input) {
  const double position = input.share_position;
  if (input.spilled) {
    return position < 1 ? spilled_slack_part : idle_slack_part;
  }
  return position < 1 ? slack_part_below : std::max(least_slack_part, slack_part_at / position);
}

}  // namespace

duration retry_after(duration expected, duration left, double jitter) {
  const duration wanted = scaled(std::max<duration>(expected, least_retry_after), 1 + jitter);
  return std::max(duration{0}, std::min(wanted, scaled(left, most_retry_part)));
}

admission admit(const admission_input& input) {
  const duration slack = std::max(duration{0}, input.aim - input.own);
  const duration usable = scaled(input.left, usable_part) - input.own;
  const duration limit = std::min(scaled(slack, slack_part(input)) - input.waited, usable);
  const bool idle = input.queued <= duration{0};
  if (input.queued <= limit || (idle && usable >= duration{0})) {
    return {};
  }
  admission verdict;
  verdict.admitted = false;
  verdict.why = input.share_position >= 1 ? refusal::over_share : refusal::overloaded;
  verdict.retry_after = retry_after(input.queued - limit, input.left, input.jitter);
  return verdict;
}

}  // namespace peridot
