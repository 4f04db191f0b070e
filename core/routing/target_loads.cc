#include "core/routing/target_loads.h"

#include <algorithm>
#include <utility>

#include "core/base/check.h"

namespace peridot {
namespace {

// Limits, defaults and moving-average weights of the measured values.
constexpr double output_token_ewma_weight = 0.03;
constexpr double max_output_token_ms = 500;
constexpr double default_output_token_ms = 10;
constexpr double overhead_ewma_weight = 0.05;
constexpr double prefill_rate_ewma_weight = 0.08;
constexpr double min_rate_sample_tokens = 2'500;  // with fewer, the overhead is measured instead
constexpr double max_first_token_overhead_ms = 400;
constexpr double min_prefill_tokens_per_ms = 3;
constexpr double max_prefill_tokens_per_ms = 400;
constexpr double fetch_found_ewma_weight = 0.02;
// A fetch that saves less is not told from a prefill: first tokens vary by some steps.
constexpr double min_told_saving_ms = 50;
constexpr double service_time_ewma_weight = 0.1;
constexpr double default_service_ms = 60;
constexpr std::size_t max_tracked_prefixes = 20'000;  // of one engine, about 0.6 MB
constexpr std::size_t max_reported_prefixes = 64;     // of one engine, in one gossip cycle

std::uint32_t short_hash(const prompt_prefix& prefix) {
  return static_cast<std::uint32_t>(prefix.hash);
}

void record_prefix_use(target_load& load, std::uint32_t prefix) {
  if (load.prefix_last_used.size() >= max_tracked_prefixes) {
    // Drops the prefixes that were last used in the first half of the clock's range.
    const double min_last_used = load.prefilled_tokens / 2;
    std::erase_if(load.prefix_last_used,
                  [min_last_used](const std::pair<const std::uint32_t, double>& entry) {
                    return entry.second < min_last_used;
                  });
    if (load.prefix_last_used.size() >= max_tracked_prefixes) {
      load.prefix_last_used.clear();
    }
  }
  load.prefix_last_used[prefix] = load.prefilled_tokens;
}

void add_load(peer_load& sum, const peer_load& load, int sign) {
  sum.running_calls += sign * load.running_calls;
  sum.pending_prefill_tokens += sign * load.pending_prefill_tokens;
  sum.kv_used_tokens += sign * load.kv_used_tokens;
}

// Measured, or a default, at slowdown 1.
double usual_prefill_tokens_per_ms(const load_table& table, const target_load& load) {
  if (load.prefill_tokens_per_ms > 0) {
    return load.prefill_tokens_per_ms;
  }
  return table.mean_prefill_tokens_per_ms > 0 ? table.mean_prefill_tokens_per_ms
                                              : default_prefill_tokens_per_ms;
}

double usual_output_token_ms(const load_table& table, const target_load& load) {
  if (load.output_token_ms > 0) {
    return load.output_token_ms;
  }
  return table.mean_output_token_ms > 0 ? table.mean_output_token_ms : default_output_token_ms;
}

// Tokens of the longest prefix that is cached and, if `prefilled`, does not wait for its prefill.
double count_cached_tokens(const target_load& load, const prompt& call_prompt,
                           double kv_capacity_tokens, bool prefilled) {
  const double oldest_cached =
      load.prefilled_tokens - estimated_prefix_cache_tokens(load, kv_capacity_tokens);
  double cached_tokens = 0;
  for (const prompt_prefix& prefix : call_prompt.prefixes) {
    auto found = load.prefix_last_used.find(short_hash(prefix));
    if (found == load.prefix_last_used.end() || found->second < oldest_cached ||
        (prefilled && load.pending_prefixes.contains(found->first))) {
      break;
    }
    cached_tokens = prefix.tokens;
  }
  return std::min(cached_tokens, call_prompt.prompt_tokens);
}

// The call no longer waits for its prefixes.
void drop_pending_prefixes(target_load& load, call_load& added) {
  for (const std::uint32_t prefix : added.pending_prefixes) {
    auto found = load.pending_prefixes.find(prefix);
    if (found != load.pending_prefixes.end() && --found->second <= 0) {
      load.pending_prefixes.erase(found);
    }
  }
  added.pending_prefixes.clear();
}

// Occupies the links of both engines for the transfer.
void record_transfer(load_table& table, target_load& destination, const prefix_fetch& fetch,
                     instant now) {
  auto source = table.targets.find(fetch.source);
  if (source == table.targets.end()) {
    return;
  }
  const instant free_at = std::max({now, destination.link_free_at, source->second.link_free_at}) +
                          from_ms(fetch.transfer_ms);
  destination.link_free_at = free_at;
  source->second.link_free_at = free_at;
}

// Whether the first token came as soon as after a fetch, rather than after another prefill. Unset
// if that cannot be told.
std::optional<bool> record_fetch_end(load_table& table, const target_load& load,
                                     const call_load& added, instant now) {
  const double elapsed_ms = to_ms(now - added.sent_at);
  const double rate = estimated_prefill_tokens_per_ms(table, load, now);
  const double expected_ms = estimated_first_token_overhead_ms(load) + added.fetch_ms +
                             added.pending_prefill_tokens_at_send / rate;
  const double saved_ms = std::max(0.0, added.fetched_tokens / rate - added.fetch_ms);
  if (saved_ms < min_told_saving_ms) {
    return std::nullopt;
  }
  const bool found = elapsed_ms < expected_ms + saved_ms / 2;
  table.fetch_found_fraction =
      std::max(min_fetch_found_fraction,
               table.fetch_found_fraction +
                   fetch_found_ewma_weight * ((found ? 1.0 : 0.0) - table.fetch_found_fraction));
  return found;
}

}  // namespace

int total_running_calls(const target_load& load) {
  return load.running_calls + load.peer_total.running_calls;
}

double total_pending_prefill_tokens(const target_load& load) {
  return load.pending_prefill_tokens + load.peer_total.pending_prefill_tokens;
}

double total_kv_used_tokens(const target_load& load) {
  return load.kv_used_tokens + load.peer_total.kv_used_tokens;
}

double estimated_prefill_tokens_per_ms(const load_table& table, const target_load& load,
                                       instant now) {
  return usual_prefill_tokens_per_ms(table, load) / estimated_slowdown(load.speed, now);
}

double estimated_prefix_cache_tokens(const target_load& load, double kv_capacity_tokens) {
  const double running_tokens = total_kv_used_tokens(load);
  return prefix_cache_safety_factor * std::max(kv_capacity_tokens * min_prefix_cache_fraction,
                                               kv_capacity_tokens - running_tokens);
}

double cached_prompt_tokens(const target_load& load, const prompt& call_prompt,
                            double kv_capacity_tokens) {
  return count_cached_tokens(load, call_prompt, kv_capacity_tokens, false);
}

double prefilled_prompt_tokens(const target_load& load, const prompt& call_prompt,
                               double kv_capacity_tokens) {
  return count_cached_tokens(load, call_prompt, kv_capacity_tokens, true);
}

double estimated_output_token_ms(const load_table& table, const target_load& load, instant now) {
  return usual_output_token_ms(table, load) * estimated_slowdown(load.speed, now);
}

double estimated_first_token_overhead_ms(const target_load& load) {
  return load.first_token_overhead_ms > 0 ? load.first_token_overhead_ms
                                          : min_first_token_overhead_ms;
}

const target_load& load_or_empty(const load_table& table, const target_name& name) {
  static const target_load empty;
  auto found = table.targets.find(name);
  return found == table.targets.end() ? empty : found->second;
}

double estimated_service_ms(const target_load& load, instant now) {
  return (load.service_ms > 0 ? load.service_ms : default_service_ms) *
         estimated_slowdown(load.speed, now);
}

call_load record_call_sent(load_table& table, const target_name& target, const prompt* call_prompt,
                           double kv_capacity_tokens, instant now, const prefix_fetch& fetch) {
  target_load& load = table.targets[target];
  call_load added;
  added.sent_at = now;
  ++load.running_calls;
  if (call_prompt == nullptr) {
    return added;
  }
  const double cached_tokens = cached_prompt_tokens(load, *call_prompt, kv_capacity_tokens);
  const double uncached_tokens = std::max(0.0, call_prompt->prompt_tokens - cached_tokens);
  added.fetched_tokens = std::min(fetch.tokens, uncached_tokens);
  added.fetch_ms = fetch.ms;
  added.prefill_tokens = uncached_tokens - added.fetched_tokens;
  added.kv_used_tokens =
      uncached_tokens + call_prompt->expected_output_tokens;  // cached prefixes are shared
  added.pending_prefill_tokens_at_send = total_pending_prefill_tokens(load) + added.prefill_tokens;
  added.awaiting_first_token = true;
  load.pending_prefill_tokens += added.prefill_tokens;
  load.kv_used_tokens += added.kv_used_tokens;
  load.prefilled_tokens += uncached_tokens;
  load.next_prefill_report.tokens += uncached_tokens;
  if (added.fetched_tokens > 0) {
    record_transfer(table, load, fetch, now);
  }
  for (const prompt_prefix& prefix : call_prompt->prefixes) {
    if (prefix.tokens > cached_tokens) {
      ++load.pending_prefixes[short_hash(prefix)];
      added.pending_prefixes.push_back(short_hash(prefix));
    }
  }
  for (const prompt_prefix& prefix : call_prompt->prefixes) {
    record_prefix_use(load, short_hash(prefix));
    if (&prefix != &call_prompt->prefixes.back() &&
        load.next_prefill_report.prefixes.size() < max_reported_prefixes) {
      load.next_prefill_report.prefixes.push_back(short_hash(prefix));
    }
  }
  return added;
}

std::optional<bool> record_first_token(load_table& table, const target_name& target,
                                       call_load& added, instant now) {
  auto found = table.targets.find(target);
  if (!added.awaiting_first_token || found == table.targets.end()) {
    return std::nullopt;
  }
  added.awaiting_first_token = false;
  target_load& load = found->second;
  load.pending_prefill_tokens = std::max(0.0, load.pending_prefill_tokens - added.prefill_tokens);
  drop_pending_prefixes(load, added);
  if (added.fetched_tokens > 0) {
    return record_fetch_end(table, load, added, now);
  }
  if (added.pending_prefill_tokens_at_send < min_rate_sample_tokens) {
    const double sample =
        to_ms(now - added.sent_at) -
        added.pending_prefill_tokens_at_send / estimated_prefill_tokens_per_ms(table, load, now);
    load.first_token_overhead_ms =
        estimated_first_token_overhead_ms(load) +
        overhead_ewma_weight *
            (std::clamp(sample, min_first_token_overhead_ms, max_first_token_overhead_ms) -
             estimated_first_token_overhead_ms(load));
    return std::nullopt;
  }
  const double prefill_ms = to_ms(now - added.sent_at) - estimated_first_token_overhead_ms(load);
  if (prefill_ms <= 1) {  // ms; no usable sample
    return std::nullopt;
  }
  const double sample = std::clamp(
      added.pending_prefill_tokens_at_send / prefill_ms * estimated_slowdown(load.speed, now),
      min_prefill_tokens_per_ms, max_prefill_tokens_per_ms);
  const double previous = usual_prefill_tokens_per_ms(table, load);
  // One sample counts as at most a threefold change of the rate.
  const double bounded_sample = std::clamp(sample, previous / 3, previous * 3);
  load.prefill_tokens_per_ms = previous + prefill_rate_ewma_weight * (bounded_sample - previous);
  table.mean_prefill_tokens_per_ms =
      table.mean_prefill_tokens_per_ms <= 0
          ? load.prefill_tokens_per_ms
          : table.mean_prefill_tokens_per_ms +
                prefill_rate_ewma_weight *
                    (load.prefill_tokens_per_ms - table.mean_prefill_tokens_per_ms);
  return std::nullopt;
}

void record_event_gap(load_table& table, const target_name& target, duration gap, int tokens,
                      instant now) {
  auto found = table.targets.find(target);
  if (found == table.targets.end()) {
    return;
  }
  target_load& load = found->second;
  const double sample = std::min(max_output_token_ms, to_ms(gap) / std::max(1, tokens)) /
                        estimated_slowdown(load.speed, now);
  const double previous = usual_output_token_ms(table, load);
  load.output_token_ms = previous + output_token_ewma_weight * (sample - previous);
  table.mean_output_token_ms =
      table.mean_output_token_ms <= 0
          ? load.output_token_ms
          : table.mean_output_token_ms +
                output_token_ewma_weight * (load.output_token_ms - table.mean_output_token_ms);
}

void record_call_ended(load_table& table, const target_name& target, call_load& added) {
  auto found = table.targets.find(target);
  if (found == table.targets.end()) {
    return;
  }
  target_load& load = found->second;
  load.running_calls = std::max(0, load.running_calls - 1);
  drop_pending_prefixes(load, added);
  if (added.awaiting_first_token) {
    load.pending_prefill_tokens = std::max(0.0, load.pending_prefill_tokens - added.prefill_tokens);
    added.awaiting_first_token = false;
  }
  load.kv_used_tokens = std::max(0.0, load.kv_used_tokens - added.kv_used_tokens);
}

void record_service_time(load_table& table, const target_name& target, duration time, instant now) {
  target_load& load = table.targets[target];
  const double sample = to_ms(time) / estimated_slowdown(load.speed, now);
  load.service_ms = load.service_ms <= 0
                        ? sample
                        : load.service_ms + service_time_ewma_weight * (sample - load.service_ms);
}

void rotate_prefill_reports(load_table& table) {
  for (std::pair<const target_name, target_load>& entry : table.targets) {
    entry.second.current_prefill_report = std::exchange(entry.second.next_prefill_report, {});
  }
}

void update_peer_load(load_table& table, const router_address& peer, const target_name& target,
                      const peer_load& reported, const std::vector<std::uint32_t>& prefixes,
                      double prefilled_tokens) {
  target_load& load = table.targets[target];
  peer_load& last_reported = load.peer_loads[peer];
  add_load(load.peer_total, last_reported, -1);
  add_load(load.peer_total, reported, 1);
  last_reported = reported;
  load.prefilled_tokens += prefilled_tokens;
  for (std::uint32_t prefix : prefixes) {
    record_prefix_use(load, prefix);
  }
}

void complete_peer_report(load_table& table, const router_address& peer,
                          reported_targets reported) {
  std::sort(reported.targets.begin(), reported.targets.end());
  reported_targets& last = table.peer_reports[peer];
  for (const target_name& target : last.targets) {
    auto found = table.targets.find(target);
    const bool still_reported =
        std::binary_search(reported.targets.begin(), reported.targets.end(), target);
    if (still_reported || found == table.targets.end()) {
      continue;
    }
    auto load = found->second.peer_loads.find(peer);
    if (load != found->second.peer_loads.end()) {
      add_load(found->second.peer_total, load->second, -1);
      found->second.peer_loads.erase(load);
    }
  }
  last = std::move(reported);
}

void expire_peer_loads(load_table& table, instant now) {
  std::erase_if(table.peer_reports,
                [now](const std::pair<const router_address, reported_targets>& entry) {
                  return now > entry.second.valid_until;
                });
  for (std::pair<const target_name, target_load>& entry : table.targets) {
    target_load& load = entry.second;
    std::erase_if(load.peer_loads,
                  [&load, now](const std::pair<const router_address, peer_load>& peer) {
                    const bool expired = now > peer.second.valid_until;
                    if (expired) {
                      add_load(load.peer_total, peer.second, -1);
                    }
                    return expired;
                  });
  }
}

void remove_target_load(load_table& table, const target_name& target) {
  table.targets.erase(target);
}

}  // namespace peridot
