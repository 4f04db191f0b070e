// A hash that is equal in all processes and versions, for rendezvous choices and
// short names on the wire.
#pragma once

#include <cstdint>
#include <string_view>

namespace peridot {

// FNV-1a over the bytes, finished by a 64-bit mix. Not cryptographic.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace peridot
