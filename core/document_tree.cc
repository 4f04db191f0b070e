// The only unit that includes the TOML library. Its parse errors, its assertions
// and its node types end here.
//
// The parser of the library asserts what bad input can violate, e.g. a table
// header that does not start with a key. Bad input must not end the process, and
// with NDEBUG the same expressions are assumptions of the optimizer. So an
// assertion throws here, and the document is refused. It carries no position: how
// much of a stream the parser has taken by then narrows it to a few lines, and
// bisection over the prefixes of the document finds the line among them.
#include "core/document_tree.h"

#include <algorithm>
#include <sstream>

#include "core/name_text.h"

namespace peridot {
namespace {

// Thrown in place of an assertion of the TOML library.
struct parser_assertion {};

constexpr void assert_in_parser(bool holds) {
  if (!holds) {
    throw parser_assertion{};
  }
}

}  // namespace
}  // namespace peridot

#undef NDEBUG
#define TOML_HEADER_ONLY 1
#define TOML_ENABLE_FORMATTERS 0
#define TOML_MAX_NESTED_VALUES 4
#define TOML_ASSERT(expression) ::peridot::assert_in_parser(static_cast<bool>(expression))
#include <toml++/toml.h>

namespace peridot {
namespace {

static_assert(TOML_MAX_NESTED_VALUES == max_document_nesting);

// Upper bound of what the parser reads from a stream ahead of what it looks at.
constexpr std::size_t max_read_ahead_bytes = 128;

std::size_t line_of(const toml::source_region& region) {
  return std::max<std::size_t>(1, region.begin.line);
}

document_value convert(const toml::node& node);

document_value convert_table(const toml::table& table) {
  document_value value;
  value.kind = value_kind::table;
  for (auto entry = table.begin(); entry != table.end(); ++entry) {
    const toml::key& key = entry->first;
    value.entries.push_back(
        {std::string{key.str()}, line_of(key.source()), convert(entry->second)});
  }
  return value;
}

document_value convert_array(const toml::array& array) {
  document_value value;
  value.kind = value_kind::array;
  for (const toml::node& element : array) {
    value.elements.push_back(convert(element));
  }
  return value;
}

document_value convert_scalar(const toml::node& node) {
  document_value value;
  if (const toml::value<std::string>* text = node.as_string()) {
    value.kind = value_kind::text;
    value.text = text->get();
  } else if (const toml::value<std::int64_t>* integer = node.as_integer()) {
    value.kind = value_kind::integer;
    value.integer = integer->get();
  } else if (const toml::value<double>* floating = node.as_floating_point()) {
    value.kind = value_kind::floating;
    value.floating = floating->get();
  } else if (const toml::value<bool>* boolean = node.as_boolean()) {
    value.kind = value_kind::boolean;
    value.boolean = boolean->get();
  } else {
    value.kind = value_kind::date_or_time;
  }
  return value;
}

document_value convert(const toml::node& node) {
  document_value value;
  if (const toml::table* table = node.as_table()) {
    value = convert_table(*table);
  } else if (const toml::array* array = node.as_array()) {
    value = convert_array(*array);
  } else {
    value = convert_scalar(node);
  }
  value.line = line_of(node.source());
  return value;
}

// 1-based number of the first line that is too long, 0 if there is none.
std::size_t first_long_line(std::string_view text) {
  std::size_t line = 1;
  std::size_t length = 0;
  for (char byte : text) {
    ++length;
    if (byte == '\n') {
      ++line;
      length = 0;
    } else if (length > max_document_line_bytes) {
      return line;
    }
  }
  return 0;
}

// Byte after each line of the text.
std::vector<std::size_t> line_ends(std::string_view text) {
  std::vector<std::size_t> ends;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '\n' || index + 1 == text.size()) {
      ends.push_back(index + 1);
    }
  }
  return ends;
}

bool violates_assertion(std::string_view text) {
  try {
    const toml::table ignored = toml::parse(text);
  } catch (const toml::parse_error&) {
    return false;
  } catch (const parser_assertion&) {
    return true;
  }
  return false;
}

// How many bytes the parser takes from a stream until it violates an assertion.
std::size_t bytes_until_assertion(std::string_view text) {
  std::istringstream stream{std::string{text}};
  try {
    const toml::table ignored = toml::parse(stream);
  } catch (const toml::parse_error&) {
    return text.size();
  } catch (const parser_assertion&) {
    const std::streamoff taken = stream.tellg();
    return taken < 0 ? text.size() : static_cast<std::size_t>(taken);
  }
  return text.size();
}

// 1-based number of the line whose parsing violates an assertion. Precondition:
// parsing the whole text does. The parser reads forwards, so that prefixes which
// hold the line violate it and shorter ones do not.
std::size_t asserting_line(std::string_view text) {
  const std::vector<std::size_t> ends = line_ends(text);
  const std::size_t taken = bytes_until_assertion(text);
  const std::size_t passed = taken - std::min(taken, max_read_ahead_bytes);
  auto first = std::upper_bound(ends.begin(), ends.end(), passed);
  auto last = std::lower_bound(first, ends.end(), taken);
  auto found = std::partition_point(
      first, last, [text](std::size_t end) { return !violates_assertion(text.substr(0, end)); });
  const std::size_t line = static_cast<std::size_t>(found - ends.begin()) + 1;
  return std::min(line, ends.size());
}

tree_result refusal_of(std::string_view file, std::size_t line, std::string problem) {
  tree_result result;
  result.errors.push_back({std::string{file}, line, "", std::move(problem)});
  return result;
}

}  // namespace

const char* to_text(value_kind kind) {
  switch (kind) {
    case value_kind::text:
      return "a string";
    case value_kind::integer:
      return "an integer";
    case value_kind::floating:
      return "a floating-point number";
    case value_kind::boolean:
      return "a boolean";
    case value_kind::date_or_time:
      return "a date or time";
    case value_kind::array:
      return "an array";
    case value_kind::table:
      return "a table";
  }
  return "a table";
}

tree_result parse_document_tree(std::string_view text, std::string_view file) {
  if (text.size() > max_document_bytes) {
    return refusal_of(
        file, 0, "the document is longer than " + std::to_string(max_document_bytes) + " bytes");
  }
  const std::size_t long_line = first_long_line(text);
  if (long_line != 0) {
    return refusal_of(
        file, long_line,
        "the line is longer than " + std::to_string(max_document_line_bytes) + " bytes");
  }
  try {
    const toml::table root = toml::parse(text);
    tree_result result;
    result.root = convert(root);
    result.root->line = 1;
    return result;
  } catch (const toml::parse_error& error) {
    return refusal_of(file, line_of(error.source()),
                      "not valid TOML: " + printable(error.description()));
  } catch (const parser_assertion&) {
    return refusal_of(file, asserting_line(text), "not valid TOML: a key or value is expected");
  }
}

const document_entry* find_entry(const document_value& table, std::string_view key) {
  auto found = std::find_if(table.entries.begin(), table.entries.end(),
                            [key](const document_entry& entry) { return entry.key == key; });
  return found == table.entries.end() ? nullptr : &*found;
}

}  // namespace peridot
