// HTTP/1.1 client for calls to targets, to the platform's store and, in tools, to routers.
//
// Connections are reused, for one call at a time. The response is passed to the handlers
// as it arrives. The result of a call says whether the server may have run it:
//
//   complete           the whole response arrived
//   not_sent           no byte of the request left this process: the server cannot have
//                      run it
//   failed_after_send  the connection broke or timed out after it was established, or the
//                      response was malformed: the server may have run it
//
//   http_request request{.address = "10.0.0.9:8000", .method = "POST", ...};
//   std::shared_ptr<client_call> handle = start_call(client, request, handlers);
//   pause_call(*handle); resume_call(*handle);   // back pressure
//   cancel_call(*handle);                        // closes; no handler is called any more
//
// A response without length and chunks ends when the server closes the connection. If it closes
// while the request is being written, the response is complete once the server's host has received
// the request, and incomplete if the connection is reset before.
//
// A response that carries another call's id in the echo header belongs to an earlier call
// and is skipped, and so is one without it from a server that echoes. A connection is not reused
// after a skipped response, bytes after a response, a response that ended before the whole request
// was written, or an announced close.
//
// Handlers are called from the event loop, never from within start_call().
// Thread safety: none; for use from one event loop.
#pragma once

#include <event2/bufferevent.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/base/types.h"
#include "net/http_message.h"
#include "net/loop.h"

namespace peridot {

struct http_request {
  std::string address;
  std::string method = "GET";
  std::string request_target = "/";  // path and query, as in the request line
  std::vector<http_header> headers;  // with Host; without Content-Length and hop-by-hop headers
  std::string body;
  // In place of `body`, and not copied: kept alive until it has been written.
  std::shared_ptr<const std::string> shared_body;
  bool has_body = false;  // sends Content-Length even if the body is empty
  // A response with another value in this header than `echo_value` is skipped. So is one without
  // the header, on a connection on which the server has echoed it before, unless `may_lack_echo` is
  // set and accepts the head. Empty: not checked.
  std::string echo_header;
  std::string echo_value;
  bool (*may_lack_echo)(const message_head&) = nullptr;
  milliseconds connect_timeout{300};
  // Longest time without a byte of the response, counted from connecting or, on a reused
  // connection, from sending; 0: none.
  milliseconds idle_timeout{0};
  // Longest idle time of a connection that may be reused; 0: always opens a new connection.
  milliseconds max_reuse_idle_time{0};
  std::size_t max_head_bytes = 64 << 10;
  // Bytes received for the call: heads, interim and skipped responses, and a body without an
  // announced length. Beyond them the server is taken for one that sends without end, and the call
  // fails.
  std::size_t max_unannounced_bytes = 4 << 20;
  std::uint64_t max_announced_body_bytes = 64 << 20;  // of a body with an announced length
  // Longest time from the start of the call to the end of the response; 0: none.
  milliseconds max_duration{0};
};

enum class client_call_result { complete, not_sent, failed_after_send };

struct call_handlers {
  std::function<void(const message_head&)> on_head;
  std::function<void(std::string_view)> on_data;
  std::function<void(client_call_result)> on_end;  // exactly once unless cancelled
};

struct http_client;
struct client_connection;

struct client_call {
  http_client* client = nullptr;
  http_request request;
  call_handlers handlers;
  client_connection* connection = nullptr;  // null once the call has ended
  bool may_have_sent = false;               // connected: bytes of the request may have left
  bool paused = false;
  bool reused_connection = false;
  bool connection_lost = false;  // closed or reset by the server, or unusable, before the end
  std::string problem;           // why the call failed, for logs
  instant started_at{};
  std::uint64_t received_bytes = 0;  // heads and bodies, also of interim and skipped responses
  int interim_responses = 0;
};

struct client_connection {
  http_client* client = nullptr;
  std::string address;
  bufferevent* stream = nullptr;
  http_parser parser;
  std::shared_ptr<client_call> call;  // null while idle
  event_ptr timer;
  bool connected = false;
  bool skipping_response = false;  // the current response is interim or belongs to another call
  bool must_close = false;         // not reusable after the current call
  bool server_echoes = false;      // a response has carried the echo header of its request
  bool head_delivered = false;     // to the handlers of the call
  // Runs while the server has ended its response by closing the connection, and may not have
  // received the whole request.
  event_ptr delivery_timer;
  instant idle_since{};
  milliseconds server_idle_timeout{0};  // from the Keep-Alive header; 0: not sent
  std::list<client_connection*>::iterator position_in_all;
};

struct http_client {
  event_base* base = nullptr;
  milliseconds default_server_idle_timeout{800};  // if the server sends none
  // By address, most recently used last.
  std::unordered_map<std::string, std::list<client_connection*>> idle_connections;
  std::list<client_connection*> all_connections;
  std::unordered_map<std::string, int> connection_count_by_address;
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_reused = 0;
  std::uint64_t responses_skipped = 0;

  http_client() = default;
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  ~http_client();
};

// Precondition: parse_ip_endpoint() accepts `request.address`.
std::shared_ptr<client_call> start_call(http_client& client, http_request request,
                                        call_handlers handlers);

// Closes the connection of the call; no handler is called any more. Has no effect once the
// call has ended.
void cancel_call(client_call& call);

// Pauses and resumes reading the response. The idle timeout does not run while reading is
// paused. Both have no effect once the call has ended.
void pause_call(client_call& call);
void resume_call(client_call& call);

// Closes idle connections that the server may close soon, and those beyond the limit of
// idle connections per address. Call it a few times per second.
void close_stale_connections(http_client& client, instant now);

// True if a connection to the address is established.
bool has_connection_to(const http_client& client, const std::string& address);

// Closes the idle connections to an address, e.g. after its target was removed.
void close_idle_connections_to(http_client& client, const std::string& address);

}  // namespace peridot
