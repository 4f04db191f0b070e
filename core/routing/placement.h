// Placement: the choice of a target for a call, by the load of each (target_loads.h).
//
// The time to the first token is predicted from the prompt tokens that wait for prefill
// at the engine (of this router's calls, and of peers' calls as reported by gossip),
// the part of the prompt that is cached there, and the measured prefill rate.
//
//   placement choice = choose_engine(table, candidates, call);
//
// The time to the first token costs little as long as it is within the latency objective,
// while another prefill of a shared prefix takes engine time from all other calls. Up to
// on_time_first_token_fraction of the objective, calls therefore go where their prefixes
// are cached; beyond that, the cost of a later first token outweighs the cost of the
// prefill.
//
// A prefill delays all streams of its engine, so it costs more on an engine that runs
// many calls; calls with long outputs go to engines that generate tokens fast. This
// separates engines that mostly prefill from engines that mostly generate, without
// configuration.
//
// In a large fleet, reports reach a router one gossip cycle late, and all routers see the same
// engines idle meanwhile. Each call then chooses among a random sample of the engines, so that
// the routers do not all choose the same ones.
//
// Load patterns handled: many groups of prompts, each with a long shared prefix (each
// prefix is prefilled by few engines); many short shared prefixes (they are used often
// enough to stay cached); one hot prefix (calls spill over to other engines once the wait
// costs more than another prefill); many routers that act on the same outdated report (a
// router's own sends count at once).
//
// A choice takes at most one lookup per candidate and prompt prefix, plus one
// per candidate, whatever the number of routers.
// Thread safety: none; for use from one event loop.
#pragma once

#include <cstdint>
#include <vector>

#include "core/base/types.h"
#include "core/calls/call.h"
#include "core/routing/domain_spillover.h"
#include "core/routing/target_loads.h"

namespace peridot {

// Fraction of the shortest latency objective; a time to the first token up to it costs little.
inline constexpr double on_time_first_token_fraction = 0.9;
inline constexpr std::size_t min_sampled_engines = 6;

struct candidate {
  target_name name;
  int slots = 1;
  bool same_domain = false;  // in this router's failure domain
  failure_domain_id domain = 0;
  std::uint32_t build = 0;  // build_of() the target
};

struct placement {
  const candidate* chosen = nullptr;  // null: there are no candidates
  double first_token_ms = 0;          // predicted, from now; at a plain target: the wait for a slot
  // Part of first_token_ms, at engines only: pending prefill of other calls, and overhead above
  // min_first_token_overhead_ms.
  double queue_ms = 0;
  double cached_tokens = 0;           // of the prompt, as estimated
  prefix_fetch fetch;                 // at engines: what the chosen one fetches
  double pending_prefill_tokens = 0;  // at the target, of all routers
  int running_calls = 0;              // likewise
};

// What a target in another failure domain costs a call; see domain_spillover.h.
struct crossing_cost {
  double price_ms = 0;
  // On top, unless the target is in `free_domain` or has the prompt's shared prefix cached.
  double reluctance_ms = 0;
  failure_domain_id free_domain = 0;
};

// The properties of a call that choose_engine() depends on.
struct engine_call {
  const prompt* call_prompt = nullptr;  // never null
  double kv_capacity_tokens = 0;        // of each engine
  duration min_latency_objective{};     // the shortest of the pool's routes
  duration time_left{};                 // until the call's deadline
  // Choose by the time to the first token alone, whatever it costs other calls.
  bool earliest_first_token = false;
  // Fraction of the engines to choose among, besides those that have the shared prefix cached.
  double sample_fraction = 1;
  std::uint64_t sample_seed = 0;
  double transfer_ms_per_token = 0;  // between KV caches of two engines; 0: they cannot
  crossing_cost crossing;
  instant now{};
};

// The fraction of the engines that a call chooses among when a gossip cycle takes that many
// rounds: all of them in a fleet whose routers all report in each round.
double engine_sample_fraction(std::size_t rounds_per_cycle);

placement choose_engine(const load_table& table, const std::vector<candidate>& candidates,
                        const engine_call& call);

// For plain targets, which process no prompts: the one where the call takes least time by running
// calls per slot and the target's speed, and what a target of another failure domain costs.
// `first_token_ms` is the predicted wait for a slot. `tie_breaker` varies the choice among targets
// of similar load.
placement choose_plain_target(const load_table& table, const std::vector<candidate>& candidates,
                              const crossing_cost& crossing, std::uint64_t tie_breaker,
                              instant now);

// How long a call without a cached prompt waits at the target until it makes progress, by its load:
// at an engine for the prefills before its own, at a plain target for a slot.
double engine_wait_ms(const load_table& table, const target_load& load, int slots, instant now);
double plain_wait_ms(const target_load& load, int slots, instant now);

}  // namespace peridot
