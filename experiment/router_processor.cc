#include "experiment/router_processor.h"

#include <algorithm>
#include <string>

#include "core/base/stable_hash.h"

namespace peridot::experiment {

instant spend(router_processor& processor, duration core_time, instant now) {
  if (processor.cores <= 0) {
    return now;
  }
  processor.busy_until =
      std::max(processor.busy_until, now) + scaled(core_time, 1 / processor.cores);
  return processor.busy_until;
}

duration backlog(const router_processor& processor, instant now) {
  return std::max(duration{0}, processor.busy_until - now);
}

void record_check(balanced_router& router, bool ready) {
  router.missed_checks = ready ? 0 : router.missed_checks + 1;
  router.in_rotation = ready || (router.in_rotation && router.missed_checks < max_missed_checks);
}

std::size_t choose_router(const std::vector<balanced_router>& routers, std::uint64_t client) {
  const auto in_rotation =
      std::count_if(routers.begin(), routers.end(),
                    [](const balanced_router& router) { return router.in_rotation; });
  const bool use_all = static_cast<std::size_t>(in_rotation) * 2 < routers.size();
  std::size_t best = 0;
  std::uint64_t best_hash = 0;
  for (std::size_t index = 0; index < routers.size(); ++index) {
    const std::uint64_t hash = stable_hash(std::to_string(index), client);
    if ((use_all || routers[index].in_rotation) && hash >= best_hash) {
      best = index;
      best_hash = hash;
    }
  }
  return best;
}

}  // namespace peridot::experiment
