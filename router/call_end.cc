// Ends calls: the final response to the caller, the log line, the metrics.

#include <cinttypes>
#include <cstdio>

#include "core/base/check.h"
#include "net/log.h"
#include "router/call_internal.h"
#include "router/planned_stop.h"

namespace peridot {
namespace {

int http_status_of(refusal reason, bool may_have_run) {
  switch (reason) {
    case refusal::unknown_route:
      return 404;
    case refusal::unknown_key:
      return 401;
    case refusal::bad_call:
      return 400;
    case refusal::over_share:
      return 429;
    case refusal::deadline:
      return may_have_run ? 504 : 503;
    default:
      return may_have_run ? 502 : 503;
  }
}

const char* outcome_text(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::answered:
      return "answered";
    case call_outcome::refused:
      return "refused";
    case call_outcome::failed:
      return "failed";
    case call_outcome::caller_left:
      return "caller_left";
  }
  return "failed";
}

// Logs and counts the end of a call, and removes it from the active calls.
void finish_call(active_call& call, call_outcome outcome, int status, refusal reason) {
  router_state& router = *call.router;
  const instant now = current_time();
  call.exchange->on_disconnect = nullptr;
  call.exchange->on_drained = nullptr;
  const log_level level =
      outcome == call_outcome::answered && status < 500 ? log_level::info : log_level::warn;
  log_call_line(log_part::http, level, [&]() {
    return std::string("Call ended. call=") + call.request.id +
           " outcome=" + outcome_text(outcome) + " status=" + std::to_string(status) +
           " reason=" + to_text(reason) + " route=" + call.matched_route->name.value +
           " caller=" + call.organisation.value + " target=" +
           (call.attempted_targets.empty() ? "" : call.attempted_targets.back().value) +
           " sends=" + std::to_string(call.sends) +
           " events=" + std::to_string(call.events_forwarded) +
           " framing=" + call.response_framing +
           " unfinished_bytes=" + std::to_string(call.unfinished_event_bytes) +
           " predicted_ms=" + std::to_string(static_cast<int>(call.predicted_ms)) + " first_ms=" +
           (call.response_started_at == instant{}
                ? "-"
                : ms_text(call.response_started_at - call.arrived_at)) +
           " total_ms=" + ms_text(now - call.arrived_at) +
           " config=" + std::to_string(call.config->version);
  });
  record_outcome(router.call_metrics, outcome_text(outcome), to_text(reason));
  record_duration(router.call_metrics.response_time, now - call.arrived_at);
  const std::uint64_t exchange_id = call.exchange_id;
  auto found = router.calls.find(exchange_id);
  PERIDOT_CHECK(found != router.calls.end(), "a call must end only once");
  // The functions up the stack may still use the call, so it is destroyed after them.
  std::shared_ptr<active_call> ended_call(found->second.release());
  router.calls.erase(found);
  ended_call->deadline_timer.reset();
  ended_call->inactivity_timer.reset();
  ended_call->pending_build_query.reset();
  run_later(router.base.get(), [ended_call]() {});
}

void send_error_response(http_exchange& exchange, int status, refusal reason,
                         duration retry_after) {
  std::vector<http_header> headers = {{"Content-Type", "text/plain"}};
  if (retry_after > duration{0}) {
    headers.push_back({"Retry-After", seconds_text(retry_after)});
  }
  send_response(exchange, status, headers, std::string(to_text(reason)) + "\n");
}

}  // namespace

std::string hex_text(std::uint64_t value) {
  char text[2 * sizeof(value) + 1];
  std::snprintf(text, sizeof(text), "%" PRIx64, value);
  return text;
}

std::string parts_text(const call_request& request) {
  std::string text;
  if (request.call_prompt.has_value()) {
    for (std::uint64_t part : request.call_prompt->parts) {
      text += (text.empty() ? "" : ",") + hex_text(part);
    }
  }
  return text.empty() ? "-" : text;
}

std::string ms_text(duration time) {
  return std::to_string(static_cast<std::int64_t>(to_ms(time)));
}

std::string decimal_text(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", value);
  return text;
}

std::string seconds_text(duration time) {
  return decimal_text(std::chrono::duration<double>(time).count());
}

void refuse_on_arrival(router_state& router, http_exchange& exchange, const call_request& request,
                       refusal reason, duration retry_after) {
  const int status = http_status_of(reason, false);
  log_line(log_part::http, log_level::warn,
           "Call refused on arrival. call=" + request.id + " status=" + std::to_string(status) +
               " reason=" + to_text(reason) + " host=" + request.host +
               " path=" + std::string(path_of(exchange.head.request_target)) + " config=" +
               std::to_string(router.store.config == nullptr ? 0 : router.store.config->version));
  record_outcome(router.call_metrics, outcome_text(call_outcome::refused), to_text(reason));
  send_error_response(exchange, status, reason, retry_after);
}

void end_with_refusal(active_call& call, refusal reason, duration retry_after) {
  PERIDOT_CHECK(!call.may_have_run, "a call that may have run must end as failed, not as refused");
  const int status = http_status_of(reason, false);
  send_error_response(*call.exchange, status, reason, retry_after);
  ++call.router->call_metrics.organisations[call.organisation.value].refused_calls[to_text(reason)];
  finish_call(call, call_outcome::refused, status, reason);
}

void end_with_failure(active_call& call, refusal reason) {
  const int status = http_status_of(reason, true);
  send_error_response(*call.exchange, status, reason, duration{0});
  finish_call(call, call_outcome::failed, status, reason);
}

void give_up(active_call& call, refusal reason, duration retry_after) {
  if (call.current_attempt != nullptr) {
    call.may_have_run = call.may_have_run || call.current_attempt->target_call->may_have_sent;
    end_attempt(call, call_result::incomplete_response);
  }
  if (call.response_started) {
    end_with_aborted_response(call, reason);
  } else if (call.may_have_run) {
    end_with_failure(call, reason);
  } else {
    end_with_refusal(call, reason, retry_after);
  }
}

void end_answered(active_call& call, int status) {
  ++call.router->call_metrics.answered_calls;
  const instant now = current_time();
  record_response_time(*call.router, call.matched_route->name, now - call.arrived_at, now);
  finish_call(call, call_outcome::answered, status, refusal::none);
}

void end_with_aborted_response(active_call& call, refusal reason) {
  ++call.router->call_metrics.aborted_responses;
  abort_response(*call.exchange);
  finish_call(call, call_outcome::failed, 0, reason);
}

void end_after_disconnect(active_call& call) {
  ++call.router->call_metrics.caller_disconnects;
  finish_call(call, call_outcome::caller_left, 0, refusal::none);
}

}  // namespace peridot
