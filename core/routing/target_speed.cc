#include "core/routing/target_speed.h"

#include <algorithm>
#include <cmath>

namespace peridot {

void record_slowdown(target_speed& speed, double slowdown, instant stated_at) {
  const double value = std::clamp(slowdown, min_slowdown, max_slowdown);
  if (speed.stated_at == instant{}) {
    speed = {value, stated_at, value, value, stated_at};
    return;
  }
  if (stated_at - speed.period_started_at >= usual_slowdown_period) {
    const bool is_next = stated_at - speed.period_started_at < 2 * duration{usual_slowdown_period};
    speed.last_period_least = is_next ? speed.period_least : value;
    speed.period_least = value;
    speed.period_started_at = stated_at;
  }
  speed.period_least = std::min(speed.period_least, value);
  if (stated_at >= speed.stated_at) {
    speed.latest = value;
    speed.stated_at = stated_at;
  }
}

double usual_slowdown(const target_speed& speed) {
  return std::min(speed.period_least, speed.last_period_least);
}

double estimated_slowdown(const target_speed& speed, instant now) {
  if (speed.stated_at == instant{}) {
    return 1;
  }
  const double usual = usual_slowdown(speed);
  const double age = std::max(0.0, to_ms(now - speed.stated_at));
  return usual + (speed.latest - usual) * std::exp(-age / to_ms(slowdown_decay_time));
}

}  // namespace peridot
