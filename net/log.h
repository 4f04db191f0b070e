// Structured logs over log4cplus, on standard output.
//
//   start_logging("router-a1", "info");
//   log_line(log_part::config, log_level::info, "Configuration in force. version=7");
//   flush_log();                       // from the loop, a few times a second
//
// A line reads: time, level, process, part, text. Short sentences; fields as
// `key=value`. Control characters in the text are replaced, so that nothing a
// caller sends can forge a line.
//
// Lines are gathered in memory and written by flush_log() only as far as the reader
// takes them: a reader that stands still never blocks the process.
// Budget: max_log_buffer bytes; max_lines_per_second a part and level. Lines beyond
// are dropped and counted, and one line tells how many.
// Thread safety: one thread.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace peridot {

inline constexpr std::size_t max_log_buffer_bytes = 512 << 10;  // about 10 s of a busy router
inline constexpr int max_log_lines_per_second = 300;            // of each part and level

enum class log_part { process, config, mesh, http, target };
enum class log_level { debug, info, warn, error };

// Precondition: `level` is debug, info, warn or error.
void start_logging(const std::string& process, const std::string& level);
void log_line(log_part part, log_level level, std::string_view text);

// Writes what the reader takes now; never blocks.
void flush_log();

std::uint64_t dropped_log_lines();

}  // namespace peridot
