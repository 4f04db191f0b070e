#include "core/peer_messages.h"

#include <string_view>

namespace peridot {
namespace {

constexpr std::uint64_t fnv_offset_basis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnv_prime = 0x100000001b3ULL;

// Final mix of SplitMix64 (Steele, Lea, Flood, 2014): spreads low-entropy inputs.
std::uint64_t mix(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

shard_key from_wire(const wire::shard_id& id) {
  return shard_key{pool_name{id.pool()}, id.index()};
}

wire::shard_id to_wire(const shard_key& shard) {
  wire::shard_id id;
  id.set_pool(shard.pool.value);
  id.set_index(shard.index);
  return id;
}

traffic_class from_wire(wire::traffic_class value) {
  switch (value) {
    case wire::class_interactive:
      return traffic_class::interactive;
    case wire::class_batch:
      return traffic_class::batch;
    default:
      return traffic_class::standard;
  }
}

wire::traffic_class to_wire(traffic_class value) {
  switch (value) {
    case traffic_class::interactive:
      return wire::class_interactive;
    case traffic_class::standard:
      return wire::class_standard;
    case traffic_class::batch:
      return wire::class_batch;
  }
  return wire::class_standard;
}

std::uint64_t to_wire(instant time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count());
}

instant from_wire(std::uint64_t microseconds) {
  return instant{std::chrono::microseconds{static_cast<std::int64_t>(microseconds)}};
}

shard_key shard_of(const pool_name& pool, const target_name& target,
                   std::uint32_t shards_per_pool) {
  const std::uint64_t hash = stable_hash(target.value, stable_hash(pool.value));
  return shard_key{pool, static_cast<std::uint32_t>(hash % shards_per_pool)};
}

std::uint64_t rendezvous_score(const router_address& router, const shard_key& shard) {
  const std::uint64_t shard_hash = stable_hash(shard.pool.value, shard.index);
  return stable_hash(router.value, shard_hash);
}

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) {
  std::uint64_t hash = fnv_offset_basis ^ mix(seed + 1);
  for (char byte : bytes) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * fnv_prime;
  }
  return mix(hash);
}

}  // namespace peridot
