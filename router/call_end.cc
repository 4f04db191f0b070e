// How calls end: the answer to the caller, the log line, the counts.

#include <cstdio>

#include "core/base/check.h"
#include "net/log.h"
#include "router/call_internal.h"

namespace peridot {
namespace {

int status_of(refusal why, bool may_have_run) {
  switch (why) {
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

// The call's last line, and its removal.
void finish(live_call& call, call_outcome outcome, int status, refusal why) {
  router_state& router = *call.router;
  const instant now = current_time();
  call.exchange->on_gone = nullptr;
  call.exchange->on_drained = nullptr;
  const log_level level =
      outcome == call_outcome::answered && status < 500 ? log_level::info : log_level::warn;
  log_line(
      log_part::http, level,
      std::string("Call ended. call=") + call.request.id + " outcome=" + outcome_text(outcome) +
          " status=" + std::to_string(status) + " reason=" + to_text(why) +
          " route=" + call.way->name.value + " caller=" + call.caller.value +
          " target=" + (call.tried.empty() ? "" : call.tried.back().value) +
          " sends=" + std::to_string(call.sends) + " events=" + std::to_string(call.events_passed) +
          " predicted_ms=" + std::to_string(static_cast<int>(call.predicted_ms)) + " first_ms=" +
          (call.first_answer == instant{} ? "-" : ms_text(call.first_answer - call.arrived)) +
          " total_ms=" + ms_text(now - call.arrived) +
          " config=" + std::to_string(call.config->version));
  note_outcome(router.counts, outcome_text(outcome), to_text(why));
  observe(router.counts.whole_answer, now - call.arrived);
  const std::uint64_t number = call.number;
  auto found = router.calls.find(number);
  PERIDOT_CHECK(found != router.calls.end(), "a call ends twice");
  // Callers of this function may still look at the call: it goes after them.
  std::shared_ptr<live_call> last(found->second.release());
  router.calls.erase(found);
  last->give_up_timer.reset();
  last->silence_timer.reset();
  run_later(router.base.get(), [last]() {});
}

void answer_refusal(http_exchange& exchange, int status, refusal why, duration pause) {
  std::vector<http_header> headers = {{"Content-Type", "text/plain"}};
  if (pause > duration{0}) {
    headers.push_back({"Retry-After", seconds_text(pause)});
  }
  reply(exchange, status, headers, std::string(to_text(why)) + "\n");
}

}  // namespace

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

// Refuses before there is a call.
void refuse_at_once(router_state& router, http_exchange& exchange, const call_request& request,
                    refusal why, duration pause) {
  const int status = status_of(why, false);
  log_line(log_part::http, log_level::warn,
           "Call refused on arrival. call=" + request.id + " status=" + std::to_string(status) +
               " reason=" + to_text(why) + " host=" + request.host +
               " path=" + std::string(path_of(exchange.head.target)) + " config=" +
               std::to_string(router.store.config == nullptr ? 0 : router.store.config->version));
  note_outcome(router.counts, outcome_text(call_outcome::refused), to_text(why));
  answer_refusal(exchange, status, why, pause);
}

void end_with_refusal(live_call& call, refusal why, duration pause) {
  PERIDOT_CHECK(!call.may_have_run, "a call that may have run is refused as not run");
  const int status = status_of(why, false);
  answer_refusal(*call.exchange, status, why, pause);
  finish(call, call_outcome::refused, status, why);
}

void end_with_failure(live_call& call, refusal why) {
  const int status = status_of(why, true);
  answer_refusal(*call.exchange, status, why, duration{0});
  finish(call, call_outcome::failed, status, why);
}

void end_answered(live_call& call, int status) {
  ++call.router->counts.answered;
  finish(call, call_outcome::answered, status, refusal::none);
}

void end_broken_off(live_call& call, refusal why) {
  ++call.router->counts.cut_answers;
  reply_abort(*call.exchange);
  finish(call, call_outcome::failed, 0, why);
}

void end_caller_left(live_call& call) {
  ++call.router->counts.callers_gone;
  finish(call, call_outcome::caller_left, 0, refusal::none);
}

}  // namespace peridot
