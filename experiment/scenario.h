// Load scenarios for the simulation: engines, routers, and the calls that arrive.
#pragma once

#include <string>
#include <vector>

#include "experiment/engine_model.h"

namespace peridot::experiment {

// Distribution of one segment of the prompts of a call kind: `variants` different ones, of
// lognormal size, with popularity by Zipf's law (weight 1 / rank^zipf_exponent, exponent below 1).
// log_sigma is the standard deviation of the size's logarithm. `variants` and `zipf_exponent`
// are used for shared segments only.
struct segment_distribution {
  double mean_tokens = 0;  // before samples below 16 tokens are raised to 16
  double log_sigma = 0.4;
  int variants = 1;
  double zipf_exponent = 0.3;
};

struct call_kind_options {
  std::string name;
  double calls_per_second = 0;
  milliseconds latency_objective{600};
  milliseconds caller_timeout{5'000};
  double worth = 1;                                   // if the first token meets latency_objective
  double late_worth = 0.3;                            // if it is later
  std::vector<segment_distribution> shared_segments;  // in prompt order
  segment_distribution unique_segment;
  double mean_output_tokens = 50;
};

// Additional load for `length` from start_offset on, counted from the simulation's start.
// For a kind, `factor` multiplies its call rate; for an organisation, its weight among the
// callers. For a subject (variant 0 of each shared segment of a kind), it is the fraction of the
// kind's calls that use it, in addition to those that sample it anyway. `index` is that of the
// organisation or of the kind.
struct load_surge {
  enum class scope { kind, organisation, subject } applies_to = scope::kind;
  int index = 0;
  double factor = 1;  // for a subject: below 1
  std::chrono::seconds start_offset{0};
  std::chrono::seconds length{0};
};

// One organisation of a scenario.
struct organisation_options {
  double weight = 1;  // among the callers
  // Number of routers that its calls arrive at; 0: all. Where processors are modelled, the number
  // of its clients: the load balancer sends each of them to one router.
  int entry_routers = 0;
  double prompt_factor = 1;  // multiplies the size of the unique segment of its prompts
};

struct load_scenario {
  std::string name;
  std::string description;
  int router_count = 9;
  int engine_count = 9;
  // Share of a core of each router; empty: processors are not modelled, and the load balancer
  // spreads the callers evenly.
  std::vector<double> router_cores;
  engine_options engine;
  double capacity_tokens_per_s = 0;  // of all engines; limits.tokens_per_s of the configuration
  int organisation_count = 16;
  // One for each organisation; empty: a few large ones (weights 1, 1/2, 1/3, ...), whose calls
  // arrive at all routers.
  std::vector<organisation_options> organisations;
  std::vector<call_kind_options> kinds;
  std::vector<load_surge> surges;
  std::chrono::seconds length{40};
};

// Returns the load scenarios: heavy load at two of the users' sites, the first of them also at
// reduced load, and three synthetic ones.
std::vector<load_scenario> all_scenarios();

// A fleet of 84 routers and 60 engines in which several organisations ask for more than their
// share: one through all routers, one with heavy prompts through two, others through one or four.
load_scenario large_fleet_scenario();

// One organisation floods the small router at which the load balancer lets it enter, while another
// asks for more than its share through all routers.
load_scenario flooded_router_scenario();

// The large fleet, in which the organisation that enters through all routers starts to flood while
// another, which enters through one, has asked for more than its share for a while.
load_scenario second_flood_scenario();

}  // namespace peridot::experiment
