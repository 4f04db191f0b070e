// Incremental decoder of chunked HTTP bodies (RFC 9112, section 7.1).
//
//   chunked_decoder decoder;
//   chunk_status status = decode_chunks(decoder, input, output);  // drains what it decodes
//
// Chunk sizes are 1 to 8 hexadecimal digits, without a sign or prefix. Chunk extensions and
// trailer fields are parsed and discarded. Bytes after the body stay in the input.
// Limits: max_chunk_line_bytes for one line, max_trailer_bytes for all trailer fields.
// Thread safety: none; for use from one event loop.
#pragma once

#include <event2/buffer.h>

#include <cstdint>
#include <string>

namespace peridot {

inline constexpr std::size_t max_chunk_line_bytes = 1'024;
inline constexpr std::size_t max_trailer_bytes = 8 << 10;

enum class chunk_status { incomplete, complete, malformed };
enum class chunk_phase { size, data, data_end, trailers };

struct chunked_decoder {
  chunk_phase phase = chunk_phase::size;
  std::uint64_t chunk_bytes_left = 0;  // of the current chunk
  std::size_t trailer_bytes = 0;
};

// Appends the decoded bytes to `output`. Returns incomplete if it needs more input. Each
// body needs a new decoder.
chunk_status decode_chunks(chunked_decoder& decoder, evbuffer* input, std::string& output);

}  // namespace peridot
