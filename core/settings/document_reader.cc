#include "core/settings/document_reader.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/base/ip_endpoint.h"

namespace peridot {
namespace {

// A number without trailing zeros, as it is written in TOML.
std::string number_text(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text;
}

const document_value& empty_table() {
  static const document_value table;
  return table;
}

// Reads a number of units of `ms_per_unit` milliseconds.
void read_time(table_reader& reader, std::string_view key, double ms_per_unit,
               value_range<std::chrono::milliseconds> range, std::chrono::milliseconds& output) {
  double units = static_cast<double>(output.count()) / ms_per_unit;
  read_number(reader, key,
              {static_cast<double>(range.min.count()) / ms_per_unit,
               static_cast<double>(range.max.count()) / ms_per_unit},
              units);
  output = std::chrono::milliseconds{std::llround(units * ms_per_unit)};
}

}  // namespace

std::string to_text(const document_error& error) {
  std::string text = error.file;
  if (error.line != 0) {
    text += ":" + std::to_string(error.line);
  }
  text += ": ";
  if (!error.key.empty()) {
    text += error.key + ": ";
  }
  return text + error.problem;
}

void add_error(error_list& problems, std::size_t line, std::string key, std::string problem) {
  if (problems.errors.size() < max_document_errors) {
    problems.errors.push_back({problems.file, line, std::move(key), std::move(problem)});
  }
}

void sort_by_line(std::vector<document_error>& errors) {
  std::stable_sort(errors.begin(), errors.end(),
                   [](const document_error& left, const document_error& right) {
                     return left.line < right.line;
                   });
}

table_reader root_reader(const document_value& root, error_list& problems) {
  return {&root, "", &problems, {}};
}

std::string dotted_key(const table_reader& reader, std::string_view key) {
  const std::string text = printable(key);
  return reader.path.empty() ? text : reader.path + "." + text;
}

std::size_t line_of_key(const table_reader& reader, std::string_view key) {
  const document_entry* entry = find_entry(*reader.table, key);
  return entry == nullptr ? reader.table->line : entry->line;
}

void add_key_error(const table_reader& reader, std::string_view key, std::string problem) {
  add_error(*reader.problems, line_of_key(reader, key), dotted_key(reader, key),
            std::move(problem));
}

const document_value* find_value(table_reader& reader, std::string_view key, presence needed,
                                 value_kind kind) {
  reader.known_keys.emplace_back(key);
  const document_entry* entry = find_entry(*reader.table, key);
  if (entry == nullptr) {
    if (needed == presence::required) {
      add_key_error(reader, key, "is missing");
    }
    return nullptr;
  }
  if (entry->value.kind != kind) {
    add_key_error(reader, key,
                  std::string{"must be "} + to_text(kind) + ", not " + to_text(entry->value.kind));
    return nullptr;
  }
  return &entry->value;
}

void read_boolean(table_reader& reader, std::string_view key, bool& output) {
  const document_value* value = find_value(reader, key, presence::optional, value_kind::boolean);
  if (value != nullptr) {
    output = value->boolean;
  }
}

void read_name(table_reader& reader, std::string_view key, presence needed, std::string& output) {
  const document_value* value = find_value(reader, key, needed, value_kind::string);
  if (value == nullptr) {
    return;
  }
  if (!is_valid_name(value->text)) {
    add_key_error(reader, key,
                  "must have 1 to " + std::to_string(max_name_bytes) +
                      " bytes, no control characters and no space at either end");
    return;
  }
  output = value->text;
}

void read_endpoint(table_reader& reader, std::string_view key, presence needed,
                   std::string& output) {
  const document_value* value = find_value(reader, key, needed, value_kind::string);
  if (value == nullptr) {
    return;
  }
  std::string problem = endpoint_problem(value->text);
  if (!problem.empty()) {
    add_key_error(reader, key, std::move(problem));
    return;
  }
  output = value->text;
}

void read_secret(table_reader& reader, std::string_view key, value_range<std::size_t> length,
                 std::string& output) {
  const document_value* value = find_value(reader, key, presence::required, value_kind::string);
  if (value == nullptr) {
    return;
  }
  if (value->text.size() < length.min || value->text.size() > length.max) {
    add_key_error(reader, key,
                  "must have " + std::to_string(length.min) + " to " + std::to_string(length.max) +
                      " bytes, has " + std::to_string(value->text.size()));
    return;
  }
  output = value->text;
}

void read_number(table_reader& reader, std::string_view key, value_range<double> range,
                 double& output) {
  const document_entry* entry = find_entry(*reader.table, key);
  const bool is_integer = entry != nullptr && entry->value.kind == value_kind::integer;
  const document_value* value = find_value(reader, key, presence::optional,
                                           is_integer ? value_kind::integer : value_kind::floating);
  if (value == nullptr) {
    return;
  }
  const double number = is_integer ? static_cast<double>(value->integer) : value->floating;
  if (!std::isfinite(number) || number < range.min || number > range.max) {
    add_key_error(reader, key,
                  "must be from " + number_text(range.min) + " to " + number_text(range.max));
    return;
  }
  output = number;
}

void read_milliseconds(table_reader& reader, std::string_view key,
                       value_range<std::chrono::milliseconds> range,
                       std::chrono::milliseconds& output) {
  read_time(reader, key, 1, range, output);
}

void read_seconds(table_reader& reader, std::string_view key,
                  value_range<std::chrono::milliseconds> range, std::chrono::milliseconds& output) {
  constexpr double ms_per_second = 1'000;
  read_time(reader, key, ms_per_second, range, output);
}

bool read_signed(table_reader& reader, std::string_view key, presence needed,
                 value_range<std::int64_t> range, std::int64_t& output) {
  const document_value* value = find_value(reader, key, needed, value_kind::integer);
  if (value == nullptr) {
    return false;
  }
  if (value->integer < range.min || value->integer > range.max) {
    add_key_error(reader, key,
                  "must be from " + std::to_string(range.min) + " to " + std::to_string(range.max));
    return false;
  }
  output = value->integer;
  return true;
}

std::vector<table_reader> read_tables(table_reader& reader, std::string_view key,
                                      std::size_t max_count) {
  std::vector<table_reader> result;
  const document_value* section = find_value(reader, key, presence::optional, value_kind::array);
  if (section == nullptr) {
    return result;
  }
  if (section->elements.size() > max_count) {
    add_key_error(reader, key,
                  "has " + std::to_string(section->elements.size()) + " tables, at most " +
                      std::to_string(max_count) + " are allowed");
    return result;
  }
  for (std::size_t index = 0; index < section->elements.size(); ++index) {
    const document_value& element = section->elements[index];
    std::string path = dotted_key(reader, key) + "[" + std::to_string(index) + "]";
    if (element.kind != value_kind::table) {
      add_error(*reader.problems, element.line, std::move(path),
                std::string{"must be a table, not "} + to_text(element.kind));
      continue;
    }
    result.push_back({&element, std::move(path), reader.problems, {}});
  }
  return result;
}

table_reader read_table(table_reader& reader, std::string_view key) {
  const document_value* section = find_value(reader, key, presence::optional, value_kind::table);
  return {
      section == nullptr ? &empty_table() : section, dotted_key(reader, key), reader.problems, {}};
}

std::vector<std::string> read_endpoints(table_reader& reader, std::string_view key,
                                        std::size_t max_count) {
  std::vector<std::string> result;
  const document_value* list = find_value(reader, key, presence::optional, value_kind::array);
  if (list == nullptr) {
    return result;
  }
  if (list->elements.size() > max_count) {
    add_key_error(reader, key, "must have at most " + std::to_string(max_count) + " addresses");
    return result;
  }
  for (std::size_t index = 0; index < list->elements.size(); ++index) {
    const document_value& element = list->elements[index];
    std::string problem;
    if (element.kind != value_kind::string) {
      problem = std::string{"must be a string, not "} + to_text(element.kind);
    } else if (std::find(result.begin(), result.end(), element.text) != result.end()) {
      problem = "duplicate address";
    } else {
      problem = endpoint_problem(element.text);
    }
    if (problem.empty()) {
      result.push_back(element.text);
      continue;
    }
    add_error(*reader.problems, element.line,
              dotted_key(reader, key) + "[" + std::to_string(index) + "]", std::move(problem));
  }
  return result;
}

void check_unknown_keys(const table_reader& reader) {
  std::string known;
  for (const std::string& key : reader.known_keys) {
    known += (known.empty() ? "" : ", ") + key;
  }
  for (const document_entry& entry : reader.table->entries) {
    auto found = std::find(reader.known_keys.begin(), reader.known_keys.end(), entry.key);
    if (found == reader.known_keys.end()) {
      add_error(*reader.problems, entry.line, dotted_key(reader, entry.key),
                "unknown key; known keys: " + known);
    }
  }
}

void check_unique(const table_reader& reader, std::string_view key, const std::string& value,
                  first_lines& seen) {
  if (value.empty()) {
    return;
  }
  const std::size_t line = line_of_key(reader, key);
  const std::pair<first_lines::iterator, bool> entry = seen.emplace(value, line);
  if (!entry.second) {
    add_key_error(reader, key,
                  "\"" + printable(value) + "\" is already used on line " +
                      std::to_string(entry.first->second));
  }
}

}  // namespace peridot
