#include "core/routing/placement.h"

#include <algorithm>
#include <random>
#include <utility>

#include "core/base/check.h"
#include "core/base/stable_hash.h"

namespace peridot {
namespace {

// An engine's cost for a call is in milliseconds. The weights of its terms, and the limits,
// defaults and moving-average weights of the measured values.
constexpr double prefill_weight = 1.6;           // a prefill takes engine time from all other calls
constexpr double stream_delay_weight = 1.5;      // a prefill delays all streams of its engine
constexpr double output_time_weight = 0.01;      // of the expected time to generate the output
constexpr double output_length_margin = 1.5;     // outputs are often longer than callers estimate
constexpr double deadline_overrun_weight = 0.1;  // of the expected time beyond the deadline
constexpr double output_token_ewma_weight = 0.03;
constexpr double max_output_token_ms = 500;
constexpr double default_output_token_ms = 10;
// Of the time to the first token: of its part that is on time, and of the rest.
constexpr double on_time_first_token_weight = 0.2;
constexpr double late_first_token_weight = 3.0;
// Fraction of the prefill time of the shared prefix that is taken off the cost of the engine
// that ranks first by rendezvous hashing. While no engine has the prefix cached, all routers
// thus prefer the same engine.
constexpr double uncached_affinity_discount = 0.8;
// The same once an engine has it cached: calls concentrate on the preferred engine, and the
// replicas on other engines are evicted.
constexpr double cached_affinity_discount = 0.1;
constexpr double overhead_ewma_weight = 0.05;
constexpr double high_load_slot_fraction = 0.85;  // in use; beyond, tokens are generated slowly
constexpr double high_load_cost_ms = 400;         // rises linearly from there to this at all slots
constexpr double no_free_slot_cost_ms = 5'000;    // the call waits until another one ends
constexpr double prefill_rate_ewma_weight = 0.08;
constexpr double min_rate_sample_tokens = 2'500;  // with fewer, the overhead is measured instead
constexpr double max_first_token_overhead_ms = 400;
constexpr double min_prefill_tokens_per_ms = 3;
constexpr double max_prefill_tokens_per_ms = 400;
constexpr double sample_fraction_of_one_round = 0.5;
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

// Inputs of engine_cost(), which is the expected delay of the call and of other calls,
// weighted, in milliseconds.
struct engine_cost_input {
  double prefill_ms = 0;              // for the part of the prompt that is not cached
  double first_token_ms = 0;          // predicted, from now
  double on_time_first_token_ms = 0;  // the longest time to the first token that counts as on time
  double output_ms = 0;               // for the whole output, at the engine's measured speed
  double time_left_ms = 0;            // until the call's deadline
  int running_calls = 0;
};

double engine_cost(const candidate& engine, const engine_cost_input& input) {
  const double slot_usage = static_cast<double>(input.running_calls) / std::max(1, engine.slots);
  double cost =
      input.prefill_ms * (prefill_weight + stream_delay_weight * slot_usage) +
      output_time_weight * input.output_ms +
      on_time_first_token_weight * std::min(input.first_token_ms, input.on_time_first_token_ms) +
      late_first_token_weight * std::max(0.0, input.first_token_ms - input.on_time_first_token_ms) +
      deadline_overrun_weight *
          std::max(0.0, input.first_token_ms + input.output_ms * output_length_margin -
                            input.time_left_ms);
  if (slot_usage >= 1) {
    cost += no_free_slot_cost_ms;
  } else if (slot_usage > high_load_slot_fraction) {
    cost +=
        high_load_cost_ms * (slot_usage - high_load_slot_fraction) / (1 - high_load_slot_fraction);
  }
  return cost;
}

// Hash of the longest prefix that other prompts may share: without the last segment, which
// is the call's own. For a prompt of one segment: the hash of the whole prompt.
std::uint64_t shared_prefix_hash(const prompt& call_prompt) {
  if (call_prompt.prefixes.empty()) {
    return 0;
  }
  return call_prompt.prefixes.size() >= 2
             ? call_prompt.prefixes[call_prompt.prefixes.size() - 2].hash
             : call_prompt.prefixes.back().hash;
}

double shared_prefix_tokens(const prompt& call_prompt) {
  return call_prompt.prefixes.size() >= 2
             ? call_prompt.prefixes[call_prompt.prefixes.size() - 2].tokens
             : 0;
}

double estimated_output_token_ms(const load_table& table, const target_load& load) {
  if (load.output_token_ms > 0) {
    return load.output_token_ms;
  }
  return table.mean_output_token_ms > 0 ? table.mean_output_token_ms : default_output_token_ms;
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

struct candidate_state {
  const target_load* load = nullptr;
  double cached_tokens = 0;
  std::uint64_t rendezvous_score = 0;
  bool sampled = true;
};

void add_load(peer_load& sum, const peer_load& load, int sign) {
  sum.running_calls += sign * load.running_calls;
  sum.pending_prefill_tokens += sign * load.pending_prefill_tokens;
  sum.kv_used_tokens += sign * load.kv_used_tokens;
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

double estimated_prefill_tokens_per_ms(const load_table& table, const target_load& load) {
  if (load.prefill_tokens_per_ms > 0) {
    return load.prefill_tokens_per_ms;
  }
  return table.mean_prefill_tokens_per_ms > 0 ? table.mean_prefill_tokens_per_ms
                                              : default_prefill_tokens_per_ms;
}

double estimated_prefix_cache_tokens(const target_load& load, double kv_capacity_tokens) {
  const double running_tokens = total_kv_used_tokens(load);
  return prefix_cache_safety_factor * std::max(kv_capacity_tokens * min_prefix_cache_fraction,
                                               kv_capacity_tokens - running_tokens);
}

double cached_prompt_tokens(const target_load& load, const prompt& call_prompt,
                            double kv_capacity_tokens) {
  const double oldest_cached =
      load.prefilled_tokens - estimated_prefix_cache_tokens(load, kv_capacity_tokens);
  double cached_tokens = 0;
  for (const prompt_prefix& prefix : call_prompt.prefixes) {
    auto found = load.prefix_last_used.find(short_hash(prefix));
    if (found == load.prefix_last_used.end() || found->second < oldest_cached) {
      break;
    }
    cached_tokens = prefix.tokens;
  }
  return std::min(cached_tokens, call_prompt.prompt_tokens);
}

double engine_sample_fraction(std::size_t rounds_per_cycle) {
  return rounds_per_cycle <= 1
             ? 1
             : sample_fraction_of_one_round / static_cast<double>(rounds_per_cycle);
}

placement choose_engine(const load_table& table, const std::vector<candidate>& candidates,
                        const engine_call& call) {
  const prompt& call_prompt = *call.call_prompt;
  const std::uint64_t prefix_hash = shared_prefix_hash(call_prompt);
  const double shared_tokens = shared_prefix_tokens(call_prompt);
  const double on_time_first_token_ms =
      on_time_first_token_fraction * to_ms(call.min_latency_objective);
  std::vector<candidate_state> states;
  states.reserve(candidates.size());
  const double sample_fraction = std::max(
      call.sample_fraction, static_cast<double>(min_sampled_engines) /
                                static_cast<double>(std::max<std::size_t>(1, candidates.size())));
  std::minstd_rand sample_random(static_cast<std::minstd_rand::result_type>(call.sample_seed));
  std::bernoulli_distribution is_sampled(std::min(1.0, sample_fraction));
  std::size_t rendezvous_index = 0;  // of the highest score; the same for the same candidates
  bool cached_anywhere = false;
  for (const candidate& engine : candidates) {
    const target_load& load = load_or_empty(table, engine.name);
    states.push_back({&load, cached_prompt_tokens(load, call_prompt, call.kv_capacity_tokens),
                      stable_hash(engine.name.value, prefix_hash),
                      sample_fraction >= 1 || is_sampled(sample_random)});
    cached_anywhere = cached_anywhere || states.back().cached_tokens >= shared_tokens;
    if (states.back().rendezvous_score > states[rendezvous_index].rendezvous_score) {
      rendezvous_index = states.size() - 1;
    }
  }
  placement best;
  double best_cost = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const bool prefers_cached = !call.earliest_first_token && shared_tokens > 0 &&
                                states[index].cached_tokens >= shared_tokens;
    if (!states[index].sampled && !prefers_cached && index != rendezvous_index) {
      continue;
    }
    const candidate& engine = candidates[index];
    const target_load& load = *states[index].load;
    const double prefill_rate = estimated_prefill_tokens_per_ms(table, load);
    const double prefill_ms =
        std::max(0.0, call_prompt.prompt_tokens - states[index].cached_tokens) / prefill_rate;
    placement choice;
    choice.chosen = &engine;
    choice.cached_tokens = states[index].cached_tokens;
    choice.pending_prefill_tokens = total_pending_prefill_tokens(load);
    choice.running_calls = total_running_calls(load);
    choice.queue_ms = estimated_first_token_overhead_ms(load) - min_first_token_overhead_ms +
                      choice.pending_prefill_tokens / prefill_rate;
    choice.first_token_ms = min_first_token_overhead_ms + choice.queue_ms + prefill_ms;
    double cost = engine_cost(engine, {.prefill_ms = prefill_ms,
                                       .first_token_ms = choice.first_token_ms,
                                       .on_time_first_token_ms = on_time_first_token_ms,
                                       .output_ms = call_prompt.expected_output_tokens *
                                                    estimated_output_token_ms(table, load),
                                       .time_left_ms = to_ms(call.time_left),
                                       .running_calls = choice.running_calls});
    if (call.earliest_first_token) {
      cost = choice.first_token_ms;
    } else if (index == rendezvous_index) {
      cost -= (cached_anywhere ? cached_affinity_discount : uncached_affinity_discount) *
              shared_tokens / prefill_rate;
    }
    if (best.chosen == nullptr || cost < best_cost) {
      best = choice;
      best_cost = cost;
    }
  }
  return best;
}

placement choose_plain_target(const load_table& table, const std::vector<candidate>& candidates,
                              std::uint64_t tie_breaker) {
  placement best;
  double best_cost = 0;
  for (const candidate& target : candidates) {
    const target_load& load = load_or_empty(table, target.name);
    placement choice;
    choice.chosen = &target;
    choice.running_calls = total_running_calls(load);
    const double slots = std::max(1, target.slots);
    const double service_ms = load.service_ms > 0 ? load.service_ms : default_service_ms;
    choice.first_token_ms =
        std::max(0.0, static_cast<double>(choice.running_calls) + 1 - slots) / slots * service_ms;
    const double slot_usage = static_cast<double>(choice.running_calls) / slots;
    // Below 0.1, the preference for the failure domain. In units of slot usage, as the cost.
    const double tie_break_cost =
        static_cast<double>(stable_hash(target.name.value, tie_breaker) % 1'000) / 10'000;
    const double cost = slot_usage + tie_break_cost - (target.same_domain ? 0.1 : 0);
    if (best.chosen == nullptr || cost < best_cost) {
      best = choice;
      best_cost = cost;
    }
  }
  return best;
}

call_load record_call_sent(load_table& table, const target_name& target, const prompt* call_prompt,
                           double kv_capacity_tokens, instant now) {
  target_load& load = table.targets[target];
  call_load added;
  added.sent_at = now;
  ++load.running_calls;
  if (call_prompt == nullptr) {
    return added;
  }
  added.prefill_tokens =
      std::max(0.0, call_prompt->prompt_tokens -
                        cached_prompt_tokens(load, *call_prompt, kv_capacity_tokens));
  added.kv_used_tokens =
      added.prefill_tokens + call_prompt->expected_output_tokens;  // cached prefixes are shared
  added.pending_prefill_tokens_at_send = total_pending_prefill_tokens(load) + added.prefill_tokens;
  added.awaiting_first_token = true;
  load.pending_prefill_tokens += added.prefill_tokens;
  load.kv_used_tokens += added.kv_used_tokens;
  load.prefilled_tokens += added.prefill_tokens;
  load.next_prefill_report.tokens += added.prefill_tokens;
  for (const prompt_prefix& prefix : call_prompt->prefixes) {
    record_prefix_use(load, short_hash(prefix));
    if (&prefix != &call_prompt->prefixes.back() &&
        load.next_prefill_report.prefixes.size() < max_reported_prefixes) {
      load.next_prefill_report.prefixes.push_back(short_hash(prefix));
    }
  }
  return added;
}

void record_first_token(load_table& table, const target_name& target, call_load& added,
                        instant now) {
  auto found = table.targets.find(target);
  if (!added.awaiting_first_token || found == table.targets.end()) {
    return;
  }
  added.awaiting_first_token = false;
  target_load& load = found->second;
  load.pending_prefill_tokens = std::max(0.0, load.pending_prefill_tokens - added.prefill_tokens);
  if (added.pending_prefill_tokens_at_send < min_rate_sample_tokens) {
    const double sample =
        to_ms(now - added.sent_at) -
        added.pending_prefill_tokens_at_send / estimated_prefill_tokens_per_ms(table, load);
    load.first_token_overhead_ms =
        estimated_first_token_overhead_ms(load) +
        overhead_ewma_weight *
            (std::clamp(sample, min_first_token_overhead_ms, max_first_token_overhead_ms) -
             estimated_first_token_overhead_ms(load));
    return;
  }
  const double prefill_ms = to_ms(now - added.sent_at) - estimated_first_token_overhead_ms(load);
  if (prefill_ms <= 1) {  // ms; no usable sample
    return;
  }
  const double sample = std::clamp(added.pending_prefill_tokens_at_send / prefill_ms,
                                   min_prefill_tokens_per_ms, max_prefill_tokens_per_ms);
  const double previous = estimated_prefill_tokens_per_ms(table, load);
  // One sample counts as at most a threefold change of the rate.
  const double bounded_sample = std::clamp(sample, previous / 3, previous * 3);
  load.prefill_tokens_per_ms = previous + prefill_rate_ewma_weight * (bounded_sample - previous);
  table.mean_prefill_tokens_per_ms =
      table.mean_prefill_tokens_per_ms <= 0
          ? load.prefill_tokens_per_ms
          : table.mean_prefill_tokens_per_ms +
                prefill_rate_ewma_weight *
                    (load.prefill_tokens_per_ms - table.mean_prefill_tokens_per_ms);
}

void record_event_gap(load_table& table, const target_name& target, duration gap, int tokens) {
  auto found = table.targets.find(target);
  if (found == table.targets.end()) {
    return;
  }
  target_load& load = found->second;
  const double sample = std::min(max_output_token_ms, to_ms(gap) / std::max(1, tokens));
  const double previous = estimated_output_token_ms(table, load);
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
  if (added.awaiting_first_token) {
    load.pending_prefill_tokens = std::max(0.0, load.pending_prefill_tokens - added.prefill_tokens);
    added.awaiting_first_token = false;
  }
  load.kv_used_tokens = std::max(0.0, load.kv_used_tokens - added.kv_used_tokens);
}

void record_service_time(load_table& table, const target_name& target, duration time) {
  target_load& load = table.targets[target];
  const double sample = to_ms(time);
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
