// Recorded traces, replayed over the real decision code in virtual time.
//
// A trace is a text file: events in the order of their time, one a line, then
// the outcomes that are stated for them. docs/TRACES.md describes the format.
//
//   parsed_trace parsed = parse_trace(text);
//   if (parsed.errors.empty()) {
//     replay_result result = replay(parsed.what);
//     for (const std::string& miss : result.missed) { ... }
//   }
//
// A replay is a pure function of the trace: random choices that a trace leaves
// open, such as network delays, come from its seed.
// Thread safety: pure functions; replays share nothing.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"
#include "experiment/fleet.h"

namespace peridot::experiment {

// One "key=value" of an event.
struct trace_field {
  std::string key;
  std::string value;
};

struct trace_event {
  std::size_t line = 0;
  duration at{};
  std::string what;
  std::vector<trace_field> fields;
};

enum class comparison { equal, at_most, at_least };

struct stated_outcome {
  std::size_t line = 0;
  std::string key;
  comparison how = comparison::equal;
  std::string value;
};

struct trace {
  std::vector<trace_event> events;
  std::vector<stated_outcome> stated;
};

struct trace_error {
  std::size_t line = 0;
  std::string what;
};

struct parsed_trace {
  trace what;
  std::vector<trace_error> errors;  // empty if the text is good
};

// Reads a trace, and checks that each event is known and has the fields it needs
// and no others, that numbers are numbers, and that outcomes are stated.
parsed_trace parse_trace(std::string_view text);

struct found_outcome {
  std::string key;
  std::string value;
};

struct replay_result {
  std::vector<found_outcome> found;
  std::vector<std::string> missed;  // stated outcomes that were not met, one text each
  fleet_report report;
};

// `base` gives what no event sets, such as mechanisms that are switched off to
// show that an outcome can be missed.
// Precondition: the trace was parsed without errors.
replay_result replay(const trace& what, const fleet_options& base = {});

// The value of a field; `otherwise` if the event has no such field.
std::string text_of(const trace_event& event, std::string_view key, std::string_view otherwise);
double number_of(const trace_event& event, std::string_view key, double otherwise);
duration millis_of(const trace_event& event, std::string_view key, duration otherwise);

}  // namespace peridot::experiment
