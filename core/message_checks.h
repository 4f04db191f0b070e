// Validation of peer messages, before any table sees them.
//
// The seal proves that a peer has the fleet key, not that it works: a defect or a
// newer version may send anything. This is the one place that bounds every field,
// so that the tables behind it can calculate without special cases:
//
//   times     a clock in microseconds fits the clock type with room to add to it
//   costs     finite, not negative
//   names     1 to max_name_bytes bytes; those that may be absent may be empty
//   counts    bounded lists
//   numbers   shard indexes, queue lengths and fencing numbers with room to grow
//   choices   only values that this version knows
//
// A message with a problem is dropped whole and counted; the sender repeats what
// matters, or is defective.
//
// Thread safety: pure functions.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/types.h"
#include "proto/peer.pb.h"

namespace peridot {

// 126 years: neither it nor a sum of two overflows a clock in nanoseconds.
inline constexpr std::uint64_t max_message_time_us = 4'000'000'000'000'000;
inline constexpr double max_message_cost = 1e12;  // service units
inline constexpr double max_message_total = 1e18;
inline constexpr std::uint32_t max_message_shard_index = 1'024;
inline constexpr std::uint32_t max_message_queued = 10'000'000;
inline constexpr std::uint64_t max_message_fencing = std::uint64_t{1} << 52;
inline constexpr int max_message_entries = 8'192;

// What is wrong with a message of `from`, or nothing. `self` is the receiver: its
// own address is spoken for by nobody else.
std::optional<std::string_view> message_problem(const wire::peer_message& message,
                                                const router_identity& from,
                                                const router_address& self);

}  // namespace peridot
