// Peer messages over ZeroMQ.
//
// Each router binds one ROUTER socket and connects one DEALER socket to each
// peer that it writes to. Messages are sealed with the fleet key, those to many peers
// once for all; what fails the check, is addressed to somebody else or to an earlier
// incarnation, comes from
// another protocol version, or is older than what was already seen of its
// sender, is counted and dropped. Nothing is queued for a peer that is not
// connected: the decision logic sends again what matters.
//
//   leaf::result<std::unique_ptr<mesh>> peers = start_mesh(base, options, on_message);
//   send_message(*peers, outgoing);
//
// Budget: `max_peers` connections and `max_message_bytes` a message. One call of
// receive_messages() reads at most `max_messages_at_once` and leaves the rest to
// the loop's next turn, so that a flood of messages does not keep callers waiting.
// Thread safety: none; one loop. The library runs one thread of its own.
#pragma once

#include <cstdint>
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

inline constexpr std::size_t max_message_bytes = 2 << 20;
inline constexpr std::size_t max_peers = 4'096;
inline constexpr std::size_t max_messages_per_read = 1'000;

struct mesh_options {
  router_identity self;
  std::string name;
  std::string fleet_key;
};

struct mesh_counters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t not_sent = 0;  // no connection, or its queue is full
  std::uint64_t invalid_mac = 0;
  std::uint64_t malformed = 0;
  std::uint64_t wrong_protocol = 0;
  std::uint64_t misaddressed = 0;
  std::uint64_t stale = 0;  // doubled or overtaken
};

using message_handler =
    std::function<void(const router_identity& from, const wire::peer_message& message)>;

struct mesh_peer {
  zmq::socket_t socket;
};

struct mesh {
  mesh_options options;
  message_handler handler;
  event_base* base = nullptr;
  zmq::context_t context{1};
  zmq::socket_t inbound;
  event_ptr readable_event;
  std::map<router_address, mesh_peer> peers;
  std::uint64_t last_sent_sequence = 0;  // of the newest message sent, over all peers
  std::map<router_identity, std::uint64_t> last_received_sequence;
  bool receiving = false;  // within receive_messages()
  mesh_counters counters;
};

// Fails at step "bind" if the address cannot be bound.
leaf::result<std::unique_ptr<mesh>> start_mesh(event_base* base, const mesh_options& options,
                                               message_handler handler);

void send_message(mesh& peer_mesh, const outgoing_message& message);

// The same message to several peers; any of them may read it.
void send_to_peers(mesh& peer_mesh, const std::vector<router_address>& to,
                   const wire::peer_message& message);

// Reads what has arrived. Also called by the loop. Without effect from within the
// handler: the outer call goes on reading.
void receive_messages(mesh& peer_mesh);

// Closes the connections to peers that are not in `keep`.
void disconnect_peers_except(mesh& peer_mesh, const std::set<router_address>& retained);

// Opens a sealed message. Empty, and the counter that says why raised, if it is
// not acceptable. Separate from the socket so that it can be fuzzed.
std::optional<wire::peer_message> decode_message(const mesh_options& options,
                                                 std::string_view bytes, mesh_counters& counters);

}  // namespace peridot
