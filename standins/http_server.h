// HTTP server shared by the stand-ins: a thin layer over libevhtp.
//
// It keeps the set of open connections, so that a stand-in can play a crash by
// dropping all of them, and can close and reopen its listening socket within one
// process. Callbacks only record what was asked; each stand-in acts in its tick.
//
//   http_server server;
//   std::string problem;
//   if (!open_server(server, base, "127.0.0.1:19000", problem)) { print; exit; }
//   add_handler(server, "/load", on_load, &state);
//   return run_until_terminated(server, "engine_standin", tick, &state);
//
// Thread safety: none; one loop on one thread.
#pragma once

#include <evhtp.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace peridot::standins {

inline constexpr std::size_t max_request_bytes = 2 << 20;
inline constexpr std::chrono::milliseconds stand_in_tick{2};

struct http_server {
  event_base* base = nullptr;  // not owned
  evhtp_t* htp = nullptr;      // freed by close_server()
  std::string host;
  std::uint16_t port = 0;
  bool listening = false;
  std::set<evhtp_connection_t*> connections;
};

// "10.0.0.7:8080" as an IPv4 number and a port.
struct ip_port {
  std::string host;
  std::uint16_t port = 0;
};

// Null if the text is no IPv4 number with a port from 1 to 65535.
std::optional<ip_port> parse_ip_port(const std::string& text);

// Creates the server and listens. False with `problem` set if the address is
// malformed or taken. `server` must stay where it is until close_server().
bool open_server(http_server& server, event_base* base, const std::string& address,
                 std::string& problem);
void close_server(http_server& server);

// Each returns false if the socket was in that state or cannot be opened.
bool start_listening(http_server& server);
bool stop_listening(http_server& server);

// Resets connections, as a killed process does. Must not be called from a
// request's callback. The second form ignores a connection that is gone.
void drop_all_connections(http_server& server);
void drop_connection(http_server& server, evhtp_connection_t* connection);

void add_handler(http_server& server, const char* path, evhtp_callback_cb callback, void* arg);

// Calls `on_end(request, arg)` when the request is answered in full or its
// connection is gone; the request is freed right after.
using request_end = evhtp_res (*)(evhtp_request_t* request, void* arg);
void watch_end(evhtp_request_t* request, request_end on_end, void* arg);

std::string request_body(const evhtp_request_t* request);
std::optional<std::string> request_header(const evhtp_request_t* request, const char* name);
std::optional<std::string> query_text(const evhtp_request_t* request, const char* name);
// Null if absent or not a decimal number.
std::optional<std::uint64_t> query_number(const evhtp_request_t* request, const char* name);

void add_reply_header(evhtp_request_t* request, const char* name, const std::string& value);
void send_text(evhtp_request_t* request, evhtp_res status, const std::string& text);
void send_chunk(evhtp_request_t* request, const std::string& text);

// Prints one line, runs the loop with `tick(arg)` every `stand_in_tick`, and
// returns 0 after TERM or INT.
int run_until_terminated(http_server& server, const char* program, void (*tick)(void*), void* arg);

// A random name for one run of a target, e.g. "boot-9f3a61c2".
std::string new_boot_id();

// Hash of a prompt or body, as 16 hexadecimal digits: FNV-1a, 64 bits.
std::uint64_t body_hash(const std::string& body);
std::string hash_text(std::uint64_t hash);

}  // namespace peridot::standins
