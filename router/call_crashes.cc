// Targets that crash while they run a call.

#include <algorithm>

#include "net/log.h"
#include "router/call_internal.h"

namespace peridot {
namespace {

constexpr milliseconds crash_window{1'000};  // between a broken answer and a refused connection
constexpr std::size_t max_broken_runs = 256;

}  // namespace

void note_broken_run(live_call& call) {
  router_state& router = *call.router;
  const instant now = current_time();
  std::erase_if(router.broken_runs,
                [now](const broken_run& run) { return now - run.at > crash_window; });
  if (router.broken_runs.size() < max_broken_runs) {
    router.broken_runs.push_back({call.current->target, call.fingerprint, now});
  }
}

void note_unreachable(router_state& router, const target_name& target) {
  const instant now = current_time();
  auto found = router.store.targets.targets.find(target);
  if (found != router.store.targets.targets.end()) {
    const pool* home = router.store.config == nullptr
                           ? nullptr
                           : find_pool(*router.store.config, found->second.entry.pool);
    if (home != nullptr) {
      mark_cold(found->second, home->cold_time, now);
    }
    forget_address(router.targets, found->second.entry.address);
  }
  std::erase_if(router.broken_runs, [&](const broken_run& run) {
    if (run.target != target || now - run.at > crash_window) {
      return false;
    }
    record_crash(router.suspects, run.fingerprint, now);
    log_line(log_part::target, log_level::warn,
             "Target crashed while it ran a call. target=" + target.value +
                 " fingerprint=" + std::to_string(run.fingerprint) +
                 " crashes=" + std::to_string(crash_count(router.suspects, run.fingerprint)));
    return true;
  });
}

}  // namespace peridot
