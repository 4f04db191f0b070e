#include "net/loop.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace peridot {
namespace {

void run_once(evutil_socket_t, short, void* argument) {
  std::unique_ptr<std::function<void()>> work(static_cast<std::function<void()>*>(argument));
  (*work)();
}

void run_periodic(evutil_socket_t, short, void* argument) {
  (*static_cast<std::function<void()>*>(argument))();
}

}  // namespace

instant current_time() {
  return std::chrono::steady_clock::now();
}

timeval to_timeval(std::chrono::milliseconds time) {
  const std::chrono::seconds seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
  const std::chrono::microseconds remainder = time - seconds;
  return timeval{static_cast<time_t>(seconds.count()), static_cast<suseconds_t>(remainder.count())};
}

void write_now(bufferevent* stream, std::string_view data) {
  if (evbuffer_get_length(bufferevent_get_output(stream)) == 0) {
    const ssize_t written = ::write(bufferevent_getfd(stream), data.data(), data.size());
    data.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(0, written)));
  }
  if (!data.empty()) {
    bufferevent_write(stream, data.data(), data.size());
  }
}

void run_later(event_base* base, std::function<void()> work) {
  run_after(base, std::chrono::milliseconds{0}, std::move(work));
}

void run_after(event_base* base, std::chrono::milliseconds delay, std::function<void()> work) {
  const timeval time = to_timeval(delay);
  event_base_once(base, -1, EV_TIMEOUT, run_once, new std::function<void()>(std::move(work)),
                  &time);
}

event_ptr run_periodically(event_base* base, std::chrono::milliseconds period,
                           std::function<void()>* work) {
  event_ptr handle(event_new(base, -1, EV_PERSIST, run_periodic, work));
  const timeval interval = to_timeval(period);
  event_add(handle.get(), &interval);
  return handle;
}

}  // namespace peridot
