// Splits a stream of server-sent events into whole events.
//
// Data is fed as it arrives; each whole event is passed to a handler, with its id. An
// incomplete event is never passed on:
//
//   feed_events(splitter, data, [](std::string_view event, std::optional<std::uint64_t> id) {});
//   finish_events(splitter, handler);   // at the end of the data
//   ends_within_event(splitter)         // true if the stream was broken off
//
// An event ends at an empty line; lines end with CRLF, LF or CR. Memory: max_event_bytes plus the
// data of one call. Thread safety: none; for use from one event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

inline constexpr std::size_t max_event_bytes = 1 << 20;

struct event_splitter {
  std::string pending;  // the incomplete event at the end of the data
};

using event_handler =
    std::function<void(std::string_view event, std::optional<std::uint64_t> event_id)>;

// False if the incomplete event at the end of the data is longer than max_event_bytes.
bool feed_events(event_splitter& splitter, std::string_view data, const event_handler& on_event);

// Passes on the last event if it is whole and only waited for an LF that may follow its CR.
void finish_events(event_splitter& splitter, const event_handler& on_event);

// Bytes after the last whole event.
std::size_t pending_bytes(const event_splitter& splitter);

// True if `text` has a line that is neither empty nor a comment.
bool has_field(std::string_view text);

// True if the data ends within an event. Empty lines and comments after the last event are not
// an event. Precondition: finish_events() was called.
bool ends_within_event(const event_splitter& splitter);

// The value of the event's first "id" field; unset if there is none or it does not start
// with a number.
std::optional<std::uint64_t> event_id(std::string_view event);

}  // namespace peridot
