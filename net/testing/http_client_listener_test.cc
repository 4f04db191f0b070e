// HTTP client and listener over loopback sockets, against a raw server and a raw caller.
#include <doctest/doctest.h>

#include "core/base/ip_endpoint.h"
#include "net/http_client.h"
#include "net/http_listener.h"
#include "net/log.h"
#include "net/testing/raw_peers.h"

using namespace peridot;

namespace {

struct listener_fixture {
  event_base_ptr base{event_base_new()};
  caller_limits limits;
  std::unique_ptr<http_listener> listener;
  std::vector<std::shared_ptr<http_exchange>> exchanges;
  std::uint16_t port = 0;
};

void start_fixture(listener_fixture& fixture) {
  std::signal(SIGPIPE, SIG_IGN);
  listener_options options;
  options.address = testing::unused_address();
  fixture.port = parse_ip_endpoint(options.address)->port;
  fixture.listener = leaf::try_handle_all(
      [&]() {
        return start_listener(
            fixture.base.get(), options, [&fixture]() { return fixture.limits; },
            [&fixture](const std::shared_ptr<http_exchange>& exchange) {
              fixture.exchanges.push_back(exchange);
            });
      },
      []() { return std::unique_ptr<http_listener>(); });
  REQUIRE(fixture.listener != nullptr);
}

bool wait_for_exchanges(listener_fixture& fixture, std::size_t count) {
  return testing::run_until(fixture.base.get(),
                            [&fixture, count]() { return fixture.exchanges.size() >= count; });
}

bool wait_for_text(listener_fixture& fixture, testing::raw_caller& caller,
                   const std::string& text) {
  return testing::run_until(fixture.base.get(), [&caller, &text]() {
    return caller.received.find(text) != std::string::npos;
  });
}

const std::string get_request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

// A blocking socket that is connected to the port. Its connection may still wait to be accepted.
int connect_socket(std::uint16_t port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = testing::loopback(port);
  REQUIRE(connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
  return socket;
}

struct client_fixture {
  event_base_ptr base{event_base_new()};
  testing::raw_server server;
  http_client client;
  int status = 0;
  std::string body;
  std::optional<client_call_result> result;
};

void start_fixture(client_fixture& fixture, const std::string& response) {
  fixture.server.response = response;
  testing::listen_on_loopback(fixture.base.get(), fixture.server);
  fixture.client.base = fixture.base.get();
}

std::shared_ptr<client_call> send_test_request(client_fixture& fixture,
                                               const std::string& address) {
  http_request request;
  request.address = address;
  request.method = "POST";
  request.headers = {{"Host", "x"}, {"Id", "7"}};
  request.body = "abc";
  request.echo_header = "Id";
  request.echo_value = "7";
  request.connect_timeout = milliseconds{1'000};
  request.idle_timeout = milliseconds{300};
  request.max_reuse_idle_time = milliseconds{1'000};
  call_handlers handlers;
  handlers.on_head = [&fixture](const message_head& head) { fixture.status = head.status; };
  handlers.on_data = [&fixture](std::string_view data) { fixture.body.append(data); };
  handlers.on_end = [&fixture](client_call_result result) { fixture.result = result; };
  fixture.result.reset();
  return start_call(fixture.client, std::move(request), std::move(handlers));
}

bool wait_for_end(client_fixture& fixture) {
  return testing::run_until(fixture.base.get(),
                            [&fixture]() { return fixture.result.has_value(); });
}

}  // namespace

TEST_CASE("listener: consecutive requests on one connection") {
  listener_fixture fixture;
  start_fixture(fixture);
  testing::raw_caller caller;
  testing::connect_caller(fixture.base.get(), caller, fixture.port);
  SUBCASE("pipelined requests are handled one at a time and in order") {
    testing::send_raw(caller,
                      get_request + "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi");
    REQUIRE(wait_for_exchanges(fixture, 1));
    testing::run_for(fixture.base.get(), milliseconds{30});
    CHECK(fixture.exchanges.size() == 1);
    send_response(*fixture.exchanges[0], 200, {}, "first");
    REQUIRE(wait_for_exchanges(fixture, 2));
    CHECK(fixture.exchanges[1]->body == "hi");
    send_response(*fixture.exchanges[1], 200, {}, "second");
    REQUIRE(wait_for_text(fixture, caller, "second"));
    CHECK(caller.received.find("first") < caller.received.find("second"));
    CHECK(caller.received.find("Keep-Alive: timeout=15") != std::string::npos);
  }
  SUBCASE("a disconnect is detected while nothing is being sent") {
    testing::send_raw(caller, get_request);
    REQUIRE(wait_for_exchanges(fixture, 1));
    bool disconnected = false;
    fixture.exchanges[0]->on_disconnect = [&disconnected]() { disconnected = true; };
    testing::shut_down(caller);
    CHECK(testing::run_until(fixture.base.get(), [&disconnected]() { return disconnected; }));
    send_response(*fixture.exchanges[0], 200, {}, "too late");  // no effect
  }
  SUBCASE("an aborted response ends without its last chunk") {
    testing::send_raw(caller, get_request);
    REQUIRE(wait_for_exchanges(fixture, 1));
    start_response(*fixture.exchanges[0], 200, {}, std::nullopt);
    send_response_data(*fixture.exchanges[0], "part");
    REQUIRE(wait_for_text(fixture, caller, "part"));
    abort_response(*fixture.exchanges[0]);
    CHECK(testing::run_until(fixture.base.get(), [&caller]() { return caller.closed; }));
    CHECK(caller.received.find("0\r\n\r\n") == std::string::npos);
  }
  SUBCASE("Expect: 100-continue") {
    testing::send_raw(
        caller, "POST /b HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    REQUIRE(wait_for_text(fixture, caller, "100 Continue"));
    testing::send_raw(caller, "hi");
    REQUIRE(wait_for_exchanges(fixture, 1));
  }
  SUBCASE("connections are closed only after the minimum idle time: a request may be in flight") {
    testing::run_for(fixture.base.get(), milliseconds{50});
    close_idle_connections(*fixture.listener, milliseconds{300});
    testing::run_for(fixture.base.get(), milliseconds{300});
    CHECK_FALSE(caller.closed);
    close_idle_connections(*fixture.listener, milliseconds{300});
    CHECK(testing::run_until(fixture.base.get(), [&caller]() { return caller.closed; }));
  }
  SUBCASE("a connection is closed after a response that announces it") {
    set_close_after_response(*fixture.listener, true);
    testing::send_raw(caller, get_request);
    REQUIRE(wait_for_exchanges(fixture, 1));
    send_response(*fixture.exchanges[0], 200, {}, "last");
    CHECK(testing::run_until(fixture.base.get(), [&caller]() { return caller.closed; }));
    CHECK(caller.received.find("Connection: close") != std::string::npos);
    CHECK(caller.received.find("last") != std::string::npos);
  }
  SUBCASE("requests that wait behind the response are answered before the announced close") {
    // Guards against review/15 (LOST): the close was announced with the next response, and requests
    // that had arrived behind it were discarded.
    testing::send_raw(caller, get_request + get_request + get_request);
    REQUIRE(wait_for_exchanges(fixture, 1));
    set_close_after_response(*fixture.listener, true);
    for (std::size_t index = 0; index < 3; ++index) {
      REQUIRE(wait_for_exchanges(fixture, index + 1));
      CHECK(caller.received.find("Connection: close") == std::string::npos);
      send_response(*fixture.exchanges[index], 200, {}, "number " + std::to_string(index));
    }
    CHECK(testing::run_until(fixture.base.get(), [&caller]() { return caller.closed; }));
    CHECK(caller.received.find("number 2") != std::string::npos);
    CHECK(caller.received.find("Connection: close") > caller.received.find("number 1"));
    CHECK(caller.received.find("Connection: close") < caller.received.find("number 2"));
  }
  SUBCASE("a request of which a part has arrived is answered, too") {
    testing::send_raw(caller, get_request + "GET /b HTTP/1.1\r\n");
    REQUIRE(wait_for_exchanges(fixture, 1));
    set_close_after_response(*fixture.listener, true);
    send_response(*fixture.exchanges[0], 200, {}, "first");
    REQUIRE(wait_for_text(fixture, caller, "first"));
    testing::send_raw(caller, "Host: x\r\n\r\n");
    REQUIRE(wait_for_exchanges(fixture, 2));
    send_response(*fixture.exchanges[1], 200, {}, "last");
    CHECK(testing::run_until(fixture.base.get(), [&caller]() { return caller.closed; }));
    CHECK(caller.received.find("last") != std::string::npos);
  }
  SUBCASE("a connection is not closed after a response that did not announce it") {
    // Guards against closing a connection whose response did not announce it: if the router
    // stops between the start and the end of a response, the caller's next request on the
    // connection would get no response. Found by planned_stop.sh.
    testing::send_raw(caller, get_request);
    REQUIRE(wait_for_exchanges(fixture, 1));
    start_response(*fixture.exchanges[0], 200, {}, std::nullopt);
    send_response_data(*fixture.exchanges[0], "begun");
    set_close_after_response(*fixture.listener, true);
    finish_response(*fixture.exchanges[0]);
    testing::send_raw(caller, get_request);
    REQUIRE(wait_for_exchanges(fixture, 2));
    send_response(*fixture.exchanges[1], 200, {}, "last");
    CHECK(wait_for_text(fixture, caller, "last"));
    CHECK(caller.received.find("Connection: close") != std::string::npos);
    CHECK(testing::run_until(fixture.base.get(), [&caller]() { return caller.closed; }));
  }
}

namespace {

// A caller whose kernel holds little of what it has not read.
struct slow_caller {
  int socket = -1;
  std::string received;
  ~slow_caller() {
    ::close(socket);
  }
};

void connect_slow_caller(slow_caller& caller, std::uint16_t port) {
  caller.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int small_buffer = 4'096;
  setsockopt(caller.socket, SOL_SOCKET, SO_RCVBUF, &small_buffer, sizeof(small_buffer));
  const sockaddr_in address = testing::loopback(port);
  REQUIRE(connect(caller.socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) ==
          0);
  REQUIRE(::send(caller.socket, get_request.data(), get_request.size(), 0) ==
          static_cast<ssize_t>(get_request.size()));
}

// Reads all that arrives until `size` bytes are there or the connection ends.
void read_all(listener_fixture& fixture, slow_caller& caller, std::size_t size) {
  testing::run_until(fixture.base.get(), [&caller, size]() {
    char bytes[65'536];
    ssize_t count = 0;
    while ((count = recv(caller.socket, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0) {
      caller.received.append(bytes, static_cast<std::size_t>(count));
    }
    return caller.received.size() >= size || count == 0;
  });
}

}  // namespace

// Guards against review/14 (LOST): a connection counted as idle once its response was complete in
// the output buffer, and closing it cut the response.
TEST_CASE("listener: a connection is not idle before its response has left the process") {
  constexpr std::size_t body_size = 6 << 20;  // more than the kernel holds
  listener_fixture fixture;
  fixture.limits.idle_timeout = milliseconds{200};
  start_fixture(fixture);
  slow_caller caller;
  connect_slow_caller(caller, fixture.port);
  REQUIRE(wait_for_exchanges(fixture, 1));
  send_response(*fixture.exchanges[0], 200, {}, std::string(body_size, 'x'));
  SUBCASE("idle connections are closed") {
    testing::run_for(fixture.base.get(), milliseconds{50});
    close_idle_connections(*fixture.listener, milliseconds{10});
  }
  SUBCASE("its idle time is over") {
    testing::run_for(fixture.base.get(), 3 * fixture.limits.idle_timeout);
  }
  SUBCASE("the listener closes connections from now on") {
    set_close_after_response(*fixture.listener, true);
    testing::run_for(fixture.base.get(), 3 * fixture.limits.idle_timeout);
    close_idle_connections(*fixture.listener, milliseconds{10});
  }
  read_all(fixture, caller, body_size);
  CHECK(caller.received.size() > body_size);
  SUBCASE("its idle time begins then") {
    close_idle_connections(*fixture.listener, milliseconds{100});
    CHECK(fixture.listener->connections.size() == 1);
    testing::run_for(fixture.base.get(), milliseconds{150});
    close_idle_connections(*fixture.listener, milliseconds{100});
    CHECK(fixture.listener->connections.empty());
  }
  SUBCASE("and ends by itself") {
    CHECK(testing::run_until(fixture.base.get(),
                             [&fixture]() { return fixture.listener->connections.empty(); }));
  }
}

// The counterpart: callers that do not read do not hold their connections for good.
TEST_CASE("listener: a response that its caller does not read is given up") {
  listener_fixture fixture;
  fixture.limits.idle_timeout = milliseconds{100};
  start_fixture(fixture);
  fixture.listener->options.response_write_timeout = milliseconds{300};
  slow_caller caller;
  connect_slow_caller(caller, fixture.port);
  REQUIRE(wait_for_exchanges(fixture, 1));
  send_response(*fixture.exchanges[0], 200, {}, std::string(6 << 20, 'x'));
  testing::run_for(fixture.base.get(), milliseconds{200});
  CHECK(fixture.listener->connections.size() == 1);
  CHECK(testing::run_until(fixture.base.get(),
                           [&fixture]() { return fixture.listener->connections.empty(); }));
  CHECK(fixture.listener->unsent_bytes == 0);
}

// Guards against DENIED (second review): the limit of an idle connection was the one in force when
// its last request ended, so that proper requests got 431 after the limit had been raised.
TEST_CASE("listener: the limit of a head is the one in force when the request begins") {
  listener_fixture fixture;
  fixture.limits.max_header_bytes = 200;
  start_fixture(fixture);
  testing::raw_caller caller;
  testing::connect_caller(fixture.base.get(), caller, fixture.port);
  testing::send_raw(caller, get_request);
  REQUIRE(wait_for_exchanges(fixture, 1));
  send_response(*fixture.exchanges[0], 200, {}, "first");
  REQUIRE(wait_for_text(fixture, caller, "first"));
  const std::string long_request =
      "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(400, 'a') + "\r\n\r\n";
  SUBCASE("raised: a longer head is accepted on the open connection") {
    fixture.limits.max_header_bytes = 600;
    testing::send_raw(caller, long_request);
    CHECK(wait_for_exchanges(fixture, 2));
  }
  SUBCASE("not raised: it is rejected") {
    testing::send_raw(caller, long_request);
    CHECK(wait_for_text(fixture, caller, "431"));
  }
}

// Guards against GONE (brazos-tread-grown, scale-1): a router that got no time for some seconds
// passed calls on whose callers had left meanwhile.
TEST_CASE("listener: a request whose caller has left before it is read is not passed on") {
  listener_fixture fixture;
  start_fixture(fixture);
  SUBCASE("on a new connection") {
    const int socket = connect_socket(fixture.port);
    REQUIRE(::send(socket, get_request.data(), get_request.size(), 0) ==
            static_cast<ssize_t>(get_request.size()));
    ::close(socket);
    testing::run_for(fixture.base.get(), std::chrono::milliseconds{50});
    CHECK(fixture.exchanges.empty());
    CHECK(fixture.listener->connections.empty());
  }
  SUBCASE("on an open connection") {
    testing::raw_caller caller;
    testing::connect_caller(fixture.base.get(), caller, fixture.port);
    testing::send_raw(caller, get_request);
    REQUIRE(wait_for_exchanges(fixture, 1));
    send_response(*fixture.exchanges[0], 200, {}, "first");
    REQUIRE(wait_for_text(fixture, caller, "first"));
    const evutil_socket_t socket = bufferevent_getfd(caller.connection);
    REQUIRE(::send(socket, get_request.data(), get_request.size(), 0) ==
            static_cast<ssize_t>(get_request.size()));
    testing::shut_down(caller);
    testing::run_for(fixture.base.get(), std::chrono::milliseconds{50});
    CHECK(fixture.exchanges.size() == 1);
  }
  SUBCASE("a caller that stays is served") {
    const int socket = connect_socket(fixture.port);
    REQUIRE(::send(socket, get_request.data(), get_request.size(), 0) ==
            static_cast<ssize_t>(get_request.size()));
    CHECK(wait_for_exchanges(fixture, 1));
    ::close(socket);
  }
}

TEST_CASE("listener: connections in the backlog get a response when the listener stops accepting") {
  // Guards against a reset of connections in the backlog: closing the listening socket resets
  // them, although their requests may already be sent. Found by planned_stop.sh under load.
  listener_fixture fixture;
  start_fixture(fixture);
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = testing::loopback(fixture.port);
  REQUIRE(::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
  REQUIRE(::write(socket, get_request.data(), get_request.size()) ==
          static_cast<ssize_t>(get_request.size()));
  stop_accepting(*fixture.listener);
  REQUIRE(wait_for_exchanges(fixture, 1));
  send_response(*fixture.exchanges[0], 503, {}, "stopping");
  testing::run_for(fixture.base.get(), milliseconds{20});
  char text[512] = "";
  CHECK(::read(socket, text, sizeof(text) - 1) > 0);
  CHECK(std::string(text).find("HTTP/1.1 503 ") == 0);
  ::close(socket);
}

TEST_CASE("listener: invalid, late or missing input never reaches the handler") {
  listener_fixture fixture;
  fixture.limits.max_body_bytes = 10;
  fixture.limits.header_timeout = milliseconds{60};
  fixture.limits.idle_timeout = milliseconds{150};
  start_fixture(fixture);
  testing::raw_caller caller;
  testing::connect_caller(fixture.base.get(), caller, fixture.port);
  SUBCASE("Content-Length above the limit") {
    testing::send_raw(caller, "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n");
    CHECK(wait_for_text(fixture, caller, "HTTP/1.1 413 "));
  }
  SUBCASE("chunked body above the limit") {
    testing::send_raw(
        caller,
        "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n");
    CHECK(wait_for_text(fixture, caller, "HTTP/1.1 413 "));
  }
  SUBCASE("head does not arrive in time") {
    testing::send_raw(caller, "GET /a HTTP/1.1\r\nHo");
    CHECK(wait_for_text(fixture, caller, "HTTP/1.1 408 "));
  }
  SUBCASE("body does not arrive in time") {
    testing::send_raw(caller, "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab");
    CHECK(wait_for_text(fixture, caller, "HTTP/1.1 408 "));
  }
  SUBCASE("request smuggling: two framings") {
    testing::send_raw(caller,
                      "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
                          get_request);
    CHECK(wait_for_text(fixture, caller, "HTTP/1.1 400 "));
  }
  SUBCASE("an idle connection is closed without a response") {
    CHECK(testing::run_until(fixture.base.get(), [&caller]() { return caller.closed; }));
    CHECK(caller.received.empty());
  }
  CHECK(fixture.exchanges.empty());
}

TEST_CASE("client: the result of a call says whether the server may have run it") {
  client_fixture fixture;
  SUBCASE("complete response; the connection is reused") {
    start_fixture(fixture, "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nok");
    send_test_request(fixture, fixture.server.address);
    REQUIRE(wait_for_end(fixture));
    CHECK(*fixture.result == client_call_result::complete);
    CHECK(fixture.body == "ok");
    CHECK(fixture.client.idle_connections.size() == 1);
    send_test_request(fixture, fixture.server.address);
    CHECK(fixture.client.connections_reused == 1);
  }
  SUBCASE("connection refused: the server cannot have run it") {
    start_fixture(fixture, "");
    send_test_request(fixture, testing::unused_address());
    REQUIRE(wait_for_end(fixture));
    CHECK(*fixture.result == client_call_result::not_sent);
  }
  SUBCASE("no response in time: the server may have run it") {
    start_fixture(fixture, "");
    send_test_request(fixture, fixture.server.address);
    REQUIRE(wait_for_end(fixture));
    CHECK(*fixture.result == client_call_result::failed_after_send);
  }
  SUBCASE("reset after the request was read: the server may have run it") {
    start_fixture(fixture, "");
    fixture.server.reset_after_read = true;
    send_test_request(fixture, fixture.server.address);
    REQUIRE(wait_for_end(fixture));
    CHECK(*fixture.result == client_call_result::failed_after_send);
  }
  SUBCASE("closed before the announced length") {
    start_fixture(fixture, "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 9\r\n\r\nok");
    fixture.server.close_after_response = true;
    send_test_request(fixture, fixture.server.address);
    REQUIRE(wait_for_end(fixture));
    CHECK(*fixture.result == client_call_result::failed_after_send);
  }
  SUBCASE("no length: complete at an orderly close") {
    start_fixture(fixture, "HTTP/1.1 200 OK\r\nId: 7\r\n\r\nok");
    fixture.server.close_after_response = true;
    send_test_request(fixture, fixture.server.address);
    REQUIRE(wait_for_end(fixture));
    CHECK(*fixture.result == client_call_result::complete);
    CHECK(fixture.client.all_connections.empty());
  }
  SUBCASE("interim response first") {
    start_fixture(
        fixture,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nok");
    send_test_request(fixture, fixture.server.address);
    REQUIRE(wait_for_end(fixture));
    CHECK(fixture.status == 200);
    CHECK(fixture.body == "ok");
  }
  SUBCASE("a response to an earlier call is skipped") {
    start_fixture(fixture,
                  "HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 3\r\n\r\nold"
                  "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nok");
    send_test_request(fixture, fixture.server.address);
    REQUIRE(wait_for_end(fixture));
    CHECK(*fixture.result == client_call_result::complete);
    CHECK(fixture.body == "ok");
    CHECK(fixture.client.responses_skipped == 1);
    CHECK(fixture.client.idle_connections.empty());
  }
  SUBCASE("bytes after the response: the connection is closed") {
    start_fixture(fixture,
                  "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    send_test_request(fixture, fixture.server.address);
    REQUIRE(wait_for_end(fixture));
    CHECK(*fixture.result == client_call_result::complete);
    CHECK(fixture.body == "ok");
    CHECK(fixture.client.all_connections.empty());
  }
  SUBCASE("malformed response") {
    start_fixture(fixture, "\x01\x02garbage\r\n\r\n");
    send_test_request(fixture, fixture.server.address);
    REQUIRE(wait_for_end(fixture));
    CHECK(*fixture.result == client_call_result::failed_after_send);
    CHECK(fixture.status == 0);
  }
  SUBCASE("cancelled: the connection is closed and no handler is called") {
    start_fixture(fixture, "");
    const std::shared_ptr<client_call> handle = send_test_request(fixture, fixture.server.address);
    testing::run_for(fixture.base.get(), milliseconds{50});
    cancel_call(*handle);
    CHECK(testing::run_until(fixture.base.get(),
                             [&fixture]() { return fixture.server.closed_connections == 1; }));
    CHECK_FALSE(fixture.result.has_value());
  }
  SUBCASE("idle connections are closed before the server's idle timeout") {
    start_fixture(
        fixture,
        "HTTP/1.1 200 OK\r\nId: 7\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok");
    send_test_request(fixture, fixture.server.address);
    REQUIRE(wait_for_end(fixture));
    testing::run_for(fixture.base.get(), milliseconds{650});
    close_stale_connections(fixture.client, std::chrono::steady_clock::now());
    CHECK(fixture.client.idle_connections.empty());
  }
}

// Guards against the flooded router (docs/incidents/ashyq-esik-grown-fair.md): one loop iteration
// accepted, and so read and answered, all connections of a flood.
TEST_CASE("listener: a flood of connections waits in the backlog") {
  listener_fixture fixture;
  start_fixture(fixture);
  const std::size_t max_accepts =
      static_cast<std::size_t>(fixture.listener->options.max_accepts_per_iteration);
  const std::size_t connection_count = 2 * max_accepts + 3;
  std::vector<int> sockets;
  for (std::size_t index = 0; index < connection_count; ++index) {
    sockets.push_back(connect_socket(fixture.port));
  }
  event_base_loop(fixture.base.get(), EVLOOP_ONCE);
  CHECK(fixture.listener->connections.size() == max_accepts);
  CHECK(fixture.listener->backlogged);
  SUBCASE("later iterations accept the others") {
    CHECK(testing::run_until(fixture.base.get(), [&]() {
      return fixture.listener->connections.size() == connection_count;
    }));
    testing::run_for(fixture.base.get(), milliseconds{20});
    CHECK(fixture.listener->iterations_backlogged == 2);
  }
  SUBCASE("a call of a caller that left meanwhile is not handled") {
    REQUIRE(send(sockets[connection_count - 2], get_request.data(), get_request.size(), 0) > 0);
    close(sockets[connection_count - 2]);
    REQUIRE(send(sockets[connection_count - 1], get_request.data(), get_request.size(), 0) > 0);
    CHECK(wait_for_exchanges(fixture, 1));
    testing::run_for(fixture.base.get(), milliseconds{20});
    CHECK(fixture.exchanges.size() == 1);
    CHECK(fixture.listener->callers_left_unread == 1);
    sockets.erase(sockets.end() - 2);
  }
  for (int socket : sockets) {
    close(socket);
  }
}
