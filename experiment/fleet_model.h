// Routers in front of engine models, under virtual time: what a policy makes of a load.
//
// The routers decide with the same functions as the real ones (core/routing) and tell
// each other their loads and tokens every 200 ms. Not modelled: the network's delays, the
// routers' processors, failures, calls that read no prompt.
//
//   outcome result = play(scenario, policy::peridot, seed);
//
// Deterministic for a seed. Thread safety: pure function.
#pragma once

#include <cstdint>
#include <string>

#include "experiment/scenario.h"

namespace peridot::experiment {

enum class policy {
  peridot,            // placement and admission as the routers have them
  no_admission,       // the same placement; every call is taken on
  least_connections,  // the engine with the fewest own calls
  rendezvous,         // the engine that the subject's hash names
};

const char* to_text(policy value);

struct outcome {
  std::uint64_t calls = 0;
  double worth = 0;         // earned over what all calls are worth
  double served = 0;        // share of calls that ended
  double refused = 0;       // share that was refused at some time
  double returned = 0;      // share of those that were served when they came back
  double first_p50_ms = 0;  // to the first token, from the first attempt
  double first_p95_ms = 0;
  double saved = 0;               // share of prompt tokens found in memory
  double shared_again = 0;        // share of prompt tokens: shared parts read more than once
  double busiest = 0;             // engine, tokens read over the mean
  double worst_organisation = 0;  // its worth earned over its worth
  double worst_kind = 0;
  double largest_tenth = 0;  // served share of the largest prompts of the first kind
};

outcome play(const scenario& what, policy how, std::uint64_t seed);

}  // namespace peridot::experiment
