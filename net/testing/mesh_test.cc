#include "net/mesh.h"

#include <doctest/doctest.h>
#include <sys/time.h>

#include <algorithm>
#include <csignal>

#include "core/base/mac.h"
#include "net/testing/raw_peers.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;

constexpr const char* fleet_key = "0123456789abcdef";

struct mesh_bench {
  event_base_ptr base{event_base_new()};
  std::unique_ptr<mesh> receiver;
  std::vector<std::uint64_t> handled;  // sequence numbers
  zmq::context_t context{1};
  zmq::socket_t stranger{context, zmq::socket_type::dealer};
};

void start_bench(mesh_bench& bench) {
  const router_identity self{router_address{testing::unused_address()}, 5};
  const message_handler handler = [&bench](const router_identity&,
                                           const wire::peer_message& message) {
    bench.handled.push_back(message.sequence());
    receive_messages(*bench.receiver);  // as the process does after it has sent
  };
  bench.receiver = leaf::try_handle_all(
      [&]() {
        return start_mesh(bench.base.get(), {self, "receiver", fleet_key}, handler);
      },
      []() { return std::unique_ptr<mesh>(); });
  REQUIRE(bench.receiver != nullptr);
  bench.stranger.set(zmq::sockopt::linger, 0);
  bench.stranger.connect("tcp://" + self.address.value);
}

wire::peer_message good_message(const mesh_bench& bench, std::uint64_t sequence) {
  wire::peer_message message;
  message.set_protocol(protocol_version);
  message.set_from_address("127.0.0.1:7499");
  message.set_from_incarnation(9);
  message.set_to_address(bench.receiver->options.self.address.value);
  message.set_sequence(sequence);
  message.mutable_items_request();
  return message;
}

std::string sealed(const wire::peer_message& message, const std::string& key = fleet_key) {
  wire::sealed_message outer;
  message.SerializeToString(outer.mutable_payload());
  outer.set_mac(compute_mac(key, outer.payload()));
  return outer.SerializeAsString();
}

void send_bytes(mesh_bench& bench, const std::string& bytes) {
  bench.stranger.send(zmq::buffer(bytes), zmq::send_flags::none);
}

bool wait_received(mesh_bench& bench, std::uint64_t messages) {
  return testing::run_until(bench.base.get(),
                            [&]() { return bench.receiver->counters.received >= messages; });
}

TEST_CASE("only sealed, fresh messages to this run of this router are handled") {
  mesh_bench bench;
  start_bench(bench);
  const mesh_counters& counters = bench.receiver->counters;
  wire::peer_message message = good_message(bench, 7);
  send_bytes(bench, sealed(message));
  REQUIRE(wait_received(bench, 1));
  REQUIRE(bench.handled.size() == 1);
  message.set_sequence(8);
  SUBCASE("a stranger without the key cannot steer") {
    send_bytes(bench, sealed(message, "another key 16 b"));
    REQUIRE(wait_received(bench, 2));
    CHECK(counters.invalid_mac == 1);
  }
  SUBCASE("one changed byte") {
    std::string bytes = sealed(message);
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
    send_bytes(bench, bytes);
    REQUIRE(wait_received(bench, 2));
    CHECK(counters.invalid_mac + counters.malformed == 1);
  }
  SUBCASE("every truncation") {
    const std::string bytes = sealed(message);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      send_bytes(bench, bytes.substr(0, length));
    }
    REQUIRE(wait_received(bench, 1 + bytes.size()));
    CHECK(counters.invalid_mac + counters.malformed == bytes.size());
  }
  SUBCASE("a sealed payload that is no message") {
    wire::sealed_message outer;
    outer.set_payload("\xff\xff\xff");
    outer.set_mac(compute_mac(fleet_key, outer.payload()));
    send_bytes(bench, outer.SerializeAsString());
    REQUIRE(wait_received(bench, 2));
    CHECK(counters.malformed == 1);
  }
  SUBCASE("another version") {
    message.set_protocol(protocol_version + 1);
    send_bytes(bench, sealed(message));
    REQUIRE(wait_received(bench, 2));
    CHECK(counters.wrong_protocol == 1);
  }
  SUBCASE("another address, or an earlier run of this router") {
    message.set_to_incarnation(4);
    send_bytes(bench, sealed(message));
    message.set_to_incarnation(5);
    message.set_to_address("127.0.0.1:7400");
    send_bytes(bench, sealed(message));
    REQUIRE(wait_received(bench, 3));
    CHECK(counters.misaddressed == 2);
  }
  SUBCASE("doubled, or overtaken") {
    message.set_sequence(7);
    send_bytes(bench, sealed(message));
    message.set_sequence(6);
    send_bytes(bench, sealed(message));
    REQUIRE(wait_received(bench, 3));
    CHECK(counters.stale == 2);
  }
  CHECK(bench.handled.size() == 1);
  // The next good one is still handled.
  send_bytes(bench, sealed(good_message(bench, 100)));
  CHECK(testing::run_until(bench.base.get(), [&]() { return bench.handled.size() == 2; }));
}

TEST_CASE("huge and odd messages end the connection or are dropped") {
  mesh_bench bench;
  start_bench(bench);
  SUBCASE("longer than a message may be") {
    wire::peer_message message = good_message(bench, 1);
    message.mutable_items_reply()->add_items()->set_value(std::string(max_message_bytes, 'x'));
    send_bytes(bench, sealed(message));
    testing::run_for(bench.base.get(), milliseconds{100});
    CHECK(bench.receiver->counters.received == 0);
  }
  SUBCASE("no part, and many parts") {
    bench.stranger.send(zmq::message_t(), zmq::send_flags::none);
    const std::string bytes = sealed(good_message(bench, 1));
    for (int part = 0; part < 20; ++part) {
      bench.stranger.send(zmq::buffer(bytes), zmq::send_flags::sndmore);
    }
    bench.stranger.send(zmq::buffer(bytes), zmq::send_flags::none);
    REQUIRE(wait_received(bench, 2));
    CHECK(bench.receiver->counters.malformed + bench.receiver->counters.invalid_mac == 1);
    CHECK(bench.handled.size() == 1);
  }
  zmq::socket_t other(bench.context, zmq::socket_type::dealer);
  other.set(zmq::sockopt::linger, 0);
  other.connect("tcp://" + bench.receiver->options.self.address.value);
  other.send(zmq::buffer(sealed(good_message(bench, 50))), zmq::send_flags::none);
  CHECK(testing::run_until(bench.base.get(),
                           [&]() { return !bench.handled.empty() && bench.handled.back() == 50; }));
}

// Calls for signals at a high rate while it lives.
struct signal_storm {
  struct sigaction before {};
  signal_storm() {
    struct sigaction quiet {};
    quiet.sa_handler = [](int) {};
    sigaction(SIGALRM, &quiet, &before);
    set_interval(20);
  }
  ~signal_storm() {
    set_interval(0);
    sigaction(SIGALRM, &before, nullptr);
  }
  signal_storm(const signal_storm&) = delete;
  signal_storm& operator=(const signal_storm&) = delete;
  static void set_interval(suseconds_t microseconds) {
    const itimerval timer{{0, microseconds}, {0, microseconds}};
    setitimer(ITIMER_REAL, &timer, nullptr);
  }
};

TEST_CASE("signals that interrupt the sockets end neither sending nor reading") {
  mesh_bench bench;
  start_bench(bench);
  outgoing_message message;
  message.to = bench.receiver->options.self.address;
  message.message.mutable_items_request();
  const signal_storm storm;
  for (int turn = 0; turn < 20'000; ++turn) {
    send_message(*bench.receiver, message);
    receive_messages(*bench.receiver);
  }
  CHECK(bench.receiver->counters.sent > 0);
  CHECK(bench.receiver->counters.sent + bench.receiver->counters.not_sent == 20'000);
}

TEST_CASE("connections to peers that are gone are closed") {
  mesh_bench bench;
  start_bench(bench);
  const router_address stays{testing::unused_address()};
  const router_address goes{testing::unused_address()};
  for (const router_address& peer : {stays, goes}) {
    outgoing_message message;
    message.to = peer;
    message.message.mutable_gossip();
    send_message(*bench.receiver, message);
  }
  REQUIRE(bench.receiver->peers.size() == 2);
  disconnect_peers_except(*bench.receiver, {stays});
  CHECK(bench.receiver->peers.size() == 1);
  CHECK(bench.receiver->peers.contains(stays));
  SUBCASE("one that comes back is connected to again") {
    outgoing_message message;
    message.to = goes;
    message.message.mutable_gossip();
    send_message(*bench.receiver, message);
    CHECK(bench.receiver->peers.size() == 2);
  }
}

TEST_CASE("a long queue of messages is read without nesting, and in order") {
  mesh_bench bench;
  start_bench(bench);
  constexpr std::uint64_t messages = 30'000;
  std::size_t depth = 0;
  std::size_t deepest = 0;
  bench.receiver->handler = [&](const router_identity&, const wire::peer_message& message) {
    deepest = std::max(deepest, ++depth);
    bench.handled.push_back(message.sequence());
    receive_messages(*bench.receiver);
    --depth;
  };
  bench.stranger.set(zmq::sockopt::sndhwm, 0);
  std::uint64_t sent = 0;
  CHECK(testing::run_until(bench.base.get(), [&]() {
    while (sent < messages) {
      const std::string bytes = sealed(good_message(bench, ++sent));
      send_bytes(bench, bytes);
    }
    return bench.handled.size() == messages;
  }));
  CHECK(deepest == 1);
  CHECK(std::is_sorted(bench.handled.begin(), bench.handled.end()));
}

}  // namespace
}  // namespace peridot
