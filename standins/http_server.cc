#include "standins/http_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "core/check.h"

namespace peridot::standins {

namespace {

constexpr int listen_backlog = 1'024;

// libevhtp takes hooks as functions without parameters and casts them back.
template <class Function>
evhtp_hook as_hook(Function* function) {
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

evhtp_res on_connection_end(evhtp_connection_t* connection, void* arg) {
  http_server* server = static_cast<http_server*>(arg);
  server->connections.erase(connection);
  return EVHTP_RES_OK;
}

evhtp_res on_accept(evhtp_connection_t* connection, void* arg) {
  http_server* server = static_cast<http_server*>(arg);
  server->connections.insert(connection);
  evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini, as_hook(on_connection_end),
                            arg);
  return EVHTP_RES_OK;
}

void on_unknown_path(evhtp_request_t* request, void* /*arg*/) {
  send_text(request, EVHTP_RES_NOTFOUND, "no such path\n");
}

void on_signal(evutil_socket_t /*signal*/, short /*events*/, void* arg) {
  event_base_loopbreak(static_cast<event_base*>(arg));
}

struct tick_call {
  void (*tick)(void*);
  void* arg;
};

void on_tick(evutil_socket_t /*socket*/, short /*events*/, void* arg) {
  const tick_call* call = static_cast<tick_call*>(arg);
  call->tick(call->arg);
}

}  // namespace

std::optional<ip_port> parse_ip_port(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  const std::string host = text.substr(0, colon);
  in_addr number{};
  if (inet_pton(AF_INET, host.c_str(), &number) != 1) {
    return std::nullopt;
  }
  char* end = nullptr;
  const unsigned long port = std::strtoul(text.c_str() + colon + 1, &end, 10);
  if (*end != '\0' || port < 1 || port > 65'535) {
    return std::nullopt;
  }
  return ip_port{host, static_cast<std::uint16_t>(port)};
}

bool open_server(http_server& server, event_base* base, const std::string& address,
                 std::string& problem) {
  const std::optional<ip_port> parsed = parse_ip_port(address);
  if (!parsed) {
    problem = "not an IP number and port: " + address;
    return false;
  }
  server.base = base;
  server.host = parsed->host;
  server.port = parsed->port;
  server.htp = evhtp_new(base, nullptr);
  PERIDOT_CHECK(server.htp != nullptr, "libevhtp has no memory");
  evhtp_set_max_body_size(server.htp, max_request_bytes);
  evhtp_enable_flag(server.htp, EVHTP_FLAG_ENABLE_NODELAY);
  evhtp_set_post_accept_cb(server.htp, on_accept, &server);
  evhtp_set_gencb(server.htp, on_unknown_path, nullptr);
  if (!start_listening(server)) {
    problem = "cannot listen at " + address;
    evhtp_free(server.htp);
    return false;
  }
  return true;
}

void close_server(http_server& server) {
  drop_all_connections(server);
  stop_listening(server);
  evhtp_free(server.htp);
  server.htp = nullptr;
}

bool start_listening(http_server& server) {
  if (server.listening) {
    return false;
  }
  server.listening =
      evhtp_bind_socket(server.htp, server.host.c_str(), server.port, listen_backlog) == 0;
  return server.listening;
}

bool stop_listening(http_server& server) {
  if (!server.listening) {
    return false;
  }
  evhtp_unbind_socket(server.htp);
  server.listening = false;
  return true;
}

void drop_connection(http_server& server, evhtp_connection_t* connection) {
  if (!server.connections.contains(connection)) {
    return;
  }
  const linger reset{1, 0};
  setsockopt(connection->sock, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  evhtp_connection_free(connection);
}

void drop_all_connections(http_server& server) {
  while (!server.connections.empty()) {
    drop_connection(server, *server.connections.begin());
  }
}

void add_handler(http_server& server, const char* path, evhtp_callback_cb callback, void* arg) {
  evhtp_set_cb(server.htp, path, callback, arg);
}

void watch_end(evhtp_request_t* request, request_end on_end, void* arg) {
  evhtp_request_set_hook(request, evhtp_hook_on_request_fini, as_hook(on_end), arg);
}

std::string request_body(const evhtp_request_t* request) {
  const std::size_t size = evbuffer_get_length(request->buffer_in);
  std::string body(size, '\0');
  evbuffer_copyout(request->buffer_in, body.data(), size);
  return body;
}

std::optional<std::string> request_header(const evhtp_request_t* request, const char* name) {
  const char* value = evhtp_header_find(request->headers_in, name);
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::optional<std::string> query_text(const evhtp_request_t* request, const char* name) {
  if (request->uri == nullptr || request->uri->query == nullptr) {
    return std::nullopt;
  }
  const char* value = evhtp_kv_find(request->uri->query, name);
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::optional<std::uint64_t> query_number(const evhtp_request_t* request, const char* name) {
  const std::optional<std::string> text = query_text(request, name);
  if (!text || text->empty()) {
    return std::nullopt;
  }
  char* end = nullptr;
  const std::uint64_t value = std::strtoull(text->c_str(), &end, 10);
  return *end == '\0' ? std::optional<std::uint64_t>(value) : std::nullopt;
}

void add_reply_header(evhtp_request_t* request, const char* name, const std::string& value) {
  evhtp_headers_add_header(request->headers_out, evhtp_header_new(name, value.c_str(), 1, 1));
}

void send_text(evhtp_request_t* request, evhtp_res status, const std::string& text) {
  evbuffer_add(request->buffer_out, text.data(), text.size());
  evhtp_send_reply(request, status);
}

void send_chunk(evhtp_request_t* request, const std::string& text) {
  evbuffer* chunk = evbuffer_new();
  evbuffer_add(chunk, text.data(), text.size());
  evhtp_send_reply_chunk(request, chunk);
  evbuffer_free(chunk);
}

int run_until_terminated(http_server& server, const char* program, void (*tick)(void*), void* arg) {
  std::signal(SIGPIPE, SIG_IGN);
  tick_call call{tick, arg};
  event* ticker = event_new(server.base, -1, EV_PERSIST, on_tick, &call);
  event* term = evsignal_new(server.base, SIGTERM, on_signal, server.base);
  event* interrupt = evsignal_new(server.base, SIGINT, on_signal, server.base);
  const timeval interval{
      0, static_cast<suseconds_t>(std::chrono::microseconds(stand_in_tick).count())};
  event_add(ticker, &interval);
  event_add(term, nullptr);
  event_add(interrupt, nullptr);
  std::printf("%s: listens at %s:%u\n", program, server.host.c_str(), unsigned{server.port});
  std::fflush(stdout);
  event_base_dispatch(server.base);
  event_free(ticker);
  event_free(term);
  event_free(interrupt);
  return 0;
}

std::string new_boot_id() {
  std::random_device source;
  const std::uint64_t value = (std::uint64_t{source()} << 32U) | source();
  return "boot-" + hash_text(value);
}

std::uint64_t body_hash(const std::string& body) {
  constexpr std::uint64_t offset_basis = 14'695'981'039'346'656'037U;
  constexpr std::uint64_t prime = 1'099'511'628'211U;
  std::uint64_t hash = offset_basis;
  for (const char c : body) {
    hash = (hash ^ static_cast<unsigned char>(c)) * prime;
  }
  return hash;
}

std::string hash_text(std::uint64_t hash) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(hash));
  return text;
}

}  // namespace peridot::standins
