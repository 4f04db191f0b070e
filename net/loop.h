// The event loop of a process, and owning pointers to libevent's objects.
//
// A process has one loop on one thread; all functions of net/ are called on it.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/base/types.h"

namespace peridot {

struct event_base_deleter {
  void operator()(event_base* base) const {
    event_base_free(base);
  }
};
struct event_deleter {
  void operator()(event* handle) const {
    event_free(handle);
  }
};
struct evbuffer_deleter {
  void operator()(evbuffer* buffer) const {
    evbuffer_free(buffer);
  }
};

using event_base_ptr = std::unique_ptr<event_base, event_base_deleter>;
using event_ptr = std::unique_ptr<event, event_deleter>;
using evbuffer_ptr = std::unique_ptr<evbuffer, evbuffer_deleter>;

// Monotonic time, which the process passes to the decision logic as `now`.
instant current_time();

timeval to_timeval(std::chrono::milliseconds time);

// Writes to the socket at once if the output buffer is empty; buffers what the socket does
// not accept. This takes one system call instead of four: with the buffer alone, the loop
// would watch the socket for writability, wait, write, and stop watching. An error is
// reported by the buffered write or by the next read. Precondition: the stream is connected.
void write_now(bufferevent* stream, std::string_view data);

// Runs `work` once from the loop, after the current callback has returned.
void run_later(event_base* base, std::function<void()> work);

// Runs `work` once after `delay`, in a later iteration of the loop. Precondition: `delay` is
// positive; only run_later() passes 0.
void run_after(event_base* base, std::chrono::milliseconds delay, std::function<void()> work);

// Calls `*work` once per `period` until the returned handle is destroyed. `*work` must
// outlive the handle.
event_ptr run_periodically(event_base* base, std::chrono::milliseconds period,
                           std::function<void()>* work);

}  // namespace peridot
