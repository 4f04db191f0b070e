#include "core/fleet/removal_times.h"

#include <algorithm>

namespace peridot {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds max_recovery_read_time{1'000};
// Of an outage that lets entries expire, the router's own calls may see a part only.
constexpr int min_outage_divisor = 2;     // of the heartbeat interval
constexpr int removal_grace_divisor = 2;  // of the limit for leaving targets
constexpr int entry_lifetime_factor = 4;  // of the heartbeat interval

}  // namespace

removal_times make_removal_times(milliseconds heartbeat_interval, milliseconds leaving_limit,
                                 milliseconds store_touch) {
  const milliseconds recovery_read_time = std::min(max_recovery_read_time, store_touch);
  return {heartbeat_interval / min_outage_divisor, recovery_read_time,
          leaving_limit / removal_grace_divisor,
          std::min(expiry_grace + recovery_read_time, store_touch),
          heartbeat_interval * entry_lifetime_factor};
}

}  // namespace peridot
