// HTTP server for callers and operators, by libevhtp.
//
// Each complete request becomes a `server_exchange`, handed to one function. The
// answer may come at any later time, whole or streamed:
//
//   leaf::result<std::unique_ptr<http_listener>> server = start_server(base, options, handle);
//   void handle(const std::shared_ptr<server_exchange>& exchange) {
//     reply(*exchange, 200, {{"Content-Type", "text/plain"}}, "ok\n");
//   }
//   reply_begin(...); reply_data(...); reply_end(...);   // streamed
//   reply_abort(...);   // a streamed answer that cannot be completed: the
//                       // connection closes without the last chunk
//
// Bad input: oversized headers or bodies, malformed requests, and requests whose
// end two readers could see at different places (a length beside chunks, two
// lengths, an unknown coding) end the connection, where possible with a 4xx
// status, and never reach the handler. A caller that stalls, or sends a request
// byte by byte beyond `request_timeout`, is closed, as are connections beyond the
// limit. Control characters in header values of answers become spaces. An answer
// to HEAD has its headers only.
//
// A caller that leaves, or closes its side for writing, is noticed at once, also
// while nothing is being sent; `on_gone` is then called once.
//
// Thread safety: none; one loop.
#pragma once

#include <evhtp/evhtp.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/error.h"
#include "net/http_client.h"
#include "net/loop.h"

namespace peridot {

struct server_options {
  std::string address;  // "10.0.0.7:8080"
  std::size_t max_connections = 4'096;
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 1 << 20;
  std::chrono::milliseconds read_timeout{30'000};      // of a request that stalls
  std::chrono::milliseconds write_timeout{60'000};     // of a caller that reads nothing
  std::chrono::milliseconds request_timeout{120'000};  // for a whole request to arrive
};

struct server_exchange {
  bool is_post = false;
  bool is_head = false;
  bool can_stream = false;  // HTTP/1.1: the end of a chunked answer can be told
  std::string path;
  std::string query;
  std::vector<http_header> headers;
  std::string body;
  std::function<void()> on_gone;     // the caller left before the answer ended
  std::function<void()> on_drained;  // everything written so far has left
  event_base* base = nullptr;
  evhtp_request_t* request = nullptr;  // null once the answer ended or the caller left
  event_ptr closed_event;
  bool begun = false;
};

using exchange_handler = std::function<void(const std::shared_ptr<server_exchange>&)>;

// One connection, until the library frees it.
struct http_connection {
  evhtp_connection_t* handle = nullptr;
  std::size_t header_bytes = 0;  // of the request that is being read
  event_ptr deadline;            // runs while a request is awaited or read
};

struct http_listener {
  event_base* base = nullptr;
  server_options options;
  exchange_handler handler;
  evhtp_t* library = nullptr;
  std::size_t connections = 0;
  std::map<evhtp_connection_t*, http_connection> open;  // one entry each
  bool closing = false;                                 // no handler is called any more

  http_listener() = default;
  http_listener(const http_listener&) = delete;
  http_listener& operator=(const http_listener&) = delete;
  // Closes the socket and all connections. The loop must still be there.
  ~http_listener();
};

// Fails at step "bind" if the address cannot be bound.
leaf::result<std::unique_ptr<http_listener>> start_server(event_base* base,
                                                          const server_options& options,
                                                          exchange_handler handler);

// All are without effect once the caller has left.
void reply(server_exchange& exchange, int status, const std::vector<http_header>& headers,
           std::string_view body);
void reply_begin(server_exchange& exchange, int status, const std::vector<http_header>& headers);
void reply_data(server_exchange& exchange, std::string_view data);
void reply_end(server_exchange& exchange);
void reply_abort(server_exchange& exchange);

// Bytes written to the exchange that have not left yet.
std::size_t unsent_bytes(const server_exchange& exchange);

// Value of `name` in a query string such as "count=3&x=y"; empty if absent.
std::string query_value(std::string_view query, std::string_view name);

}  // namespace peridot
