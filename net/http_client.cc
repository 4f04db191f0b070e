#include "net/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <charconv>
#include <cstring>
#include <utility>

#include "core/base/check.h"
#include "core/base/ip_endpoint.h"

namespace peridot {
namespace {

constexpr double keep_used = 0.6;  // part of the stated idle time within which a connection is used
constexpr std::size_t read_ahead = 256 << 10;
constexpr std::size_t max_idle_per_address = 64;
constexpr unsigned int unacknowledged_ms = 3'000;  // TCP_USER_TIMEOUT: silent peers

void arm(client_connection& connection, milliseconds time) {
  if (time == milliseconds{0}) {
    event_del(connection.timer.get());
    return;
  }
  const timeval limit = to_timeval(time);
  event_add(connection.timer.get(), &limit);
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

// Detaches the call and tells how it ended.
void end_call(client_connection& connection, client_call_result end, std::string problem) {
  const std::shared_ptr<client_call> call = std::move(connection.call);
  connection.call = nullptr;
  call->connection = nullptr;
  call->problem = std::move(problem);
  call->handlers.on_end(end);
}

void break_off(client_connection& connection, std::string problem) {
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

milliseconds stated_keep(const message_head& head) {
  std::string_view value = find_header(head.headers, "Keep-Alive");
  const std::size_t at = value.find("timeout=");
  if (at == std::string_view::npos) {
    return milliseconds{0};
  }
  value.remove_prefix(at + 8);
  std::int64_t seconds = 0;
  std::from_chars(value.data(), value.data() + value.size(), seconds);
  return std::chrono::duration_cast<milliseconds>(std::chrono::seconds{seconds});
}

// The answer is whole: keeps the connection if nothing about it is odd.
void finish_answer(client_connection& connection) {
  const bool written = evbuffer_get_length(bufferevent_get_output(connection.stream)) == 0;
  const bool extra = evbuffer_get_length(bufferevent_get_input(connection.stream)) != 0;
  const message_head& head = connection.parser.head;
  const bool reusable = written && !extra && !connection.must_close && head.keep_alive &&
                        head.framing != body_framing::until_close;
  const milliseconds keep = stated_keep(head);
  if (!reusable) {
    const std::shared_ptr<client_call> call = std::move(connection.call);
    connection.call = nullptr;
    close_connection(connection);
    call->connection = nullptr;
    call->handlers.on_end(client_call_result::complete);
    return;
  }
  connection.idle_since = current_time();
  connection.server_idle_timeout = keep;
  event_del(connection.timer.get());
  reset_parser(connection.parser, message_kind::response);
  bufferevent_enable(connection.stream, EV_READ);
  connection.client->idle_connections[connection.address].push_back(&connection);
  end_call(connection, client_call_result::complete, "");
}

// The head has arrived. False if the answer is not this call's.
bool is_own_answer(client_connection& connection) {
  const http_request& call = connection.call->request;
  if (call.echo_header.empty()) {
    return true;
  }
  const std::string_view echo = find_header(connection.parser.head.headers, call.echo_header);
  return echo.empty() || echo == call.echo_value;
}

// Passes on what has arrived. False if the connection or the call is gone.
bool pass_on(client_connection& connection) {
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

void next_answer(client_connection& connection) {
  reset_parser(connection.parser, message_kind::response);
  connection.parser.response_to_head = connection.call->request.method == "HEAD";
  connection.parser.max_head_bytes = connection.call->request.max_head_bytes;
  connection.skipping_response = false;
  connection.head_delivered = false;
}

// One step of reading. False if there is nothing more to do now.
bool read_step(client_connection& connection) {
  http_parser& parser = connection.parser;
  const bool head_before = parser.head_complete;
  const parse_status progress = parse_input(parser, bufferevent_get_input(connection.stream));
  if (progress == parse_status::malformed || progress == parse_status::head_too_large) {
    break_off(connection, "malformed answer: " + parser.problem);
    return false;
  }
  if (!parser.head_complete) {
    return false;
  }
  if (!head_before) {
    const bool interim = parser.head.status < 200;
    const bool own = is_own_answer(connection);
    connection.skipping_response = interim || !own;
    if (!interim && !own) {
      ++connection.client->responses_skipped;
      connection.must_close = true;
    }
  }
  if (connection.skipping_response) {
    parser.body.clear();
    if (progress != parse_status::complete) {
      return false;
    }
    if (!parser.head.keep_alive) {
      break_off(connection, "answer to another call, then closed");
      return false;
    }
    next_answer(connection);
    return true;
  }
  if (!pass_on(connection)) {
    return false;
  }
  if (progress == parse_status::complete) {
    finish_answer(connection);
  }
  return false;
}

void on_readable(bufferevent*, void* argument) {
  client_connection& connection = *static_cast<client_connection*>(argument);
  if (connection.call == nullptr) {
    close_connection(connection);  // bytes that belong to no call
    return;
  }
  arm(connection, connection.call->request.idle_timeout);
  while (read_step(connection)) {
  }
}

void on_event(bufferevent*, short what, void* argument) {
  client_connection& connection = *static_cast<client_connection*>(argument);
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    connection.connected = true;
    const int on = 1;
    const evutil_socket_t socket = bufferevent_getfd(connection.stream);
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
               sizeof(unacknowledged_ms));
    if (connection.call != nullptr) {
      connection.call->may_have_sent = true;
      arm(connection, connection.call->request.idle_timeout);
    }
    return;
  }
  if ((what & BEV_EVENT_EOF) != 0 && connection.call != nullptr && !connection.skipping_response &&
      finish_at_close(connection.parser)) {
    if (pass_on(connection)) {
      finish_answer(connection);
    }
    return;
  }
  break_off(connection, (what & BEV_EVENT_EOF) != 0
                            ? "connection closed"
                            : evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
}

void on_timer(evutil_socket_t, short, void* argument) {
  client_connection& connection = *static_cast<client_connection*>(argument);
  break_off(connection, connection.connected ? "no bytes in time" : "no connection in time");
}

client_connection* open_connection(http_client& client, const std::string& address) {
  const std::optional<ip_endpoint> endpoint = parse_ip_endpoint(address);
  PERIDOT_CHECK(endpoint.has_value(), "an address was not checked before it is called");
  client_connection* connection = new client_connection;
  connection->client = &client;
  connection->address = address;
  connection->stream = bufferevent_socket_new(client.base, -1, BEV_OPT_CLOSE_ON_FREE);
  PERIDOT_CHECK(connection->stream != nullptr, "out of memory for a connection");
  connection->timer.reset(evtimer_new(client.base, on_timer, connection));
  bufferevent_setcb(connection->stream, on_readable, nullptr, on_event, connection);
  bufferevent_setwatermark(connection->stream, EV_READ, 0, read_ahead);
  client.all_connections.push_back(connection);
  connection->position_in_all = std::prev(client.all_connections.end());
  ++client.connection_count_by_address[address];
  ++client.connections_opened;
  return connection;
}

bool begin_connect(client_connection& connection) {
  sockaddr_in address = to_socket_address(*parse_ip_endpoint(connection.address));
  return bufferevent_socket_connect(connection.stream, reinterpret_cast<sockaddr*>(&address),
                                    sizeof(address)) == 0;
}

milliseconds usable_keep(const http_client& client, const client_connection& connection) {
  const milliseconds keep = connection.server_idle_timeout > milliseconds{0}
                                ? connection.server_idle_timeout
                                : client.default_server_idle_timeout;
  return milliseconds{static_cast<std::int64_t>(static_cast<double>(keep.count()) * keep_used)};
}

// An idle connection that may still be used, or null.
client_connection* take_idle(http_client& client, const http_request& call) {
  auto found = client.idle_connections.find(call.address);
  if (call.max_reuse_idle_time == milliseconds{0} || found == client.idle_connections.end()) {
    return nullptr;
  }
  client_connection* newest = found->second.back();
  const milliseconds most = std::min(call.max_reuse_idle_time, usable_keep(client, *newest));
  if (current_time() - newest->idle_since > most) {
    return nullptr;
  }
  found->second.pop_back();
  if (found->second.empty()) {
    client.idle_connections.erase(found);
  }
  ++client.connections_reused;
  return newest;
}

std::string text_of(const http_request& call) {
  std::string text = call.method + " " + call.request_target + " HTTP/1.1\r\n";
  for (const http_header& header : call.headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  if (call.has_body || !call.body.empty()) {
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  }
  text += "\r\n";
  return text + call.body;
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
  handle->request = std::move(request);
  handle->handlers = std::move(handlers);
  client_connection* connection = take_idle(client, handle->request);
  const bool reused = connection != nullptr;
  if (!reused) {
    connection = open_connection(client, handle->request.address);
  }
  connection->call = handle;
  handle->connection = connection;
  next_answer(*connection);
  if (reused) {
    handle->may_have_sent = true;
    write_now(connection->stream, text_of(handle->request));
    arm(*connection, handle->request.idle_timeout);
    return handle;
  }
  arm(*connection, handle->request.connect_timeout);
  const std::string text = text_of(handle->request);
  bufferevent_write(connection->stream, text.data(), text.size());  // once it is connected
  bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
  if (!begin_connect(*connection)) {
    // The library reports most failures by an event; this one it could not.
    run_later(client.base, [handle]() {
      if (handle->connection != nullptr) {
        break_off(*handle->connection, "cannot connect");
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
  const std::shared_ptr<client_call> keep = std::move(connection.call);
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
    arm(*call.connection, call.request.idle_timeout);
  }
}

void close_stale_connections(http_client& client, instant now) {
  std::list<client_connection*> stale;
  for (const std::pair<const std::string, std::list<client_connection*>>& entry :
       client.idle_connections) {
    std::size_t rest = entry.second.size();
    for (client_connection* connection : entry.second) {
      if (now - connection->idle_since > usable_keep(client, *connection) ||
          rest > max_idle_per_address) {
        stale.push_back(connection);
        --rest;
      }
    }
  }
  for (client_connection* connection : stale) {
    close_connection(*connection);
  }
}

void close_idle_connections_to(http_client& client, const std::string& address) {
  auto found = client.idle_connections.find(address);
  if (found == client.idle_connections.end()) {
    return;
  }
  const std::list<client_connection*> all = found->second;
  for (client_connection* connection : all) {
    close_connection(*connection);
  }
}

}  // namespace peridot
