// The load of each target as one router sees it: its own calls, what peers report, and what was
// measured.
//
// An engine handles a call in two phases: prefill processes the prompt, then the output
// tokens are generated one by one. Its KV cache holds the tokens of running calls and
// also keeps the prefixes of earlier prompts, so that a shared prefix need not be
// prefilled again.
//
// The content of an engine's prefix cache is estimated with a clock that counts the tokens that
// each call adds to the cache when it is sent: a prefix that was last used more than
// estimated_prefix_cache_tokens() ago counts as evicted (least recently used first).
//
//   call_load added = record_call_sent(table, target, &prompt, kv_capacity_tokens, now);
//   record_first_token(table, target, added, now);  // prefill is complete
//   record_call_ended(table, target, added);
//   expire_peer_loads(table, now);                  // periodically
//
// Invariants: running_calls >= 0, pending_prefill_tokens >= 0; `peer_total` is the sum of
// `peer_loads`.
// Thread safety: none; for use from one event loop.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/base/types.h"
#include "core/calls/call.h"
#include "core/routing/target_speed.h"

namespace peridot {

inline constexpr double min_first_token_overhead_ms = 25;    // one engine step, one round trip
inline constexpr double default_prefill_tokens_per_ms = 30;  // until one was measured
// The prefix cache is assumed to hold at least this fraction of an engine's KV capacity.
inline constexpr double min_prefix_cache_fraction = 0.25;
// Engines evict prefixes sooner than the estimate says.
inline constexpr double prefix_cache_safety_factor = 0.85;
// Until fetches were observed. At least min_fetch_found_fraction, so that fetches are still tried.
inline constexpr double initial_fetch_found_fraction = 0.9;
inline constexpr double min_fetch_found_fraction = 0.2;

// Part of a prompt that an engine fetches from another one's KV cache; see prefix_fetch.h.
struct prefix_fetch {
  target_name source;      // empty: nothing is fetched
  double tokens = 0;       // beyond what the engine has cached
  double ms = 0;           // expected, until they are there
  double transfer_ms = 0;  // of these, for which both links are in use
};

// What one call adds to its target's load.
struct call_load {
  double prefill_tokens = 0;  // prompt tokens that are neither cached at the target nor fetched
  double fetched_tokens = 0;  // prompt tokens that are fetched
  double fetch_ms = 0;        // expected to pass until they are there
  // Low halves of the hashes of the prefixes that the target has to prefill or fetch.
  std::vector<std::uint32_t> pending_prefixes;
  double kv_used_tokens = 0;                  // while the call runs
  double pending_prefill_tokens_at_send = 0;  // of all calls at the target, this one included
  bool awaiting_first_token = false;
  instant sent_at{};
};

// A peer's calls at one target, by its last report.
struct peer_load {
  int running_calls = 0;
  double pending_prefill_tokens = 0;
  double kv_used_tokens = 0;
  instant valid_until{};
};

// The prefixes and the tokens to prefill of the calls that this router sent to one engine
// during one gossip cycle, which is the series of rounds that sends each peer one message.
struct prefill_report {
  std::vector<std::uint32_t> prefixes;  // low halves of the hashes
  double tokens = 0;                    // counted when the calls were sent
};

struct target_load {
  int running_calls = 0;              // this router's
  double pending_prefill_tokens = 0;  // likewise
  double kv_used_tokens = 0;          // likewise
  std::map<router_address, peer_load> peer_loads;
  peer_load peer_total;  // the sum of `peer_loads`, so that a choice need not add them up
  // Clock of the prefix cache: tokens to prefill or fetch, counted as calls are sent, of all
  // routers.
  double prefilled_tokens = 0;
  // By low half of the hash: the value of `prefilled_tokens` at the last use.
  std::unordered_map<std::uint32_t, double> prefix_last_used;
  // By low half of the hash: this router's calls that wait for the target to prefill the prefix.
  std::unordered_map<std::uint32_t, int> pending_prefixes;
  instant link_free_at{};                 // when this router's transfers from or to it are done
  prefill_report next_prefill_report;     // sent in the next gossip cycle; collected in this one
  prefill_report current_prefill_report;  // sent in this cycle; collected in the one before
  target_speed speed;
  // Moving averages at slowdown 1; 0: not measured yet.
  double prefill_tokens_per_ms = 0;
  double first_token_overhead_ms = 0;  // time to the first token beyond prefill
  double output_token_ms = 0;          // between two tokens of a stream
  double service_ms = 0;               // of a whole call at a plain target
};

// The targets at which a peer had load or prefilled, by its last report.
struct reported_targets {
  std::vector<target_name> targets;
  instant valid_until{};
};

struct load_table {
  std::unordered_map<target_name, target_load> targets;
  std::map<router_address, reported_targets> peer_reports;
  double mean_prefill_tokens_per_ms = 0;  // over all engines; 0: not measured yet
  double mean_output_token_ms = 0;        // likewise
  // Of the fetches of this router, those that found their prefix at the source. Moving average.
  double fetch_found_fraction = initial_fetch_found_fraction;
};

// Sums over all routers.
int total_running_calls(const target_load& load);
double total_pending_prefill_tokens(const target_load& load);
double total_kv_used_tokens(const target_load& load);

// The engine's rate by its speed: measured or, while it is not, the mean of all engines or the
// default.
double estimated_prefill_tokens_per_ms(const load_table& table, const target_load& load,
                                       instant now);

// A prefix that was last used more than this number of tokens ago, by the clock
// `prefilled_tokens`, counts as evicted.
double estimated_prefix_cache_tokens(const target_load& load, double kv_capacity_tokens);

// Tokens of the prompt that the target is expected to have cached.
double cached_prompt_tokens(const target_load& load, const prompt& call_prompt,
                            double kv_capacity_tokens);

// The same without prefixes that this router knows to be still waiting for their prefill there.
double prefilled_prompt_tokens(const target_load& load, const prompt& call_prompt,
                               double kv_capacity_tokens);

// What one router measured of an engine or, until it has, of all engines, or a default.
double estimated_output_token_ms(const load_table& table, const target_load& load, instant now);
double estimated_first_token_overhead_ms(const target_load& load);
double estimated_service_ms(const target_load& load, instant now);  // of a plain target

// The load of the target; an empty one if nothing is known of it.
const target_load& load_or_empty(const load_table& table, const target_name& name);

// Adds a call to its target's load. Returns what it added, for the functions below.
// `call_prompt` is null for a call without a prompt. `fetch`: what the target fetches for it.
call_load record_call_sent(load_table& table, const target_name& target, const prompt* call_prompt,
                           double kv_capacity_tokens, instant now, const prefix_fetch& fetch = {});
// Returns whether the prefix that the call fetched was found at the source, as far as the time to
// the first token tells; unset if it does not.
std::optional<bool> record_first_token(load_table& table, const target_name& target,
                                       call_load& added, instant now);
// Records the time from one event of a stream to the next, which holds `tokens` tokens.
void record_event_gap(load_table& table, const target_name& target, duration gap, int tokens,
                      instant now);
// Removes a call from its target's load.
void record_call_ended(load_table& table, const target_name& target, call_load& added);

// Records the duration of a whole call at a plain target.
void record_service_time(load_table& table, const target_name& target, duration time, instant now);

// To be called when a gossip cycle starts: what the last cycle collected becomes the
// report that each peer gets once during this cycle.
void rotate_prefill_reports(load_table& table);

// Replaces the peer's load at the target. `prefixes` (low halves of the hashes) and
// `prefilled_tokens` are the peer's prefill report and add to earlier ones.
void update_peer_load(load_table& table, const router_address& peer, const target_name& target,
                      const peer_load& reported, const std::vector<std::uint32_t>& prefixes,
                      double prefilled_tokens);

// To be called after a report's targets were updated, with all of them: drops the peer's load at
// targets that it has reported before and does not report any more.
void complete_peer_report(load_table& table, const router_address& peer, reported_targets reported);

// Drops peers' loads that are no longer valid.
void expire_peer_loads(load_table& table, instant now);

// Drops all that is known of a target that restarted or was removed.
void remove_target_load(load_table& table, const target_name& target);

}  // namespace peridot
