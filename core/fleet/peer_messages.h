// Typed messages between routers.
//
// The message types are the protobuf classes of proto/peer.proto. Messages may be lost,
// delayed or duplicated, or arrive after either side has restarted; receivers must
// tolerate all of these.
#pragma once

#include <cstdint>

#include "core/base/types.h"
#include "proto/peer.pb.h"

namespace peridot {

// Messages with another protocol version are rejected.
inline constexpr std::uint32_t protocol_version = 2;

// A message to one router. `to_incarnation` 0: any incarnation at the address.
struct outgoing_message {
  router_address to;
  std::uint64_t to_incarnation = 0;
  wire::peer_message message;  // only the body is set; the mesh sets the other fields
};

}  // namespace peridot
