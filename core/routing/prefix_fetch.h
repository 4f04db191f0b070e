// Fetching: an engine without a shared part of a prompt gets it from another engine's KV cache
// instead of prefilling it again.
//
//   std::vector<fetch_source> sources = find_fetch_sources(table, candidates, call);
//   prefix_fetch fetch = plan_fetch(table, sources, destination, cached_tokens, call);
//
// A fetch takes a set-up and the transfer of the tokens over the engines' links, twice as long
// between failure domains. Transfers of one engine run one after another: this router counts those
// that it started itself. The fetch pays if it takes less time than the prefill that it saves. A
// source may have evicted the prefix; then the destination prefills it. The fraction of fetches
// that find their prefix is learned from times to the first token, and counts in the price.
//
// A source is an engine that a call may be sent to (in the configuration's pool, not leaving, not
// evacuated, neither avoided nor limited), that runs the same build as the destination, and has
// prefilled the prefix: not one that this router knows to be still prefilling it. Of these, the one
// with the shortest fetch is taken. If it is gone by then, the destination prefills the prefix.
//
// Load pattern handled: a part of thousands of tokens that more callers share than one engine can
// serve. Calls then go by load first, as a copy elsewhere costs a fraction of a prefill; calls that
// all miss at once fetch from several sources.
//
// Cost: one pass over the candidates; then at most max_fetch_sources for each destination.
// Thread safety: none; for use from one event loop.
#pragma once

#include <cstdint>
#include <vector>

#include "core/routing/target_loads.h"

namespace peridot {

struct candidate;

// Bounds the price of a plan; the sources are drawn at random.
inline constexpr std::size_t max_fetch_sources = 8;
// From the request until the first bytes arrive: two round trips and a step of the source.
inline constexpr double fetch_setup_ms = 6;
// Transfers between failure domains take this many times as long, as the platform states.
inline constexpr double cross_domain_transfer_factor = 2;
// Shorter prefixes are prefilled: a set-up takes as long.
inline constexpr double min_fetch_tokens = 256;

// What a fetch depends on, for one call.
struct fetch_input {
  const prompt* call_prompt = nullptr;  // never null
  double kv_capacity_tokens = 0;        // of each engine
  double transfer_ms_per_token = 0;     // within a failure domain; 0: engines cannot fetch
  std::uint64_t seed = 0;               // varies the sources that are drawn
  instant now{};
};

struct fetch_source {
  const candidate* engine = nullptr;
  double tokens = 0;   // of the prompt, that it has prefilled
  double wait_ms = 0;  // for transfers of its link that are in progress
};

// The engines that have prefilled the most of the prompt, max_fetch_sources at most. None if
// engines cannot fetch.
std::vector<fetch_source> find_fetch_sources(const load_table& table,
                                             const std::vector<candidate>& candidates,
                                             const fetch_input& call);

// The fetch that saves the destination most time; its `source` is empty if none pays.
// `cached_tokens`: of the prompt, that the destination has cached.
prefix_fetch plan_fetch(const load_table& table, const std::vector<fetch_source>& sources,
                        const candidate& destination, double cached_tokens,
                        const fetch_input& call);

}  // namespace peridot
