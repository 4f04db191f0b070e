// Splits a stream of server-sent events into whole events.
//
// Bytes go in as they arrive; whole events come out with their ids. A part of an
// event that was cut off is never handed out:
//
//   feed_events(splitter, data, [](std::string_view event, std::optional<std::uint64_t> id) {});
//   pending_bytes(splitter) != 0   // at the end: the stream broke off within an event
//
// An event ends at an empty line. Budget: max_event_bytes for one event; a longer
// one makes feed_events() return false.
// Thread safety: none; one loop.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

inline constexpr std::size_t max_event_bytes = 1 << 20;

struct event_splitter {
  std::string pending;
};

using event_handler =
    std::function<void(std::string_view event, std::optional<std::uint64_t> event_id)>;

// False if one event exceeds the budget.
bool feed_events(event_splitter& splitter, std::string_view data, const event_handler& on_event);

std::size_t pending_bytes(const event_splitter& splitter);

// The value of an event's "id" line, if it is a number.
std::optional<std::uint64_t> event_id(std::string_view event);

}  // namespace peridot
