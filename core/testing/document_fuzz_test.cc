// Random mutations of valid documents: a parser returns a value or errors that
// name a line, and never crashes. The sanitizer build runs the same.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "core/config_checker.h"
#include "core/settings.h"
#include "core/testing/sample_documents.h"

namespace peridot {
namespace {

constexpr int mutants_per_document = 4'000;
constexpr int max_mutations = 4;

constexpr std::string_view fragments[] = {
    "[[",           "]]",       "\"",      "\"\"\"", "'''",      "=",         ".",
    "{a = 1}",      "[1, [2]]", "\n",      "#",      "nan",      "-inf",      "1e999",
    "0x7f",         "true",     "\\u0000", "\xff",   "\xc2\x85", "\xc3\xa9",  "\xe3\x81\x82",
    "\xe2\x80\x83", "\\\n",     "\r",      "-0x",    "07:32",    "\\",        "_",
    "[fleet]",      ",",        "a.b.c=",  "+",      "\x01",     "1979-05-27"};

std::size_t pick(std::mt19937_64& random, std::size_t bound) {
  return std::uniform_int_distribution<std::size_t>{0, bound - 1}(random);
}

std::string mutate(std::string text, std::mt19937_64& random) {
  const std::size_t mutations = 1 + pick(random, max_mutations);
  for (std::size_t done = 0; done < mutations && !text.empty(); ++done) {
    const std::size_t at = pick(random, text.size());
    const std::size_t length = 1 + pick(random, 24);
    switch (pick(random, 5)) {
      case 0:
        text[at] = static_cast<char>(pick(random, 256));
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, std::string{fragments[pick(random, std::size(fragments))]});
        break;
      case 3:
        text.insert(at, text.substr(pick(random, text.size()), length));
        break;
      default:
        text.resize(at);
        break;
    }
  }
  return text;
}

// True if every error can be found in the document by its line.
bool well_formed(const std::vector<document_error>& errors, const std::string& text) {
  const std::size_t lines =
      1 + static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
  for (const document_error& error : errors) {
    const std::string shown = to_text(error);
    if (error.line == 0 || error.line > lines || error.problem.empty() ||
        shown.find('\n') != std::string::npos || shown.size() > 2'000) {
      return false;
    }
  }
  return errors.size() <= 100;
}

TEST_CASE("mutated documents are accepted or refused, with a line") {
  std::mt19937_64 random{20'261'203};
  int accepted = 0;
  int refused = 0;
  for (int round = 0; round < mutants_per_document; ++round) {
    const std::string config_text = mutate(testing::sample_config(), random);
    const config_result config = parse_published_config(config_text, "f");
    CHECK((config.config != nullptr) == config.errors.empty());
    const std::string list_text = mutate(testing::sample_list(), random);
    const list_result list = parse_instance_list(list_text, "f");
    CHECK((list.list != nullptr) == list.errors.empty());
    const std::string settings_text = mutate(testing::sample_settings(), random);
    const settings_result settings = parse_settings(settings_text, "f");
    INFO("round " << round);
    CHECK(well_formed(config.errors, config_text));
    CHECK(well_formed(list.errors, list_text));
    CHECK(well_formed(settings.errors, settings_text));
    (config.errors.empty() ? accepted : refused) += 1;
  }
  CHECK(accepted > 0);
  CHECK(refused > mutants_per_document / 2);
}

}  // namespace
}  // namespace peridot
