#include "net/http_client.h"

#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "core/check.h"
#include "core/ip_endpoint.h"

namespace peridot {
namespace {

// Frees the connection from the loop: the library may still be inside it.
void free_later(client_call& call) {
  evhttp_connection* connection = std::exchange(call.connection, nullptr);
  call.request = nullptr;
  std::shared_ptr<client_call> self = std::move(call.self);
  run_later(call.base, [connection, self]() {
    if (connection != nullptr) {
      evhttp_connection_free(connection);
    }
  });
}

void finish(client_call& call, call_end end) {
  if (call.ended) {
    return;
  }
  call.ended = true;
  const std::shared_ptr<client_call> keep = call.self;
  free_later(call);
  call.handlers.on_end(end);
}

// Anything that drains from the output buffer has been handed to the network.
void on_output_changed(evbuffer*, const evbuffer_cb_info* info, void* argument) {
  if (info->n_deleted > 0) {
    static_cast<client_call*>(argument)->bytes_left = true;
  }
}

bool is_chunked(const answer_head& head) {
  const std::string_view coding = find_header(head.headers, "Transfer-Encoding");
  constexpr std::string_view chunked = "chunked";
  return coding.size() == chunked.size() &&
         strncasecmp(coding.data(), chunked.data(), chunked.size()) == 0;
}

// The library bounds the whole body, and holds back a chunk until all of it has
// arrived. So the bound moves along with what was passed on; a body of stated
// length is passed on as it arrives and needs none.
void set_body_bound(client_call& call, bool chunked) {
  const std::size_t bound = chunked
                                ? call.passed_on + call.max_chunk
                                : static_cast<std::size_t>(std::numeric_limits<ev_ssize_t>::max());
  evhttp_connection_set_max_body_size(call.connection, static_cast<ev_ssize_t>(bound));
}

void pass_data(client_call& call, evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  const std::size_t length = evbuffer_get_length(input);
  if (length == 0 || call.ended) {
    return;
  }
  const char* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  const std::string copy(bytes, length);
  evbuffer_drain(input, length);
  call.passed_on += length;
  if (call.chunked) {
    set_body_bound(call, true);
  }
  call.handlers.on_data(copy);
}

int on_headers(evhttp_request* request, void* argument) {
  client_call& call = *static_cast<client_call*>(argument);
  if (call.ended) {
    return -1;
  }
  answer_head head;
  head.status = evhttp_request_get_response_code(request);
  for (evkeyval* entry = evhttp_request_get_input_headers(request)->tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    head.headers.push_back({entry->key, entry->value});
  }
  call.chunked = is_chunked(head);
  head.framed = call.chunked || !find_header(head.headers, "Content-Length").empty() ||
                head.status == 204 || head.status == 304;
  call.head_seen = true;
  call.framed = head.framed;
  set_body_bound(call, call.chunked);
  call.handlers.on_head(head);
  return 0;
}

void on_chunk(evhttp_request* request, void* argument) {
  pass_data(*static_cast<client_call*>(argument), request);
}

void on_done(evhttp_request* request, void* argument) {
  client_call& call = *static_cast<client_call*>(argument);
  if (call.ended) {
    return;
  }
  const bool answered =
      request != nullptr && call.head_seen && evhttp_request_get_response_code(request) != 0;
  if (!answered) {
    finish(call, call.bytes_left ? call_end::lost : call_end::refused);
    return;
  }
  pass_data(call, request);
  finish(call, call.framed ? call_end::complete : call_end::lost);
}

}  // namespace

std::shared_ptr<client_call> start_call(event_base* base, const http_call& call,
                                        call_handlers handlers) {
  const std::optional<ip_endpoint> endpoint = parse_ip_endpoint(call.address);
  PERIDOT_CHECK(endpoint.has_value(), "an address was not checked before it is called");
  std::shared_ptr<client_call> handle = std::make_shared<client_call>();
  handle->base = base;
  handle->handlers = std::move(handlers);
  handle->self = handle;
  bufferevent* stream = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  PERIDOT_CHECK(stream != nullptr, "out of memory for a connection");
  evbuffer_add_cb(bufferevent_get_output(stream), on_output_changed, handle.get());
  handle->connection = evhttp_connection_base_bufferevent_new(base, nullptr, stream,
                                                              endpoint->ip.c_str(), endpoint->port);
  const timeval idle = to_timeval(call.idle_timeout);
  evhttp_connection_set_timeout_tv(handle->connection, &idle);
  evhttp_connection_set_max_headers_size(handle->connection,
                                         static_cast<ev_ssize_t>(call.max_head_bytes));
  handle->max_chunk = call.max_answer_chunk;
  evhttp_request* request = evhttp_request_new(on_done, handle.get());
  handle->request = request;
  evhttp_request_set_header_cb(request, on_headers);
  evhttp_request_set_chunked_cb(request, on_chunk);
  evkeyvalq* output = evhttp_request_get_output_headers(request);
  evhttp_add_header(output, "Host", call.address.c_str());
  evhttp_add_header(output, "Connection", "close");
  for (const http_header& header : call.headers) {
    evhttp_add_header(output, header.name.c_str(), header.value.c_str());
  }
  if (call.method == http_method::post) {
    evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
  }
  const evhttp_cmd_type method = call.method == http_method::get ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
  const int made = evhttp_make_request(handle->connection, request, method, call.path.c_str());
  if (made != 0) {
    // The library has freed the request, and nothing was sent.
    run_later(base, [handle]() { finish(*handle, call_end::refused); });
  }
  return handle;
}

void cancel_call(client_call& call) {
  if (call.ended) {
    return;
  }
  call.ended = true;
  free_later(call);
}

void pause_call(client_call& call) {
  if (!call.ended && call.connection != nullptr) {
    bufferevent_disable(evhttp_connection_get_bufferevent(call.connection), EV_READ);
  }
}

void resume_call(client_call& call) {
  if (!call.ended && call.connection != nullptr) {
    bufferevent_enable(evhttp_connection_get_bufferevent(call.connection), EV_READ);
  }
}

std::string_view find_header(const std::vector<http_header>& headers, std::string_view name) {
  auto found = std::find_if(headers.begin(), headers.end(), [name](const http_header& header) {
    return header.name.size() == name.size() &&
           strncasecmp(header.name.data(), name.data(), name.size()) == 0;
  });
  return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

}  // namespace peridot
