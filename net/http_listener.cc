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

constexpr milliseconds linger_time{1'000};        // for a caller to read an answer before a reset
constexpr std::size_t waiting_bytes = 64 << 10;   // read ahead while an answer is under way
constexpr std::size_t reading_bytes = 256 << 10;  // read at once of a request
constexpr int accept_queue = 512;
constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";

void arm(http_connection& connection, milliseconds time) {
  const timeval limit = to_timeval(time);
  event_add(connection.timer.get(), &limit);
}

void release_body(http_connection& connection) {
  connection.listener->total_body_bytes -= connection.body_bytes;
  connection.body_bytes = 0;
}

// Frees the connection. An exchange that is under way learns that its caller left.
void drop(http_connection& connection) {
  std::shared_ptr<http_exchange> exchange = std::move(connection.exchange);
  release_body(connection);
  bufferevent_free(connection.stream);
  connection.listener->connections.erase(&connection);
  delete &connection;
  if (exchange != nullptr) {
    exchange->connection = nullptr;
    if (exchange->on_disconnect) {
      const std::function<void()> on_gone = std::move(exchange->on_disconnect);
      on_gone();
    }
  }
}

// Lets the caller read the answer before the socket is closed: closing with unread
// bytes would reset the connection and could destroy the answer on its way.
void close_after_answer(http_connection& connection) {
  if (connection.lingering) {
    return;
  }
  connection.lingering = true;
  shutdown(bufferevent_getfd(connection.stream), SHUT_WR);
  arm(connection, linger_time);
}

void write_head(http_connection& connection, int status, const std::vector<http_header>& headers,
                std::string_view framing) {
  std::string text =
      "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason_phrase(status)) + "\r\n";
  for (const http_header& header : headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += framing;
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

// Writes the head and what was added to it.
void flush(http_connection& connection) {
  const std::string text = std::exchange(connection.pending_output, {});
  write_now(connection.stream, text);
}

// Answers a request that the handler never sees, and ends the connection.
void reject(http_connection& connection, int status, std::string_view text) {
  ++connection.listener->requests_rejected;
  log_line(log_part::http, log_level::warn,
           "Request refused. peer=" + connection.remote_address +
               " status=" + std::to_string(status) + " problem=\"" + std::string(text) + "\"");
  connection.close_after_response = true;
  const std::string body = std::string(text) + "\n";
  std::vector<http_header> headers = {{"Content-Type", "text/plain"}};
  if (status == 503) {
    headers.push_back({"Retry-After", "1"});
  }
  write_head(connection, status, headers,
             "Content-Length: " + std::to_string(body.size()) + "\r\n");
  connection.pending_output += body;
  // Through the loop, so that the connection is closed once all is written.
  const std::string whole = std::exchange(connection.pending_output, {});
  bufferevent_write(connection.stream, whole.data(), whole.size());
  connection.receiving_request = false;
  arm(connection, connection.listener->options.response_write_timeout);
}

void await_request(http_connection& connection) {
  connection.receiving_request = false;
  connection.idle_since = current_time();
  reset_parser(connection.parser, message_kind::request);
  connection.parser.max_head_bytes = connection.listener->current_limits().max_header_bytes;
  arm(connection, connection.listener->current_limits().idle_timeout);
}

// Counts what has arrived of the body. False if the request was refused.
bool check_body(http_connection& connection) {
  http_listener& listener = *connection.listener;
  const std::size_t most = listener.current_limits().max_body_bytes;
  const http_parser& parser = connection.parser;
  const bool announced_too_large =
      parser.head.framing == body_framing::length && parser.head.content_length > most;
  if (announced_too_large || parser.body.size() > most) {
    reject(connection, 413, "body too large");
    return false;
  }
  const std::size_t grown = parser.body.size() - connection.body_bytes;
  if (listener.total_body_bytes + grown > listener.options.max_body_total) {
    reject(connection, 503, "no memory for the body");
    return false;
  }
  listener.total_body_bytes += grown;
  connection.body_bytes += grown;
  return true;
}

void hand_over(http_connection& connection) {
  http_listener& listener = *connection.listener;
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
  bufferevent_setwatermark(connection.stream, EV_READ, 0, waiting_bytes);
  listener.handler(exchange);
}

// Reads what has arrived, up to one whole request.
void read_request(http_connection& connection) {
  evbuffer* input = bufferevent_get_input(connection.stream);
  if (!connection.receiving_request) {
    // A line break between requests is tolerated (RFC 9112, 2.2).
    while (evbuffer_get_length(input) >= 2 &&
           std::memcmp(evbuffer_pullup(input, 2), "\r\n", 2) == 0) {
      evbuffer_drain(input, 2);
    }
    if (evbuffer_get_length(input) == 0) {
      return;
    }
    connection.receiving_request = true;
    connection.first_byte_at = current_time();
    arm(connection, connection.listener->current_limits().header_timeout);
  }
  const bool head_before = connection.parser.head_complete;
  const parse_status progress = parse_input(connection.parser, input);
  if (progress == parse_status::malformed) {
    reject(connection, 400, connection.parser.problem);
    return;
  }
  if (progress == parse_status::head_too_large) {
    reject(connection, 431, "header too large");
    return;
  }
  if (connection.parser.head_complete && !check_body(connection)) {
    return;
  }
  if (progress == parse_status::complete) {
    hand_over(connection);
    return;
  }
  if (connection.parser.head_complete) {
    arm(connection, connection.listener->current_limits().idle_timeout);
    if (!head_before &&
        has_token(find_header(connection.parser.head.headers, "Expect"), "100-continue")) {
      bufferevent_write(connection.stream, continue_line.data(), continue_line.size());
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
    close_after_answer(connection);
  }
}

void on_event(bufferevent*, short what, void* argument) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    drop(*static_cast<http_connection*>(argument));
  }
}

void on_timer(evutil_socket_t, short, void* argument) {
  http_connection& connection = *static_cast<http_connection*>(argument);
  if (connection.lingering || connection.exchange != nullptr || !connection.receiving_request) {
    drop(connection);
    return;
  }
  reject(connection, 408, "request did not arrive in time");
}

void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr* address, int, void* argument) {
  http_listener& listener = *static_cast<http_listener*>(argument);
  if (listener.rejecting_connections) {
    ++listener.connections_rejected;
    evutil_closesocket(socket);
    return;
  }
  if (listener.connections.size() >= listener.options.max_connections) {
    log_line(log_part::http, log_level::warn,
             "Connection refused. reason=max_connections open=" +
                 std::to_string(listener.connections.size()));
    evutil_closesocket(socket);
    return;
  }
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  http_connection* connection = new http_connection;
  connection->listener = &listener;
  connection->stream = bufferevent_socket_new(listener.base, socket, BEV_OPT_CLOSE_ON_FREE);
  PERIDOT_CHECK(connection->stream != nullptr, "out of memory for a connection");
  connection->timer.reset(evtimer_new(listener.base, on_timer, connection));
  char text[INET_ADDRSTRLEN] = "";
  if (address->sa_family == AF_INET) {
    const sockaddr_in* ip = reinterpret_cast<const sockaddr_in*>(address);
    inet_ntop(AF_INET, &ip->sin_addr, text, sizeof(text));
    connection->remote_address = std::string(text) + ":" + std::to_string(ntohs(ip->sin_port));
  }
  listener.connections.insert(connection);
  bufferevent_setcb(connection->stream, on_readable, on_written, on_event, connection);
  bufferevent_setwatermark(connection->stream, EV_READ, 0, reading_bytes);
  await_request(*connection);
  bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
}

// Takes in who has connected meanwhile: closing the socket would reset them, though
// their requests may already be on their way.
void accept_waiting(http_listener& listener) {
  const evutil_socket_t waiting = evconnlistener_get_fd(listener.socket);
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  int socket = -1;
  while ((socket = accept4(waiting, reinterpret_cast<sockaddr*>(&address), &length,
                           SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
    on_accept(listener.socket, socket, reinterpret_cast<sockaddr*>(&address),
              static_cast<int>(length), &listener);
    length = sizeof(address);
  }
}

// The answer is complete in the output buffer: goes on with the next request.
void finish_exchange(http_exchange& exchange) {
  http_connection& connection = *exchange.connection;
  exchange.connection = nullptr;
  connection.exchange.reset();
  release_body(connection);
  if (connection.close_after_response) {
    arm(connection, connection.listener->options.response_write_timeout);
    if (evbuffer_get_length(bufferevent_get_output(connection.stream)) == 0) {
      close_after_answer(connection);
    }
    return;
  }
  bufferevent_setwatermark(connection.stream, EV_READ, 0, reading_bytes);
  await_request(connection);
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
    drop(connection);
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
      base, on_accept, listener.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, accept_queue,
      reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (listener->socket == nullptr) {
    return setup_error("bind", options.address, std::strerror(errno));
  }
  return listener;
}

void stop_accepting(http_listener& listener) {
  if (listener.socket != nullptr) {
    accept_waiting(listener);
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
  const std::set<http_connection*> all = listener.connections;
  for (http_connection* connection : all) {
    const bool idle = connection->exchange == nullptr && !connection->receiving_request &&
                      !connection->lingering && !connection->close_after_response &&
                      now - connection->idle_since >= min_idle_time &&
                      evbuffer_get_length(bufferevent_get_input(connection->stream)) == 0;
    if (idle) {
      drop(*connection);
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
  PERIDOT_CHECK(!exchange.response_started, "an answer begins twice");
  exchange.response_started = true;
  http_connection& connection = *exchange.connection;
  // Only here, where it can be announced: a caller may send on a connection whose answer
  // did not say that it ends.
  connection.close_after_response =
      connection.close_after_response || connection.listener->close_after_response;
  std::string framing;
  const bool bodiless = status == 204 || status == 304;
  if (length.has_value() && !bodiless) {
    framing = "Content-Length: " + std::to_string(*length) + "\r\n";
  } else if (!bodiless && exchange.head.minor_version >= 1) {
    exchange.chunked = true;
    framing = "Transfer-Encoding: chunked\r\n";
  } else if (!bodiless) {
    connection.close_after_response = true;  // HTTP/1.0: the body ends with the connection
  }
  write_head(connection, status, headers, framing);
}

void send_response_data(http_exchange& exchange, std::string_view data) {
  if (exchange.connection == nullptr || data.empty() || is_head_request(exchange)) {
    return;
  }
  std::string& text = exchange.connection->pending_output;
  if (exchange.chunked) {
    char size[sizeof(std::size_t) * 2 + 3];  // in hexadecimal, a line break, the final zero
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    text.append(size).append(data).append("\r\n");
  } else {
    text.append(data);
  }
  flush(*exchange.connection);
}

void finish_response(http_exchange& exchange) {
  if (exchange.connection == nullptr) {
    return;
  }
  if (exchange.chunked && !is_head_request(exchange)) {
    exchange.connection->pending_output += "0\r\n\r\n";
  }
  flush(*exchange.connection);
  finish_exchange(exchange);
}

void abort_response(http_exchange& exchange) {
  if (exchange.connection == nullptr) {
    return;
  }
  exchange.on_disconnect = nullptr;
  drop(*exchange.connection);
}

std::size_t unsent_bytes(const http_exchange& exchange) {
  return exchange.connection == nullptr
             ? 0
             : evbuffer_get_length(bufferevent_get_output(exchange.connection->stream));
}

}  // namespace peridot
