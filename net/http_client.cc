#include "net/http_client.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

#include "core/base/check.h"
#include "core/base/ip_endpoint.h"

namespace peridot {
namespace {

// Fraction of the server's idle timeout for which an idle connection may be reused.
constexpr double reusable_idle_fraction = 0.6;
constexpr std::size_t max_input_buffer_bytes = 256 << 10;
// Servers send none to a few: 100 Continue, 102 Processing, 103 Early Hints.
constexpr int max_interim_responses = 16;
constexpr std::size_t max_idle_connections_per_address = 64;
constexpr std::size_t max_copied_body_bytes = 16 << 10;  // one write with the head
// Detects servers that no longer acknowledge data.
constexpr unsigned int tcp_user_timeout_ms = 3'000;

// How often a connection is checked that the server has closed before it had the whole request.
constexpr milliseconds delivery_check_interval{10};

void set_timeout(client_connection& connection, milliseconds time) {
  if (time == milliseconds{0}) {
    event_del(connection.timer.get());
    return;
  }
  const timeval timeout = to_timeval(time);
  event_add(connection.timer.get(), &timeout);
}

void close_connection(client_connection& connection) {
  http_client& client = *connection.client;
  std::list<client_connection*>& idle = client.idle_connections[connection.address];
  idle.remove(&connection);
  if (idle.empty()) {
    client.idle_connections.erase(connection.address);
  }
  if (--client.connection_count_by_address[connection.address] == 0) {
    client.connection_count_by_address.erase(connection.address);
  }
  client.all_connections.erase(connection.position_in_all);
  bufferevent_free(connection.stream);
  delete &connection;
}

// Detaches the call from the connection and reports its result.
void end_call(client_connection& connection, client_call_result result, std::string problem) {
  const std::shared_ptr<client_call> call = std::move(connection.call);
  connection.call = nullptr;
  call->connection = nullptr;
  call->problem = std::move(problem);
  call->handlers.on_end(result);
}

void close_with_error(client_connection& connection, std::string problem) {
  const std::shared_ptr<client_call> call = std::move(connection.call);
  connection.call = nullptr;
  close_connection(connection);
  if (call == nullptr) {
    return;
  }
  call->connection = nullptr;
  call->problem = std::move(problem);
  call->handlers.on_end(call->may_have_sent ? client_call_result::failed_after_send
                                            : client_call_result::not_sent);
}

milliseconds keep_alive_timeout(const message_head& head) {
  std::string_view value = find_header(head.headers, "Keep-Alive");
  const std::size_t position = value.find("timeout=");
  if (position == std::string_view::npos) {
    return milliseconds{0};
  }
  value.remove_prefix(position + 8);
  std::int64_t seconds = 0;
  std::from_chars(value.data(), value.data() + value.size(), seconds);
  return std::chrono::duration_cast<milliseconds>(std::chrono::seconds{seconds});
}

// Ends the call after a complete response. The connection becomes idle if it is reusable;
// otherwise it is closed.
void complete_response(client_connection& connection) {
  const bool request_written = evbuffer_get_length(bufferevent_get_output(connection.stream)) == 0;
  const bool has_extra_bytes = evbuffer_get_length(bufferevent_get_input(connection.stream)) != 0;
  const message_head& head = connection.parser.head;
  const bool reusable = request_written && !has_extra_bytes && !connection.must_close &&
                        head.keep_alive && head.framing != body_framing::until_close;
  const milliseconds idle_timeout = keep_alive_timeout(head);
  if (!reusable) {
    const std::shared_ptr<client_call> call = std::move(connection.call);
    connection.call = nullptr;
    close_connection(connection);
    call->connection = nullptr;
    call->handlers.on_end(client_call_result::complete);
    return;
  }
  connection.idle_since = current_time();
  connection.server_idle_timeout = idle_timeout;
  event_del(connection.timer.get());
  reset_parser(connection.parser, message_kind::response);
  bufferevent_enable(connection.stream, EV_READ);
  connection.client->idle_connections[connection.address].push_back(&connection);
  end_call(connection, client_call_result::complete, "");
}

// Compares the echo header of the response with the request's. A response that lacks the header,
// from a server that echoes it, is not to a request: a faulty server has sent additional bytes.
bool is_response_to_call(client_connection& connection) {
  const http_request& request = connection.call->request;
  const message_head& head = connection.parser.head;
  if (request.echo_header.empty()) {
    return true;
  }
  const std::string_view echo = find_header(head.headers, request.echo_header);
  if (echo.empty()) {
    const bool may_lack_echo = request.may_lack_echo != nullptr && request.may_lack_echo(head);
    return !connection.server_echoes || request.echo_value.empty() || may_lack_echo;
  }
  connection.server_echoes = connection.server_echoes || echo == request.echo_value;
  return echo == request.echo_value;
}

// Passes received data to the handlers. False if a handler has cancelled the call; the
// connection no longer exists then.
bool deliver_received(client_connection& connection) {
  const std::shared_ptr<client_call> call = connection.call;
  if (!connection.head_delivered) {
    connection.head_delivered = true;
    call->handlers.on_head(connection.parser.head);
    if (call->connection != &connection) {
      return false;
    }
  }
  if (!connection.parser.body.empty()) {
    const std::string data = std::exchange(connection.parser.body, {});
    call->handlers.on_data(data);
    if (call->connection != &connection) {
      return false;
    }
  }
  return true;
}

void expect_response(client_connection& connection) {
  reset_parser(connection.parser, message_kind::response);
  connection.parser.response_to_head_request = connection.call->request.method == "HEAD";
  connection.parser.max_head_bytes = connection.call->request.max_head_bytes;
  connection.skipping_response = false;
  connection.head_delivered = false;
}

// Why what was received for the call is no response that can end; empty if it may be one.
std::string endless_response_problem(const client_connection& connection) {
  const client_call& call = *connection.call;
  const message_head& head = connection.parser.head;
  const bool announced = connection.parser.head_complete && head.framing == body_framing::length;
  if (call.interim_responses > max_interim_responses) {
    return "too many interim responses";
  }
  if (announced && head.content_length > call.request.max_announced_body_bytes) {
    return "announced length above the limit";
  }
  const std::uint64_t announced_bytes =
      announced && !connection.skipping_response
          ? head.content_length - connection.parser.body_bytes_left
          : 0;
  if (call.received_bytes - announced_bytes > call.request.max_unannounced_bytes) {
    return "response without end";
  }
  const milliseconds max_duration = call.request.max_duration;
  return max_duration > milliseconds{0} && current_time() - call.started_at > max_duration
             ? "response takes too long"
             : "";
}

// Parses the input up to the end of one response. True if that response was skipped, so
// that the next one has to be parsed.
bool parse_step(client_connection& connection) {
  http_parser& parser = connection.parser;
  const bool head_was_complete = parser.head_complete;
  evbuffer* input = bufferevent_get_input(connection.stream);
  const std::size_t length_before = evbuffer_get_length(input);
  const parse_status status = parse_input(parser, input);
  connection.call->received_bytes += length_before - evbuffer_get_length(input);
  if (status == parse_status::malformed || status == parse_status::head_too_large) {
    close_with_error(connection, "malformed response: " + parser.problem);
    return false;
  }
  if (!parser.head_complete) {
    return false;
  }
  if (!head_was_complete) {
    const bool interim = parser.head.status < 200;
    const bool for_this_call = is_response_to_call(connection);
    connection.skipping_response = interim || !for_this_call;
    connection.call->interim_responses += interim ? 1 : 0;
    if (!interim && !for_this_call) {
      ++connection.client->responses_skipped;
      connection.must_close = true;
    }
  }
  const std::string problem = status == parse_status::complete && !connection.skipping_response
                                  ? ""
                                  : endless_response_problem(connection);
  if (!problem.empty()) {
    close_with_error(connection, problem);
    return false;
  }
  if (connection.skipping_response) {
    parser.body.clear();
    if (status != parse_status::complete) {
      return false;
    }
    if (!parser.head.keep_alive) {
      close_with_error(connection, "server announced a close with a skipped response");
      return false;
    }
    expect_response(connection);
    return true;
  }
  if (!deliver_received(connection)) {
    return false;
  }
  if (status == parse_status::complete) {
    complete_response(connection);
  }
  return false;
}

void on_readable(bufferevent*, void* argument) {
  client_connection& connection = *static_cast<client_connection*>(argument);
  if (connection.call == nullptr) {
    close_connection(connection);  // bytes while no call is in progress
    return;
  }
  set_timeout(connection, connection.call->request.idle_timeout);
  while (parse_step(connection)) {
  }
}

// True if the server's host has received the whole request.
bool is_request_delivered(const client_connection& connection) {
  int unacknowledged = 0;
  return evbuffer_get_length(bufferevent_get_output(connection.stream)) == 0 &&
         (ioctl(bufferevent_getfd(connection.stream), SIOCOUTQ, &unacknowledged) != 0 ||
          unacknowledged == 0);
}

void on_delivery_timer(evutil_socket_t, short, void* argument);

// Ends the call if the server's close completes the response. A server that closes while the
// request is still being written has ended its response in an orderly way only if it goes on to
// receive the request. If it does not, the connection is reset: the server has broken off, and what
// it sent before may be a part of the response (RFC 9112, section 8).
void end_at_close(client_connection& connection) {
  int error = 0;
  socklen_t length = sizeof(error);
  getsockopt(bufferevent_getfd(connection.stream), SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    connection.call->connection_lost = true;
    close_with_error(connection, evutil_socket_error_to_string(error));
    return;
  }
  if (!is_request_delivered(connection)) {
    if (connection.delivery_timer == nullptr) {
      connection.delivery_timer.reset(
          evtimer_new(connection.client->base, on_delivery_timer, &connection));
    }
    const timeval delay = to_timeval(delivery_check_interval);
    event_add(connection.delivery_timer.get(), &delay);
    return;
  }
  if (deliver_received(connection)) {
    complete_response(connection);
  }
}

void on_delivery_timer(evutil_socket_t, short, void* argument) {
  end_at_close(*static_cast<client_connection*>(argument));
}

void on_event(bufferevent*, short events, void* argument) {
  client_connection& connection = *static_cast<client_connection*>(argument);
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    connection.connected = true;
    const int on = 1;
    const evutil_socket_t socket = bufferevent_getfd(connection.stream);
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcp_user_timeout_ms,
               sizeof(tcp_user_timeout_ms));
    if (connection.call != nullptr) {
      connection.call->may_have_sent = true;
      set_timeout(connection, connection.call->request.idle_timeout);
    }
    return;
  }
  if ((events & BEV_EVENT_EOF) != 0 && connection.call != nullptr &&
      !connection.skipping_response && finish_at_close(connection.parser)) {
    end_at_close(connection);
    return;
  }
  if (connection.call != nullptr) {
    connection.call->connection_lost = true;
  }
  close_with_error(connection, (events & BEV_EVENT_EOF) != 0
                                   ? "connection closed"
                                   : evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
}

void on_timer(evutil_socket_t, short, void* argument) {
  client_connection& connection = *static_cast<client_connection*>(argument);
  close_with_error(connection, connection.connected ? "idle timeout" : "connect timeout");
}

client_connection* create_connection(http_client& client, const std::string& address) {
  const std::optional<ip_endpoint> endpoint = parse_ip_endpoint(address);
  PERIDOT_CHECK(endpoint.has_value(),
                "the address of a call must be accepted by parse_ip_endpoint()");
  client_connection* connection = new client_connection;
  connection->client = &client;
  connection->address = address;
  connection->stream = bufferevent_socket_new(client.base, -1, BEV_OPT_CLOSE_ON_FREE);
  PERIDOT_CHECK(connection->stream != nullptr, "cannot allocate a connection");
  connection->timer.reset(evtimer_new(client.base, on_timer, connection));
  bufferevent_setcb(connection->stream, on_readable, nullptr, on_event, connection);
  bufferevent_setwatermark(connection->stream, EV_READ, 0, max_input_buffer_bytes);
  client.all_connections.push_back(connection);
  connection->position_in_all = std::prev(client.all_connections.end());
  ++client.connection_count_by_address[address];
  ++client.connections_opened;
  return connection;
}

bool start_connect(client_connection& connection) {
  sockaddr_in address = to_socket_address(*parse_ip_endpoint(connection.address));
  return bufferevent_socket_connect(connection.stream, reinterpret_cast<sockaddr*>(&address),
                                    sizeof(address)) == 0;
}

milliseconds reusable_idle_time(const http_client& client, const client_connection& connection) {
  const milliseconds idle_timeout = connection.server_idle_timeout > milliseconds{0}
                                        ? connection.server_idle_timeout
                                        : client.default_server_idle_timeout;
  return milliseconds{static_cast<std::int64_t>(static_cast<double>(idle_timeout.count()) *
                                                reusable_idle_fraction)};
}

// Removes and returns the most recently used idle connection; null if it is not reusable.
client_connection* acquire_idle_connection(http_client& client, const http_request& request) {
  auto found = client.idle_connections.find(request.address);
  if (request.max_reuse_idle_time == milliseconds{0} || found == client.idle_connections.end()) {
    return nullptr;
  }
  client_connection* newest = found->second.back();
  const milliseconds max_idle_time =
      std::min(request.max_reuse_idle_time, reusable_idle_time(client, *newest));
  if (current_time() - newest->idle_since > max_idle_time) {
    return nullptr;
  }
  found->second.pop_back();
  if (found->second.empty()) {
    client.idle_connections.erase(found);
  }
  ++client.connections_reused;
  return newest;
}

const std::string& body_of(const http_request& request) {
  return request.shared_body != nullptr ? *request.shared_body : request.body;
}

bool is_body_copied(const http_request& request) {
  return request.shared_body == nullptr || request.shared_body->size() <= max_copied_body_bytes;
}

// The head, and the body if it is to be copied.
std::string serialize_request(const http_request& request) {
  std::string text = request.method + " " + request.request_target + " HTTP/1.1\r\n";
  for (const http_header& header : request.headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  if (request.has_body || !body_of(request).empty()) {
    text += "Content-Length: " + std::to_string(body_of(request).size()) + "\r\n";
  }
  text += "\r\n";
  if (is_body_copied(request)) {
    text += body_of(request);
  }
  return text;
}

void release_body(const void*, size_t, void* owner) {
  delete static_cast<std::shared_ptr<const std::string>*>(owner);
}

// Writes the body, after what serialize_request() returns, unless that holds it.
void write_shared_body(client_connection& connection, const http_request& request) {
  if (!is_body_copied(request)) {
    evbuffer_add_reference(bufferevent_get_output(connection.stream), request.shared_body->data(),
                           request.shared_body->size(), release_body,
                           new std::shared_ptr<const std::string>(request.shared_body));
  }
}

}  // namespace

http_client::~http_client() {
  while (!all_connections.empty()) {
    client_connection& connection = *all_connections.front();
    if (connection.call != nullptr) {
      connection.call->connection = nullptr;
      connection.call = nullptr;
    }
    close_connection(connection);
  }
}

std::shared_ptr<client_call> start_call(http_client& client, http_request request,
                                        call_handlers handlers) {
  std::shared_ptr<client_call> handle = std::make_shared<client_call>();
  handle->client = &client;
  handle->started_at = current_time();
  handle->request = std::move(request);
  handle->handlers = std::move(handlers);
  client_connection* connection = acquire_idle_connection(client, handle->request);
  const bool reused = connection != nullptr;
  if (!reused) {
    connection = create_connection(client, handle->request.address);
  }
  connection->call = handle;
  handle->connection = connection;
  expect_response(*connection);
  if (reused) {
    handle->reused_connection = true;
    handle->may_have_sent = true;
    write_now(connection->stream, serialize_request(handle->request));
    write_shared_body(*connection, handle->request);
    set_timeout(*connection, handle->request.idle_timeout);
    return handle;
  }
  set_timeout(*connection, handle->request.connect_timeout);
  const std::string text = serialize_request(handle->request);
  bufferevent_write(connection->stream, text.data(), text.size());  // sent once connected
  write_shared_body(*connection, handle->request);
  bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
  if (!start_connect(*connection)) {
    // libevent reports most connect failures by an event, but may report none if
    // bufferevent_socket_connect() itself fails.
    run_later(client.base, [handle]() {
      if (handle->connection != nullptr) {
        close_with_error(*handle->connection, "connect failed");
      }
    });
  }
  return handle;
}

void cancel_call(client_call& call) {
  if (call.connection == nullptr) {
    return;
  }
  client_connection& connection = *call.connection;
  call.connection = nullptr;
  const std::shared_ptr<client_call> released_call = std::move(connection.call);
  connection.call = nullptr;
  close_connection(connection);
}

void pause_call(client_call& call) {
  if (call.connection != nullptr && !call.paused) {
    call.paused = true;
    bufferevent_disable(call.connection->stream, EV_READ);
    event_del(call.connection->timer.get());
  }
}

void resume_call(client_call& call) {
  if (call.connection != nullptr && call.paused) {
    call.paused = false;
    bufferevent_enable(call.connection->stream, EV_READ);
    set_timeout(*call.connection, call.request.idle_timeout);
  }
}

void close_stale_connections(http_client& client, instant now) {
  std::list<client_connection*> stale;
  for (const std::pair<const std::string, std::list<client_connection*>>& entry :
       client.idle_connections) {
    std::size_t remaining = entry.second.size();
    for (client_connection* connection : entry.second) {
      if (now - connection->idle_since > reusable_idle_time(client, *connection) ||
          remaining > max_idle_connections_per_address) {
        stale.push_back(connection);
        --remaining;
      }
    }
  }
  for (client_connection* connection : stale) {
    close_connection(*connection);
  }
}

bool has_connection_to(const http_client& client, const std::string& address) {
  return std::any_of(client.all_connections.begin(), client.all_connections.end(),
                     [&address](const client_connection* connection) {
                       return connection->connected && connection->address == address;
                     });
}

void close_idle_connections_to(http_client& client, const std::string& address) {
  auto found = client.idle_connections.find(address);
  if (found == client.idle_connections.end()) {
    return;
  }
  const std::list<client_connection*> idle = found->second;
  for (client_connection* connection : idle) {
    close_connection(*connection);
  }
}

}  // namespace peridot
