#include "net/chunked_decoder.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

namespace peridot {
namespace {

constexpr std::size_t max_size_digits = 8;  // up to 4 GiB a chunk

enum class line_state { incomplete, read, malformed };

// Takes one line that ends with CR LF, without its end.
line_state take_line(evbuffer* input, std::string& line) {
  std::size_t end_length = 0;
  const ::evbuffer_ptr end =
      evbuffer_search_eol(input, nullptr, &end_length, EVBUFFER_EOL_CRLF_STRICT);
  if (end.pos < 0) {
    return evbuffer_get_length(input) > max_chunk_line_bytes ? line_state::malformed
                                                             : line_state::incomplete;
  }
  if (static_cast<std::size_t>(end.pos) > max_chunk_line_bytes) {
    return line_state::malformed;
  }
  line.resize(static_cast<std::size_t>(end.pos));
  evbuffer_remove(input, line.data(), line.size());
  evbuffer_drain(input, end_length);
  const bool stray = line.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos;
  return stray ? line_state::malformed : line_state::read;
}

std::optional<std::uint64_t> size_of(std::string_view line) {
  std::string_view digits = line.substr(0, line.find(';'));
  while (digits.ends_with(' ') || digits.ends_with('\t')) {
    digits.remove_suffix(1);
  }
  std::uint64_t value = 0;
  const std::from_chars_result read =
      std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  if (digits.empty() || digits.size() > max_size_digits || digits.front() == '-' ||
      read.ec != std::errc() || read.ptr != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return value;
}

chunk_status read_size(chunked_decoder& chunks, evbuffer* input) {
  std::string line;
  const line_state state = take_line(input, line);
  if (state != line_state::read) {
    return state == line_state::malformed ? chunk_status::malformed : chunk_status::incomplete;
  }
  const std::optional<std::uint64_t> size = size_of(line);
  if (!size.has_value()) {
    return chunk_status::malformed;
  }
  chunks.chunk_bytes_left = *size;
  chunks.phase = *size == 0 ? chunk_phase::trailers : chunk_phase::data;
  return chunk_status::complete;
}

chunk_status read_data(chunked_decoder& chunks, evbuffer* input, std::string& output) {
  const std::size_t take = static_cast<std::size_t>(std::min<std::uint64_t>(
      chunks.chunk_bytes_left, static_cast<std::uint64_t>(evbuffer_get_length(input))));
  const std::size_t before = output.size();
  output.resize(before + take);
  evbuffer_remove(input, output.data() + before, take);
  chunks.chunk_bytes_left -= take;
  if (chunks.chunk_bytes_left > 0) {
    return chunk_status::incomplete;
  }
  chunks.phase = chunk_phase::data_end;
  return chunk_status::complete;
}

chunk_status read_data_end(chunked_decoder& chunks, evbuffer* input) {
  if (evbuffer_get_length(input) < 2) {
    return chunk_status::incomplete;
  }
  char end[2] = {};
  evbuffer_remove(input, end, sizeof(end));
  chunks.phase = chunk_phase::size;
  return end[0] == '\r' && end[1] == '\n' ? chunk_status::complete : chunk_status::malformed;
}

// Complete once the blank line after the trailers was read.
chunk_status read_trailers(chunked_decoder& chunks, evbuffer* input, bool& ended) {
  std::string line;
  const line_state state = take_line(input, line);
  if (state != line_state::read) {
    return state == line_state::malformed ? chunk_status::malformed : chunk_status::incomplete;
  }
  chunks.trailer_bytes += line.size();
  ended = line.empty();
  return chunks.trailer_bytes > max_trailer_bytes ? chunk_status::malformed
                                                  : chunk_status::complete;
}

}  // namespace

chunk_status decode_chunks(chunked_decoder& decoder, evbuffer* input, std::string& output) {
  bool ended = false;
  while (!ended) {
    chunk_status step = chunk_status::incomplete;
    switch (decoder.phase) {
      case chunk_phase::size:
        step = read_size(decoder, input);
        break;
      case chunk_phase::data:
        step = read_data(decoder, input, output);
        break;
      case chunk_phase::data_end:
        step = read_data_end(decoder, input);
        break;
      case chunk_phase::trailers:
        step = read_trailers(decoder, input, ended);
        break;
    }
    if (step != chunk_status::complete) {
      return step;
    }
  }
  return chunk_status::complete;
}

}  // namespace peridot
