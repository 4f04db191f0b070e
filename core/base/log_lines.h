// Log lines of several processes, read back for one time line.
//
//   log_line_record record;
//   if (parse_log_line(text, record)) ...
//   std::vector<log_line_record> merged = merge_log_lines(std::move(records));
//   if (log_field(record.text, "call") == "9c41") print
//
// A line reads: time, level, process, part, text with `key=value` fields. The times of
// day of instances differ a little: lines of one process keep their order.
// Thread safety: pure functions.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace peridot {

struct log_line_record {
  std::string timestamp;  // as written, which sorts as text
  std::string process;
  std::string text;  // the whole line
};

// False if the line has another form. What precedes the time is dropped.
bool parse_log_line(std::string_view line, log_line_record& record);

// By time; lines of one process in the order given.
std::vector<log_line_record> merge_log_lines(std::vector<log_line_record> records);

// The value of a `key=value` field; empty if the line has none.
std::string_view log_field(std::string_view line, std::string_view key);

}  // namespace peridot
