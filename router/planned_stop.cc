#include "router/planned_stop.h"

#include <algorithm>
#include <vector>

#include "core/settings/stop_schedule.h"
#include "net/log.h"
#include "router/call_internal.h"

namespace peridot {
namespace {

constexpr milliseconds min_idle_before_close{300};  // a request in transit arrives sooner
// To read and refuse the requests that have arrived when the time is over.
constexpr milliseconds final_read_time{20};
// How long a response counts as one of lately.
constexpr std::chrono::seconds response_time_memory{60};

// Ends all calls, each with a final answer.
void end_all_calls(router_state& router) {
  std::vector<std::uint64_t> ids;
  for (const std::pair<const std::uint64_t, std::unique_ptr<active_call>>& entry : router.calls) {
    ids.push_back(entry.first);
  }
  for (const std::uint64_t id : ids) {
    active_call* call = find_call(router, id);
    if (call != nullptr) {
      give_up(*call, refusal::stopping, min_retry_after);
    }
  }
}

void end_loop(router_state& router) {
  log_line(log_part::process, log_level::info, "Shutdown finished.");
  event_base_loopbreak(router.base.get());
}

void on_end_timer(evutil_socket_t, short, void* argument) {
  end_loop(*static_cast<router_state*>(argument));
}

void end_out_of_time(router_state& router) {
  router.ending = true;
  router.exit_status = router.calls.empty() ? 0 : 1;
  log_line(log_part::process, router.calls.empty() ? log_level::info : log_level::error,
           "Time to stop is over. calls_left=" + std::to_string(router.calls.size()) +
               " connections=" + std::to_string(router.caller_listener->connections.size()));
  end_all_calls(router);
  stop_accepting(*router.caller_listener);
  reject_unfinished_requests(*router.caller_listener, to_text(refusal::stopping));
  router.end_timer.reset(evtimer_new(router.base.get(), on_end_timer, &router));
  const timeval delay = to_timeval(final_read_time);
  event_add(router.end_timer.get(), &delay);
}

}  // namespace

void record_response_time(router_state& router, const route_name& route, duration time,
                          instant now) {
  const auto is_old = [now](const response_time& longest) {
    return now - longest.at > response_time_memory;
  };
  auto inserted = router.longest_responses.try_emplace(route, response_time{time, now});
  if (inserted.second) {  // routes come and go
    std::erase_if(router.longest_responses,
                  [&is_old](const std::pair<const route_name, response_time>& entry) {
                    return is_old(entry.second);
                  });
  } else if (time >= inserted.first->second.time || is_old(inserted.first->second)) {
    inserted.first->second = {time, now};
  }
}

bool ends_before_calls(const router_state& router, const route& call_route, instant now) {
  if (!router.stopping || is_retryable(call_route)) {
    return false;
  }
  auto found = router.longest_responses.find(call_route.name);
  return found != router.longest_responses.end() &&
         now + found->second.time > router.stop_started_at + router.stop_steps.end_after;
}

void begin_stop(router_state& router, instant now) {
  if (router.stopping) {
    return;
  }
  router.stopping = true;
  router.stop_started_at = now;
  router.stop_steps = make_stop_schedule(router.settings.stop_grace);
  set_close_after_response(*router.caller_listener, true);
  log_line(log_part::process, log_level::info,
           "Graceful shutdown started. calls=" + std::to_string(router.calls.size()) +
               " connections=" + std::to_string(router.caller_listener->connections.size()));
}

void advance_stop(router_state& router, instant now) {
  if (router.ending) {
    return;
  }
  const duration elapsed = now - router.stop_started_at;
  const stop_schedule& steps = router.stop_steps;
  if (elapsed >= steps.close_idle_after) {
    close_idle_connections(*router.caller_listener, min_idle_before_close);
  }
  if (elapsed >= steps.refuse_after && !router.refusing_calls) {
    router.refusing_calls = true;  // new calls are refused with 503 until the exit
  }
  if (elapsed >= steps.end_after) {
    end_out_of_time(router);
    return;
  }
  if (!router.refusing_calls || !router.calls.empty() ||
      !router.caller_listener->connections.empty()) {
    return;
  }
  // The listening socket is closed one tick before the exit: connections that were accepted
  // are still served, and later ones are refused instead of closed without a response.
  if (router.caller_listener->socket == nullptr) {
    router.ending = true;
    end_loop(router);
    return;
  }
  stop_accepting(*router.caller_listener);
}

}  // namespace peridot
