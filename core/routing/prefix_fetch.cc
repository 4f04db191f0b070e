#include "core/routing/prefix_fetch.h"

#include <algorithm>

#include "core/routing/placement.h"

namespace peridot {
namespace {

double link_wait_ms(const target_load& load, instant now) {
  return std::max(0.0, to_ms(load.link_free_at - now));
}

}  // namespace

std::vector<fetch_source> find_fetch_sources(const load_table& table,
                                             const std::vector<candidate>& candidates,
                                             const fetch_input& call) {
  std::vector<fetch_source> sources;
  if (call.transfer_ms_per_token <= 0 || candidates.empty()) {
    return sources;
  }
  double most_tokens = min_fetch_tokens;
  const std::size_t offset = call.seed % candidates.size();
  for (std::size_t count = 0; count < candidates.size(); ++count) {
    const candidate& engine = candidates[(offset + count) % candidates.size()];
    const target_load& load = load_or_empty(table, engine.name);
    const double tokens = prefilled_prompt_tokens(load, *call.call_prompt, call.kv_capacity_tokens);
    if (tokens < most_tokens) {
      continue;
    }
    if (tokens > most_tokens) {
      sources.clear();
      most_tokens = tokens;
    }
    if (sources.size() < max_fetch_sources) {
      sources.push_back({&engine, tokens, link_wait_ms(load, call.now)});
    }
  }
  return sources;
}

prefix_fetch plan_fetch(const load_table& table, const std::vector<fetch_source>& sources,
                        const candidate& destination, double cached_tokens,
                        const fetch_input& call) {
  prefix_fetch best;
  if (sources.empty()) {
    return best;
  }
  const target_load& load = load_or_empty(table, destination.name);
  const double prefill_ms_per_token = 1 / estimated_prefill_tokens_per_ms(table, load, call.now);
  const double own_wait_ms = link_wait_ms(load, call.now);
  double best_saved_ms = 0;
  for (const fetch_source& source : sources) {
    const double tokens = source.tokens - cached_tokens;
    if (tokens < min_fetch_tokens || source.engine->name == destination.name ||
        source.engine->build != destination.build) {
      continue;
    }
    const double domain_factor =
        source.engine->domain == destination.domain ? 1 : cross_domain_transfer_factor;
    const double transfer_ms = tokens * call.transfer_ms_per_token * domain_factor;
    const double fetch_ms = fetch_setup_ms + std::max(own_wait_ms, source.wait_ms) + transfer_ms;
    const double saved_ms = table.fetch_found_fraction * tokens * prefill_ms_per_token - fetch_ms;
    if (saved_ms > best_saved_ms) {
      best_saved_ms = saved_ms;
      best = {source.engine->name, tokens, fetch_ms, transfer_ms};
    }
  }
  return best;
}

}  // namespace peridot
