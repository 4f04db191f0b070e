#include "net/connect_probe.h"

#include <cerrno>
#include <optional>
#include <utility>

#include "core/base/check.h"
#include "core/base/ip_endpoint.h"

namespace peridot {
namespace {

// The callback may destroy the probe, which is not used after it.
void report(connect_probe& probe, probe_result result) {
  const std::function<void(probe_result)> on_result = std::exchange(probe.on_result, nullptr);
  if (on_result) {
    on_result(result);
  }
}

void on_event(bufferevent*, short events, void* argument) {
  connect_probe& probe = *static_cast<connect_probe*>(argument);
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    report(probe, probe_result::accepted);
  } else {
    report(probe,
           EVUTIL_SOCKET_ERROR() == ECONNREFUSED ? probe_result::refused : probe_result::unknown);
  }
}

void on_timeout(evutil_socket_t, short, void* argument) {
  report(*static_cast<connect_probe*>(argument), probe_result::unknown);
}

}  // namespace

std::unique_ptr<connect_probe> start_probe(event_base* base, const std::string& address,
                                           std::chrono::milliseconds timeout,
                                           std::function<void(probe_result)> on_result) {
  const std::optional<ip_endpoint> endpoint = parse_ip_endpoint(address);
  PERIDOT_CHECK(endpoint.has_value(),
                "the address of a probe must be accepted by parse_ip_endpoint()");
  std::unique_ptr<connect_probe> probe = std::make_unique<connect_probe>();
  probe->on_result = std::move(on_result);
  probe->stream.reset(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE));
  PERIDOT_CHECK(probe->stream != nullptr, "cannot allocate a connection");
  bufferevent_setcb(probe->stream.get(), nullptr, nullptr, on_event, probe.get());
  probe->timer.reset(evtimer_new(base, on_timeout, probe.get()));
  sockaddr_in socket_address = to_socket_address(*endpoint);
  const bool started =
      bufferevent_socket_connect(probe->stream.get(), reinterpret_cast<sockaddr*>(&socket_address),
                                 sizeof(socket_address)) == 0;
  // libevent may report no event if the connect call itself fails: the timer does then.
  const timeval limit = to_timeval(started ? timeout : std::chrono::milliseconds{1});
  event_add(probe->timer.get(), &limit);
  return probe;
}

}  // namespace peridot
