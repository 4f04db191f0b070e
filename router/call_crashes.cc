// Detects targets that crash while they run a call: the connection breaks during the call,
// and a new connection to the target fails soon afterwards.

#include <algorithm>

#include "net/log.h"
#include "router/call_internal.h"

namespace peridot {
namespace {

// Longest time between an interrupted call and a failed connection attempt that together
// count as a crash.
constexpr milliseconds crash_window{1'000};
constexpr std::size_t max_interrupted_calls = 256;

}  // namespace

void record_interrupted_call(active_call& call) {
  router_state& router = *call.router;
  const instant now = current_time();
  std::erase_if(router.interrupted_calls, [now](const interrupted_call& interrupted) {
    return now - interrupted.interrupted_at > crash_window;
  });
  if (router.interrupted_calls.size() < max_interrupted_calls) {
    router.interrupted_calls.push_back({call.current_attempt->target, call.fingerprint, now});
  }
}

void handle_unreachable_target(router_state& router, const target_name& target) {
  const instant now = current_time();
  auto found = router.store.targets.targets.find(target);
  if (found != router.store.targets.targets.end()) {
    const pool* target_pool = router.store.config == nullptr
                                  ? nullptr
                                  : find_pool(*router.store.config, found->second.entry.pool);
    if (target_pool != nullptr) {
      mark_cold(found->second, target_pool->cold_time, now);
    }
    close_idle_connections_to(router.target_client, found->second.entry.address);
  }
  std::erase_if(router.interrupted_calls, [&](const interrupted_call& interrupted) {
    if (interrupted.target != target || now - interrupted.interrupted_at > crash_window) {
      return false;
    }
    record_crash(router.crash_suspects, interrupted.fingerprint, now);
    log_line(log_part::target, log_level::warn,
             "Target crashed while it ran a call. target=" + target.value +
                 " fingerprint=" + std::to_string(interrupted.fingerprint) + " crashes=" +
                 std::to_string(crash_count(router.crash_suspects, interrupted.fingerprint)));
    return true;
  });
}

}  // namespace peridot
