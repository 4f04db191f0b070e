#include "net/http_listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <utility>

#include "core/base/check.h"
#include "core/base/ip_endpoint.h"
#include "net/log.h"

namespace peridot {
namespace {

// Time for a caller to read the last response before the socket is closed.
constexpr milliseconds linger_timeout{1'000};
// Input buffered while a response is in progress.
constexpr std::size_t max_pipelined_bytes = 64 << 10;
// Input buffered while a request is received.
constexpr std::size_t max_request_input_bytes = 256 << 10;
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

void set_timeout(http_connection& connection, milliseconds time) {
  const timeval timeout = to_timeval(time);
  event_add(connection.timer.get(), &timeout);
}

void release_body(http_connection& connection) {
  connection.listener->total_body_bytes -= connection.body_bytes;
  connection.body_bytes = 0;
}

// Makes the close of the socket a reset. Discards what is still to be sent.
void reset_on_close(http_connection& connection) {
  const linger no_lingering{1, 0};
  setsockopt(bufferevent_getfd(connection.stream), SOL_SOCKET, SO_LINGER, &no_lingering,
             sizeof(no_lingering));
}

// Follows what waits in the connection's output buffer.
void on_output_changed(evbuffer*, const evbuffer_cb_info* change, void* argument) {
  http_listener& listener = *static_cast<http_listener*>(argument);
  listener.unsent_bytes += change->n_added;
  listener.unsent_bytes -= change->n_deleted;
}

// Closes and frees the connection. Calls on_disconnect of an exchange in progress.
void close_connection(http_connection& connection) {
  // An orderly close would make an incomplete body look complete. Once the connection is
  // lingering, the whole body has been written.
  if (connection.body_ends_with_connection && !connection.lingering) {
    reset_on_close(connection);
  }
  std::shared_ptr<http_exchange> exchange = std::move(connection.exchange);
  release_body(connection);
  evbuffer* output = bufferevent_get_output(connection.stream);
  evbuffer_remove_cb(output, on_output_changed, connection.listener);
  connection.listener->unsent_bytes -= evbuffer_get_length(output);
  bufferevent_free(connection.stream);
  connection.listener->connections.erase(&connection);
  delete &connection;
  if (exchange != nullptr) {
    exchange->connection = nullptr;
    if (exchange->on_disconnect) {
      const std::function<void()> on_disconnect = std::move(exchange->on_disconnect);
      on_disconnect();
    }
  }
}

// Shuts down the sending side, then reads until the caller closes or linger_timeout has
// passed. Closing a socket with unread input would reset the connection, and the caller
// could lose the response.
void start_lingering_close(http_connection& connection) {
  if (connection.lingering) {
    return;
  }
  connection.lingering = true;
  shutdown(bufferevent_getfd(connection.stream), SHUT_WR);
  set_timeout(connection, linger_timeout);
}

void append_head(http_connection& connection, int status, const std::vector<http_header>& headers,
                 std::string_view framing_header) {
  std::string text =
      "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason_phrase(status)) + "\r\n";
  for (const http_header& header : headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += framing_header;
  if (connection.close_after_response) {
    text += "Connection: close\r\n";
  } else {
    const std::chrono::seconds idle = std::chrono::duration_cast<std::chrono::seconds>(
        connection.listener->current_limits().idle_timeout);
    text += "Keep-Alive: timeout=" + std::to_string(idle.count()) + "\r\n";
  }
  text += "\r\n";
  connection.pending_output += text;
}

// Writes pending_output to the connection and empties it.
void flush_output(http_connection& connection) {
  const std::string text = std::exchange(connection.pending_output, {});
  write_now(connection.stream, text);
}

// Sends an error response without calling the handler, and closes the connection.
void reject_request(http_connection& connection, int status, std::string_view problem) {
  ++connection.listener->requests_rejected;
  log_line(log_part::http, log_level::warn,
           "Request rejected. peer=" + connection.remote_address +
               " status=" + std::to_string(status) + " problem=\"" + std::string(problem) + "\"");
  connection.close_after_response = true;
  const std::string body = std::string(problem) + "\n";
  std::vector<http_header> headers = {{"Content-Type", "text/plain"}};
  if (status == 503) {
    headers.push_back({"Retry-After", "1"});
  }
  append_head(connection, status, headers,
              "Content-Length: " + std::to_string(body.size()) + "\r\n");
  connection.pending_output += body;
  // Written through the output buffer, not by write_now(), so that on_written() is called and
  // closes the connection.
  const std::string response = std::exchange(connection.pending_output, {});
  bufferevent_write(connection.stream, response.data(), response.size());
  connection.receiving_request = false;
  set_timeout(connection, connection.listener->options.response_write_timeout);
}

bool has_unsent_output(const http_connection& connection) {
  return evbuffer_get_length(bufferevent_get_output(connection.stream)) != 0;
}

// The connection is idle from now on, or once the output has left the process.
void start_idle_time(http_connection& connection) {
  const milliseconds idle_timeout = connection.listener->current_limits().idle_timeout;
  connection.idle_since = current_time();
  set_timeout(connection,
              has_unsent_output(connection)
                  ? std::max(idle_timeout, connection.listener->options.response_write_timeout)
                  : idle_timeout);
}

void wait_for_request(http_connection& connection) {
  connection.receiving_request = false;
  reset_parser(connection.parser, message_kind::request);
  start_idle_time(connection);
}

// Adds the received body bytes to the total. False if the request was rejected.
bool accept_body_bytes(http_connection& connection) {
  http_listener& listener = *connection.listener;
  const std::size_t max_body_bytes = listener.current_limits().max_body_bytes;
  const http_parser& parser = connection.parser;
  const bool announced_too_large =
      parser.head.framing == body_framing::length && parser.head.content_length > max_body_bytes;
  if (announced_too_large || parser.body.size() > max_body_bytes) {
    reject_request(connection, 413, "body too large");
    return false;
  }
  const std::size_t new_bytes = parser.body.size() - connection.body_bytes;
  if (listener.total_body_bytes + new_bytes > listener.options.max_body_total) {
    reject_request(connection, 503, "no memory for the body");
    return false;
  }
  listener.total_body_bytes += new_bytes;
  connection.body_bytes += new_bytes;
  return true;
}

// The result of recv() for the first byte that waits in the kernel. Reads nothing.
ssize_t peek(const http_connection& connection) {
  char byte = 0;
  return recv(bufferevent_getfd(connection.stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

// True if the caller has closed its sending side.
bool caller_has_left(const http_connection& connection) {
  return peek(connection) == 0;
}

bool has_unread_input(const http_connection& connection) {
  return peek(connection) > 0;
}

// True if more has arrived than the request in progress.
bool has_waiting_input(const http_connection& connection) {
  return evbuffer_get_length(bufferevent_get_input(connection.stream)) != 0 ||
         has_unread_input(connection);
}

void pass_to_handler(http_connection& connection) {
  http_listener& listener = *connection.listener;
  // The request may have waited in the kernel for longer than its caller: in the backlog, or while
  // this process got no time.
  if (caller_has_left(connection)) {
    ++listener.callers_left_unread;
    close_connection(connection);
    return;
  }
  std::shared_ptr<http_exchange> exchange = std::make_shared<http_exchange>();
  exchange->id = listener.next_exchange_id++;
  exchange->head = std::move(connection.parser.head);
  exchange->body = std::move(connection.parser.body);
  exchange->first_byte_at = connection.first_byte_at;
  exchange->received_at = current_time();
  exchange->remote_address = connection.remote_address;
  exchange->connection = &connection;
  connection.exchange = exchange;
  connection.close_after_response = !exchange->head.keep_alive;
  event_del(connection.timer.get());
  bufferevent_setwatermark(connection.stream, EV_READ, 0, max_pipelined_bytes);
  listener.handler(exchange);
}

// Parses the input, up to the end of one request.
void read_request(http_connection& connection) {
  evbuffer* input = bufferevent_get_input(connection.stream);
  if (!connection.receiving_request) {
    // Empty lines before a request are ignored (RFC 9112, section 2.2).
    while (evbuffer_get_length(input) >= 2 &&
           std::memcmp(evbuffer_pullup(input, 2), "\r\n", 2) == 0) {
      evbuffer_drain(input, 2);
    }
    if (evbuffer_get_length(input) == 0) {
      return;
    }
    connection.receiving_request = true;
    connection.first_byte_at = current_time();
    connection.parser.max_head_bytes = connection.listener->current_limits().max_header_bytes;
    set_timeout(connection, connection.listener->current_limits().header_timeout);
  }
  const bool head_was_complete = connection.parser.head_complete;
  const parse_status status = parse_input(connection.parser, input);
  if (status == parse_status::malformed) {
    reject_request(connection, 400, connection.parser.problem);
    return;
  }
  if (status == parse_status::head_too_large) {
    reject_request(connection, 431, "header too large");
    return;
  }
  if (connection.parser.head_complete && !accept_body_bytes(connection)) {
    return;
  }
  if (status == parse_status::complete) {
    pass_to_handler(connection);
    return;
  }
  if (connection.parser.head_complete) {
    set_timeout(connection, connection.listener->current_limits().idle_timeout);
    if (!head_was_complete &&
        has_token(find_header(connection.parser.head.headers, "Expect"), "100-continue")) {
      bufferevent_write(connection.stream, continue_response.data(), continue_response.size());
    }
  }
}

void on_readable(bufferevent*, void* argument) {
  http_connection& connection = *static_cast<http_connection*>(argument);
  if (connection.lingering || (connection.close_after_response && connection.exchange == nullptr)) {
    evbuffer* input = bufferevent_get_input(connection.stream);
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  if (connection.exchange == nullptr) {
    read_request(connection);
  }
}

void on_written(bufferevent*, void* argument) {
  http_connection& connection = *static_cast<http_connection*>(argument);
  if (connection.exchange != nullptr) {
    if (connection.exchange->on_drained) {
      const std::function<void()> on_drained = connection.exchange->on_drained;
      on_drained();
    }
    return;
  }
  if (connection.close_after_response) {
    start_lingering_close(connection);
  } else if (!connection.receiving_request) {
    start_idle_time(connection);
  }
}

void on_event(bufferevent*, short events, void* argument) {
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    close_connection(*static_cast<http_connection*>(argument));
  }
}

void on_timer(evutil_socket_t, short, void* argument) {
  http_connection& connection = *static_cast<http_connection*>(argument);
  if (connection.lingering || connection.exchange != nullptr || !connection.receiving_request) {
    close_connection(connection);
    return;
  }
  reject_request(connection, 408, "request did not arrive in time");
}

void add_connection(http_listener& listener, evutil_socket_t socket, const sockaddr_in& address) {
  if (listener.rejecting_connections) {
    ++listener.connections_rejected;
    evutil_closesocket(socket);
    return;
  }
  if (listener.connections.size() >= listener.options.max_connections) {
    log_line(log_part::http, log_level::warn,
             "Connection rejected. reason=max_connections open=" +
                 std::to_string(listener.connections.size()));
    evutil_closesocket(socket);
    return;
  }
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  http_connection* connection = new http_connection;
  connection->listener = &listener;
  connection->stream = bufferevent_socket_new(listener.base, socket, BEV_OPT_CLOSE_ON_FREE);
  PERIDOT_CHECK(connection->stream != nullptr, "cannot allocate a connection");
  connection->timer.reset(evtimer_new(listener.base, on_timer, connection));
  char ip_text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, ip_text, sizeof(ip_text));
  connection->remote_address = std::string(ip_text) + ":" + std::to_string(ntohs(address.sin_port));
  listener.connections.insert(connection);
  evbuffer_add_cb(bufferevent_get_output(connection->stream), on_output_changed, &listener);
  bufferevent_setcb(connection->stream, on_readable, on_written, on_event, connection);
  bufferevent_setwatermark(connection->stream, EV_READ, 0, max_request_input_bytes);
  wait_for_request(*connection);
  bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
}

// Accepts up to `max_count` connections from the backlog. Returns how many it accepted.
int accept_connections(http_listener& listener, int max_count) {
  const evutil_socket_t listening_socket = evconnlistener_get_fd(listener.socket);
  int count = 0;
  while (count < max_count) {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    const int socket = accept4(listening_socket, reinterpret_cast<sockaddr*>(&address), &length,
                               SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) {
      break;
    }
    add_connection(listener, socket, address);
    ++count;
  }
  return count;
}

void on_acceptable(evutil_socket_t, short, void* argument) {
  http_listener& listener = *static_cast<http_listener*>(argument);
  const int max_accepts = listener.options.max_accepts_per_iteration;
  listener.backlogged = accept_connections(listener, max_accepts) == max_accepts;
  listener.iterations_backlogged += listener.backlogged ? 1 : 0;
}

// Ends an exchange whose response is complete in the output buffer. Closes the connection
// if the response announced that; otherwise goes on with the next request.
void finish_exchange(http_exchange& exchange) {
  http_connection& connection = *exchange.connection;
  exchange.connection = nullptr;
  connection.exchange.reset();
  release_body(connection);
  if (connection.close_after_response) {
    set_timeout(connection, connection.listener->options.response_write_timeout);
    if (!has_unsent_output(connection)) {
      start_lingering_close(connection);
    }
    return;
  }
  bufferevent_setwatermark(connection.stream, EV_READ, 0, max_request_input_bytes);
  wait_for_request(connection);
  bufferevent_trigger(connection.stream, EV_READ,
                      BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

bool is_head_request(const http_exchange& exchange) {
  return exchange.head.method == "HEAD";
}

}  // namespace

http_listener::~http_listener() {
  stop_accepting(*this);
  while (!connections.empty()) {
    http_connection& connection = **connections.begin();
    if (connection.exchange != nullptr) {
      connection.exchange->on_disconnect = nullptr;
    }
    close_connection(connection);
  }
}

leaf::result<std::unique_ptr<http_listener>> start_listener(
    event_base* base, const listener_options& options,
    std::function<caller_limits()> current_limits, exchange_handler handler) {
  const std::optional<ip_endpoint> endpoint = parse_ip_endpoint(options.address);
  if (!endpoint.has_value() || endpoint->v6) {
    return setup_error("bind", options.address, "not an IPv4 address and port");
  }
  sockaddr_in address = to_socket_address(*endpoint);
  std::unique_ptr<http_listener> listener = std::make_unique<http_listener>();
  listener->base = base;
  listener->options = options;
  listener->current_limits = std::move(current_limits);
  listener->handler = std::move(handler);
  listener->socket = evconnlistener_new_bind(
      base, nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_DISABLED,
      options.backlog, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (listener->socket == nullptr) {
    return setup_error("bind", options.address, std::strerror(errno));
  }
  // A listener of libevent accepts until the backlog is empty, so its socket has its own event.
  listener->acceptable.reset(event_new(base, evconnlistener_get_fd(listener->socket),
                                       EV_READ | EV_PERSIST, on_acceptable, listener.get()));
  event_add(listener->acceptable.get(), nullptr);
  return listener;
}

void stop_accepting(http_listener& listener) {
  if (listener.socket != nullptr) {
    // Closing the listening socket would reset the connections in the backlog, although their
    // requests may already be in flight.
    accept_connections(listener, listener.options.backlog + 1);
    listener.acceptable.reset();
    evconnlistener_free(std::exchange(listener.socket, nullptr));
  }
}

void set_close_after_response(http_listener& listener, bool enabled) {
  listener.close_after_response = enabled;
}

std::uint64_t set_rejecting_connections(http_listener& listener, bool rejecting) {
  listener.rejecting_connections = rejecting;
  return rejecting ? std::exchange(listener.connections_rejected, 0)
                   : listener.connections_rejected;
}

void close_idle_connections(http_listener& listener, milliseconds min_idle_time) {
  const instant now = current_time();
  const std::set<http_connection*> open_connections = listener.connections;
  for (http_connection* connection : open_connections) {
    const bool idle = connection->exchange == nullptr && !connection->receiving_request &&
                      !connection->lingering && !connection->close_after_response &&
                      !has_unsent_output(*connection) &&
                      now - connection->idle_since >= min_idle_time &&
                      !has_waiting_input(*connection);
    if (idle) {
      close_connection(*connection);
    }
  }
}

void reject_unfinished_requests(http_listener& listener, std::string_view problem) {
  const std::set<http_connection*> open_connections = listener.connections;
  for (http_connection* connection : open_connections) {
    const bool is_unfinished = connection->receiving_request && connection->exchange == nullptr &&
                               !connection->close_after_response && !connection->lingering;
    if (is_unfinished) {
      reject_request(*connection, 503, problem);
    }
  }
}

void send_response(http_exchange& exchange, int status, const std::vector<http_header>& headers,
                   std::string_view body) {
  start_response(exchange, status, headers, body.size());
  send_response_data(exchange, body);
  finish_response(exchange);
}

void start_response(http_exchange& exchange, int status, const std::vector<http_header>& headers,
                    std::optional<std::uint64_t> length) {
  if (exchange.connection == nullptr) {
    return;
  }
  PERIDOT_CHECK(!exchange.response_started, "start_response() called twice for one exchange");
  exchange.response_started = true;
  http_connection& connection = *exchange.connection;
  // The listener's close_after_response is read only here, before the head is written, because
  // the close must be announced: after a response without `Connection: close` the caller may
  // send another request. What waits behind this one is served first.
  connection.close_after_response =
      connection.close_after_response ||
      (connection.listener->close_after_response && !has_waiting_input(connection));
  std::string framing_header;
  const bool no_body = status == 204 || status == 304;
  if (length.has_value() && !no_body) {
    framing_header = "Content-Length: " + std::to_string(*length) + "\r\n";
  } else if (!no_body && exchange.head.minor_version >= 1) {
    exchange.chunked = true;
    framing_header = "Transfer-Encoding: chunked\r\n";
  } else if (!no_body) {
    connection.close_after_response = true;  // HTTP/1.0 has no chunks: the close ends the body
    connection.body_ends_with_connection = true;
  }
  append_head(connection, status, headers, framing_header);
}

void send_response_data(http_exchange& exchange, std::string_view data) {
  if (exchange.connection == nullptr || data.empty() || is_head_request(exchange)) {
    return;
  }
  std::string& text = exchange.connection->pending_output;
  if (exchange.chunked) {
    char size[sizeof(std::size_t) * 2 + 3];  // hexadecimal digits, CR LF, NUL
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    text.append(size).append(data).append("\r\n");
  } else {
    text.append(data);
  }
  flush_output(*exchange.connection);
}

void finish_response(http_exchange& exchange) {
  if (exchange.connection == nullptr) {
    return;
  }
  if (exchange.chunked && !is_head_request(exchange)) {
    exchange.connection->pending_output += "0\r\n\r\n";
  }
  flush_output(*exchange.connection);
  finish_exchange(exchange);
}

void abort_response(http_exchange& exchange) {
  if (exchange.connection == nullptr) {
    return;
  }
  exchange.on_disconnect = nullptr;
  close_connection(*exchange.connection);
}

std::size_t unsent_bytes(const http_exchange& exchange) {
  return exchange.connection == nullptr
             ? 0
             : evbuffer_get_length(bufferevent_get_output(exchange.connection->stream));
}

}  // namespace peridot
