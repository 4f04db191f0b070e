// Load on a fleet of engines: what the callers send. Named after the pattern.
#pragma once

#include <string>
#include <vector>

#include "experiment/engine_model.h"

namespace peridot::experiment {

// A part of the prompts of a kind: `things` of them, of lognormal size, some asked for
// more often than others (weights fall with the power `skew` of the rank).
struct chain_level {
  double mean_tokens = 0;
  double spread = 0.4;
  int things = 1;
  double skew = 0.3;
};

struct call_kind_model {
  std::string name;
  double per_second = 0;
  milliseconds aim{600};
  milliseconds deadline{5'000};
  double worth = 1;
  double late_worth = 0.3;
  std::vector<chain_level> shared;  // outermost first
  chain_level own;
  double tokens_out = 50;
};

// From `from` on: calls of a kind, an organisation or one subject grow.
struct surge {
  enum class what { kind, organisation, subject } of = what::kind;
  int index = 0;
  double times = 1;  // of a subject: its share of its kind's calls
  std::chrono::seconds from{0};
  std::chrono::seconds lasts{0};
};

struct scenario {
  std::string name;
  std::string shows;
  int routers = 9;
  int engines = 9;
  engine_options engine;
  double tokens_per_s = 0;  // capacity that the operator states
  int organisations = 16;
  std::vector<call_kind_model> kinds;
  std::vector<surge> surges;
  std::chrono::seconds lasts{40};
};

// The sites' shapes, and others that no constant was chosen on.
std::vector<scenario> all_scenarios();

}  // namespace peridot::experiment
