// A server that answers each request with a preamble and then a pattern without end, until the
// client closes the connection. For use from one event loop.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/testing/raw_peers.h"

namespace peridot::testing {

struct endless_server {
  std::string preamble;
  std::string pattern;
  std::string address;
  std::size_t bytes_sent = 0;  // over all connections
  int requests = 0;
  int open_connections = 0;
  evconnlistener* listener = nullptr;
  std::vector<bufferevent*> connections;

  ~endless_server() {
    for (bufferevent* connection : connections) {
      bufferevent_free(connection);
    }
    if (listener != nullptr) {
      evconnlistener_free(listener);
    }
  }
};

inline void send_pattern(bufferevent* connection, void* argument) {
  constexpr std::size_t block_bytes = 64 << 10;
  endless_server& server = *static_cast<endless_server*>(argument);
  std::string block;
  while (block.size() < block_bytes) {
    block += server.pattern;
  }
  server.bytes_sent += block.size();
  bufferevent_write(connection, block.data(), block.size());
}

inline void on_endless_request(bufferevent* connection, void* argument) {
  endless_server& server = *static_cast<endless_server*>(argument);
  evbuffer* input = bufferevent_get_input(connection);
  evbuffer_drain(input, evbuffer_get_length(input));
  ++server.requests;
  bufferevent_write(connection, server.preamble.data(), server.preamble.size());
  bufferevent_setcb(
      connection, on_endless_request, send_pattern,
      [](bufferevent* closed, short events, void* state) {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
          --static_cast<endless_server*>(state)->open_connections;
          bufferevent_disable(closed, EV_READ | EV_WRITE);
        }
      },
      argument);
  send_pattern(connection, argument);
}

inline void listen_endlessly(event_base* base, endless_server& server) {
  std::signal(SIGPIPE, SIG_IGN);
  sockaddr_in address = loopback(0);
  server.listener = evconnlistener_new_bind(
      base,
      [](evconnlistener* listener, evutil_socket_t socket, sockaddr*, int, void* argument) {
        endless_server& owner = *static_cast<endless_server*>(argument);
        bufferevent* connection = bufferevent_socket_new(evconnlistener_get_base(listener), socket,
                                                         BEV_OPT_CLOSE_ON_FREE);
        owner.connections.push_back(connection);
        ++owner.open_connections;
        bufferevent_setcb(connection, on_endless_request, nullptr, nullptr, argument);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
      },
      &server, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  server.address = bound_address(evconnlistener_get_fd(server.listener));
}

}  // namespace peridot::testing
