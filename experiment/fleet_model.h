// Discrete-event simulation of routers in front of engine models: what a routing policy
// achieves under a load scenario.
//
// The simulated routers call the same functions as the router process (core/routing) and
// exchange their load and token usage by gossip, in rounds of 200 ms and cycles that reach each
// peer once, like the router's. Where the scenario states the routers' cores, each call takes
// processor time of its router, the router detects its overload, and callers enter through a load
// balancer (experiment/router_processor.h). Not modelled: network delays, failures, calls without
// a prompt.
//
//   simulation_result result = simulate(scenario, routing_policy::peridot, seed);
//
// Deterministic for a seed. Thread safety: pure function.
#pragma once

#include <cstdint>
#include <string>

#include "experiment/fairness.h"
#include "experiment/scenario.h"

namespace peridot::experiment {

enum class routing_policy {
  peridot,            // placement and admission control of the router
  unlimited_accepts,  // the same, but a loop iteration accepts all connections that wait
  no_admission,       // the same placement; every call is admitted
  least_connections,  // the engine with the fewest calls of this router
  rendezvous,         // rendezvous hashing by the prompt's longest shared prefix
};

const char* to_text(routing_policy value);

struct simulation_result {
  std::uint64_t calls = 0;
  double worth_fraction = 0;                 // worth earned over the worth of all calls
  double served_fraction = 0;                // fraction of calls that completed
  double refused_fraction = 0;               // fraction of calls that were refused at least once
  double served_after_refusal_fraction = 0;  // of refused calls; 1 if none was refused
  double first_token_p50_ms = 0;             // time to first token, from the call's first send
  double first_token_p95_ms = 0;
  double cached_prompt_fraction = 0;  // fraction of prompt tokens found in a KV cache
  // Fraction of prompt tokens prefilled again: some engine had prefilled their shared segment
  // before.
  double repeated_prefill_fraction = 0;
  double busiest_to_mean_prefill = 0;  // prefilled tokens of the busiest engine over the mean
  double worst_organisation_worth_fraction = 0;  // lowest of those with 30 calls or more
  double worst_kind_worth_fraction = 0;          // likewise, of the kinds of calls
  double largest_tenth_served_fraction = 0;  // of the largest tenth of prompts of the first kind
  fairness_log usage;                        // by organisation and second
};

simulation_result simulate(const load_scenario& scenario, routing_policy policy,
                           std::uint64_t seed);

}  // namespace peridot::experiment
