#include "core/base/log_lines.h"

#include <algorithm>
#include <cctype>

namespace peridot {
namespace {

constexpr std::size_t time_length = 23;  // "2026-12-04T00:27:16.248"

bool is_time(std::string_view text) {
  constexpr std::string_view shape = "dddd-dd-ddTdd:dd:dd.ddd";
  if (text.size() < shape.size()) {
    return false;
  }
  for (std::size_t at = 0; at < shape.size(); ++at) {
    const bool digit = std::isdigit(static_cast<unsigned char>(text[at])) != 0;
    if (shape[at] == 'd' ? !digit : text[at] != shape[at]) {
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
  for (std::size_t at = 0; at + time_length <= line.size(); ++at) {
    if (!is_time(line.substr(at))) {
      continue;
    }
    std::string_view rest = line.substr(at);
    record.text = std::string(rest);
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
  std::size_t at = 0;
  while ((at = line.find(key, at)) != std::string_view::npos) {
    const bool begins = at == 0 || line[at - 1] == ' ';
    const std::size_t value = at + key.size();
    if (begins && value < line.size() && line[value] == '=') {
      return line.substr(value + 1, std::min(line.find(' ', value), line.size()) - value - 1);
    }
    at = value;
  }
  return {};
}

}  // namespace peridot
