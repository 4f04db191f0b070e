// Structured logs on standard output, formatted by log4cplus.
//
//   start_logging("router-a1", "info");
//   log_line(log_part::config, log_level::info, "Configuration in force. version=7");
//   flush_log();                       // from the event loop, a few times per second
//
// A line consists of time, level, process name, part of the process and text. The text is a short
// sentence, followed by fields as `key=value`. Control characters in it are replaced, so that data
// from a caller cannot forge a line.
//
// Lines are buffered in memory. flush_log() writes only as much as standard output accepts
// without blocking: a stalled reader never blocks the process.
// Limits: max_log_buffer_bytes; max_log_lines_per_second per part and level. Lines beyond
// these are dropped and counted, and one line reports the count.
// Thread safety: none; one thread only.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace peridot {

// Holds about 10 s of log lines of a busy router.
inline constexpr std::size_t max_log_buffer_bytes = 512 << 10;
inline constexpr int max_log_lines_per_second = 300;  // per part and level

enum class log_part { process, config, mesh, http, target };
enum class log_level { debug, info, warn, error };

// Precondition: `level` is debug, info, warn or error.
void start_logging(const std::string& process_name, const std::string& level);
// Queues a line; drops and counts it if a limit is exceeded.
void log_line(log_part part, log_level level, std::string_view text);

// True if one more line of this part and level is within the limits; it is then counted. Otherwise
// counts it as dropped.
bool reserve_log_line(log_part part, log_level level);

// Queues a line for which reserve_log_line() returned true.
void log_reserved_line(log_part part, log_level level, std::string_view text);

// The same as log_line() for lines of calls: `make_text` is only called if the line is within the
// limits, since under overload building the lines that are dropped would cost calls.
template <class MakeText>
void log_call_line(log_part part, log_level level, MakeText make_text) {
  if (reserve_log_line(part, level)) {
    log_reserved_line(part, level, make_text());
  }
}

// Writes as much of the buffer as standard output accepts now; never blocks.
void flush_log();

// Lines dropped since the process started.
std::uint64_t dropped_log_lines();

}  // namespace peridot
