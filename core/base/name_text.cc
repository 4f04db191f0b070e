#include "core/base/name_text.h"

namespace peridot {
namespace {

constexpr std::size_t max_printed_bytes = 200;
constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7f;

// The C1 control characters U+0080 to U+009F are encoded as 0xC2 0x80 to 0xC2 0x9F.
constexpr unsigned char c1_lead = 0xc2;
constexpr unsigned char c1_last = 0x9f;

bool is_control(std::string_view text, std::size_t index) {
  const unsigned char byte = static_cast<unsigned char>(text[index]);
  if (byte < first_printable || byte == delete_character) {
    return true;
  }
  const unsigned char next =
      index + 1 < text.size() ? static_cast<unsigned char>(text[index + 1]) : delete_character;
  return byte == c1_lead && next > delete_character && next <= c1_last;
}

bool has_control_character(std::string_view text) {
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (is_control(text, index)) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string printable(std::string_view text) {
  std::string result{text.substr(0, max_printed_bytes)};
  for (std::size_t index = 0; index < result.size(); ++index) {
    if (is_control(result, index)) {
      result[index] = '?';
    }
  }
  return text.size() > max_printed_bytes ? result + "..." : result;
}

bool is_valid_name(std::string_view text) {
  return !text.empty() && text.size() <= max_name_bytes && text.front() != ' ' &&
         text.back() != ' ' && !has_control_character(text);
}

}  // namespace peridot
