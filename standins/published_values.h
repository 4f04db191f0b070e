// Values of the configuration stand-in: versions, lag and staleness.
//
// A value is a list of published documents. A document is served once its lag
// is over. A stale value serves what it served when the fault began.
//
// Thread safety: plain values and functions with an explicit `now`.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "core/types.h"

namespace peridot::standins {

struct document {
  std::string text;
  std::uint64_t version = 0;
  instant served_from{};
};

struct published_value {
  std::chrono::milliseconds lag{0};
  std::deque<document> documents;  // oldest first: the one served and those that lag
  bool stale = false;
  std::optional<document> frozen;  // what a stale value serves; none: nothing yet
};

struct service_faults {
  bool down = false;                   // closes connections without an answer
  std::chrono::milliseconds delay{0};  // before each answer
};

// The number in the line "version = N" before the first table header.
std::optional<std::uint64_t> document_version(const std::string& text);

// False if the text has no version. A lower version than before is taken too:
// the platform may serve an older copy.
bool publish(published_value& value, const std::string& text, instant now);

// Begins or ends staleness. No effect if it is in that state.
void set_stale(published_value& value, bool stale, instant now);

// Null if nothing is served yet. Valid until the value changes.
const document* served_document(const published_value& value, instant now);

}  // namespace peridot::standins
