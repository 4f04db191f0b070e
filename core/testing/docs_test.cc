// The tables of docs/ name the keys and ranges that the code accepts. The code's
// side is read from the errors that an unknown key and a value of -1 get.
#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <map>
#include <string>

#include "core/settings.h"

namespace peridot {
namespace {

using key_ranges = std::map<std::string, std::string>;  // "" if there is no range

struct documented_section {
  std::string file;
  std::string heading;
  std::string text;  // a document up to the section
  std::vector<document_error> (*errors_of)(const std::string& text);
};

std::vector<document_error> config_errors(const std::string& text) {
  return parse_published_config(text, "f").errors;
}

std::vector<document_error> list_errors(const std::string& text) {
  return parse_instance_list(text, "f").errors;
}

std::vector<document_error> settings_errors(const std::string& text) {
  return parse_settings(text, "f").errors;
}

const documented_section sections[] = {
    {"CONFIGURATION.md", "## Top of the configuration", "", config_errors},
    {"CONFIGURATION.md", "## `[fleet]`", "[fleet]\n", config_errors},
    {"CONFIGURATION.md", "## `[[failure_domain]]`", "[[failure_domain]]\n", config_errors},
    {"CONFIGURATION.md", "## `[[profile]]`", "[[profile]]\n", config_errors},
    {"CONFIGURATION.md", "## `[[organisation]]`", "[[organisation]]\n", config_errors},
    {"CONFIGURATION.md", "## `[[target]]`", "[[target]]\n", config_errors},
    {"CONFIGURATION.md", "## Top of the list", "", list_errors},
    {"CONFIGURATION.md", "## `[[router]]`", "[[router]]\n", list_errors},
    {"CONFIGURATION.md", "## `[[target]]` of the list", "[[target]]\n", list_errors},
    {"SETTINGS.md", "## Keys", "", settings_errors},
};

// What follows `lead` in the error about a key, empty if there is none.
std::string problem_after(const documented_section& section, const std::string& line,
                          const std::string& lead) {
  for (const document_error& error : section.errors_of(section.text + line)) {
    const bool same_key = error.key.ends_with(line.substr(0, line.find(' ')));
    if (same_key && error.problem.starts_with(lead)) {
      return error.problem.substr(lead.size());
    }
  }
  return "";
}

key_ranges accepted(const documented_section& section) {
  key_ranges ranges;
  std::string keys = problem_after(section, "zz = 1", "unknown key; known are: ") + ", ";
  for (std::size_t end = keys.find(", "); end != std::string::npos; end = keys.find(", ")) {
    const std::string key = keys.substr(0, end);
    ranges[key] = problem_after(section, key + " = -1", "must be from ");
    keys.erase(0, end + 2);
  }
  return ranges;
}

// Rows "| `key` | type | default | range | meaning |" below the heading.
key_ranges documented(const documented_section& section) {
  std::ifstream file(std::string{PERIDOT_SOURCE_DIR} + "/docs/" + section.file);
  key_ranges ranges;
  bool inside = false;
  for (std::string line; std::getline(file, line);) {
    inside = line.starts_with("#") ? line == section.heading : inside;
    if (!inside || !line.starts_with("| `")) {
      continue;
    }
    std::size_t start = 0;
    for (int column = 0; column < 4; ++column) {
      start = line.find('|', start) + 1;
    }
    const std::string range = line.substr(start, line.find('|', start) - start);
    ranges[line.substr(3, line.find('`', 3) - 3)] =
        range.size() > 2 ? range.substr(1, range.size() - 2) : "";
  }
  return ranges;
}

// The first TOML example of a page.
std::string example(const std::string& file) {
  std::ifstream page(std::string{PERIDOT_SOURCE_DIR} + "/docs/" + file);
  const std::string text{std::istreambuf_iterator<char>{page}, {}};
  const std::size_t start = text.find("```toml\n") + 8;
  return text.substr(start, text.find("```", start) - start);
}

TEST_CASE("the documents' tables agree with the code") {
  for (const documented_section& section : sections) {
    INFO(section.file << " " << section.heading);
    CHECK(accepted(section).size() >= 2);
    CHECK(accepted(section) == documented(section));
  }
  CHECK(parse_published_config(example("CONFIGURATION.md"), "f").errors.empty());
  CHECK(parse_settings(example("SETTINGS.md"), "f").errors.empty());
}

}  // namespace
}  // namespace peridot
