#include "core/admission.h"

#include <algorithm>

namespace peridot {
namespace {

duration scaled(duration time, double factor) {
  return std::chrono::duration_cast<duration>(time * factor);
}

double aim_part(double position) {
  return position < 1 ? aim_part_below : std::max(least_aim_part, aim_part_at / position);
}

}  // namespace

duration retry_after(duration expected, duration left, double jitter) {
  const duration wanted = scaled(std::max<duration>(expected, least_retry_after), 1 + jitter);
  return std::max(duration{0}, std::min(wanted, scaled(left, most_retry_part)));
}

admission admit(const admission_input& input) {
  const duration first_token = input.waited + input.predicted;
  const duration limit = std::min(scaled(input.aim, aim_part(input.share_position)),
                                  scaled(input.left + input.waited, usable_part));
  if (first_token <= limit) {
    return {};
  }
  admission verdict;
  verdict.admitted = false;
  verdict.why = input.share_position >= 1 ? refusal::over_share : refusal::overloaded;
  verdict.retry_after = retry_after(first_token - limit, input.left, input.jitter);
  return verdict;
}

}  // namespace peridot
