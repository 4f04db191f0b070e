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

inline constexpr double first_token_base_ms = 25;  // one step and the way there and back
inline constexpr double comfortable_part = 0.9;    // of the shortest aim: a wait that costs little
inline constexpr double assumed_read_rate = 30;    // tokens a ms before any was measured
inline constexpr double least_kept_part = 0.25;    // of an engine's memory that holds prefixes
inline constexpr double kept_safety = 0.85;        // evicted sooner than the model says

// What one call adds to its target's load.
struct call_cost {
  double unread = 0;     // prompt tokens that the target has to read
  double memory = 0;     // tokens in memory while it runs
  double ahead = 0;      // tokens that waited to be read when it was sent, its own included
  bool reading = false;  // the first token has not come yet
  instant sent_at{};
};

struct peer_load {
  int running = 0;
  double unread = 0;
  double memory = 0;
  instant valid_until{};
};

// What own calls read at an engine.
struct read_news {
  std::vector<std::uint32_t> prefixes;
  double tokens = 0;
};

struct target_load {
  int running = 0;    // own calls
  double unread = 0;  // own calls' prompt tokens not read yet
  double memory = 0;  // own calls' tokens
  std::map<router_address, peer_load> peers;
  peer_load all_peers;     // the sum of `peers`, so that a choice need not visit them
  double tokens_read = 0;  // clock of the engine's memory, all routers
  std::unordered_map<std::uint32_t, double> prefix_used_at;  // low half of the hash -> clock
  read_news collecting;                                      // of this cycle of gossip
  read_news telling;                                         // of the cycle before
  double read_rate = 0;                                      // tokens a ms; 0: none measured
  double base_ms = 0;     // mean time to the first token of short waits; 0: none measured
  double token_ms = 0;    // mean time between two tokens of a stream; 0: none measured
  double service_ms = 0;  // mean time of a call at a plain target
};

struct load_table {
  std::map<target_name, target_load> targets;
  double pool_read_rate = 0;  // mean over engines; 0: none measured
  double pool_token_ms = 0;   // likewise
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
  double kept_tokens = 0;             // of the prompt, expected in memory there
  double unread_ahead = 0;            // waiting to be read there
  int running = 0;                    // of all routers
};

// Of all routers.
int running_at(const target_load& load);
double unread_at(const target_load& load);
double memory_at(const target_load& load);
double read_rate_of(const load_table& table, const target_load& load);

// Tokens that were read since the oldest prefix still in memory, by the model.
double kept_window(const target_load& load, double memory_tokens);

// Tokens of the prompt that the target is expected to have in memory.
double kept_tokens(const target_load& load, const prompt& what, double memory_tokens);

// A call to an engine, as far as the choice depends on it.
struct engine_call {
  const prompt* what = nullptr;  // never null
  double memory_tokens = 0;      // of each engine
  duration aim{};                // the shortest target latency of the pool's routes
  duration left{};               // until the call is given up
  bool soonest = false;          // by the first token alone, whatever it costs others
};

placement choose_engine(const load_table& table, const std::vector<candidate>& candidates,
                        const engine_call& call);

// For targets that read no prompts: least busy by slots, then the own failure domain.
// `first_token_ms` is the predicted wait for a slot.
placement choose_plain(const load_table& table, const std::vector<candidate>& candidates,
                       std::uint64_t tie_breaker);

call_cost note_sent(load_table& table, const target_name& target, const prompt* what,
                    double memory_tokens, instant now);
void note_first_token(load_table& table, const target_name& target, call_cost& cost, instant now);
// The time from one event of a stream to the next, which holds `tokens` tokens.
void note_event_gap(load_table& table, const target_name& target, duration gap, int tokens);
void note_ended(load_table& table, const target_name& target, call_cost& cost);

// Time of one whole call at a plain target.
void note_service_time(load_table& table, const target_name& target, duration time);

// A cycle of gossip begins: what was collected is told to each peer once.
void begin_telling(load_table& table);

// A peer's calls at the target; `prefixes` and `tokens_read` of its last cycle.
void note_peer_load(load_table& table, const router_address& peer, const target_name& target,
                    const peer_load& told, const std::vector<std::uint32_t>& prefixes,
                    double tokens_read);

// Drops what peers told too long ago.
void expire_peer_loads(load_table& table, instant now);

// The target restarted or is gone: nothing is known of it.
void forget_load(load_table& table, const target_name& target);

}  // namespace peridot
