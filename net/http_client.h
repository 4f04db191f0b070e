// HTTP calls to targets, peers and the platform's service, by evhttp.
//
// One call per connection. The answer is streamed to the caller's handlers as it
// arrives, and its end says how much is known:
//
//   complete  the whole answer arrived: last chunk, or the stated length
//   refused   no byte of the call left this process; nothing can have run
//   lost      the connection broke or timed out after bytes had left, the answer
//             has no framing that tells its end, or it exceeds a bound of the call
//
// An answer may have any length: memory holds one chunk of it at most.
//
//   http_call call{.address = "10.0.0.9:8000", .path = "/v1/generate", .body = body};
//   std::shared_ptr<client_call> handle = start_call(base, call, handlers);
//   pause_call(*handle); resume_call(*handle);   // back pressure
//   cancel_call(*handle);                        // closes; no handler is called any more
//
// Handlers are called from the loop, never from within start_call.
// Thread safety: none; one loop.
#pragma once

#include <event2/bufferevent.h>
#include <event2/http.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/loop.h"

namespace peridot {

struct http_header {
  std::string name;
  std::string value;
};

enum class http_method { get, post };

struct http_call {
  std::string address;
  http_method method = http_method::get;
  std::string path = "/";
  std::vector<http_header> headers;
  std::string body;
  std::chrono::milliseconds idle_timeout{5'000};  // connecting, and between bytes
  std::size_t max_answer_chunk = 1 << 20;         // a larger one ends the call as lost
  std::size_t max_head_bytes = 64 << 10;          // of the answer
};

struct answer_head {
  int status = 0;
  bool framed = false;  // chunked or of stated length, so that its end can be told
  std::vector<http_header> headers;
};

enum class call_end { complete, refused, lost };

struct call_handlers {
  std::function<void(const answer_head&)> on_head;
  std::function<void(std::string_view)> on_data;  // one chunk, or a part of the body
  std::function<void(call_end)> on_end;           // exactly once unless cancelled
};

struct client_call {
  event_base* base = nullptr;
  evhttp_connection* connection = nullptr;
  evhttp_request* request = nullptr;
  call_handlers handlers;
  bool bytes_left = false;  // of the call, to the network
  bool head_seen = false;
  bool framed = false;
  bool chunked = false;
  bool ended = false;
  std::size_t max_chunk = 0;
  std::size_t passed_on = 0;          // bytes of the body
  std::shared_ptr<client_call> self;  // keeps this alive while the library may call back
};

std::shared_ptr<client_call> start_call(event_base* base, const http_call& call,
                                        call_handlers handlers);
void cancel_call(client_call& call);
void pause_call(client_call& call);
void resume_call(client_call& call);

// Value of the first header of this name, case ignored; empty if there is none.
std::string_view find_header(const std::vector<http_header>& headers, std::string_view name);

}  // namespace peridot
