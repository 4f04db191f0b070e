// Fairness between organisations, measured second by second on what a simulation served.
//
// The users' bound: while calls of an organisation are refused or late in every second of
// fairness_window, it gets at least half of what it asked for or of what the best served
// organisation got, whichever is less, second by second, less three of its largest calls.
//
//   fairness_log log = make_fairness_log(organisation_count, length);
//   record_asked(log, organisation_index, elapsed, tokens);   // a call arrived
//   record_unmet(log, organisation_index, elapsed);           // a call was refused or is late
//   record_served(log, organisation_index, elapsed, tokens);  // a first token was generated
//   double ratio = worst_fairness_ratio(log);                 // kept if >= min_fairness_ratio
//
// Thread safety: none.
#pragma once

#include <cstddef>
#include <vector>

#include "core/base/types.h"

namespace peridot::experiment {

inline constexpr std::size_t fairness_window_seconds = 6;
inline constexpr double min_fairness_ratio = 0.5;
inline constexpr double fairness_tolerance_calls = 3;  // of the organisation's largest calls

// One organisation in one second. Tokens are weighted as in core/routing/fair_share.h.
struct usage_second {
  double asked_tokens = 0;
  double served_tokens = 0;
  bool has_unmet_call = false;
};

struct organisation_log {
  std::vector<usage_second> seconds;
  double largest_call_tokens = 0;
};

struct fairness_log {
  std::vector<organisation_log> organisations;
};

fairness_log make_fairness_log(std::size_t organisation_count, std::chrono::seconds length);

// `elapsed`: since the simulation's start. Records after the log's length are ignored.
void record_asked(fairness_log& log, std::size_t organisation, duration elapsed, double tokens);
void record_served(fairness_log& log, std::size_t organisation, duration elapsed, double tokens);
void record_unmet(fairness_log& log, std::size_t organisation, duration elapsed);

// The lowest ratio, over all organisations and windows with an unmet call in every second, of
// the served tokens plus the tolerance to the sum of min(asked, best served), second by second.
// 1 if there is no such window.
double worst_fairness_ratio(const fairness_log& log);

}  // namespace peridot::experiment
