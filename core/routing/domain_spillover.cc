#include "core/routing/domain_spillover.h"

#include <algorithm>
#include <utility>

#include "core/base/stable_hash.h"

namespace peridot {
namespace {

constexpr double bytes_per_kilobyte = 1'000;
constexpr std::uint64_t share_steps = 10'000;

// Afterwards one difference for each of `others`, in their order.
void update_differences(spillover_state& state, const domain_load& own,
                        const std::vector<domain_load>& others, instant now) {
  const double elapsed_ms = to_ms(now - state.updated_at);
  const double weight = std::min(1.0, elapsed_ms / to_ms(trend_time));
  std::vector<wait_difference> differences;
  for (const domain_load& other : others) {
    wait_difference difference{other.domain, own.wait_ms - other.wait_ms, 0};
    auto last = std::find_if(
        state.differences.begin(), state.differences.end(),
        [&other](const wait_difference& entry) { return entry.domain == other.domain; });
    if (last != state.differences.end() && elapsed_ms > 0) {
      difference.trend =
          last->trend + weight * ((difference.ms - last->ms) / elapsed_ms - last->trend);
    }
    differences.push_back(difference);
  }
  state.differences = std::move(differences);
  state.updated_at = now;
}

}  // namespace

failure_domain_id domain_id(const failure_domain_name& domain) {
  return static_cast<failure_domain_id>(stable_hash(domain.value)) | 1;  // never 0
}

double crossing_cost_ms(const crossing_prices& prices, double bytes) {
  return prices.call_ms + prices.kilobyte_ms * bytes / bytes_per_kilobyte;
}

void update_spillover(spillover_state& state, const domain_load& own,
                      const std::vector<domain_load>& others, double crossing_ms, duration view_age,
                      instant now) {
  state.shares.clear();
  update_differences(state, own, others, now);
  double capacity = 0;
  for (const domain_load& other : others) {
    capacity += other.capacity;
  }
  const bool must_leave = own.capacity <= 0;
  if (capacity <= 0 || (view_age > max_spillover_view_age && !must_leave)) {
    return;
  }
  const double settle_ms = to_ms(min_settle_time + 2 * view_age);
  for (std::size_t index = 0; index < others.size(); ++index) {
    const domain_load& other = others[index];
    const wait_difference& difference = state.differences[index];
    const double part = other.capacity / capacity;
    const double gain_ms = difference.ms + difference.trend * to_ms(view_age) - crossing_ms;
    const double share = must_leave ? part : part * std::clamp(gain_ms / settle_ms, 0.0, 1.0);
    if (share > 0) {
      state.shares.push_back({other.domain, share});
    }
  }
}

double total_share(const spillover_state& state) {
  double sum = 0;
  for (const domain_share& entry : state.shares) {
    sum += entry.share;
  }
  return sum;
}

failure_domain_id spillover_domain(const spillover_state& state, std::uint64_t call_hash) {
  double position = static_cast<double>(call_hash % share_steps) / static_cast<double>(share_steps);
  for (const domain_share& entry : state.shares) {
    if (position < entry.share) {
      return entry.domain;
    }
    position -= entry.share;
  }
  return 0;
}

}  // namespace peridot
