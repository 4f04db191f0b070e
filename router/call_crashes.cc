// Targets that crash while they run a call.

#include <algorithm>

#include "net/log.h"
#include "router/call_internal.h"

namespace peridot {
namespace {

constexpr milliseconds crash_window{1'000};  // between a broken answer and a refused connection
constexpr std::size_t max_broken_runs = 256;

}  // namespace

void record_interrupted_call(active_call& call) {
  router_state& router = *call.router;
  const instant now = current_time();
  std::erase_if(router.interrupted_calls, [now](const interrupted_call& run) {
    return now - run.interrupted_at > crash_window;
  });
  if (router.interrupted_calls.size() < max_broken_runs) {
    router.interrupted_calls.push_back({call.current_attempt->target, call.fingerprint, now});
  }
}

void handle_unreachable_target(router_state& router, const target_name& target) {
  const instant now = current_time();
  auto found = router.store.targets.targets.find(target);
  if (found != router.store.targets.targets.end()) {
    const pool* home = router.store.config == nullptr
                           ? nullptr
                           : find_pool(*router.store.config, found->second.entry.pool);
    if (home != nullptr) {
      mark_cold(found->second, home->cold_time, now);
    }
    close_idle_connections_to(router.target_client, found->second.entry.address);
  }
  std::erase_if(router.interrupted_calls, [&](const interrupted_call& run) {
    if (run.target != target || now - run.interrupted_at > crash_window) {
      return false;
    }
    record_crash(router.crash_suspects, run.fingerprint, now);
    log_line(log_part::target, log_level::warn,
             "Target crashed while it ran a call. target=" + target.value +
                 " fingerprint=" + std::to_string(run.fingerprint) +
                 " crashes=" + std::to_string(crash_count(router.crash_suspects, run.fingerprint)));
    return true;
  });
}

}  // namespace peridot
