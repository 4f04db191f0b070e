// Structured logs over log4cplus: one line an event, a fixed prefix per part.
//
//   start_logging("router-a1", "info");
//   log_line(log_part::config, log_level::info, "Configuration 7 is in force.");
//
// A line reads: time, level, process, part, text. Short sentences; fields as
// `key=value`. Control characters in the text are replaced, so that nothing a
// caller sends can forge a line.
// Thread safety: start_logging once before any log_line.
#pragma once

#include <string>
#include <string_view>

namespace peridot {

enum class log_part { process, config, mesh, http, target, lease, keys };
enum class log_level { debug, info, warn, error };

// Precondition: `level` is debug, info, warn or error. Writes to standard error.
void start_logging(const std::string& process, const std::string& level);
void log_line(log_part part, log_level level, std::string_view text);

}  // namespace peridot
