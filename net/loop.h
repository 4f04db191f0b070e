// The event loop of a process, and owners for libevent's handles.
//
// One loop on one thread: every function of net/ is called on it.
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

// The clock that the loop passes to decisions as `now`.
instant current_time();

timeval to_timeval(std::chrono::milliseconds time);

// Writes to the socket at once if nothing waits before; what does not fit is buffered.
// This costs one system call in place of four: through the buffer alone, the loop would
// watch the socket for writing, wait, write, and stop watching. An error shows at the
// buffered write or at the next read. Precondition: the stream is connected.
void write_now(bufferevent* stream, std::string_view data);

// Runs `work` once from the loop, after the current callback has returned.
void run_later(event_base* base, std::function<void()> work);

// Runs `work` once after `delay`, which is longer than zero: in a later turn of the loop.
void run_after(event_base* base, std::chrono::milliseconds delay, std::function<void()> work);

// Calls `work` each `period` until the returned handle is destroyed. The
// function object must outlive the handle.
event_ptr run_periodically(event_base* base, std::chrono::milliseconds period,
                           std::function<void()>* work);

}  // namespace peridot
