#include "net/mesh.h"

#include <cerrno>
#include <optional>
#include <utility>
#include <vector>

#include "core/base/mac.h"
#include "net/log.h"

namespace peridot {
namespace {

constexpr int linger_ms = 0;
constexpr int queue_limit = 1'000;  // messages per peer, either direction
constexpr int reconnect_ms = 100;
constexpr int reconnect_max_ms = 2'000;
constexpr int connect_timeout_ms = 2'000;
constexpr int heartbeat_ms = 1'000;  // finds connections that fell silent
constexpr int heartbeat_timeout_ms = 2'500;
constexpr int max_send_attempts = 10;  // of one message, when signals interrupt
constexpr int max_sockets = static_cast<int>(max_peers) + 16;  // the library's own limit is 1023
constexpr std::size_t max_remembered_senders = 4 * max_peers;

void on_readable(evutil_socket_t, short, void* argument) {
  receive_messages(*static_cast<mesh*>(argument));
}

mesh_peer* connect_peer(mesh& peers, const router_address& address) {
  std::map<router_address, mesh_peer>::iterator found = peers.peers.find(address);
  if (found != peers.peers.end()) {
    return &found->second;
  }
  if (peers.peers.size() >= max_peers) {
    return nullptr;
  }
  zmq::socket_t socket;
  try {
    socket = zmq::socket_t(peers.context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, linger_ms);
    socket.set(zmq::sockopt::sndhwm, queue_limit);
    socket.set(zmq::sockopt::immediate, 1);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_max_ms);
    socket.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
    socket.connect("tcp://" + address.value);
  } catch (const zmq::error_t& error) {
    log_line(log_part::mesh, log_level::warn,
             "Address cannot be connected. peer=" + address.value +
                 " step=connect error=" + error.what());
    return nullptr;
  }
  return &peers.peers.emplace(address, mesh_peer{std::move(socket)}).first->second;
}

// True if the socket took the message. A signal may interrupt the library before it
// has looked at the queue; it is then asked again.
bool try_send(zmq::socket_t& socket, const std::string& bytes) {
  for (int attempt = 0; attempt < max_send_attempts; ++attempt) {
    try {
      return socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
    } catch (const zmq::error_t& error) {
      if (error.num() != EINTR) {
        log_line(log_part::mesh, log_level::warn,
                 std::string("Message cannot be sent. step=send error=") + error.what());
        return false;
      }
    }
  }
  return false;
}

// One part of a message; false if there is none now.
bool receive_part(zmq::socket_t& socket, zmq::message_t& part) {
  try {
    return socket.recv(part, zmq::recv_flags::dontwait).has_value();
  } catch (const zmq::error_t& error) {
    if (error.num() != EINTR) {
      log_line(log_part::mesh, log_level::warn,
               std::string("Message cannot be read. step=receive error=") + error.what());
    }
    return false;  // the next turn of the loop reads on
  }
}

// The second part of a message, empty if it has one only. The first is the
// library's name of the connection; further ones are ignored.
bool receive_body(zmq::socket_t& socket, zmq::message_t& body) {
  zmq::message_t part;
  if (!receive_part(socket, part)) {
    return false;
  }
  body.rebuild();
  for (std::size_t index = 1; part.more(); ++index) {
    if (!receive_part(socket, part)) {
      return false;
    }
    if (index == 1) {
      body.copy(part);
    }
  }
  return true;
}

// Bytes of the message as it goes out. Without a receiver's address anybody may read it.
std::string seal(mesh& peers, wire::peer_message message) {
  message.set_protocol(protocol_version);
  message.set_from_address(peers.options.self.address.value);
  message.set_from_incarnation(peers.options.self.incarnation);
  message.set_sequence(++peers.last_sent_sequence);
  message.set_from_name(peers.options.name);
  wire::sealed_message sealed;
  message.SerializeToString(sealed.mutable_payload());
  sealed.set_mac(compute_mac(peers.options.fleet_key, sealed.payload()));
  return sealed.SerializeAsString();
}

void send_bytes(mesh& peers, const router_address& to, const std::string& bytes) {
  mesh_peer* peer = connect_peer(peers, to);
  if (peer == nullptr || !try_send(peer->socket, bytes)) {
    ++peers.counters.not_sent;
    return;
  }
  ++peers.counters.sent;
  peers.counters.sent_bytes += bytes.size();
}

void receive_one(mesh& peers, std::string_view bytes) {
  ++peers.counters.received;
  peers.counters.received_bytes += bytes.size();
  const std::optional<wire::peer_message> message =
      decode_message(peers.options, bytes, peers.counters);
  if (!message) {
    return;
  }
  const router_identity from{router_address{message->from_address()}, message->from_incarnation()};
  if (peers.last_received_sequence.size() >= max_remembered_senders) {
    peers.last_received_sequence.clear();
  }
  std::uint64_t& newest = peers.last_received_sequence[from];
  if (message->sequence() <= newest) {
    ++peers.counters.stale;
    return;
  }
  newest = message->sequence();
  peers.handler(from, *message);
}

}  // namespace

leaf::result<std::unique_ptr<mesh>> start_mesh(event_base* base, const mesh_options& options,
                                               message_handler handler) {
  std::unique_ptr<mesh> peers = std::make_unique<mesh>();
  peers->options = options;
  peers->handler = std::move(handler);
  peers->base = base;
  peers->context.set(zmq::ctxopt::max_sockets, max_sockets);
  peers->inbound = zmq::socket_t(peers->context, zmq::socket_type::router);
  peers->inbound.set(zmq::sockopt::linger, linger_ms);
  peers->inbound.set(zmq::sockopt::rcvhwm, queue_limit);
  peers->inbound.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(max_message_bytes));
  try {
    peers->inbound.bind("tcp://" + options.self.address.value);
  } catch (const zmq::error_t& error) {
    return setup_error("bind", options.self.address.value, error.what());
  }
  const int descriptor = peers->inbound.get(zmq::sockopt::fd);
  peers->readable_event.reset(
      event_new(base, descriptor, EV_READ | EV_PERSIST, on_readable, peers.get()));
  event_add(peers->readable_event.get(), nullptr);
  return peers;
}

void send_message(mesh& peer_mesh, const outgoing_message& message) {
  wire::peer_message complete = message.message;
  complete.set_to_address(message.to.value);
  complete.set_to_incarnation(message.to_incarnation);
  send_bytes(peer_mesh, message.to, seal(peer_mesh, std::move(complete)));
}

void send_to_peers(mesh& peer_mesh, const std::vector<router_address>& to,
                   const wire::peer_message& message) {
  if (to.empty()) {
    return;
  }
  const std::string bytes = seal(peer_mesh, message);
  for (const router_address& peer : to) {
    send_bytes(peer_mesh, peer, bytes);
  }
}

void receive_messages(mesh& peer_mesh) {
  // The handler may send, and its caller may then read: reading nests no deeper,
  // or a queue of messages would become as many frames of the stack.
  if (peer_mesh.receiving) {
    return;
  }
  peer_mesh.receiving = true;
  // The descriptor is edge-triggered: read until nothing is left.
  std::size_t left = max_messages_per_read;
  zmq::message_t body;
  while (left > 0 && receive_body(peer_mesh.inbound, body)) {
    receive_one(peer_mesh, body.to_string_view());
    --left;
  }
  peer_mesh.receiving = false;
  if (left == 0) {
    event_active(peer_mesh.readable_event.get(), EV_READ, 1);
  }
}

void disconnect_peers_except(mesh& peer_mesh, const std::set<router_address>& retained) {
  std::erase_if(peer_mesh.peers,
                [&retained](const std::pair<const router_address, mesh_peer>& entry) {
                  return !retained.contains(entry.first);
                });
}

std::optional<wire::peer_message> decode_message(const mesh_options& options,
                                                 std::string_view bytes, mesh_counters& counters) {
  wire::sealed_message sealed;
  if (!sealed.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    ++counters.malformed;
    return std::nullopt;
  }
  if (!verify_mac(options.fleet_key, sealed.payload(), sealed.mac())) {
    ++counters.invalid_mac;
    return std::nullopt;
  }
  wire::peer_message message;
  if (!message.ParseFromString(sealed.payload())) {
    ++counters.malformed;
    return std::nullopt;
  }
  if (message.protocol() != protocol_version) {
    ++counters.wrong_protocol;
    return std::nullopt;
  }
  const bool for_me =
      message.to_address().empty() ||
      (message.to_address() == options.self.address.value &&
       (message.to_incarnation() == 0 || message.to_incarnation() == options.self.incarnation));
  if (!for_me || message.from_address().empty()) {
    ++counters.misaddressed;
    return std::nullopt;
  }
  return message;
}

}  // namespace peridot
