#include "core/base/log_lines.h"

#include <algorithm>
#include <cctype>

namespace peridot {
namespace {

constexpr std::size_t timestamp_length = 23;  // "2026-12-04T00:27:16.248"

bool starts_with_timestamp(std::string_view text) {
  constexpr std::string_view pattern = "dddd-dd-ddTdd:dd:dd.ddd";
  if (text.size() < pattern.size()) {
    return false;
  }
  for (std::size_t position = 0; position < pattern.size(); ++position) {
    const bool is_digit = std::isdigit(static_cast<unsigned char>(text[position])) != 0;
    if (pattern[position] == 'd' ? !is_digit : text[position] != pattern[position]) {
      return false;
    }
  }
  return true;
}

std::string_view next_word(std::string_view& rest) {
  while (rest.starts_with(' ')) {
    rest.remove_prefix(1);
  }
  const std::size_t end = std::min(rest.find(' '), rest.size());
  const std::string_view word = rest.substr(0, end);
  rest.remove_prefix(end);
  return word;
}

}  // namespace

bool parse_log_line(std::string_view line, log_line_record& record) {
  for (std::size_t position = 0; position + timestamp_length <= line.size(); ++position) {
    if (!starts_with_timestamp(line.substr(position))) {
      continue;
    }
    std::string_view rest = line.substr(position);
    record.line = std::string(rest);
    record.timestamp = std::string(next_word(rest));
    next_word(rest);  // the level
    record.process = std::string(next_word(rest));
    return !record.process.empty();
  }
  return false;
}

std::vector<log_line_record> merge_log_lines(std::vector<log_line_record> records) {
  std::stable_sort(records.begin(), records.end(),
                   [](const log_line_record& left, const log_line_record& right) {
                     return left.timestamp < right.timestamp;
                   });
  return records;
}

std::string_view log_field(std::string_view line, std::string_view key) {
  std::size_t position = 0;
  while ((position = line.find(key, position)) != std::string_view::npos) {
    const bool at_word_start = position == 0 || line[position - 1] == ' ';
    const std::size_t key_end = position + key.size();
    if (at_word_start && key_end < line.size() && line[key_end] == '=') {
      return line.substr(key_end + 1, std::min(line.find(' ', key_end), line.size()) - key_end - 1);
    }
    position = key_end;
  }
  return {};
}

}  // namespace peridot
