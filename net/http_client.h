// HTTP/1.1 client side: calls to targets, the platform's store and other routers.
//
// Connections to one address are kept and used again, one call at a time each. The
// answer is handed out as it arrives, and its end says how much is known:
//
//   complete  the whole answer arrived
//   refused   no byte of the call left this process; nothing can have run
//   lost      the connection broke or timed out after bytes had left, or the answer
//             is no answer to this call
//
//   http_call call{.address = "10.0.0.9:8000", .head = "POST /x HTTP/1.1\r\n...", ...};
//   std::shared_ptr<client_call> handle = start_call(client, call, handlers);
//   pause_call(*handle); resume_call(*handle);   // back pressure
//   cancel_call(*handle);                        // closes; no handler is called any more
//
// An answer that echoes another call's id belongs to an earlier call: it is skipped.
// A connection is not used again after anything odd: bytes behind an answer, an
// answer before the whole call was written, an announced close.
//
// Handlers are called from the loop, never from within start_call.
// Thread safety: none; one loop.
#pragma once

#include <event2/bufferevent.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/base/types.h"
#include "net/http_message.h"
#include "net/loop.h"

namespace peridot {

struct http_request {
  std::string address;
  std::string method = "GET";
  std::string request_target = "/";  // path and query
  std::vector<http_header> headers;  // Host included; without length and connection headers
  std::string body;
  bool has_body = false;    // a length is sent also if the body is empty
  std::string echo_header;  // answers to this call carry it with `echo_value`; empty: not checked
  std::string echo_value;
  milliseconds connect_timeout{300};
  milliseconds idle_timeout{0};         // between bytes of the answer; 0: none
  milliseconds max_reuse_idle_time{0};  // longest rest of a connection before this call; 0: new one
  std::size_t max_head_bytes = 64 << 10;
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
  bool may_have_sent = false;               // a byte may have left
  bool paused = false;
  std::string problem;  // why it was lost, for logs
};

struct client_connection {
  http_client* client = nullptr;
  std::string address;
  bufferevent* stream = nullptr;
  http_parser parser;
  std::shared_ptr<client_call> call;  // null while idle
  event_ptr timer;
  bool connected = false;
  bool skipping_response = false;  // the answer that arrives belongs to an earlier call
  bool must_close = false;         // not to be used again
  bool head_delivered = false;     // to the call's handlers
  instant idle_since{};
  milliseconds server_idle_timeout{0};  // how long the other side keeps it, as it said; 0: not said
  std::list<client_connection*>::iterator position_in_all;
};

struct http_client {
  event_base* base = nullptr;
  milliseconds default_server_idle_timeout{800};  // of a connection whose other side states no time
  std::map<std::string, std::list<client_connection*>> idle_connections;  // by address, newest last
  std::list<client_connection*> all_connections;
  std::map<std::string, int> connection_count_by_address;
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_reused = 0;
  std::uint64_t responses_skipped = 0;

  http_client() = default;
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  ~http_client();
};

// Precondition: the address was checked by parse_ip_endpoint().
std::shared_ptr<client_call> start_call(http_client& client, http_request request,
                                        call_handlers handlers);
void cancel_call(client_call& call);
void pause_call(client_call& call);
void resume_call(client_call& call);

// Closes idle connections that the other side may close soon. Call a few times a second.
void close_stale_connections(http_client& client, instant now);

// Closes the idle connections to an address, e.g. because its target is gone.
void close_idle_connections_to(http_client& client, const std::string& address);

}  // namespace peridot
