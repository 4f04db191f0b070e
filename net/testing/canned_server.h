// A loopback server that answers each path with fixed bytes and closes. A path
// without an answer is never answered. Runs on a thread of its own, since the
// client under test blocks.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <atomic>
#include <map>
#include <string>
#include <thread>

namespace peridot::testing {

struct canned_server {
  event_base* base = nullptr;
  evconnlistener* listener = nullptr;
  std::map<std::string, std::string> answers;  // path to raw bytes
  std::string address;
  std::atomic<bool> stopping{false};
  std::thread loop;
};

inline void on_written(bufferevent* connection, void*) {
  if (evbuffer_get_length(bufferevent_get_output(connection)) == 0) {
    bufferevent_free(connection);
  }
}

inline void on_closed(bufferevent* connection, short, void*) {
  bufferevent_free(connection);
}

inline void on_request(bufferevent* connection, void* argument) {
  const canned_server& server = *static_cast<canned_server*>(argument);
  evbuffer* input = bufferevent_get_input(connection);
  std::string text(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, text.data(), text.size());
  if (text.find("\r\n\r\n") == std::string::npos) {
    return;
  }
  const std::size_t start = text.find(' ') + 1;
  auto answer = server.answers.find(text.substr(start, text.find(' ', start) - start));
  if (answer == server.answers.end()) {
    return;
  }
  bufferevent_setcb(connection, nullptr, on_written, on_closed, argument);
  bufferevent_write(connection, answer->second.data(), answer->second.size());
}

inline void on_accept(evconnlistener* listener, evutil_socket_t socket, sockaddr*, int,
                      void* argument) {
  bufferevent* connection =
      bufferevent_socket_new(evconnlistener_get_base(listener), socket, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(connection, on_request, nullptr, on_closed, argument);
  bufferevent_enable(connection, EV_READ | EV_WRITE);
}

// Fills `server` and starts its thread. The server must not move afterwards.
inline void start(canned_server& server) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  server.base = event_base_new();
  server.listener =
      evconnlistener_new_bind(server.base, on_accept, &server, LEV_OPT_CLOSE_ON_FREE, -1,
                              reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t length = sizeof(address);
  getsockname(evconnlistener_get_fd(server.listener), reinterpret_cast<sockaddr*>(&address),
              &length);
  server.address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  server.loop = std::thread([&server] {
    const timeval pause{0, 10'000};
    while (!server.stopping.load()) {
      event_base_loopexit(server.base, &pause);
      event_base_dispatch(server.base);
    }
  });
}

inline void stop(canned_server& server) {
  server.stopping.store(true);
  server.loop.join();
  evconnlistener_free(server.listener);
  event_base_free(server.base);
}

// A whole answer with status 200.
inline std::string ok_answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\nConnection: close\r\n\r\n" + body;
}

}  // namespace peridot::testing
