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
constexpr int max_queued_messages = 1'000;  // per peer and direction
constexpr int min_reconnect_delay_ms = 100;
constexpr int max_reconnect_delay_ms = 2'000;
constexpr int connect_timeout_ms = 2'000;
constexpr int heartbeat_interval_ms = 1'000;  // detects connections that no longer deliver data
constexpr int heartbeat_timeout_ms = 2'500;
constexpr int max_send_attempts = 10;              // per message, if signals interrupt the call
constexpr milliseconds waiting_retry_interval{5};  // a handshake takes a few round trips
constexpr int max_sockets = static_cast<int>(max_peers) + 16;  // ZeroMQ's default limit is 1023
constexpr std::size_t max_tracked_senders = 4 * max_peers;

void on_readable(evutil_socket_t, short, void* argument) {
  receive_messages(*static_cast<mesh*>(argument));
}

mesh_peer* find_or_connect_peer(mesh& peer_mesh, const router_address& address) {
  std::map<router_address, mesh_peer>::iterator found = peer_mesh.peers.find(address);
  if (found != peer_mesh.peers.end()) {
    return &found->second;
  }
  if (peer_mesh.peers.size() >= max_peers) {
    return nullptr;
  }
  zmq::socket_t socket;
  try {
    socket = zmq::socket_t(peer_mesh.context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, linger_ms);
    socket.set(zmq::sockopt::sndhwm, max_queued_messages);
    socket.set(zmq::sockopt::immediate, 1);
    socket.set(zmq::sockopt::reconnect_ivl, min_reconnect_delay_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_delay_ms);
    socket.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_interval_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
    socket.connect("tcp://" + address.value);
  } catch (const zmq::error_t& error) {
    log_line(
        log_part::mesh, log_level::warn,
        "Cannot connect to a peer. peer=" + address.value + " step=connect error=" + error.what());
    return nullptr;
  }
  return &peer_mesh.peers.emplace(address, mesh_peer{std::move(socket)}).first->second;
}

// True if the socket accepted the message. A signal may interrupt ZeroMQ before it has
// checked the queue (EINTR); the call is then repeated.
bool try_send(zmq::socket_t& socket, const std::string& bytes) {
  for (int attempt = 0; attempt < max_send_attempts; ++attempt) {
    try {
      return socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
    } catch (const zmq::error_t& error) {
      if (error.num() != EINTR) {
        log_line(log_part::mesh, log_level::warn,
                 std::string("Cannot send a message. step=send error=") + error.what());
        return false;
      }
    }
  }
  return false;
}

// Receives one part of a message; false if none is available now.
bool receive_part(zmq::socket_t& socket, zmq::message_t& part) {
  try {
    return socket.recv(part, zmq::recv_flags::dontwait).has_value();
  } catch (const zmq::error_t& error) {
    if (error.num() != EINTR) {
      log_line(log_part::mesh, log_level::warn,
               std::string("Cannot receive a message. step=receive error=") + error.what());
    }
    return false;  // after EINTR, the next call of receive_messages() reads the rest
  }
}

// Receives a message, if there is one, and sets `body` to its second part; empty if it has
// one part only. The first part is ZeroMQ's id of the connection; parts after the second
// are ignored.
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

// Sets the protocol version, the sender and the next sequence number, serializes the message
// and adds its MAC.
std::string encode_message(mesh& peer_mesh, wire::peer_message message) {
  message.set_protocol(protocol_version);
  message.set_from_address(peer_mesh.options.self.address.value);
  message.set_from_incarnation(peer_mesh.options.self.incarnation);
  message.set_sequence(++peer_mesh.last_sent_sequence);
  message.set_from_name(peer_mesh.options.name);
  wire::sealed_message sealed;
  message.SerializeToString(sealed.mutable_payload());
  sealed.set_mac(compute_mac(peer_mesh.options.fleet_key, sealed.payload()));
  return sealed.SerializeAsString();
}

// Reports and digests are sent in each round, and do not wait: null. The others are sent once.
std::shared_ptr<const wire::peer_message> copy_if_sent_once(const wire::peer_message& message) {
  const bool is_repeated = message.body_case() == wire::peer_message::kGossip ||
                           message.body_case() == wire::peer_message::kDigest;
  return is_repeated ? nullptr : std::make_shared<const wire::peer_message>(message);
}

// Sends bytes that encode_message() made. False if there is no connection or its queue is full.
bool send_bytes(mesh& peer_mesh, mesh_peer& peer, const std::string& bytes) {
  if (!try_send(peer.socket, bytes)) {
    return false;
  }
  ++peer_mesh.counters.sent;
  peer_mesh.counters.sent_bytes += bytes.size();
  return true;
}

// A timer that is pending keeps its time, however often messages begin to wait.
void schedule_waiting(mesh& peer_mesh) {
  if (evtimer_pending(peer_mesh.waiting_timer.get(), nullptr) != 0) {
    return;
  }
  const timeval delay = to_timeval(waiting_retry_interval);
  event_add(peer_mesh.waiting_timer.get(), &delay);
}

void drop_first_waiting(mesh& peer_mesh, mesh_peer& peer) {
  peer_mesh.waiting_bytes -= peer.waiting.front().bytes;
  peer.waiting.pop_front();
}

// Sends what waits for the peer, as far as its connection takes it, and drops what has expired.
void send_waiting_to(mesh& peer_mesh, mesh_peer& peer, instant now) {
  while (!peer.waiting.empty()) {
    const waiting_message& first = peer.waiting.front();
    if (now > first.expires_at) {
      ++peer_mesh.counters.not_sent;
    } else if (send_bytes(peer_mesh, peer, encode_message(peer_mesh, *first.message))) {
      ++peer_mesh.counters.waited;
    } else {
      return;
    }
    drop_first_waiting(peer_mesh, peer);
  }
}

void on_waiting_timer(evutil_socket_t, short, void* argument) {
  mesh& peer_mesh = *static_cast<mesh*>(argument);
  const instant now = current_time();
  bool some_wait = false;
  for (std::pair<const router_address, mesh_peer>& peer : peer_mesh.peers) {
    send_waiting_to(peer_mesh, peer.second, now);
    some_wait = some_wait || !peer.second.waiting.empty();
  }
  if (some_wait) {
    schedule_waiting(peer_mesh);
  }
}

void wait_for_connection(mesh& peer_mesh, mesh_peer& peer,
                         const std::shared_ptr<const wire::peer_message>& message,
                         std::size_t bytes) {
  if (peer.waiting.size() >= max_waiting_messages ||
      peer_mesh.waiting_bytes + bytes > max_waiting_bytes) {
    ++peer_mesh.counters.not_sent;
    return;
  }
  peer.waiting.push_back({message, bytes, current_time() + max_connection_wait});
  peer_mesh.waiting_bytes += bytes;
  schedule_waiting(peer_mesh);
}

// Sends `bytes`, which encode `message`, or lets the message wait. Null: it does not wait.
void send_or_wait(mesh& peer_mesh, const router_address& to, const std::string& bytes,
                  const std::shared_ptr<const wire::peer_message>& message) {
  mesh_peer* peer = find_or_connect_peer(peer_mesh, to);
  if (peer == nullptr) {
    ++peer_mesh.counters.not_sent;
    return;
  }
  peer->last_used = current_time();
  if (send_bytes(peer_mesh, *peer, bytes)) {
    return;
  }
  if (message != nullptr) {
    wait_for_connection(peer_mesh, *peer, message, bytes.size());
  } else {
    ++peer_mesh.counters.not_sent;
  }
}

// Erases the peers that `is_unused` accepts.
template <class Predicate>
void disconnect_peers(mesh& peer_mesh, Predicate is_unused) {
  std::erase_if(peer_mesh.peers, [&](const std::pair<const router_address, mesh_peer>& peer) {
    if (!is_unused(peer)) {
      return false;
    }
    for (const waiting_message& waiting : peer.second.waiting) {
      peer_mesh.waiting_bytes -= waiting.bytes;
      ++peer_mesh.counters.not_sent;
    }
    return true;
  });
}

void handle_received_bytes(mesh& peer_mesh, std::string_view bytes) {
  ++peer_mesh.counters.received;
  peer_mesh.counters.received_bytes += bytes.size();
  const std::optional<wire::peer_message> message =
      decode_message(peer_mesh.options, bytes, peer_mesh.counters);
  if (!message) {
    return;
  }
  const router_identity from{router_address{message->from_address()}, message->from_incarnation()};
  // Bounds the memory. Afterwards, a message that was already handled can be accepted again.
  if (peer_mesh.last_received_sequence.size() >= max_tracked_senders) {
    peer_mesh.last_received_sequence.clear();
  }
  std::uint64_t& last_sequence = peer_mesh.last_received_sequence[from];
  if (message->sequence() <= last_sequence) {
    ++peer_mesh.counters.stale;
    return;
  }
  last_sequence = message->sequence();
  peer_mesh.handler(from, *message);
}

}  // namespace

leaf::result<std::unique_ptr<mesh>> start_mesh(event_base* base, const mesh_options& options,
                                               message_handler handler) {
  std::unique_ptr<mesh> peer_mesh = std::make_unique<mesh>();
  peer_mesh->options = options;
  peer_mesh->handler = std::move(handler);
  peer_mesh->base = base;
  peer_mesh->context.set(zmq::ctxopt::max_sockets, max_sockets);
  peer_mesh->inbound = zmq::socket_t(peer_mesh->context, zmq::socket_type::router);
  peer_mesh->inbound.set(zmq::sockopt::linger, linger_ms);
  peer_mesh->inbound.set(zmq::sockopt::rcvhwm, max_queued_messages);
  peer_mesh->inbound.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(max_message_bytes));
  try {
    peer_mesh->inbound.bind("tcp://" + options.self.address.value);
  } catch (const zmq::error_t& error) {
    return setup_error("bind", options.self.address.value, error.what());
  }
  const int descriptor = peer_mesh->inbound.get(zmq::sockopt::fd);
  peer_mesh->readable_event.reset(
      event_new(base, descriptor, EV_READ | EV_PERSIST, on_readable, peer_mesh.get()));
  event_add(peer_mesh->readable_event.get(), nullptr);
  peer_mesh->waiting_timer.reset(evtimer_new(base, on_waiting_timer, peer_mesh.get()));
  return peer_mesh;
}

void send_message(mesh& peer_mesh, const outgoing_message& message) {
  wire::peer_message addressed = message.message;
  addressed.set_to_address(message.to.value);
  addressed.set_to_incarnation(message.to_incarnation);
  send_or_wait(peer_mesh, message.to, encode_message(peer_mesh, addressed),
               copy_if_sent_once(addressed));
}

void send_to_peers(mesh& peer_mesh, const std::vector<router_address>& to,
                   const wire::peer_message& message) {
  if (to.empty()) {
    return;
  }
  const std::shared_ptr<const wire::peer_message> waiting = copy_if_sent_once(message);
  const std::string bytes = encode_message(peer_mesh, message);
  for (const router_address& peer : to) {
    send_or_wait(peer_mesh, peer, bytes, waiting);
  }
}

void receive_messages(mesh& peer_mesh) {
  // Not reentrant: the handler may send messages, and the code that sends may then call this
  // function again. Each queued message would otherwise add a level of recursion.
  if (peer_mesh.receiving) {
    return;
  }
  peer_mesh.receiving = true;
  // ZeroMQ's file descriptor is edge-triggered: read until no message is left.
  std::size_t remaining = max_messages_per_read;
  zmq::message_t body;
  while (remaining > 0 && receive_body(peer_mesh.inbound, body)) {
    handle_received_bytes(peer_mesh, body.to_string_view());
    --remaining;
  }
  peer_mesh.receiving = false;
  if (remaining == 0) {
    event_active(peer_mesh.readable_event.get(), EV_READ, 1);
  }
}

void disconnect_peers_except(mesh& peer_mesh, const std::set<router_address>& retained) {
  disconnect_peers(peer_mesh, [&retained](const std::pair<const router_address, mesh_peer>& peer) {
    return !retained.contains(peer.first);
  });
}

void disconnect_idle_peers(mesh& peer_mesh, duration max_idle, instant now) {
  disconnect_peers(peer_mesh,
                   [max_idle, now](const std::pair<const router_address, mesh_peer>& peer) {
                     return now - peer.second.last_used > max_idle;
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
  const bool addressed_to_self =
      message.to_address().empty() ||
      (message.to_address() == options.self.address.value &&
       (message.to_incarnation() == 0 || message.to_incarnation() == options.self.incarnation));
  if (!addressed_to_self || message.from_address().empty()) {
    ++counters.misaddressed;
    return std::nullopt;
  }
  return message;
}

}  // namespace peridot
