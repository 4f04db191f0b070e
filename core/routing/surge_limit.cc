#include "core/routing/surge_limit.h"

#include <algorithm>
#include <utility>

namespace peridot {
namespace {

double to_seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

double available_at(const surge_allowance& allowance, instant now) {
  const double max_available = allowance.tokens_per_second * to_seconds(surge_burst);
  return std::min(max_available, allowance.available + allowance.tokens_per_second *
                                                           to_seconds(now - allowance.updated_at));
}

}  // namespace

demand_profile make_demand_profile(std::vector<double> asked) {
  std::sort(asked.begin(), asked.end());
  demand_profile demand;
  demand.prefix_sum.reserve(asked.size() + 1);
  demand.prefix_sum.push_back(0);
  for (double tokens : asked) {
    demand.prefix_sum.push_back(demand.prefix_sum.back() + tokens);
  }
  demand.asked = std::move(asked);
  return demand;
}

double unbounded_share(const demand_profile& demand, double capacity, double own_asked) {
  const std::size_t count = demand.asked.size();
  // Used at a share: the organisation takes all of it, the others at most what they asked for.
  const auto used_at = [&](std::size_t index) {
    const double share = demand.asked[index];
    const double larger = static_cast<double>(count - index - 1);
    return demand.prefix_sum[index + 1] + share * larger + share - std::min(own_asked, share);
  };
  std::size_t satisfied = 0;  // the organisations that get all they asked for
  std::size_t end = count;
  while (satisfied < end) {
    const std::size_t middle = satisfied + (end - satisfied) / 2;
    if (used_at(middle) <= capacity) {
      satisfied = middle + 1;
    } else {
      end = middle;
    }
  }
  const bool own_is_satisfied = satisfied > 0 && own_asked <= demand.asked[satisfied - 1];
  const double others_asked = demand.prefix_sum[satisfied] - (own_is_satisfied ? own_asked : 0);
  const std::size_t sharing = count - satisfied + (own_is_satisfied ? 1 : 0);
  return (capacity - others_asked) / static_cast<double>(std::max<std::size_t>(1, sharing));
}

double usual_part(double own_asked_before, double peers_asked, std::size_t reporting_peers) {
  const double total = own_asked_before + peers_asked;
  if (total <= 0) {
    return 1;
  }
  return std::max(own_asked_before / total, 1 / static_cast<double>(reporting_peers + 1));
}

void update_surge_allowance(surge_allowance& allowance, double tokens_per_second, instant now) {
  const bool first_update = allowance.updated_at == instant{};
  const double available = first_update ? 0 : available_at(allowance, now);
  allowance.tokens_per_second = surge_headroom * tokens_per_second;
  const double max_available = allowance.tokens_per_second * to_seconds(surge_burst);
  allowance.available = first_update ? max_available : std::min(available, max_available);
  allowance.updated_at = now;
}

bool has_surge_allowance(const surge_allowance& allowance, instant now) {
  return allowance.updated_at == instant{} || available_at(allowance, now) > 0;
}

void spend_surge_allowance(surge_allowance& allowance, double tokens) {
  allowance.available -= tokens;
}

}  // namespace peridot
