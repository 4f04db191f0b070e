#include "core/settings/stop_schedule.h"

#include <algorithm>

namespace peridot {
namespace {

using std::chrono::milliseconds;

// Two checks of the balancer, and what it sent just before the second.
constexpr milliseconds max_close_idle_after{2'600};
constexpr milliseconds max_refuse_after{2'800};
// For the last bytes to be written and the process to end.
constexpr milliseconds max_end_margin{400};
// Fractions of the grace, for a short one. A call that a target still works on in its last sixth is
// not expected to end, so the router waits until then.
constexpr int refuse_percent = 35;
constexpr int close_idle_percent = 33;
constexpr int end_margin_divisor = 8;
constexpr int percent = 100;

}  // namespace

stop_schedule make_stop_schedule(milliseconds grace) {
  return {std::min(max_close_idle_after, grace * close_idle_percent / percent),
          std::min(max_refuse_after, grace * refuse_percent / percent),
          grace - std::min(max_end_margin, grace / end_margin_divisor)};
}

}  // namespace peridot
