// Reads and checks the documents that operators and the platform publish.
//
// Both are TOML. The check is a pure function of the text, so every router and
// the operators' tool reach the same verdict. A bad document is refused whole.
//
//   config_result result = parse_published_config(text, "fleet.toml");
//   if (!result.errors.empty()) { for (...) print(to_text(error)); }
//   else use(result.config);
//
// docs/CONFIGURATION.md lists the keys. Thread safety: pure functions.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/published_config.h"

namespace peridot {

// Largest document that is read. The platform's service holds no larger value.
inline constexpr std::size_t max_document_bytes = 1 << 20;

// One thing wrong with a document. `line` is 1-based, 0 if none applies.
struct document_error {
  std::string file;
  std::size_t line = 0;
  std::string key;  // dotted, e.g. "target[2].warm_limit"
  std::string problem;
};

// "fleet.toml:12: target[2].warm_limit: must be from 1 to 65536".
std::string to_text(const document_error& error);

struct config_result {
  std::shared_ptr<const published_config> config;  // null if there are errors
  std::vector<document_error> errors;
};

struct list_result {
  std::shared_ptr<const instance_list> list;  // null if there are errors
  std::vector<document_error> errors;
};

config_result parse_published_config(std::string_view text, std::string_view file);
list_result parse_instance_list(std::string_view text, std::string_view file);

}  // namespace peridot
