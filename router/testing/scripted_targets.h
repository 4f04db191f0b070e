// Targets for tests of the router: each request gets the next response of a script, and the
// connection is then closed, reset or left open.
//
//   scripted_targets targets;
//   targets.script = {{"HTTP/1.1 200 OK\r\n\r\nid: 1\nda", connection_end::closed}};
//   add_target(base, targets);   // starts to listen; targets.addresses has the address
//
// Requests must have no body. For use from one event loop.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/testing/raw_peers.h"

namespace peridot::testing {

// crashed: the target ends at once, with all of its connections.
enum class connection_end { left_open, closed, reset, closed_at_once, reset_at_once, crashed };

// Time from a response to the end of its connection: the router has read the response by then,
// so that a reset does not discard it.
inline constexpr std::chrono::milliseconds connection_end_delay{20};

struct scripted_response {
  std::string bytes;
  connection_end end = connection_end::left_open;
};

struct scripted_targets;

struct scripted_connection {
  scripted_targets* targets = nullptr;
  evconnlistener* listener = nullptr;  // of the target that it belongs to
  bufferevent* stream = nullptr;
  std::string received;
  event_ptr end_timer;
  connection_end end = connection_end::left_open;
};

struct scripted_targets {
  std::vector<scripted_response> script;  // by order of the requests, over all targets
  std::vector<std::string> requests;      // heads, as received
  std::vector<std::string> addresses;
  std::vector<evconnlistener*> listeners;
  std::list<scripted_connection> connections;

  scripted_targets() = default;
  scripted_targets(const scripted_targets&) = delete;
  scripted_targets& operator=(const scripted_targets&) = delete;
  ~scripted_targets() {
    for (scripted_connection& connection : connections) {
      if (connection.stream != nullptr) {
        bufferevent_free(connection.stream);
      }
    }
    for (evconnlistener* listener : listeners) {
      evconnlistener_free(listener);
    }
  }
};

inline void close_scripted(scripted_connection& connection) {
  if (connection.stream != nullptr) {
    bufferevent_free(std::exchange(connection.stream, nullptr));
  }
}

// Only the listener of the target's own address ends; its place in the lists stays.
inline void crash_scripted_target(scripted_connection& crashed) {
  scripted_targets& targets = *crashed.targets;
  evconnlistener* const listener = crashed.listener;
  for (scripted_connection& connection : targets.connections) {
    if (connection.listener == listener) {
      close_scripted(connection);
    }
  }
  std::erase(targets.listeners, listener);
  evconnlistener_free(listener);
}

inline void end_scripted_connection(evutil_socket_t, short, void* argument) {
  scripted_connection& connection = *static_cast<scripted_connection*>(argument);
  if (connection.stream == nullptr) {
    return;
  }
  if (connection.end == connection_end::reset || connection.end == connection_end::reset_at_once) {
    const linger reset_on_close{1, 0};
    setsockopt(bufferevent_getfd(connection.stream), SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
  }
  close_scripted(connection);
}

inline void on_scripted_read(bufferevent* stream, void* argument) {
  scripted_connection& connection = *static_cast<scripted_connection*>(argument);
  scripted_targets& targets = *connection.targets;
  evbuffer* input = bufferevent_get_input(stream);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  connection.received += bytes;
  if (connection.received.find("\r\n\r\n") == std::string::npos) {
    return;
  }
  const std::size_t number = targets.requests.size();
  targets.requests.push_back(std::exchange(connection.received, {}));
  if (number >= targets.script.size()) {
    return;  // no response: the request is only counted
  }
  const scripted_response& response = targets.script[number];
  if (response.end == connection_end::crashed) {
    crash_scripted_target(connection);
    return;
  }
  connection.end = response.end;
  if (response.end == connection_end::closed_at_once ||
      response.end == connection_end::reset_at_once) {
    end_scripted_connection(-1, 0, &connection);
    return;
  }
  bufferevent_write(stream, response.bytes.data(), response.bytes.size());
  if (response.end != connection_end::left_open) {
    const timeval delay = to_timeval(connection_end_delay);
    event_add(connection.end_timer.get(), &delay);
  }
}

inline void on_scripted_event(bufferevent*, short events, void* argument) {
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    close_scripted(*static_cast<scripted_connection*>(argument));
  }
}

inline void on_scripted_accept(evconnlistener* listener, evutil_socket_t socket, sockaddr*, int,
                               void* argument) {
  scripted_targets& targets = *static_cast<scripted_targets*>(argument);
  event_base* base = evconnlistener_get_base(listener);
  scripted_connection& connection = targets.connections.emplace_back();
  connection.targets = &targets;
  connection.listener = listener;
  connection.stream = bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
  connection.end_timer.reset(evtimer_new(base, end_scripted_connection, &connection));
  bufferevent_setcb(connection.stream, on_scripted_read, nullptr, on_scripted_event, &connection);
  bufferevent_enable(connection.stream, EV_READ | EV_WRITE);
}

inline void add_target(event_base* base, scripted_targets& targets) {
  std::signal(SIGPIPE, SIG_IGN);
  sockaddr_in address = loopback(0);
  evconnlistener* listener =
      evconnlistener_new_bind(base, on_scripted_accept, &targets, LEV_OPT_CLOSE_ON_FREE, -1,
                              reinterpret_cast<sockaddr*>(&address), sizeof(address));
  targets.listeners.push_back(listener);
  targets.addresses.push_back(bound_address(evconnlistener_get_fd(listener)));
}

}  // namespace peridot::testing
