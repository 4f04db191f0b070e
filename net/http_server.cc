#include "net/http_server.h"

#include <strings.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "core/check.h"
#include "core/ip_endpoint.h"

namespace peridot {
namespace {

// The library declares one hook type for all of its hooks.
template <class Function>
evhtp_hook as_hook(Function* function) {
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

// The library's request holds one of these until its fini hook.
struct exchange_holder {
  std::shared_ptr<server_exchange> exchange;
  http_listener* server = nullptr;
};

void detach(server_exchange& exchange) {
  exchange.request = nullptr;
  exchange.closed_event.reset();
}

void caller_left(server_exchange& exchange) {
  if (exchange.request == nullptr) {
    return;
  }
  detach(exchange);
  if (exchange.on_gone) {
    const std::function<void()> on_gone = std::exchange(exchange.on_gone, nullptr);
    on_gone();
  }
}

// The library takes a second resumption as an error.
void resume_request(evhtp_request_t* request) {
  const int flags = evhtp_connection_get_flags(evhtp_request_get_connection(request));
  if ((flags & EVHTP_CONN_FLAG_PAUSED) != 0) {
    evhtp_request_resume(request);
  }
}

// Ends the connection without completing the answer. The library notices the end
// of its own accord and frees the connection, which it may be inside of now.
void break_connection(evhtp_request_t* request) {
  shutdown(bufferevent_getfd(evhtp_request_get_bev(request)), SHUT_RDWR);
  resume_request(request);
}

// Called when bytes have left for the connection. The library's own hook is not
// called while the request is paused, which it is until its answer ends.
void on_output_changed(evbuffer* output, const evbuffer_cb_info* info, void* argument) {
  const std::shared_ptr<server_exchange> exchange =
      static_cast<exchange_holder*>(argument)->exchange;
  const bool drained = info->n_deleted > 0 && evbuffer_get_length(output) == 0;
  if (drained && exchange->request != nullptr && exchange->on_drained) {
    exchange->on_drained();
  }
}

evbuffer* output_of(evhtp_request_t* request) {
  return bufferevent_get_output(evhtp_request_get_bev(request));
}

// Starts the time within which the next request has to arrive.
void await_request(http_listener& server, evhtp_connection_t* handle) {
  auto found = server.open.find(handle);
  if (found == server.open.end()) {
    return;
  }
  found->second.header_bytes = 0;
  const timeval limit = to_timeval(server.options.request_timeout);
  event_add(found->second.deadline.get(), &limit);
}

// Called before the library frees the request, whatever the reason.
evhtp_res on_request_fini(evhtp_request_t* request, void* argument) {
  const std::unique_ptr<exchange_holder> holder(static_cast<exchange_holder*>(argument));
  evbuffer_remove_cb(output_of(request), on_output_changed, holder.get());
  if (holder->server->closing) {
    detach(*holder->exchange);
    return EVHTP_RES_OK;
  }
  await_request(*holder->server, evhtp_request_get_connection(request));
  caller_left(*holder->exchange);
  return EVHTP_RES_OK;
}

// The peer closed its side while the request waits for its answer.
void on_closed(evutil_socket_t, short, void* argument) {
  server_exchange& exchange = *static_cast<server_exchange*>(argument);
  evhtp_request_t* request = exchange.request;
  if (request == nullptr) {
    return;
  }
  caller_left(exchange);
  break_connection(request);
}

int copy_header(evhtp_kv_t* entry, void* argument) {
  static_cast<std::vector<http_header>*>(argument)->push_back(
      {std::string(entry->key, entry->klen), std::string(entry->val, entry->vlen)});
  return 0;
}

std::shared_ptr<server_exchange> read_request(event_base* base, evhtp_request_t* request) {
  std::shared_ptr<server_exchange> exchange = std::make_shared<server_exchange>();
  exchange->base = base;
  exchange->request = request;
  exchange->is_post = request->method == htp_method_POST;
  exchange->is_head = request->method == htp_method_HEAD;
  exchange->can_stream = request->proto == EVHTP_PROTO_11;
  if (request->uri != nullptr && request->uri->path != nullptr &&
      request->uri->path->full != nullptr) {
    exchange->path = request->uri->path->full;
  }
  if (request->uri != nullptr && request->uri->query_raw != nullptr) {
    exchange->query = reinterpret_cast<const char*>(request->uri->query_raw);
  }
  evhtp_headers_for_each(request->headers_in, copy_header, &exchange->headers);
  const std::size_t length = evbuffer_get_length(request->buffer_in);
  exchange->body.resize(length);
  evbuffer_copyout(request->buffer_in, exchange->body.data(), length);
  return exchange;
}

// Called by the library once a whole request has arrived.
void on_request(evhtp_request_t* request, void* argument) {
  http_listener& server = *static_cast<http_listener*>(argument);
  std::shared_ptr<server_exchange> exchange = read_request(server.base, request);
  exchange_holder* holder = new exchange_holder{exchange, &server};
  evhtp_request_set_hook(request, evhtp_hook_on_request_fini, as_hook(on_request_fini), holder);
  evbuffer_add_cb(output_of(request), on_output_changed, holder);
  auto connection = server.open.find(evhtp_request_get_connection(request));
  if (connection != server.open.end()) {
    event_del(connection->second.deadline.get());
  }
  const evutil_socket_t socket = bufferevent_getfd(evhtp_request_get_bev(request));
  exchange->closed_event.reset(
      event_new(server.base, socket, EV_CLOSED | EV_PERSIST, on_closed, exchange.get()));
  event_add(exchange->closed_event.get(), nullptr);
  evhtp_request_pause(request);
  server.handler(exchange);
}

// Bounds the headers while they arrive: the library keeps them all.
evhtp_res on_header(evhtp_request_t* request, evhtp_header_t* header, void* argument) {
  http_listener& server = *static_cast<http_listener*>(argument);
  auto connection = server.open.find(evhtp_request_get_connection(request));
  if (connection == server.open.end()) {
    return EVHTP_RES_ERROR;
  }
  connection->second.header_bytes += header->klen + header->vlen;
  return connection->second.header_bytes > server.options.max_header_bytes ? EVHTP_RES_BADREQ
                                                                           : EVHTP_RES_OK;
}

bool is_header(const evhtp_kv_t& entry, std::string_view name) {
  return entry.klen == name.size() && strncasecmp(entry.key, name.data(), name.size()) == 0;
}

// Another reader of this request, or of what follows it, could see its end at
// another place.
bool has_ambiguous_end(const evhtp_headers_t& headers) {
  std::size_t lengths = 0;
  std::size_t codings = 0;
  bool known_coding = true;
  for (evhtp_kv_t* entry = headers.tqh_first; entry != nullptr; entry = entry->next.tqe_next) {
    lengths += is_header(*entry, "Content-Length") ? 1U : 0U;
    if (is_header(*entry, "Transfer-Encoding")) {
      ++codings;
      known_coding = entry->vlen == 7 && strncasecmp(entry->val, "chunked", entry->vlen) == 0;
    }
  }
  return lengths + codings > 1 || !known_coding;
}

evhtp_res on_headers(evhtp_request_t*, evhtp_headers_t* headers, void*) {
  return has_ambiguous_end(*headers) ? EVHTP_RES_BADREQ : EVHTP_RES_OK;
}

// The request did not arrive in time. The library notices the end and frees the
// connection.
void on_deadline(evutil_socket_t, short, void* argument) {
  evhtp_connection_t* handle = static_cast<evhtp_connection_t*>(argument);
  shutdown(bufferevent_getfd(evhtp_connection_get_bev(handle)), SHUT_RDWR);
}

evhtp_res on_connection_fini(evhtp_connection_t* handle, void* argument) {
  http_listener& server = *static_cast<http_listener*>(argument);
  const std::size_t removed = server.open.erase(handle);
  --server.connections;
  PERIDOT_CHECK(removed == 1 && server.connections == server.open.size(),
                "connections are counted wrongly");
  return EVHTP_RES_OK;
}

evhtp_res on_accept(evhtp_connection_t* connection, void* argument) {
  http_listener& server = *static_cast<http_listener*>(argument);
  if (server.connections >= server.options.max_connections) {
    return EVHTP_RES_ERROR;
  }
  ++server.connections;
  http_connection& state = server.open[connection];
  state.handle = connection;
  state.deadline.reset(evtimer_new(server.base, on_deadline, connection));
  await_request(server, connection);
  evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini, as_hook(on_connection_fini),
                            argument);
  evhtp_connection_set_hook(connection, evhtp_hook_on_header, as_hook(on_header), argument);
  evhtp_connection_set_hook(connection, evhtp_hook_on_headers, as_hook(on_headers), argument);
  return EVHTP_RES_OK;
}

// The library writes values as they are; one with a line end in it would become
// further headers, or an answer of its own.
std::string header_value(std::string_view value) {
  std::string result(value);
  std::replace_if(
      result.begin(), result.end(),
      [](char byte) {
        const unsigned char code = static_cast<unsigned char>(byte);
        return code < 0x20 || code == 0x7f;
      },
      ' ');
  return result;
}

void add_headers(evhtp_request_t* request, const std::vector<http_header>& headers) {
  for (const http_header& header : headers) {
    const std::string value = header_value(header.value);
    evhtp_headers_add_header(request->headers_out,
                             evhtp_header_new(header.name.c_str(), value.c_str(), 1, 1));
  }
}

}  // namespace

http_listener::~http_listener() {
  closing = true;
  while (!open.empty()) {
    evhtp_connection_free(open.begin()->first);  // erases its entry
  }
  if (library != nullptr) {
    evhtp_unbind_socket(library);
    evhtp_free(library);
  }
}

leaf::result<std::unique_ptr<http_listener>> start_server(event_base* base,
                                                          const server_options& options,
                                                          exchange_handler handler) {
  std::unique_ptr<http_listener> server = std::make_unique<http_listener>();
  server->base = base;
  server->options = options;
  server->handler = std::move(handler);
  server->library = evhtp_new(base, nullptr);
  PERIDOT_CHECK(server->library != nullptr, "out of memory for the server");
  evhtp_set_gencb(server->library, on_request, server.get());
  evhtp_set_post_accept_cb(server->library, on_accept, server.get());
  evhtp_set_max_body_size(server->library, options.max_body_bytes);
  evhtp_enable_flag(server->library, EVHTP_FLAG_ENABLE_NODELAY);
  const timeval read = to_timeval(options.read_timeout);
  const timeval write = to_timeval(options.write_timeout);
  evhtp_set_timeouts(server->library, &read, &write);
  const std::optional<ip_endpoint> endpoint = parse_ip_endpoint(options.address);
  PERIDOT_CHECK(endpoint.has_value(), "an address was not checked before it is bound");
  const std::string host = (endpoint->v6 ? "ipv6:" : "") + endpoint->ip;
  constexpr int backlog = 1024;
  if (evhtp_bind_socket(server->library, host.c_str(), endpoint->port, backlog) != 0) {
    const std::string cause = std::strerror(errno);
    return setup_error("bind", options.address, cause);
  }
  return server;
}

void reply(server_exchange& exchange, int status, const std::vector<http_header>& headers,
           std::string_view body) {
  evhtp_request_t* request = exchange.request;
  if (request == nullptr) {
    return;
  }
  detach(exchange);
  add_headers(request, headers);
  if (exchange.is_head) {
    add_headers(request, {{"Content-Length", std::to_string(body.size())}});
  } else {
    evbuffer_add(request->buffer_out, body.data(), body.size());
  }
  evhtp_send_reply(request, static_cast<evhtp_res>(status));
  resume_request(request);
}

void reply_begin(server_exchange& exchange, int status, const std::vector<http_header>& headers) {
  if (exchange.request == nullptr) {
    return;
  }
  exchange.begun = true;
  add_headers(exchange.request, headers);
  evhtp_send_reply_chunk_start(exchange.request, static_cast<evhtp_res>(status));
}

void reply_data(server_exchange& exchange, std::string_view data) {
  if (exchange.request == nullptr || data.empty()) {
    return;
  }
  const evbuffer_ptr buffer(evbuffer_new());
  evbuffer_add(buffer.get(), data.data(), data.size());
  evhtp_send_reply_chunk(exchange.request, buffer.get());
}

void reply_end(server_exchange& exchange) {
  evhtp_request_t* request = exchange.request;
  if (request == nullptr) {
    return;
  }
  detach(exchange);
  evhtp_send_reply_chunk_end(request);
  resume_request(request);
}

void reply_abort(server_exchange& exchange) {
  evhtp_request_t* request = exchange.request;
  if (request == nullptr) {
    return;
  }
  detach(exchange);
  break_connection(request);
}

std::size_t unsent_bytes(const server_exchange& exchange) {
  if (exchange.request == nullptr) {
    return 0;
  }
  return evbuffer_get_length(bufferevent_get_output(evhtp_request_get_bev(exchange.request)));
}

std::string query_value(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    if (pair.size() > name.size() && pair.substr(0, name.size()) == name &&
        pair[name.size()] == '=') {
      return std::string(pair.substr(name.size() + 1));
    }
    query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
  }
  return {};
}

}  // namespace peridot
