// Moves received bytes into a string.
#pragma once

#include <event2/buffer.h>

#include <cstddef>
#include <string>

namespace peridot {

// Appends the first `count` bytes of `input` to `output`. The capacity grows by a quarter at a
// time, so that a large body takes little more memory than it has bytes. Precondition: `input` has
// them. Thread safety: none; for use from one event loop.
void move_bytes(evbuffer* input, std::size_t count, std::string& output);

}  // namespace peridot
