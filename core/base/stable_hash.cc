#include "core/base/stable_hash.h"

#include <string_view>

namespace peridot {
namespace {

constexpr std::uint64_t fnv_offset_basis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnv_prime = 0x100000001b3ULL;

// Finalizer of SplitMix64 (Steele, Lea, Flood, 2014): distributes low-entropy inputs.
std::uint64_t mix(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) {
  std::uint64_t hash = fnv_offset_basis ^ mix(seed + 1);
  for (char byte : bytes) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * fnv_prime;
  }
  return mix(hash);
}

}  // namespace peridot
