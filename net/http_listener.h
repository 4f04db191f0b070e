// HTTP/1.1 server side of a process: callers' connections and operators' pages.
//
// Each whole request becomes an `http_exchange`, handed to one function. The answer
// may come at any later time, whole or in parts:
//
//   leaf::result<std::unique_ptr<http_listener>> server = start_listener(base, options, handle);
//   void handle(const std::shared_ptr<http_exchange>& exchange) {
//     reply(*exchange, 200, {{"Content-Type", "text/plain"}}, "ok\n");
//   }
//   reply_begin(...); reply_data(...); reply_end(...);   // in parts
//   reply_abort(...);   // an answer that cannot be completed: the connection
//                       // closes without the last chunk or the stated length
//
// One request at a time is read from a connection; further ones wait in the socket.
// Bad input gets 400, 408, 413 or 431 and ends the connection without reaching the
// handler. A caller that leaves, or closes its side for writing, is noticed at once,
// also while nothing is being sent; `on_gone` is then called once.
//
// A connection that the listener will close says so: `Connection: close` in its last
// answer, and `Keep-Alive: timeout=N` before it.
//
// Budget: max_connections; max_body_total bytes of request bodies over all
// connections, beyond which a request is refused with 503.
// Thread safety: none; one loop.
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
  std::size_t max_body_total = 32 << 20;
  milliseconds response_write_timeout{
      10'000};  // of a caller that reads nothing of a finished answer
};

// One request and its answer.
struct http_exchange {
  std::uint64_t id = 0;  // unique in the process
  message_head head;
  std::string body;
  instant first_byte_at{};     // of the request
  instant received_at{};       // whole
  std::string remote_address;  // address of the caller
  std::function<void()> on_disconnect;
  std::function<void()> on_drained;  // everything written so far has left

  http_connection* connection = nullptr;  // null once the answer ended or the caller left
  bool response_started = false;
  bool chunked = false;
};

using exchange_handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

struct http_connection {
  http_listener* listener = nullptr;
  bufferevent* stream = nullptr;
  http_parser parser;
  std::shared_ptr<http_exchange> exchange;  // set while a request is being answered
  event_ptr timer;
  std::string remote_address;
  instant first_byte_at{};
  instant idle_since{};
  bool receiving_request = false;     // a request has begun to arrive
  bool close_after_response = false;  // after the current answer
  bool lingering = false;             // only reads until the caller closes
  std::string pending_output;         // the head of the answer, until its first data
  std::size_t body_bytes = 0;         // counted against max_body_total
};

struct http_listener {
  event_base* base = nullptr;
  listener_options options;
  exchange_handler handler;
  std::function<caller_limits()> current_limits;  // in force now
  evconnlistener* socket = nullptr;
  std::set<http_connection*> connections;
  std::size_t total_body_bytes = 0;
  std::uint64_t next_exchange_id = 1;
  bool close_after_response = false;   // answers say that the connection ends
  bool rejecting_connections = false;  // new connections are closed
  std::uint64_t connections_rejected = 0;
  std::uint64_t requests_rejected = 0;  // requests refused before they reached the handler

  http_listener() = default;
  http_listener(const http_listener&) = delete;
  http_listener& operator=(const http_listener&) = delete;
  ~http_listener();
};

// Fails at step "bind" if the address cannot be bound.
leaf::result<std::unique_ptr<http_listener>> start_listener(
    event_base* base, const listener_options& options,
    std::function<caller_limits()> current_limits, exchange_handler handler);

// No further connection is accepted, but for those that wait to be.
void stop_accepting(http_listener& listener);

// While set, each answer ends its connection.
void set_close_after_response(http_listener& listener, bool enabled);

// While set, new connections are closed before anything is read: their callers may go
// elsewhere at once. Returns how many were closed since it was last set.
std::uint64_t set_rejecting_connections(http_listener& listener, bool rejecting);

// Closes the connections on which no request has begun to arrive for `least_idle`: on a
// younger one a request may be on its way.
void close_idle_connections(http_listener& listener, milliseconds min_idle_time);

// All are without effect once the caller has left. `headers` must not hold a length,
// a transfer coding or headers of one connection.
void send_response(http_exchange& exchange, int status, const std::vector<http_header>& headers,
                   std::string_view body);
// `length`: of the body where it is known; otherwise it is sent in chunks. The head
// leaves with the first data or the end.
void start_response(http_exchange& exchange, int status, const std::vector<http_header>& headers,
                    std::optional<std::uint64_t> length);
void send_response_data(http_exchange& exchange, std::string_view data);
void finish_response(http_exchange& exchange);
void abort_response(http_exchange& exchange);

// Bytes written to the exchange that have not left yet.
std::size_t unsent_bytes(const http_exchange& exchange);

}  // namespace peridot
