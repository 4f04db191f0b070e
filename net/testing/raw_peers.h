// A server and a caller for tests that exchange raw bytes, on the event loop of the test.
#pragma once

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <string>

#include "net/loop.h"

namespace peridot::testing {

inline constexpr std::chrono::milliseconds wait_timeout{5'000};

inline void run_for(event_base* base, std::chrono::milliseconds time) {
  const timeval timeout = to_timeval(time);
  event_base_loopexit(base, &timeout);
  event_base_loop(base, EVLOOP_NO_EXIT_ON_EMPTY);
}

// Runs the loop until `done` is true. False if that takes longer than wait_timeout.
inline bool run_until(event_base* base, const std::function<bool()>& done) {
  const std::chrono::steady_clock::time_point deadline =
      std::chrono::steady_clock::now() + wait_timeout;
  while (!done() && std::chrono::steady_clock::now() < deadline) {
    run_for(base, std::chrono::milliseconds{2});
  }
  return done();
}

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

inline std::string bound_address(evutil_socket_t socket) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

// A loopback address on which no socket listens.
inline std::string unused_address() {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = loopback(0);
  const int bound = ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  std::string text = bound == 0 ? bound_address(socket) : "";
  ::close(socket);
  return text;
}

// Responds to the first bytes that it receives with fixed bytes.
struct raw_server {
  std::string response;
  bool close_after_response = false;
  bool reset_after_read = false;
  std::string address;
  std::string received;
  int closed_connections = 0;
  evconnlistener* listener = nullptr;
  bufferevent* connection = nullptr;
  ~raw_server() {
    if (connection != nullptr) {
      bufferevent_free(connection);
    }
    evconnlistener_free(listener);
  }
};

inline void close_connection(raw_server& server) {
  bufferevent_free(server.connection);
  server.connection = nullptr;
  ++server.closed_connections;
}

inline void on_raw_event(bufferevent*, short, void* argument) {
  close_connection(*static_cast<raw_server*>(argument));
}

inline void on_raw_written(bufferevent*, void* argument) {
  close_connection(*static_cast<raw_server*>(argument));
}

inline void on_raw_read(bufferevent* connection, void* argument) {
  raw_server& server = *static_cast<raw_server*>(argument);
  const bool first_read = server.received.empty();
  evbuffer* input = bufferevent_get_input(connection);
  const std::size_t length = evbuffer_get_length(input);
  std::string bytes(length, '\0');
  evbuffer_remove(input, bytes.data(), length);
  server.received += bytes;
  if (!first_read) {
    return;
  }
  if (server.reset_after_read) {
    const linger reset_on_close{1, 0};
    setsockopt(bufferevent_getfd(connection), SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
    close_connection(server);
    return;
  }
  bufferevent_write(connection, server.response.data(), server.response.size());
  if (server.close_after_response && server.response.empty()) {
    close_connection(server);
  } else if (server.close_after_response) {
    bufferevent_setcb(connection, on_raw_read, on_raw_written, on_raw_event, argument);
  }
}

inline void on_raw_accept(evconnlistener* listener, evutil_socket_t socket, sockaddr*, int,
                          void* argument) {
  raw_server& server = *static_cast<raw_server*>(argument);
  server.connection =
      bufferevent_socket_new(evconnlistener_get_base(listener), socket, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(server.connection, on_raw_read, nullptr, on_raw_event, argument);
  bufferevent_enable(server.connection, EV_READ | EV_WRITE);
}

inline void listen_on_loopback(event_base* base, raw_server& server) {
  std::signal(SIGPIPE, SIG_IGN);
  sockaddr_in address = loopback(0);
  server.listener = evconnlistener_new_bind(base, on_raw_accept, &server, LEV_OPT_CLOSE_ON_FREE, -1,
                                            reinterpret_cast<sockaddr*>(&address), sizeof(address));
  server.address = bound_address(evconnlistener_get_fd(server.listener));
}

// A caller that sends raw bytes and stores what it receives.
struct raw_caller {
  std::string received;
  bool closed = false;
  bool reset = false;  // closed by a reset
  bufferevent* connection = nullptr;
  ~raw_caller() {
    bufferevent_free(connection);
  }
};

inline void on_caller_read(bufferevent* connection, void* argument) {
  evbuffer* input = bufferevent_get_input(connection);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  static_cast<raw_caller*>(argument)->received += bytes;
}

inline void on_caller_event(bufferevent* connection, short events, void* argument) {
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    on_caller_read(connection, argument);
    static_cast<raw_caller*>(argument)->closed = true;
    static_cast<raw_caller*>(argument)->reset = (events & BEV_EVENT_ERROR) != 0;
  }
}

inline void connect_caller(event_base* base, raw_caller& caller, std::uint16_t port) {
  sockaddr_in address = loopback(port);
  caller.connection = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(caller.connection, on_caller_read, nullptr, on_caller_event, &caller);
  bufferevent_enable(caller.connection, EV_READ | EV_WRITE);
  bufferevent_socket_connect(caller.connection, reinterpret_cast<sockaddr*>(&address),
                             sizeof(address));
}

inline void send_raw(raw_caller& caller, const std::string& bytes) {
  bufferevent_write(caller.connection, bytes.data(), bytes.size());
}

inline void shut_down(raw_caller& caller) {
  shutdown(bufferevent_getfd(caller.connection), SHUT_RDWR);
}

}  // namespace peridot::testing
