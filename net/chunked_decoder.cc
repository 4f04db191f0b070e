#include "net/chunked_decoder.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

#include "net/move_bytes.h"

namespace peridot {
namespace {

constexpr std::size_t max_size_digits = 8;  // up to 4 GiB per chunk

enum class line_status { incomplete, complete, malformed };

// Removes one line and its CR LF from the input; `line` is without the CR LF.
line_status read_line(evbuffer* input, std::string& line) {
  std::size_t end_length = 0;
  const ::evbuffer_ptr end =
      evbuffer_search_eol(input, nullptr, &end_length, EVBUFFER_EOL_CRLF_STRICT);
  if (end.pos < 0) {
    return evbuffer_get_length(input) > max_chunk_line_bytes ? line_status::malformed
                                                             : line_status::incomplete;
  }
  if (static_cast<std::size_t>(end.pos) > max_chunk_line_bytes) {
    return line_status::malformed;
  }
  line.resize(static_cast<std::size_t>(end.pos));
  evbuffer_remove(input, line.data(), line.size());
  evbuffer_drain(input, end_length);
  const bool has_line_break_or_nul =
      line.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos;
  return has_line_break_or_nul ? line_status::malformed : line_status::complete;
}

std::optional<std::uint64_t> parse_chunk_size(std::string_view line) {
  std::string_view digits = line.substr(0, line.find(';'));
  while (digits.ends_with(' ') || digits.ends_with('\t')) {
    digits.remove_suffix(1);
  }
  std::uint64_t value = 0;
  const std::from_chars_result parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  if (digits.empty() || digits.size() > max_size_digits || digits.front() == '-' ||
      parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return value;
}

chunk_status decode_size(chunked_decoder& decoder, evbuffer* input) {
  std::string line;
  const line_status status = read_line(input, line);
  if (status != line_status::complete) {
    return status == line_status::malformed ? chunk_status::malformed : chunk_status::incomplete;
  }
  const std::optional<std::uint64_t> size = parse_chunk_size(line);
  if (!size.has_value()) {
    return chunk_status::malformed;
  }
  decoder.chunk_bytes_left = *size;
  decoder.phase = *size == 0 ? chunk_phase::trailers : chunk_phase::data;
  return chunk_status::complete;
}

chunk_status decode_data(chunked_decoder& decoder, evbuffer* input, std::string& output) {
  const std::size_t count = static_cast<std::size_t>(std::min<std::uint64_t>(
      decoder.chunk_bytes_left, static_cast<std::uint64_t>(evbuffer_get_length(input))));
  move_bytes(input, count, output);
  decoder.chunk_bytes_left -= count;
  if (decoder.chunk_bytes_left > 0) {
    return chunk_status::incomplete;
  }
  decoder.phase = chunk_phase::data_end;
  return chunk_status::complete;
}

chunk_status decode_data_end(chunked_decoder& decoder, evbuffer* input) {
  if (evbuffer_get_length(input) < 2) {
    return chunk_status::incomplete;
  }
  char end[2] = {};
  evbuffer_remove(input, end, sizeof(end));
  decoder.phase = chunk_phase::size;
  return end[0] == '\r' && end[1] == '\n' ? chunk_status::complete : chunk_status::malformed;
}

// Decodes one trailer field or the empty line that ends the body.
chunk_status decode_trailer(chunked_decoder& decoder, evbuffer* input, bool& body_complete) {
  std::string line;
  const line_status status = read_line(input, line);
  if (status != line_status::complete) {
    return status == line_status::malformed ? chunk_status::malformed : chunk_status::incomplete;
  }
  decoder.trailer_bytes += line.size();
  body_complete = line.empty();
  return decoder.trailer_bytes > max_trailer_bytes ? chunk_status::malformed
                                                   : chunk_status::complete;
}

}  // namespace

chunk_status decode_chunks(chunked_decoder& decoder, evbuffer* input, std::string& output) {
  bool body_complete = false;
  while (!body_complete) {
    chunk_status status = chunk_status::incomplete;
    switch (decoder.phase) {
      case chunk_phase::size:
        status = decode_size(decoder, input);
        break;
      case chunk_phase::data:
        status = decode_data(decoder, input, output);
        break;
      case chunk_phase::data_end:
        status = decode_data_end(decoder, input);
        break;
      case chunk_phase::trailers:
        status = decode_trailer(decoder, input, body_complete);
        break;
    }
    if (status != chunk_status::complete) {
      return status;
    }
  }
  return chunk_status::complete;
}

}  // namespace peridot
