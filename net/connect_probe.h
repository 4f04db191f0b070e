// Finds out whether a process listens at an address: connects, and closes the connection at once.
//
//   std::unique_ptr<connect_probe> probe = start_probe(base, "10.0.0.9:8000", milliseconds{200},
//                                                      [](probe_result result) { ... });
//
// The result is reported from the event loop, once, unless the probe is destroyed before. The
// callback may destroy it.
// Thread safety: none; for use from one event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/loop.h"

namespace peridot {

// `unknown`: no answer within the time, or another error.
enum class probe_result { accepted, refused, unknown };

struct bufferevent_deleter {
  void operator()(bufferevent* stream) const {
    bufferevent_free(stream);
  }
};

struct connect_probe {
  std::unique_ptr<bufferevent, bufferevent_deleter> stream;
  event_ptr timer;
  std::function<void(probe_result)> on_result;  // empty once called
};

// Precondition: parse_ip_endpoint() accepts `address`.
std::unique_ptr<connect_probe> start_probe(event_base* base, const std::string& address,
                                           std::chrono::milliseconds timeout,
                                           std::function<void(probe_result)> on_result);

}  // namespace peridot
