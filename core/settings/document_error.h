// One error in a settings file or another document.
//
// Thread safety: plain values.
#pragma once

#include <cstddef>
#include <string>

namespace peridot {

// Largest accepted document. The platform's store holds no larger value.
inline constexpr std::size_t max_document_bytes = 1 << 20;

// `line` is 1-based, or 0 if the error belongs to no line.
struct document_error {
  std::string file;
  std::size_t line = 0;
  std::string key;  // full name, e.g. "stop_grace_ms"
  std::string problem;
};

// "router.toml:12: stop_grace_ms: must be from 1 to 65536".
std::string to_text(const document_error& error);

}  // namespace peridot
