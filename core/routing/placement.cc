#include "core/routing/placement.h"

#include <algorithm>
#include <utility>

#include "core/base/check.h"
#include "core/base/stable_hash.h"

namespace peridot {
namespace {

constexpr double reread_weight = 1.6;  // reading again takes the engine from all others
constexpr double delay_weight = 1.5;   // reading delays all streams of the engine
constexpr double write_weight = 0.01;  // of the time that an output takes
constexpr double output_margin = 1.5;  // outputs are often longer than their callers estimate
constexpr double risk_weight = 0.1;    // of the time by which an output would be too late
constexpr double token_memory = 0.03;  // weight of the newest measurement
constexpr double most_token_ms = 500;
constexpr double assumed_token_ms = 10;
constexpr double comfortable_weight = 0.2;     // of a wait that leaves the first token on time
constexpr double long_wait_weight = 3.0;       // of the rest of a wait
constexpr double first_meeting = 0.8;          // pull of the engine where a new subject should live
constexpr double home_pull = 0.1;              // the same once it is kept: replicas are given up
constexpr double base_memory = 0.05;           // weight of the newest measurement
constexpr double crowded_part = 0.85;          // of the slots; beyond, tokens come slowly
constexpr double crowded_ms = 400;             // price of a place beyond that, up to all slots
constexpr double full_ms = 5'000;              // no free slot: waits for a call to end
constexpr double rate_memory = 0.08;           // weight of the newest measurement
constexpr double least_sample_tokens = 2'500;  // shorter waits measure the base, not reading
constexpr double most_base_ms = 400;
constexpr double least_rate = 3;
constexpr double most_rate = 400;
constexpr double service_memory = 0.1;
constexpr double default_service_ms = 60;
constexpr std::size_t max_prefixes = 20'000;  // remembered of one engine, about 0.6 MB
constexpr std::size_t max_new_prefixes = 64;  // told in one cycle of gossip

std::uint32_t short_hash(const prompt_prefix& prefix) {
  return static_cast<std::uint32_t>(prefix.hash);
}

void remember_prefix(target_load& load, std::uint32_t prefix) {
  if (load.prefix_last_used.size() >= max_prefixes) {
    const double limit = load.prefilled_tokens / 2;
    std::erase_if(load.prefix_last_used,
                  [limit](const std::pair<const std::uint32_t, double>& item) {
                    return item.second < limit;
                  });
    if (load.prefix_last_used.size() >= max_prefixes) {
      load.prefix_last_used.clear();
    }
  }
  load.prefix_last_used[prefix] = load.prefilled_tokens;
}

// What a call would cost at one engine, in milliseconds of delay to itself and others.
struct engine_terms {
  double read_ms = 0;         // of the part of the prompt that is not kept
  double wait_ms = 0;         // until the first token
  double comfortable_ms = 0;  // a wait that leaves the first token on time
  double write_ms = 0;        // of the whole output at the engine's present speed
  double left_ms = 0;         // until the call is given up
  int running = 0;
};

double engine_cost(const candidate& where, const engine_terms& terms) {
  const double used = static_cast<double>(terms.running) / std::max(1, where.slots);
  double cost =
      terms.read_ms * (reread_weight + delay_weight * used) + write_weight * terms.write_ms +
      comfortable_weight * std::min(terms.wait_ms, terms.comfortable_ms) +
      long_wait_weight * std::max(0.0, terms.wait_ms - terms.comfortable_ms) +
      risk_weight * std::max(0.0, terms.wait_ms + terms.write_ms * output_margin - terms.left_ms);
  if (used >= 1) {
    cost += full_ms;
  } else if (used > crowded_part) {
    cost += crowded_ms * (used - crowded_part) / (1 - crowded_part);
  }
  return cost;
}

// Hash of the longest part of the prompt that other calls may share.
std::uint64_t subject_of(const prompt& what) {
  if (what.prefixes.empty()) {
    return 0;
  }
  return what.prefixes.size() >= 2 ? what.prefixes[what.prefixes.size() - 2].hash
                                   : what.prefixes.back().hash;
}

double shared_tokens(const prompt& what) {
  return what.prefixes.size() >= 2 ? what.prefixes[what.prefixes.size() - 2].tokens : 0;
}

double token_ms_of(const load_table& table, const target_load& load) {
  if (load.output_token_ms > 0) {
    return load.output_token_ms;
  }
  return table.mean_output_token_ms > 0 ? table.mean_output_token_ms : assumed_token_ms;
}

double base_of(const target_load& load) {
  return load.first_token_overhead_ms > 0 ? load.first_token_overhead_ms
                                          : min_first_token_overhead_ms;
}

const target_load& load_of(const load_table& table, const target_name& name) {
  static const target_load empty;
  auto found = table.targets.find(name);
  return found == table.targets.end() ? empty : found->second;
}

struct engine_view {
  const target_load* load = nullptr;
  double kept = 0;
  std::uint64_t home_score = 0;
};

void add(peer_load& sum, const peer_load& one, int sign) {
  sum.running_calls += sign * one.running_calls;
  sum.pending_prefill_tokens += sign * one.pending_prefill_tokens;
  sum.kv_used_tokens += sign * one.kv_used_tokens;
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

double prefix_cache_window(const target_load& load, double kv_capacity_tokens) {
  const double running = total_kv_used_tokens(load);
  return prefix_cache_safety_factor *
         std::max(kv_capacity_tokens * min_prefix_cache_fraction, kv_capacity_tokens - running);
}

double cached_prompt_tokens(const target_load& load, const prompt& call_prompt,
                            double kv_capacity_tokens) {
  const double oldest = load.prefilled_tokens - prefix_cache_window(load, kv_capacity_tokens);
  double kept = 0;
  for (const prompt_prefix& prefix : call_prompt.prefixes) {
    auto found = load.prefix_last_used.find(short_hash(prefix));
    if (found == load.prefix_last_used.end() || found->second < oldest) {
      break;
    }
    kept = prefix.tokens;
  }
  return std::min(kept, call_prompt.prompt_tokens);
}

placement choose_engine(const load_table& table, const std::vector<candidate>& candidates,
                        const engine_call& call) {
  const prompt& what = *call.call_prompt;
  const std::uint64_t subject = subject_of(what);
  const double shared = shared_tokens(what);
  const double comfortable_ms = on_time_wait_fraction * to_ms(call.min_latency_objective);
  std::vector<engine_view> views;
  views.reserve(candidates.size());
  std::size_t home = 0;  // rendezvous: equal on all routers
  bool kept_somewhere = false;
  for (const candidate& where : candidates) {
    const target_load& load = load_of(table, where.name);
    views.push_back({&load, cached_prompt_tokens(load, what, call.kv_capacity_tokens),
                     stable_hash(where.name.value, subject)});
    kept_somewhere = kept_somewhere || views.back().kept >= shared;
    if (views.back().home_score > views[home].home_score) {
      home = views.size() - 1;
    }
  }
  placement best;
  double best_cost = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const candidate& where = candidates[index];
    const target_load& load = *views[index].load;
    const double rate = estimated_prefill_tokens_per_ms(table, load);
    const double read_ms = std::max(0.0, what.prompt_tokens - views[index].kept) / rate;
    placement choice;
    choice.chosen = &where;
    choice.cached_tokens = views[index].kept;
    choice.pending_prefill_tokens = total_pending_prefill_tokens(load);
    choice.running_calls = total_running_calls(load);
    choice.queue_ms =
        base_of(load) - min_first_token_overhead_ms + choice.pending_prefill_tokens / rate;
    choice.first_token_ms = min_first_token_overhead_ms + choice.queue_ms + read_ms;
    double cost =
        engine_cost(where, {.read_ms = read_ms,
                            .wait_ms = choice.first_token_ms,
                            .comfortable_ms = comfortable_ms,
                            .write_ms = what.expected_output_tokens * token_ms_of(table, load),
                            .left_ms = to_ms(call.time_left),
                            .running = choice.running_calls});
    if (call.earliest_first_token) {
      cost = choice.first_token_ms;
    } else if (index == home) {
      cost -= (kept_somewhere ? home_pull : first_meeting) * shared / rate;
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
  for (const candidate& where : candidates) {
    const target_load& load = load_of(table, where.name);
    placement choice;
    choice.chosen = &where;
    choice.running_calls = total_running_calls(load);
    const double slots = std::max(1, where.slots);
    const double service = load.service_ms > 0 ? load.service_ms : default_service_ms;
    choice.first_token_ms =
        std::max(0.0, static_cast<double>(choice.running_calls) + 1 - slots) / slots * service;
    const double used = static_cast<double>(choice.running_calls) / slots;
    const double spread =
        static_cast<double>(stable_hash(where.name.value, tie_breaker) % 1'000) / 10'000;
    const double cost = used + spread - (where.same_domain ? 0.1 : 0);
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
  call_load cost;
  cost.sent_at = now;
  ++load.running_calls;
  if (call_prompt == nullptr) {
    return cost;
  }
  cost.prefill_tokens =
      std::max(0.0, call_prompt->prompt_tokens -
                        cached_prompt_tokens(load, *call_prompt, kv_capacity_tokens));
  cost.kv_used_tokens =
      cost.prefill_tokens + call_prompt->expected_output_tokens;  // kept parts are shared
  cost.queued_prefill_tokens = total_pending_prefill_tokens(load) + cost.prefill_tokens;
  cost.awaiting_first_token = true;
  load.pending_prefill_tokens += cost.prefill_tokens;
  load.kv_used_tokens += cost.kv_used_tokens;
  load.prefilled_tokens += cost.prefill_tokens;
  load.next_prefill_report.tokens += cost.prefill_tokens;
  for (const prompt_prefix& prefix : call_prompt->prefixes) {
    remember_prefix(load, short_hash(prefix));
    if (&prefix != &call_prompt->prefixes.back() &&
        load.next_prefill_report.prefixes.size() < max_new_prefixes) {
      load.next_prefill_report.prefixes.push_back(short_hash(prefix));
    }
  }
  return cost;
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
  if (added.queued_prefill_tokens < least_sample_tokens) {
    const double sample =
        to_ms(now - added.sent_at) -
        added.queued_prefill_tokens / estimated_prefill_tokens_per_ms(table, load);
    load.first_token_overhead_ms =
        base_of(load) +
        base_memory *
            (std::clamp(sample, min_first_token_overhead_ms, most_base_ms) - base_of(load));
    return;
  }
  const double elapsed = to_ms(now - added.sent_at) - base_of(load);
  if (elapsed <= 1) {
    return;
  }
  const double sample = std::clamp(added.queued_prefill_tokens / elapsed, least_rate, most_rate);
  const double before = estimated_prefill_tokens_per_ms(table, load);
  const double bounded = std::clamp(sample, before / 3, before * 3);
  load.prefill_tokens_per_ms = before + rate_memory * (bounded - before);
  table.mean_prefill_tokens_per_ms =
      table.mean_prefill_tokens_per_ms <= 0
          ? load.prefill_tokens_per_ms
          : table.mean_prefill_tokens_per_ms +
                rate_memory * (load.prefill_tokens_per_ms - table.mean_prefill_tokens_per_ms);
}

void record_event_gap(load_table& table, const target_name& target, duration gap, int tokens) {
  auto found = table.targets.find(target);
  if (found == table.targets.end()) {
    return;
  }
  target_load& load = found->second;
  const double sample = std::min(most_token_ms, to_ms(gap) / std::max(1, tokens));
  const double before = token_ms_of(table, load);
  load.output_token_ms = before + token_memory * (sample - before);
  table.mean_output_token_ms =
      table.mean_output_token_ms <= 0
          ? load.output_token_ms
          : table.mean_output_token_ms +
                token_memory * (load.output_token_ms - table.mean_output_token_ms);
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
  load.service_ms =
      load.service_ms <= 0 ? sample : load.service_ms + service_memory * (sample - load.service_ms);
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
  peer_load& known = load.peers[peer];
  add(load.peer_total, known, -1);
  add(load.peer_total, reported, 1);
  known = reported;
  load.prefilled_tokens += prefilled_tokens;
  for (std::uint32_t prefix : prefixes) {
    remember_prefix(load, prefix);
  }
}

void expire_peer_loads(load_table& table, instant now) {
  for (std::pair<const target_name, target_load>& entry : table.targets) {
    target_load& load = entry.second;
    std::erase_if(load.peers, [&load, now](const std::pair<const router_address, peer_load>& peer) {
      const bool expired = now > peer.second.valid_until;
      if (expired) {
        add(load.peer_total, peer.second, -1);
      }
      return expired;
    });
  }
}

void remove_target_load(load_table& table, const target_name& target) {
  table.targets.erase(target);
}

}  // namespace peridot
