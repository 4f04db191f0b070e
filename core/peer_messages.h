// Typed messages between routers, and the outbox that decision logic fills.
//
// The protobuf classes of proto/peer.proto are the message types. Decision
// logic never sends: it appends to an `outbox`, and its caller (the event loop,
// or a test driver) delivers. Messages may be lost, delayed, doubled or arrive
// after either side restarted; every receiver is written for that.
#pragma once

#include <cstdint>
#include <vector>

#include "core/types.h"
#include "proto/peer.pb.h"

namespace peridot {

// Peers of another protocol version are refused.
inline constexpr std::uint32_t protocol_version = 1;

// `to_incarnation` 0 reaches any incarnation at the address. Replies that echo a
// clock name the incarnation whose clock it was.
struct outgoing_message {
  router_address to;
  std::uint64_t to_incarnation = 0;
  wire::peer_message message;  // only the body is set; the mesh adds the rest
};

using outbox = std::vector<outgoing_message>;

// One shard: a part of a pool whose targets one router at a time may use.
struct shard_key {
  pool_name pool;
  std::uint32_t index = 0;
  friend auto operator<=>(const shard_key&, const shard_key&) = default;
  friend bool operator==(const shard_key&, const shard_key&) = default;
};

shard_key from_wire(const wire::shard_id& id);
wire::shard_id to_wire(const shard_key& shard);

// A class that this version does not know counts as standard.
traffic_class from_wire(wire::traffic_class value);
wire::traffic_class to_wire(traffic_class value);

// Microseconds of this process's monotonic clock, as put into messages.
std::uint64_t to_wire(instant time);
instant from_wire(std::uint64_t microseconds);

// The shard of a target: a pure function of its name and of `shards_per_pool`.
shard_key shard_of(const pool_name& pool, const target_name& target, std::uint32_t shards_per_pool);

// Rendezvous hash: the higher score is preferred. Equal on all routers.
std::uint64_t rendezvous_score(const router_address& router, const shard_key& shard);

// FNV-1a over the bytes, finished by a 64-bit mix. Not cryptographic.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace peridot
