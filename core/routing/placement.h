// Where a call goes: the load of each target as one router sees it, and the choice.
//
// For engines the time to the first token is predicted from the prompt tokens that
// are waiting to be read there (own calls, and peers' calls by their gossip), the
// part of the prompt that the engine has in memory, and the speed at which it was
// seen to read. What an engine keeps is followed by a clock of tokens read: a prefix
// that was used `capacity` tokens ago has been evicted (least recently used first).
//
//   call_cost cost = note_sent(table, target, prompt, now);
//   note_first_token(table, target, cost, now);   // the prompt has been read
//   note_ended(table, target, cost);
//   placement choice = choose_engine(table, candidates, call);
//   expire_peer_loads(table, now);  // each tick
//
// Waiting for a while costs little as long as the first token is on time, while
// reading a shared part again takes the engine from everybody: up to a comfortable
// wait, calls go where their parts are kept; beyond, the wait outweighs.
//
// Reading a prompt delays every stream that its engine writes, so it costs more where
// many are written; calls with long outputs go where tokens come fast. Engines that
// mostly read and engines that mostly write come about by themselves.
//
// Load patterns answered: long shared prompts over many subjects (each is read by
// few engines), many short shared parts (they meet often enough to stay in memory),
// one hot subject (spills to others once the wait exceeds reading it again), many
// routers on one stale report (own sends count at once).
//
// Invariants: running >= 0, unread >= 0; `all_peers` is the sum of `peers`. Cost of a
// choice: two lookups and a few steps for each candidate, whatever the number of routers.
// Thread safety: none; one loop.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/base/types.h"
#include "core/calls/call.h"

namespace peridot {

inline constexpr double min_first_token_overhead_ms = 25;  // one step and the way there and back
inline constexpr double on_time_wait_fraction =
    0.9;  // of the shortest aim: a wait that costs little
inline constexpr double default_prefill_tokens_per_ms = 30;  // tokens a ms before any was measured
inline constexpr double min_prefix_cache_fraction =
    0.25;  // of an engine's memory that holds prefixes
inline constexpr double prefix_cache_safety_factor = 0.85;  // evicted sooner than the model says

// What one call adds to its target's load.
struct call_load {
  double prefill_tokens = 0;  // prompt tokens that the target has to read
  double kv_used_tokens = 0;  // tokens in memory while it runs
  double queued_prefill_tokens =
      0;  // tokens that waited to be read when it was sent, its own included
  bool awaiting_first_token = false;  // the first token has not come yet
  instant sent_at{};
};

struct peer_load {
  int running_calls = 0;
  double pending_prefill_tokens = 0;
  double kv_used_tokens = 0;
  instant valid_until{};
};

// What own calls read at an engine.
struct prefill_report {
  std::vector<std::uint32_t> prefixes;
  double tokens = 0;
};

struct target_load {
  int running_calls = 0;              // own calls
  double pending_prefill_tokens = 0;  // own calls' prompt tokens not read yet
  double kv_used_tokens = 0;          // own calls' tokens
  std::map<router_address, peer_load> peers;
  peer_load peer_total;         // the sum of `peers`, so that a choice need not visit them
  double prefilled_tokens = 0;  // clock of the engine's memory, all routers
  std::unordered_map<std::uint32_t, double> prefix_last_used;  // low half of the hash -> clock
  prefill_report next_prefill_report;                          // of this cycle of gossip
  prefill_report current_prefill_report;                       // of the cycle before
  double prefill_tokens_per_ms = 0;                            // tokens a ms; 0: none measured
  double first_token_overhead_ms =
      0;                       // mean time to the first token of short waits; 0: none measured
  double output_token_ms = 0;  // mean time between two tokens of a stream; 0: none measured
  double service_ms = 0;       // mean time of a call at a plain target
};

struct load_table {
  std::map<target_name, target_load> targets;
  double mean_prefill_tokens_per_ms = 0;  // mean over engines; 0: none measured
  double mean_output_token_ms = 0;        // likewise
};

struct candidate {
  target_name name;
  int slots = 1;
  bool same_domain = false;
};

struct placement {
  const candidate* chosen = nullptr;  // null: there are no candidates
  double first_token_ms = 0;          // predicted, from now
  double queue_ms = 0;                // of it, waiting for other calls that are read or written
  double cached_tokens = 0;           // of the prompt, expected in memory there
  double pending_prefill_tokens = 0;  // waiting to be read there
  int running_calls = 0;              // of all routers
};

// Of all routers.
int total_running_calls(const target_load& load);
double total_pending_prefill_tokens(const target_load& load);
double total_kv_used_tokens(const target_load& load);
double estimated_prefill_tokens_per_ms(const load_table& table, const target_load& load);

// Tokens that were read since the oldest prefix still in memory, by the model.
double prefix_cache_window(const target_load& load, double kv_capacity_tokens);

// Tokens of the prompt that the target is expected to have in memory.
double cached_prompt_tokens(const target_load& load, const prompt& call_prompt,
                            double kv_capacity_tokens);

// A call to an engine, as far as the choice depends on it.
struct engine_call {
  const prompt* call_prompt = nullptr;  // never null
  double kv_capacity_tokens = 0;        // of each engine
  duration min_latency_objective{};     // the shortest target latency of the pool's routes
  duration time_left{};                 // until the call is given up
  bool earliest_first_token = false;    // by the first token alone, whatever it costs others
};

placement choose_engine(const load_table& table, const std::vector<candidate>& candidates,
                        const engine_call& call);

// For targets that read no prompts: least busy by slots, then the own failure domain.
// `first_token_ms` is the predicted wait for a slot.
placement choose_plain_target(const load_table& table, const std::vector<candidate>& candidates,
                              std::uint64_t tie_breaker);

call_load record_call_sent(load_table& table, const target_name& target, const prompt* call_prompt,
                           double kv_capacity_tokens, instant now);
void record_first_token(load_table& table, const target_name& target, call_load& added,
                        instant now);
// The time from one event of a stream to the next, which holds `tokens` tokens.
void record_event_gap(load_table& table, const target_name& target, duration gap, int tokens);
void record_call_ended(load_table& table, const target_name& target, call_load& added);

// Time of one whole call at a plain target.
void record_service_time(load_table& table, const target_name& target, duration time);

// A cycle of gossip begins: what was collected is told to each peer once.
void rotate_prefill_reports(load_table& table);

// A peer's calls at the target; `prefixes` and `tokens_read` of its last cycle.
void update_peer_load(load_table& table, const router_address& peer, const target_name& target,
                      const peer_load& reported, const std::vector<std::uint32_t>& prefixes,
                      double prefilled_tokens);

// Drops what peers told too long ago.
void expire_peer_loads(load_table& table, instant now);

// The target restarted or is gone: nothing is known of it.
void remove_target_load(load_table& table, const target_name& target);

}  // namespace peridot
