// Reads the typed keys of one table of a document and collects errors.
//
// Each read function looks up one key and checks its type and range. On success it stores
// the value; otherwise the output keeps its previous value and an error with file, line and
// dotted key is added. A missing optional key is no error. The keys that were looked up are
// recorded, so that check_unknown_keys() can reject all others.
//
//   table_reader reader = root_reader(tree, problems);
//   read_name(reader, "name", presence::required, settings.name);
//   read_milliseconds(reader, "stop_grace_ms", {500ms, 1h}, settings.stop_grace);
//   check_unknown_keys(reader);
//
// Limit: max_document_errors errors; further errors are dropped.
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

// The errors of one document.
struct error_list {
  std::string file;
  std::vector<document_error> errors;
};

// Adds an error unless the list is full.
void add_error(error_list& problems, std::size_t line, std::string key, std::string problem);

// Sorts by line; errors of one line keep their order.
void sort_by_line(std::vector<document_error>& errors);

struct table_reader {
  const document_value* table = nullptr;  // never null; outlives the reader
  std::string path;                       // "target[2]"; empty for the root
  error_list* problems = nullptr;         // never null; outlives the reader
  std::vector<std::string> known_keys;
};

enum class presence { required, optional };

// Both limits are inclusive.
template <class Value>
struct value_range {
  Value min;
  Value max;
};

// One allowed text of a key and the value that it stands for.
template <class Value>
struct choice {
  std::string_view text;
  Value value;
};

// Reader of the root table of a document.
table_reader root_reader(const document_value& root, error_list& problems);

// Full name of a key of this table, e.g. "target[2].warm_limit".
std::string dotted_key(const table_reader& reader, std::string_view key);

// Line of the key, or of the table if it has no such key.
std::size_t line_of_key(const table_reader& reader, std::string_view key);

// Adds an error for a key of this table.
void add_key_error(const table_reader& reader, std::string_view key, std::string problem);

// The value of `key` if it is present and of type `kind`, otherwise null. A wrong type or a
// missing required key adds an error.
const document_value* find_value(table_reader& reader, std::string_view key, presence needed,
                                 value_kind kind);

void read_boolean(table_reader& reader, std::string_view key, bool& output);
void read_name(table_reader& reader, std::string_view key, presence needed, std::string& output);
void read_endpoint(table_reader& reader, std::string_view key, presence needed,
                   std::string& output);

// A required secret. `length` in bytes. Its value never appears in an error.
void read_secret(table_reader& reader, std::string_view key, value_range<std::size_t> length,
                 std::string& output);

// An integer is accepted where a floating-point number is expected.
void read_number(table_reader& reader, std::string_view key, value_range<double> range,
                 double& output);

// A number of milliseconds, or of seconds; a fraction is accepted and rounded to milliseconds.
void read_milliseconds(table_reader& reader, std::string_view key,
                       value_range<std::chrono::milliseconds> range,
                       std::chrono::milliseconds& output);
void read_seconds(table_reader& reader, std::string_view key,
                  value_range<std::chrono::milliseconds> range, std::chrono::milliseconds& output);

// True if the key is present and in range. Used by the other integer readers.
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

// Reads an optional string that must be one of several fixed texts.
template <class Value, std::size_t Count>
void read_choice(table_reader& reader, std::string_view key, const choice<Value> (&choices)[Count],
                 Value& output) {
  const document_value* value = find_value(reader, key, presence::optional, value_kind::string);
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

// Readers of the tables of the array of tables `key`; empty if there is none. More than
// `max_count` tables give one error and an empty result.
std::vector<table_reader> read_tables(table_reader& reader, std::string_view key,
                                      std::size_t max_count);

// Reader of the table `key`. A missing table reads as an empty one.
table_reader read_table(table_reader& reader, std::string_view key);

// Endpoints of an array. Invalid and duplicate endpoints are left out, each with an error;
// more than `max_count` elements give one error and an empty result.
std::vector<std::string> read_endpoints(table_reader& reader, std::string_view key,
                                        std::size_t max_count);

// Adds an error for each key of the table that no read function has looked up.
void check_unknown_keys(const table_reader& reader);

// For values that must be unique: the line on which each was first used.
using first_lines = std::unordered_map<std::string, std::size_t>;

// Adds an error if an earlier table already uses the value. Empty values are ignored: they
// have been reported as missing.
void check_unique(const table_reader& reader, std::string_view key, const std::string& value,
                  first_lines& seen);

}  // namespace peridot
