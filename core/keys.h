// Idempotency keys: at most one run of a call that may not be repeated.
//
// A caller takes a key from any router before it sends such a call, and sends
// the same key each time it repeats the call, through whichever router. The key
// names the incarnation that issued it, and only that incarnation may start the
// call; other routers forward to it. What the issuer remembers decides, so no
// clock, quorum or lease is involved:
//
//   - The issuer runs: it starts the call once, and joins repeats to the one run
//     or answers them with the kept result.
//   - The issuer is gone (the process has ended): no other process may start the
//     call, so it will never run from now on. Whether it ran is unknown.
//   - The issuer cannot be reached: nothing is started, and nothing is claimed.
//
// A key carries its expiry on the issuer's own monotonic clock, and an
// HMAC-SHA256 under the fleet key, so that nobody else can make one. The issuer
// forgets a used key only after it has expired, and refuses expired keys.
//
//   std::string text = issue_key(table, now);
//   std::optional<parsed_key> key = parse_key(text, table.fleet_key);
//   switch (begin_call(table, *key, fingerprint, now).what) { ... }
//   complete_call(table, key->sequence, answer, now);
//
// Budget: `max_used` used keys and `max_result_bytes` of kept answers; beyond the
// first a call is refused before it runs, beyond the second a repeat is told that
// the call is done but its answer was not kept.
// Thread safety: none; one loop owns the table.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.h"

namespace peridot {

struct parsed_key {
  router_identity issuer;
  std::string issuer_http;  // where to forward to
  std::uint64_t sequence = 0;
  std::uint64_t expires_us = 0;  // issuer's monotonic clock
};

// The final answer of a call, kept for repeats.
struct kept_answer {
  int status = 0;
  std::string content_type;
  std::string body;
  bool body_kept = true;  // false: larger than the budget
  outcome how = outcome::done;
  refusal why = refusal::none;
};

struct key_row {
  std::uint64_t fingerprint = 0;
  bool finished = false;
  kept_answer answer;
  instant expires{};
};

struct key_table {
  router_identity self;
  std::string self_http;
  std::string fleet_key;
  duration life{};
  std::size_t max_used = 0;
  std::size_t max_answer_bytes = 0;
  std::size_t max_answers_total_bytes = 0;
  std::uint64_t next_sequence = 1;
  std::size_t answers_bytes = 0;
  std::map<std::uint64_t, key_row> used;
  std::map<instant, std::uint64_t> by_expiry;  // expiry made unique by nanoseconds
};

std::string issue_key(key_table& table, instant now);

// Empty if the text is not a key of this fleet.
std::optional<parsed_key> parse_key(std::string_view text, std::string_view fleet_key);

struct begin_result {
  enum class kind {
    start,     // run it now; this is the only time this is said for the key
    join,      // it runs; wait for the same answer
    replay,    // it has finished; `answer` is valid until the next call
    not_mine,  // issued by another incarnation
    expired,
    conflict,  // the key was used for another body
    full,      // budget exhausted; nothing was started
  } what = kind::not_mine;
  const kept_answer* answer = nullptr;
};

begin_result begin_call(key_table& table, const parsed_key& key, std::uint64_t fingerprint,
                        instant now);

// Keeps the final answer. Precondition: begin_call said `start` for the key.
void complete_call(key_table& table, std::uint64_t sequence, kept_answer answer);

// The call provably did not run: the key may be used again.
// Precondition: begin_call said `start` and complete_call was not called.
void withdraw_call(key_table& table, std::uint64_t sequence);

// Forgets expired keys. Cost follows the number that expire.
void expire_keys(key_table& table, instant now);

}  // namespace peridot
