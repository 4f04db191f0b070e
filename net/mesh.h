// Messages between routers over ZeroMQ.
//
// Each router binds one ROUTER socket and connects one DEALER socket to each peer that it
// sends to. Messages are authenticated by a MAC with the fleet key; a message to several
// peers is serialized and authenticated once. A received message is counted and dropped if
//   - its MAC is invalid or it is malformed,
//   - its protocol version differs,
//   - it has no sender's address,
//   - it is addressed to another router or to another incarnation of this one (an empty
//     address matches any router, incarnation 0 any incarnation),
//   - its sequence number is not above the last one remembered for its sender.
// A connection to a peer is opened with the first message to it, and closed when it is idle: a
// router of a large fleet has no connection to most others. Reports and digests are repeated, and
// are dropped while there is none. Other messages are sent once: they wait for the connection, for
// max_connection_wait at most.
//
//   leaf::result<std::unique_ptr<mesh>> peer_mesh = start_mesh(base, options, on_message);
//   send_message(*peer_mesh, outgoing);
//
// Limits: `max_peers` connections and `max_message_bytes` per message; max_waiting_messages wait
// for one connection, and max_waiting_bytes for all. One call of receive_messages() reads at most
// `max_messages_per_read` messages and leaves the rest to the loop's next iteration, so that a
// flood of messages does not delay calls. Thread safety: none; for use from one event loop. ZeroMQ
// runs one thread of its own.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>
#include <zmq.hpp>

#include "core/base/types.h"
#include "core/fleet/peer_messages.h"
#include "net/error.h"
#include "net/loop.h"

namespace peridot {

// Holds all items of the largest fleet: a configuration of 1 MB and 12,000 targets.
inline constexpr std::size_t max_message_bytes = 8 << 20;
inline constexpr std::size_t max_peers = 4'096;
inline constexpr std::size_t max_messages_per_read = 1'000;

// A handshake takes a few round trips; one lost packet is sent again within a second.
inline constexpr milliseconds max_connection_wait{1'000};
inline constexpr std::size_t max_waiting_messages = 64;
inline constexpr std::size_t max_waiting_bytes = 16 << 20;

struct mesh_options {
  router_identity self;
  std::string name;  // sent with each message
  std::string fleet_key;
};

struct mesh_counters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t not_sent = 0;  // no connection, or its queue is full
  std::uint64_t waited = 0;    // sent once the connection was established
  std::uint64_t invalid_mac = 0;
  std::uint64_t malformed = 0;
  std::uint64_t wrong_protocol = 0;
  // To another router or incarnation, or without a sender's address.
  std::uint64_t misaddressed = 0;
  std::uint64_t stale = 0;  // duplicate, or overtaken by a later message
};

using message_handler =
    std::function<void(const router_identity& from, const wire::peer_message& message)>;

// A message that waits for a connection. It gets its sequence number when it is sent.
struct waiting_message {
  std::shared_ptr<const wire::peer_message> message;
  std::size_t bytes = 0;
  instant expires_at{};
};

struct mesh_peer {
  zmq::socket_t socket;
  instant last_used{};  // last message to the peer
  std::deque<waiting_message> waiting;
};

struct mesh {
  mesh_options options;
  message_handler handler;
  event_base* base = nullptr;
  zmq::context_t context{1};
  zmq::socket_t inbound;
  event_ptr readable_event;
  std::map<router_address, mesh_peer> peers;
  std::uint64_t last_sent_sequence = 0;  // one sequence for all peers
  std::map<router_identity, std::uint64_t> last_received_sequence;
  bool receiving = false;  // within receive_messages()
  std::size_t waiting_bytes = 0;
  event_ptr waiting_timer;  // tries again to send the messages that wait
  mesh_counters counters;
};

// Fails at step "bind" if the address cannot be bound.
leaf::result<std::unique_ptr<mesh>> start_mesh(event_base* base, const mesh_options& options,
                                               message_handler handler);

void send_message(mesh& peer_mesh, const outgoing_message& message);

// Sends the same message to several peers. It has no receiver's address, so that every router
// of the fleet accepts it.
void send_to_peers(mesh& peer_mesh, const std::vector<router_address>& to,
                   const wire::peer_message& message);

// Reads the messages that have arrived and passes them to the handler. Also called by the
// event loop. Has no effect from within the handler: the outer call continues to read.
void receive_messages(mesh& peer_mesh);

// Closes the connections to peers that are not in `retained`.
void disconnect_peers_except(mesh& peer_mesh, const std::set<router_address>& retained);

// Closes the connections on which nothing was sent for `max_idle`.
void disconnect_idle_peers(mesh& peer_mesh, duration max_idle, instant now);

// Verifies and parses a received message. If it is rejected, returns nullopt and increments
// the counter of the reason. Separate from the socket so that it can be fuzzed.
std::optional<wire::peer_message> decode_message(const mesh_options& options,
                                                 std::string_view bytes, mesh_counters& counters);

}  // namespace peridot
