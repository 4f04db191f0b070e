// Mix of callers for the load tool: one line for each, of key=value words.
//
//   # tour desks
//   organisation=ashyq-esik/guides profile=explain rate=12.5
//   organisation=ashyq-esik/desks profile=reserve rate=4 keyed=1 plain=1
//
// The keys are the fields of caller_config, times with the suffix _ms. A ";"
// ends a line too, so that a mix fits into one flag.
//
// Thread safety: pure functions.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "core/types.h"

namespace peridot::standins {

struct caller_config {
  organisation_name organisation;
  profile_name profile;
  double rate = 1;                              // calls a second
  double weight = 1;                            // only for the printed share
  bool keyed = false;                           // may not be repeated: takes a key first
  bool plain = false;                           // a plain service answers, not an engine
  std::chrono::milliseconds start_after{0};     // of the run
  std::chrono::milliseconds stop_after{0};      // of the run; 0: with the run
  std::chrono::milliseconds queue_deadline{0};  // sent as a header; 0: not sent
  std::uint32_t entry_routers = 0;              // how many routers it uses; 0: all
  std::uint32_t retries = 0;                    // of calls refused as not run
  std::uint32_t max_tokens = 0;                 // sent as a header; 0: not sent
  std::uint32_t body_bytes = 200;               // of the prompt, at least
  std::string body_prefix;
  bool same_body = false;  // all calls have one body, as of a caller that sends it again
};

struct mix_result {
  std::vector<caller_config> callers;
  std::string problem;  // empty: valid
};

mix_result parse_mix(std::string text);

// Time to the next arrival. Precondition: the rate is above 0.
duration next_gap(const caller_config& caller, std::mt19937_64& random);

// A body that no other call of this run has, unless the caller asks for one body.
std::string make_body(const caller_config& caller, std::uint64_t seed, std::uint64_t number);

// Index of the router for one attempt. An organisation that uses only some
// routers uses the same ones in every run. `avoid` is the router that just
// failed; the next one takes its place, whoever uses it otherwise.
std::size_t choose_router(const caller_config& caller, std::size_t routers, std::size_t avoid,
                          std::mt19937_64& random);

inline constexpr std::size_t no_router = static_cast<std::size_t>(-1);

}  // namespace peridot::standins
