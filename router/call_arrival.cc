// Accepts calls: finds the route, the organisation and the deadline.

#include <algorithm>

#include "platform/wire_headers.h"
#include "router/call_internal.h"
#include "router/planned_stop.h"

namespace peridot {
namespace {

// A watch on the store usually returns a change sooner.
constexpr milliseconds no_config_retry_after{500};

// True while the store is unavailable: it may hold a newer configuration.
bool config_may_be_outdated(const router_state& router) {
  return router.store.unavailable;
}

void on_deadline(evutil_socket_t, short, void* argument) {
  give_up(*static_cast<active_call*>(argument), refusal::deadline, duration{0});
}

void on_caller_disconnected(active_call& call) {
  if (call.current_attempt != nullptr) {
    // The caller disconnected, so the result must not count against the target.
    call.current_attempt->ignore_result = true;
    end_attempt(call, call_result::success);
  }
  end_after_disconnect(call);
}

void set_caller_handlers_and_deadline_timer(active_call& call) {
  router_state& router = *call.router;
  const std::uint64_t exchange_id = call.exchange_id;
  call.exchange->on_disconnect = [&router, exchange_id]() {
    active_call* disconnected_call = find_call(router, exchange_id);
    if (disconnected_call != nullptr) {
      on_caller_disconnected(*disconnected_call);
    }
  };
  call.exchange->on_drained = [&router, exchange_id]() {
    active_call* drained_call = find_call(router, exchange_id);
    if (drained_call != nullptr && drained_call->reading_paused &&
        drained_call->current_attempt != nullptr) {
      drained_call->reading_paused = false;
      resume_call(*drained_call->current_attempt->target_call);
    }
  };
  call.deadline_timer.reset(evtimer_new(router.base.get(), on_deadline, &call));
  const duration time_left = std::max(duration{0}, call.deadline - current_time());
  const timeval timeout = to_timeval(std::chrono::ceil<milliseconds>(time_left));
  event_add(call.deadline_timer.get(), &timeout);
}

// Creates an active call with its route, organisation and deadline. Null if it was refused.
active_call* accept_call(router_state& router, const std::shared_ptr<http_exchange>& exchange,
                         call_request request) {
  const std::shared_ptr<const fleet_config>& config = router.store.config;
  if (config == nullptr) {
    refuse_on_arrival(router, *exchange, request, refusal::no_configuration, no_config_retry_after);
    return nullptr;
  }
  if (router.refusing_calls) {
    refuse_on_arrival(router, *exchange, request, refusal::stopping, min_retry_after);
    return nullptr;
  }
  const route* matched_route =
      find_route(*config, request.host, path_of(exchange->head.request_target));
  if (matched_route == nullptr) {
    refuse_on_arrival(
        router, *exchange, request,
        config_may_be_outdated(router) ? refusal::no_configuration : refusal::unknown_route,
        config_may_be_outdated(router) ? no_config_retry_after : milliseconds{0});
    return nullptr;
  }
  if (ends_before_calls(router, *matched_route, current_time())) {
    refuse_on_arrival(router, *exchange, request, refusal::stopping, min_retry_after);
    return nullptr;
  }
  const organisation* calling_organisation = nullptr;
  if (!matched_route->is_public && !config->organisations.empty()) {
    calling_organisation = find_organisation(*config, request.api_key);
    if (calling_organisation == nullptr) {
      refuse_on_arrival(
          router, *exchange, request,
          config_may_be_outdated(router) ? refusal::no_configuration : refusal::unknown_key,
          config_may_be_outdated(router) ? no_config_retry_after : milliseconds{0});
      return nullptr;
    }
  }
  std::unique_ptr<active_call> owned_call = std::make_unique<active_call>();
  active_call& call = *owned_call;
  call.router = &router;
  call.exchange_id = exchange->id;
  call.exchange = exchange;
  call.request = std::move(request);
  call.config = config;
  call.matched_route = matched_route;
  call.organisation =
      calling_organisation == nullptr ? organisation_name{} : calling_organisation->name;
  call.signatures = call_signatures(
      call.organisation,
      {.method = exchange->head.method,
       .host = call.request.host,
       .request_target = exchange->head.request_target},
      exchange->body, call.request.call_prompt.has_value() ? &*call.request.call_prompt : nullptr);
  call.arrived_at = exchange->first_byte_at;
  call.deadline =
      call.arrived_at + std::min(call.request.caller_timeout.value_or(matched_route->timeout),
                                 matched_route->timeout);
  call.last_event_id = call.request.last_event_id;
  router.calls.emplace(call.exchange_id, std::move(owned_call));
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
  active_call* call = accept_call(router, exchange, std::move(decoded.call));
  if (call == nullptr) {
    return;
  }
  if (refuse_if_suspect(*call)) {
    return;
  }
  set_caller_handlers_and_deadline_timer(*call);
  if (call->request.call_prompt.has_value()) {
    const double tokens = weighted_tokens(*call->request.call_prompt);
    record_asked_tokens(router.shares, call->organisation, tokens, current_time());
    router.call_metrics.organisations[call->organisation.value].asked_tokens += tokens;
  }
  if (is_resumed(*call)) {
    place_resumed_call(*call);
  } else {
    place_call(*call);
  }
}

}  // namespace peridot
