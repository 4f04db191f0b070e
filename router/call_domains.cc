// Calls and failure domains: how many calls leave this router's domain, and what that costs them.

#include <algorithm>
#include <cmath>
#include <map>

#include "core/base/stable_hash.h"
#include "net/log.h"
#include "router/call_internal.h"

namespace peridot {
namespace {

// Of a response: one event, with its framing, and one without a prompt.
constexpr double bytes_per_event = 70;
constexpr double plain_response_bytes = 1'000;
// Of a call whose bytes are not known, as the share is for all calls of a pool.
constexpr double mean_call_bytes = 3'000;
// Of a call without a prompt. It takes far less than its latency objective, and leaves for less.
constexpr milliseconds plain_call_time{60};
// The share is drawn apart from other choices by the call's id, such as that of its pool.
constexpr std::uint64_t spillover_seed = 0x5b1f;
// A share is logged when it has changed by more than this.
constexpr double logged_share_change = 0.1;

// Loads by failure domain.
using domain_loads = std::map<failure_domain_id, domain_load>;

void add_target(domain_load& sum, double wait_ms, double capacity) {
  sum.wait_ms = (sum.wait_ms * sum.capacity + wait_ms * capacity) / (sum.capacity + capacity);
  sum.capacity += capacity;
}

// The usable targets of each pool, by failure domain.
std::map<pool_name, domain_loads> sum_loads(const router_state& router, instant now) {
  std::map<pool_name, domain_loads> sums;
  for (const std::pair<const target_name, target_state>& entry : router.store.targets.targets) {
    const target_entry& target = entry.second.entry;
    const pool* target_pool = find_pool(*router.store.config, target.pool);
    if (target_pool == nullptr || !is_usable(router.store.targets, entry.second) ||
        is_cold(entry.second, now) || is_avoided(router.health, entry.first, now)) {
      continue;
    }
    const target_load& load = load_or_empty(router.loads, entry.first);
    const double wait_ms = target_pool->has_engines
                               ? engine_wait_ms(router.loads, load, target.slots, now)
                               : plain_wait_ms(load, target.slots, now);
    const failure_domain_id id = domain_id(target.domain);
    domain_load& sum = sums[target.pool][id];
    sum.domain = id;
    add_target(sum, wait_ms, 1 / usual_slowdown(load.speed));
  }
  return sums;
}

// Of the body and, as far as can be told before, the response.
double expected_bytes(const active_call& call, const pool& target_pool) {
  const double response_bytes = call.request.call_prompt.has_value()
                                    ? call.request.call_prompt->expected_output_tokens /
                                          std::max(1, target_pool.tokens_per_event) *
                                          bytes_per_event
                                    : plain_response_bytes;
  return static_cast<double>(call.exchange->body.size()) + response_bytes;
}

}  // namespace

void update_spillovers(router_state& router, instant now) {
  if (router.store.config == nullptr) {
    return;
  }
  const crossing_prices prices{router.settings.crossing_call_ms,
                               router.settings.crossing_kilobyte_ms};
  const failure_domain_id own_id = domain_id(router.settings.domain);
  for (const std::pair<const pool_name, domain_loads>& entry : sum_loads(router, now)) {
    domain_load own;
    std::vector<domain_load> others;
    for (const std::pair<const failure_domain_id, domain_load>& sum : entry.second) {
      if (sum.first == own_id) {
        own = sum.second;
      } else {
        others.push_back(sum.second);
      }
    }
    pool_state& state = pool_state_of(router, entry.first);
    const duration view_age = fleet_view_age(router, now);
    update_spillover(state.spillover, own, others, crossing_cost_ms(prices, mean_call_bytes),
                     view_age, now);
    const double share = total_share(state.spillover);
    if (std::abs(share - state.logged_share) > logged_share_change) {
      log_line(
          log_part::target, log_level::info,
          "Share of calls that may leave the failure domain changed. pool=" + entry.first.value +
              " share=" + decimal_text(share) + " before=" + decimal_text(state.logged_share) +
              " own_wait_ms=" + decimal_text(own.wait_ms) + " own_capacity=" +
              decimal_text(own.capacity) + " other_domains=" + std::to_string(others.size()) +
              " view_age_ms=" + ms_text(view_age));
      state.logged_share = share;
    }
  }
}

crossing_cost crossing_cost_of(active_call& call, const pool& target_pool) {
  router_state& router = *call.router;
  const crossing_prices prices{router.settings.crossing_call_ms,
                               router.settings.crossing_kilobyte_ms};
  const pool_state& state = pool_state_of(router, target_pool.name);
  call.spillover_to =
      spillover_domain(state.spillover, stable_hash(call.request.id, spillover_seed));
  const milliseconds objective =
      target_pool.has_engines ? target_pool.min_latency_objective : plain_call_time;
  return {crossing_cost_ms(prices, expected_bytes(call, target_pool)),
          reluctance_fraction * to_ms(objective), call.spillover_to};
}

}  // namespace peridot
