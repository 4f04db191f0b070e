// Calls from their arrival: route, organisation, time left.

#include <algorithm>

#include "platform/wire_headers.h"
#include "router/call_internal.h"

namespace peridot {
namespace {

constexpr milliseconds no_config_pause{500};  // a watch answers within this

// True if the configuration in force may be older than the newest one: the store is away.
bool config_may_be_old(const router_state& router) {
  return router.store.unavailable;
}

void on_give_up(evutil_socket_t, short, void* argument) {
  active_call& call = *static_cast<active_call*>(argument);
  if (call.current_attempt != nullptr) {
    call.may_have_run = call.may_have_run || call.current_attempt->target_call->may_have_sent;
    end_attempt(call, call_result::incomplete_response);
  }
  if (call.response_started) {
    end_with_aborted_response(call, refusal::deadline);
  } else if (call.may_have_run) {
    end_with_failure(call, refusal::deadline);
  } else {
    end_with_refusal(call, refusal::deadline, duration{0});
  }
}

void on_caller_gone(active_call& call) {
  if (call.current_attempt != nullptr) {
    // The target is not to blame: its result is not noted.
    call.current_attempt->result_recorded = true;
    end_attempt(call, call_result::success);
  }
  end_caller_left(call);
}

void watch_caller(active_call& call) {
  router_state& router = *call.router;
  const std::uint64_t number = call.exchange_id;
  call.exchange->on_disconnect = [&router, number]() {
    active_call* gone = find_call(router, number);
    if (gone != nullptr) {
      on_caller_gone(*gone);
    }
  };
  call.exchange->on_drained = [&router, number]() {
    active_call* drained = find_call(router, number);
    if (drained != nullptr && drained->reading_paused && drained->current_attempt != nullptr) {
      drained->reading_paused = false;
      resume_call(*drained->current_attempt->target_call);
    }
  };
  call.deadline_timer.reset(evtimer_new(router.base.get(), on_give_up, &call));
  const duration left = std::max(duration{0}, call.deadline - current_time());
  const timeval time = to_timeval(std::chrono::ceil<milliseconds>(left));
  event_add(call.deadline_timer.get(), &time);
}

// Finds route, organisation and time of a call. Null if it was refused.
active_call* admit_exchange(router_state& router, const std::shared_ptr<http_exchange>& exchange,
                            call_request request) {
  const std::shared_ptr<const fleet_config>& config = router.store.config;
  if (config == nullptr) {
    refuse_on_arrival(router, *exchange, request, refusal::no_configuration, no_config_pause);
    return nullptr;
  }
  if (router.refusing_calls) {
    refuse_on_arrival(router, *exchange, request, refusal::stopping, min_retry_after);
    return nullptr;
  }
  const route* way = find_route(*config, request.host, path_of(exchange->head.request_target));
  if (way == nullptr) {
    refuse_on_arrival(
        router, *exchange, request,
        config_may_be_old(router) ? refusal::no_configuration : refusal::unknown_route,
        config_may_be_old(router) ? no_config_pause : milliseconds{0});
    return nullptr;
  }
  const organisation* caller = nullptr;
  if (!way->is_public && !config->organisations.empty()) {
    caller = find_organisation(*config, request.api_key);
    if (caller == nullptr) {
      refuse_on_arrival(
          router, *exchange, request,
          config_may_be_old(router) ? refusal::no_configuration : refusal::unknown_key,
          config_may_be_old(router) ? no_config_pause : milliseconds{0});
      return nullptr;
    }
  }
  std::unique_ptr<active_call> owned = std::make_unique<active_call>();
  active_call& call = *owned;
  call.router = &router;
  call.exchange_id = exchange->id;
  call.exchange = exchange;
  call.request = std::move(request);
  call.config = config;
  call.matched_route = way;
  call.organisation = caller == nullptr ? organisation_name{} : caller->name;
  call.fingerprint = request_fingerprint(call.organisation, path_of(exchange->head.request_target),
                                         exchange->body);
  call.arrived_at = exchange->first_byte_at;
  call.deadline =
      call.arrived_at + std::min(call.request.caller_timeout.value_or(way->timeout), way->timeout);
  call.last_event_id = call.request.last_event_id;
  router.calls.emplace(call.exchange_id, std::move(owned));
  return &call;
}

}  // namespace

active_call* find_call(router_state& router, std::uint64_t exchange_id) {
  auto found = router.calls.find(exchange_id);
  return found == router.calls.end() ? nullptr : found->second.get();
}

void handle_call(router_state& router, const std::shared_ptr<http_exchange>& exchange) {
  platform::decoded_call decoded = platform::decode_call(exchange->head);
  if (!decoded.problem.empty()) {
    refuse_on_arrival(router, *exchange, decoded.call, refusal::bad_call, duration{0});
    return;
  }
  active_call* call = admit_exchange(router, exchange, std::move(decoded.call));
  if (call == nullptr) {
    return;
  }
  if (is_refused_for_crashes(router.crash_suspects, call->fingerprint)) {
    end_with_refusal(*call, refusal::suspect, duration{0});
    return;
  }
  watch_caller(*call);
  if (call->request.call_prompt.has_value()) {
    record_asked_tokens(router.shares, call->organisation,
                        weighted_tokens(*call->request.call_prompt), current_time());
  }
  place_call(*call);
}

}  // namespace peridot
