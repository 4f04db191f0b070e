// Typed messages between routers.
//
// The protobuf classes of proto/peer.proto are the message types. Messages may be
// lost, delayed, doubled or arrive after either side restarted; every receiver is
// written for that.
#pragma once

#include <cstdint>

#include "core/base/types.h"
#include "proto/peer.pb.h"

namespace peridot {

// Peers of another protocol version are refused.
inline constexpr std::uint32_t protocol_version = 2;

// `to_incarnation` 0 reaches any incarnation at the address.
struct outgoing_message {
  router_address to;
  std::uint64_t to_incarnation = 0;
  wire::peer_message message;  // only the body is set; the mesh adds the rest
};

}  // namespace peridot
