// Parses log lines of several processes and merges them into one timeline.
//
//   log_line_record record;
//   if (parse_log_line(line, record)) ...
//   std::vector<log_line_record> merged = merge_log_lines(std::move(records));
//   if (log_field(record.line, "call") == "9c41") print
//
// Format of a line: timestamp, level, process, module, and a message with `key=value` fields.
// The clocks of instances differ slightly, so the order between their processes is
// approximate; lines with equal timestamps keep the order given.
// Thread safety: pure functions.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace peridot {

struct log_line_record {
  std::string timestamp;  // as written; sorts lexicographically
  std::string process;
  std::string line;  // the whole line, from the timestamp on
};

// False if the line has another format. Text before the timestamp is dropped.
bool parse_log_line(std::string_view line, log_line_record& record);

// Sorts by timestamp. Lines with equal timestamps keep the order given.
std::vector<log_line_record> merge_log_lines(std::vector<log_line_record> records);

// The value of a `key=value` field; empty if the line has no such field.
std::string_view log_field(std::string_view line, std::string_view key);

}  // namespace peridot
