// Decodes a chunked body (RFC 9112, 7.1) as its bytes arrive.
//
//   chunked_body chunks;
//   chunk_progress step = read_chunks(chunks, input, output);   // consumes what it understands
//
// Sizes are plain hexadecimal numbers; extensions and trailers are read and dropped.
// Bytes after the body stay in the input.
// Budget: max_chunk_line bytes for one line, max_trailer_bytes for all trailers.
// Thread safety: none; one loop.
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

chunk_status decode_chunks(chunked_decoder& decoder, evbuffer* input, std::string& output);

}  // namespace peridot
