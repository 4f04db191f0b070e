// A hash with the same value in all processes and versions, for rendezvous hashing and for
// short identifiers in messages between routers.
#pragma once

#include <cstdint>
#include <string_view>

namespace peridot {

// FNV-1a over the bytes, followed by a 64-bit mixing step. Not cryptographic.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace peridot
