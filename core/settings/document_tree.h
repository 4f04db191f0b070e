// A TOML document as a tree of typed values with their line numbers.
//
// Only the implementation of this header includes the TOML library; all code that reads
// documents uses this tree.
//
// Limits: a document has at most max_document_bytes, a line has at most
// max_document_line_bytes, and arrays and inline tables nest at most max_document_nesting
// levels. The last two bound the depth of the tree, to which each dot of a dotted key adds a
// level, and with it the stack used by recursion over the tree.
//
// Thread safety: pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/settings/document_error.h"

namespace peridot {

inline constexpr std::size_t max_document_line_bytes = 1'024;
inline constexpr std::size_t max_document_nesting = 4;

enum class value_kind { string, integer, floating, boolean, date_or_time, array, table };

// For error messages: "a string", "an integer", ...
const char* to_text(value_kind kind);

struct document_entry;

// One value. Only the field for its `kind` is set.
struct document_value {
  value_kind kind = value_kind::table;
  std::size_t line = 0;  // 1-based
  std::string text;
  std::int64_t integer = 0;
  double floating = 0;
  bool boolean = false;
  std::vector<document_value> elements;  // of an array
  std::vector<document_entry> entries;   // of a table, sorted by key
};

struct document_entry {
  std::string key;
  std::size_t line = 0;
  document_value value;
};

// The root table, or nullopt and one error.
struct tree_result {
  std::optional<document_value> root;
  std::vector<document_error> errors;
};

// `file` is only used in errors.
tree_result parse_document_tree(std::string_view text, std::string_view file);

// The entry with this key, or null. Precondition: `table` is a table.
const document_entry* find_entry(const document_value& table, std::string_view key);

}  // namespace peridot
