// Incarnations of targets that have ended lately: the target has left, or has started again.
//
// An entry of such an incarnation may still come, from a write that the store does late; see
// core/fleet/entry_history.h. Routers report ended incarnations to each other, so that one that has
// started since the end can tell such an entry too.
//
//   mark_ended(table, incarnation_hash(entry), now, now);
//   for (const ended_report& report : ended_to_report(table, all, now)) ...
//   merge_ended(table, report, now);  // of a peer
//
// Bound: max_ended_incarnations, the oldest go first.
// Thread safety: none; for use from one event loop.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/base/types.h"

namespace peridot {

inline constexpr std::size_t max_ended_incarnations = 4'096;
// In one message between routers: 2 KB at most.
inline constexpr std::size_t max_reported_ended = 256;

struct ended_incarnation {
  instant ended_at{};
  instant learned_at{};  // by this router
};

struct ended_table {
  std::unordered_map<std::uint32_t, ended_incarnation> incarnations;  // by incarnation_hash()
};

struct ended_report {
  std::uint32_t incarnation = 0;
  instant ended_at{};
};

void mark_ended(ended_table& table, std::uint32_t incarnation, instant ended_at, instant now);

// The incarnation goes on, as its entry has shown.
void forget_ended(ended_table& table, std::uint32_t incarnation);

// When it ended; empty if that is not known.
std::optional<instant> find_ended(const ended_table& table, std::uint32_t incarnation);

// Those that this router learned of lately, or all; the newest if there are too many.
std::vector<ended_report> ended_to_report(const ended_table& table, bool all, instant now);

// Applies a peer's report. Returns false if it says nothing new.
bool merge_ended(ended_table& table, const ended_report& report, instant now);

// Drops those that ended before `oldest`.
void forget_ended_before(ended_table& table, instant oldest);

}  // namespace peridot
