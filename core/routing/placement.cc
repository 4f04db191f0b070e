#include "core/routing/placement.h"

#include <algorithm>
#include <random>

#include "core/base/stable_hash.h"
#include "core/routing/prefix_fetch.h"

namespace peridot {
namespace {

// An engine's cost for a call is in milliseconds: the weights of its terms.
constexpr double prefill_weight = 1.6;           // a prefill takes engine time from all other calls
constexpr double stream_delay_weight = 1.5;      // a prefill delays all streams of its engine
constexpr double fetch_weight = 0.5;             // a transfer delays others of its links
constexpr double output_time_weight = 0.01;      // of the expected time to generate the output
constexpr double output_length_margin = 1.5;     // outputs are often longer than callers estimate
constexpr double deadline_overrun_weight = 0.1;  // of the expected time beyond the deadline
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
constexpr double high_load_slot_fraction = 0.85;  // in use; beyond, tokens are generated slowly
constexpr double high_load_cost_ms = 400;         // rises linearly from there to this at all slots
constexpr double no_free_slot_cost_ms = 5'000;    // the call waits until another one ends
constexpr double sample_fraction_of_one_round = 0.5;

// Inputs of engine_cost(), which is the expected delay of the call and of other calls,
// weighted, in milliseconds.
struct engine_cost_input {
  double prefill_ms = 0;              // for the part of the prompt that is not cached or fetched
  double fetch_ms = 0;                // for the part that is fetched
  double first_token_ms = 0;          // predicted, from now
  double on_time_first_token_ms = 0;  // the longest time to the first token that counts as on time
  double output_ms = 0;               // for the whole output, at the engine's measured speed
  double time_left_ms = 0;            // until the call's deadline
  int running_calls = 0;
};

// Of an engine whose slots are nearly or all in use.
double slot_cost(double slot_usage) {
  if (slot_usage >= 1) {
    return no_free_slot_cost_ms;
  }
  return slot_usage > high_load_slot_fraction
             ? high_load_cost_ms * (slot_usage - high_load_slot_fraction) /
                   (1 - high_load_slot_fraction)
             : 0;
}

double engine_cost(const candidate& engine, const engine_cost_input& input) {
  const double slot_usage = static_cast<double>(input.running_calls) / std::max(1, engine.slots);
  double cost =
      input.prefill_ms * (prefill_weight + stream_delay_weight * slot_usage) +
      fetch_weight * input.fetch_ms + output_time_weight * input.output_ms +
      on_time_first_token_weight * std::min(input.first_token_ms, input.on_time_first_token_ms) +
      late_first_token_weight * std::max(0.0, input.first_token_ms - input.on_time_first_token_ms) +
      deadline_overrun_weight *
          std::max(0.0, input.first_token_ms + input.output_ms * output_length_margin -
                            input.time_left_ms);
  cost += slot_cost(slot_usage);
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

double crossing_ms(const candidate& target, const crossing_cost& crossing, bool follows_cache) {
  const bool is_free = follows_cache || target.domain == crossing.free_domain;
  return crossing.price_ms + (is_free ? 0 : crossing.reluctance_ms);
}

struct candidate_state {
  const target_load* load = nullptr;
  double cached_tokens = 0;
  std::uint64_t rendezvous_score = 0;
  bool sampled = true;
};

}  // namespace

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
  const fetch_input fetch_call{&call_prompt, call.kv_capacity_tokens, call.transfer_ms_per_token,
                               call.sample_seed, call.now};
  const std::vector<fetch_source> sources = find_fetch_sources(table, candidates, fetch_call);
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
    const double prefill_rate = estimated_prefill_tokens_per_ms(table, load, call.now);
    placement choice;
    choice.chosen = &engine;
    choice.fetch = plan_fetch(table, sources, engine, states[index].cached_tokens, fetch_call);
    const double prefill_ms =
        std::max(0.0, call_prompt.prompt_tokens - states[index].cached_tokens -
                          choice.fetch.tokens * table.fetch_found_fraction) /
        prefill_rate;
    choice.cached_tokens = states[index].cached_tokens;
    choice.pending_prefill_tokens = total_pending_prefill_tokens(load);
    choice.running_calls = total_running_calls(load);
    choice.queue_ms = estimated_first_token_overhead_ms(load) - min_first_token_overhead_ms +
                      choice.pending_prefill_tokens / prefill_rate;
    choice.first_token_ms =
        min_first_token_overhead_ms + choice.queue_ms + choice.fetch.ms + prefill_ms;
    double cost =
        engine_cost(engine, {.prefill_ms = prefill_ms,
                             .fetch_ms = choice.fetch.ms,
                             .first_token_ms = choice.first_token_ms,
                             .on_time_first_token_ms = on_time_first_token_ms,
                             .output_ms = call_prompt.expected_output_tokens *
                                          estimated_output_token_ms(table, load, call.now),
                             .time_left_ms = to_ms(call.time_left),
                             .running_calls = choice.running_calls});
    if (!engine.same_domain) {
      const bool follows_cache = prefers_cached || index == rendezvous_index;
      cost += crossing_ms(engine, call.crossing, follows_cache);
    }
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
                              const crossing_cost& crossing, std::uint64_t tie_breaker,
                              instant now) {
  placement best;
  double best_cost = 0;
  for (const candidate& target : candidates) {
    const target_load& load = load_or_empty(table, target.name);
    placement choice;
    choice.chosen = &target;
    choice.running_calls = total_running_calls(load);
    const double slots = std::max(1, target.slots);
    choice.first_token_ms = plain_wait_ms(load, target.slots, now);
    const double slot_usage = static_cast<double>(choice.running_calls) / slots;
    // In units of slot usage, as the cost.
    const double tie_break_cost =
        static_cast<double>(stable_hash(target.name.value, tie_breaker) % 1'000) / 10'000;
    // The time that the call takes there, in times of slowdown 1 without other calls.
    const double relative_time = (1 + slot_usage) * estimated_slowdown(load.speed, now);
    const double crossing_time = target.same_domain ? 0
                                                    : crossing_ms(target, crossing, false) /
                                                          estimated_service_ms(load, now) *
                                                          estimated_slowdown(load.speed, now);
    const double cost = relative_time + tie_break_cost + crossing_time;
    if (best.chosen == nullptr || cost < best_cost) {
      best = choice;
      best_cost = cost;
    }
  }
  return best;
}

double engine_wait_ms(const load_table& table, const target_load& load, int slots, instant now) {
  const double slot_usage =
      static_cast<double>(total_running_calls(load)) / static_cast<double>(std::max(1, slots));
  return estimated_first_token_overhead_ms(load) - min_first_token_overhead_ms +
         total_pending_prefill_tokens(load) / estimated_prefill_tokens_per_ms(table, load, now) +
         slot_cost(slot_usage);
}

double plain_wait_ms(const target_load& load, int slots, instant now) {
  const double slot_count = std::max(1, slots);
  return std::max(0.0, static_cast<double>(total_running_calls(load)) + 1 - slot_count) /
         slot_count * estimated_service_ms(load, now);
}

}  // namespace peridot
