// Checks and sanitizes text from outside that is used in names, errors and logs.
//
// Thread safety: pure functions.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace peridot {

inline constexpr std::size_t max_name_bytes = 128;

// `text` for use in an error message: control characters are replaced by '?', and a long
// text is truncated.
std::string printable(std::string_view text);

// True if a name has 1 to max_name_bytes bytes, no control character and no
// space at either end.
bool is_valid_name(std::string_view text);

}  // namespace peridot
