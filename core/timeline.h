// Time line of events: what this process decided, in a bounded ring.
//
// Each process records typed events with its own sequence number. Events that
// follow from a peer's message carry that peer's identity and sequence number,
// so that the operators' tool can merge the rings of all processes in an order
// that respects cause even if wall clocks differ.
//
//   timeline ring = make_timeline("router-a1", capacity);
//   record(ring, {.kind = event_kind::request_queued, .request = id, ...}, now, wall);
//
// Budget: `capacity` events, oldest dropped first and counted.
// Thread safety: none; one loop owns the ring.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "core/types.h"

namespace peridot {

enum class event_kind {
  process_started,
  process_stopping,
  process_stopped,
  peer_alive,
  peer_gone,
  peer_restarted,
  config_accepted,
  config_refused,
  list_accepted,
  lease_acquired,
  lease_lost,
  lease_released,
  request_queued,
  request_refused,
  grant_sent,
  grant_received,
  grant_returned,
  request_dispatched,
  request_finished,
  request_retried,
  key_issued,
  key_forwarded,
  key_joined,
  target_cold,
  target_usable,
  suspect_marked,
};

// Stable text, e.g. "lease_acquired".
const char* to_text(event_kind kind);

// One event. Fields that do not apply are empty. `cause_*` name the event of
// another process that this one follows, if any.
struct timeline_event {
  event_kind kind = event_kind::process_started;
  std::uint64_t sequence = 0;              // set by record(), grows by one
  std::chrono::microseconds monotonic{0};  // of the recording process
  std::chrono::system_clock::time_point wall{};
  std::string request{};  // request id
  organisation_name organisation{};
  target_name target{};
  std::string peer{};           // router address of the other side
  std::string cause_process{};  // name of the process that sent the message
  std::uint64_t cause_sequence = 0;
  std::string detail{};  // short, e.g. "pool=explain shard=2"
};

struct timeline {
  std::string process;
  std::size_t capacity = 0;
  std::uint64_t next_sequence = 1;
  std::uint64_t dropped = 0;
  std::deque<timeline_event> events;
};

timeline make_timeline(std::string process, std::size_t capacity);

// Stores the event and returns its sequence number. Precondition: capacity > 0.
std::uint64_t record(timeline& ring, timeline_event event, instant now,
                     std::chrono::system_clock::time_point wall);

// One event a line, fields `key=value` separated by spaces, values escaped so
// that a line never contains a raw newline or space. Order: sequence.
std::string to_lines(const timeline& ring);

// The reverse of to_lines. Lines that do not parse are counted in `bad_lines`.
struct parsed_timeline {
  std::string process;
  std::vector<timeline_event> events;
  std::size_t bad_lines = 0;
};
parsed_timeline parse_lines(const std::string& text);

// Events of several processes in one order: each process's own order is kept,
// every event comes after the one that caused it, and otherwise wall clocks
// decide. An event whose cause was dropped from its ring has no such constraint.
struct merged_event {
  std::string process;
  timeline_event event;
};
std::vector<merged_event> merge(const std::vector<parsed_timeline>& timelines);

// Keeps what matches every field of the filter that is not empty.
struct timeline_filter {
  std::string request{};
  organisation_name organisation{};
  target_name target{};
  std::string process{};
};
std::vector<merged_event> filter(const std::vector<merged_event>& events,
                                 const timeline_filter& wanted);

}  // namespace peridot
