// Reads the typed keys of one table of a document and collects what is wrong.
//
// Every function looks up one key, checks its type and range, and on success
// stores the value; otherwise the output keeps its default and an error with
// file, line and dotted key is added. The keys that were asked for are
// remembered, so that check_unknown_keys() refuses the rest.
//
//   table_reader reader = root_reader(tree, problems);
//   read_name(reader, "name", presence::required, settings.name);
//   read_milliseconds(reader, "tick_ms", {1ms, 1s}, settings.tick);
//   check_unknown_keys(reader);
//
// Budget: max_document_errors errors; further ones are dropped.
// Thread safety: none; one thread owns a reader and its error list.
#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/base/name_text.h"
#include "core/settings/document_error.h"
#include "core/settings/document_tree.h"

namespace peridot {

inline constexpr std::size_t max_document_errors = 100;

// What is wrong with one document.
struct error_list {
  std::string file;
  std::vector<document_error> errors;
};

// Adds an error unless the list is full.
void add_error(error_list& problems, std::size_t line, std::string key, std::string problem);

// Orders the errors by line, errors of one line as they were found.
void sort_by_line(std::vector<document_error>& errors);

struct table_reader {
  const document_value* table = nullptr;  // never null; outlives the reader
  std::string path;                       // "target[2]", empty for the root
  error_list* problems = nullptr;         // never null; outlives the reader
  std::vector<std::string> known_keys;
};

enum class presence { required, optional };

template <class Value>
struct value_range {
  Value min;
  Value max;
};

template <class Value>
struct choice {
  std::string_view text;
  Value value;
};

table_reader root_reader(const document_value& root, error_list& problems);

// "target[2].warm_limit".
std::string dotted_key(const table_reader& reader, std::string_view key);

// Line of a key, or of the table if it has no such key.
std::size_t line_of_key(const table_reader& reader, std::string_view key);

// Adds an error about a key of this table.
void add_key_error(const table_reader& reader, std::string_view key, std::string problem);

// The value of `key` if it is there and of type `kind`, otherwise null. A wrong
// type and a missing required key are reported.
const document_value* find_value(table_reader& reader, std::string_view key, presence needed,
                                 value_kind kind);

void read_boolean(table_reader& reader, std::string_view key, bool& output);
void read_name(table_reader& reader, std::string_view key, presence needed, std::string& output);
void read_endpoint(table_reader& reader, std::string_view key, presence needed,
                   std::string& output);

// A secret: its value never occurs in an error.
void read_secret(table_reader& reader, std::string_view key, value_range<std::size_t> length,
                 std::string& output);

// An integer is accepted where a floating-point number is expected.
void read_number(table_reader& reader, std::string_view key, value_range<double> range,
                 double& output);
void read_milliseconds(table_reader& reader, std::string_view key,
                       value_range<std::chrono::milliseconds> range,
                       std::chrono::milliseconds& output);

// True if the key is there and in range. The basis of the other integer readers.
bool read_signed(table_reader& reader, std::string_view key, presence needed,
                 value_range<std::int64_t> range, std::int64_t& output);

template <std::unsigned_integral Integer>
void read_integer(table_reader& reader, std::string_view key, presence needed,
                  value_range<std::int64_t> range, Integer& output) {
  std::int64_t value = 0;
  if (read_signed(reader, key, needed, range, value)) {
    output = static_cast<Integer>(value);
  }
}

// One of several fixed texts.
template <class Value, std::size_t Count>
void read_choice(table_reader& reader, std::string_view key, const choice<Value> (&choices)[Count],
                 Value& output) {
  const document_value* value = find_value(reader, key, presence::optional, value_kind::text);
  if (value == nullptr) {
    return;
  }
  std::string allowed;
  for (const choice<Value>& candidate : choices) {
    if (candidate.text == value->text) {
      output = candidate.value;
      return;
    }
    allowed += (allowed.empty() ? "\"" : ", \"") + std::string{candidate.text} + "\"";
  }
  add_key_error(reader, key, "must be one of " + allowed);
}

// Readers of the tables of a [[key]] section, none if there is no such section.
// More than `most` tables are one error and none are read.
std::vector<table_reader> read_tables(table_reader& reader, std::string_view key,
                                      std::size_t max_count);

// Reader of a [key] section. An absent section reads as an empty table.
table_reader read_table(table_reader& reader, std::string_view key);

// Endpoints of an array, without repeats.
std::vector<std::string> read_endpoints(table_reader& reader, std::string_view key,
                                        std::size_t max_count);

// Refuses keys that no function has asked for.
void check_unknown_keys(const table_reader& reader);

// Lines on which values that may not repeat were first seen.
using first_lines = std::unordered_map<std::string, std::size_t>;

// Reports a value that an earlier table has already used. Empty values, which
// have been reported as missing, are left out.
void check_unique(const table_reader& reader, std::string_view key, const std::string& value,
                  first_lines& seen);

}  // namespace peridot
