// HTTP/1.1 server, for callers' requests and for the pages for operators.
//
// Each complete request is passed to the handler as an `http_exchange`. The response may
// be sent at any later time, whole or in parts:
//
//   leaf::result<std::unique_ptr<http_listener>> server = start_listener(base, options, handle);
//   void handle(const std::shared_ptr<http_exchange>& exchange) {
//     send_response(*exchange, 200, {{"Content-Type", "text/plain"}}, "ok\n");
//   }
//   start_response(...); send_response_data(...); finish_response(...);   // in parts
//   abort_response(...);   // a response that cannot be completed: the connection is
//                          // closed before the last chunk or the announced length, or reset
//                          // if the response has neither
//
// A connection has one request in progress at a time; pipelined requests wait in the
// input buffer and the socket. Invalid or late input gets a response with status 400,
// 408, 413 or 431, without a call of the handler, and the connection is closed. If the caller
// disconnects or shuts down its sending side, `on_disconnect` is called once. This is
// detected even while nothing is being sent, unless max_pipelined_bytes of input are
// already buffered: reading is suspended then.
//
// A response after which the listener closes the connection has `Connection: close`; the
// others have `Keep-Alive: timeout=N`, where N is the idle timeout in seconds.
//
// A flood of connections does not delay the loop's other work: each iteration accepts
// max_accepts_per_iteration at most. If a caller left while its connection waited, its request is
// not passed to the handler.
//
// Limits: max_connections, beyond which new connections are closed at once; max_body_total
// bytes of request bodies over all connections, beyond which a request is rejected with 503.
// Thread safety: none; for use from one event loop.
#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/fleet/config_and_targets.h"
#include "net/error.h"
#include "net/http_message.h"
#include "net/loop.h"

namespace peridot {

struct http_listener;
struct http_connection;

struct listener_options {
  std::string address;  // "10.0.0.7:8080"
  std::size_t max_connections = 3'000;
  int max_accepts_per_iteration = 16;  // of the event loop; other connections stay in the backlog
  int backlog = 256;                   // connections that wait to be accepted
  std::size_t max_body_total = 32 << 20;  // bytes of request bodies over all connections
  // Until a response that is complete in the output buffer has left the process; on a connection
  // that is kept, idle_timeout if that is longer.
  milliseconds response_write_timeout{10'000};
};

// One request and its response.
struct http_exchange {
  std::uint64_t id = 0;  // unique in the process
  message_head head;
  std::string body;
  instant first_byte_at{};              // of the request
  instant received_at{};                // when the request was complete
  std::string remote_address;           // of the caller
  std::function<void()> on_disconnect;  // called at most once, before the response ends
  std::function<void()> on_drained;     // called when the output buffer has become empty

  http_connection* connection = nullptr;  // null once the response ended or the caller disconnected
  bool response_started = false;
  bool chunked = false;
};

using exchange_handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

struct http_connection {
  http_listener* listener = nullptr;
  bufferevent* stream = nullptr;
  http_parser parser;
  std::shared_ptr<http_exchange> exchange;  // set while a request is in progress
  event_ptr timer;
  std::string remote_address;
  instant first_byte_at{};
  instant idle_since{};               // valid between requests, once the output buffer is empty
  bool receiving_request = false;     // a request has started to arrive
  bool close_after_response = false;  // after the current response
  bool body_ends_with_connection = false;  // the current response has neither length nor chunks
  bool lingering = false;                  // sending side is shut down; input is discarded
  std::string pending_output;              // head and body bytes that flush_output() writes next
  std::size_t body_bytes = 0;              // counted against max_body_total
};

struct http_listener {
  event_base* base = nullptr;
  listener_options options;
  exchange_handler handler;
  std::function<caller_limits()> current_limits;  // of the configuration in force
  evconnlistener* socket = nullptr;
  event_ptr acceptable;     // active while connections wait in the backlog
  bool backlogged = false;  // the newest loop iteration accepted only a part of them
  std::set<http_connection*> connections;
  std::size_t total_body_bytes = 0;
  std::size_t unsent_bytes = 0;  // of responses, in the output buffers of all connections
  std::uint64_t next_exchange_id = 1;
  bool close_after_response = false;   // for all connections
  bool rejecting_connections = false;  // closes new connections
  // Closed because rejecting_connections was set; without those beyond max_connections.
  std::uint64_t connections_rejected = 0;
  std::uint64_t iterations_backlogged = 0;  // that accepted only a part of the backlog
  std::uint64_t callers_left_unread = 0;    // left before their request was passed to the handler
  std::uint64_t requests_rejected = 0;      // rejected before the handler was called

  http_listener() = default;
  http_listener(const http_listener&) = delete;
  http_listener& operator=(const http_listener&) = delete;
  ~http_listener();
};

// Fails at step "bind" if the address cannot be bound.
leaf::result<std::unique_ptr<http_listener>> start_listener(
    event_base* base, const listener_options& options,
    std::function<caller_limits()> current_limits, exchange_handler handler);

// Accepts the connections that are already in the backlog, then closes the listening socket.
void stop_accepting(http_listener& listener);

// While enabled, each response carries `Connection: close` and its connection is closed, unless
// more input waits there: the close is announced with the last response.
void set_close_after_response(http_listener& listener, bool enabled);

// While `rejecting` is set, new connections are closed before anything is read, so that their
// callers can try another router at once. Returns the number of connections rejected since the
// last call with `rejecting` true; such a call resets the number.
std::uint64_t set_rejecting_connections(http_listener& listener, bool rejecting);

// Closes the connections that have been idle for at least `min_idle_time`, and on which nothing
// has arrived. A connection is idle once its response has left the process. On a connection that
// has been idle for a shorter time, the caller's next request may already be in flight.
void close_idle_connections(http_listener& listener, milliseconds min_idle_time);

// Answers 503 to the requests of which a part has been read, and closes their connections.
void reject_unfinished_requests(http_listener& listener, std::string_view problem);

// The functions below have no effect once the caller has disconnected. `headers` must not
// contain Content-Length, Transfer-Encoding or other hop-by-hop headers.
void send_response(http_exchange& exchange, int status, const std::vector<http_header>& headers,
                   std::string_view body);
// `length` is the length of the body in bytes, if known; otherwise the body is chunked or,
// for HTTP/1.0, ends with the connection. The head is sent with the first data or at the end.
void start_response(http_exchange& exchange, int status, const std::vector<http_header>& headers,
                    std::optional<std::uint64_t> length);
void send_response_data(http_exchange& exchange, std::string_view data);
void finish_response(http_exchange& exchange);
void abort_response(http_exchange& exchange);

// Bytes of the response in the connection's output buffer.
std::size_t unsent_bytes(const http_exchange& exchange);

}  // namespace peridot
