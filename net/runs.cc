// One run of a call on a target: sends it, relays the answer as it arrives, and
// reports how it ended.
//
// The answer is relayed only if it names the same request where the target names
// one. A run that ends early after a part of the answer was passed on ends the
// caller's answer without its last chunk, so that it cannot be taken as whole.

#include <cmath>
#include <cstdlib>
#include <optional>
#include <utility>

#include "core/check.h"
#include "core/message_checks.h"
#include "net/log.h"
#include "net/process_internal.h"

namespace peridot {
namespace {

constexpr double units_per_second = 100;  // of plain services, which count no tokens

caller_call* find_call(router_process& process, std::uint64_t id) {
  std::map<std::uint64_t, std::unique_ptr<caller_call>>::iterator found = process.calls.find(id);
  return found == process.calls.end() ? nullptr : found->second.get();
}

// The cost that the target states; empty if it states none, or none that can be.
std::optional<service_units> stated_cost(const caller_call& call) {
  const std::string text(find_header(call.head.headers, "X-Service-Units"));
  const double value = std::strtod(text.c_str(), nullptr);
  if (text.empty() || !std::isfinite(value) || value < 0 || value > max_message_cost) {
    return std::nullopt;
  }
  return value;
}

service_units measured_cost(const caller_call& call, instant now) {
  const std::optional<service_units> stated = stated_cost(call);
  if (stated) {
    return *stated;
  }
  if (call.chunks > 0 && !find_header(call.head.headers, "X-Total-Tokens").empty()) {
    return static_cast<service_units>(call.chunks);
  }
  return std::chrono::duration<double>(now - call.run_started).count() * units_per_second;
}

void report_end(router_process& process, caller_call& call, target_result result) {
  result.run = call.run_number;
  const std::uint64_t id = call.id;
  effects todo;
  const decision what = router_on_target_done(process.core, id, result, current_time(), todo);
  call.run.reset();
  call.run_timer.reset();
  if (what.what == decision::kind::queued_again) {
    ++process.counts.retried;
    call.head = {};
    call.chunks = 0;
    call.kept_body.clear();
    call.kept_whole = true;
  } else if (what.what == decision::kind::give_up) {
    end_with_failure(process, call, {what.how, what.why, what.retry_after, ""});
  }
  carry_out(process, todo);
}

bool is_success(int status) {
  return status >= 200 && status < 300;
}

// Failures that the caller sees as the target's own answer: its request was bad.
bool is_callers_fault(int status) {
  return status >= 400 && status < 500;
}

std::vector<http_header> answer_headers(const router_process& process, const caller_call& call) {
  std::vector<http_header> headers = {{header_outcome, "done"},
                                      {header_request_id, request_text(process.core, call.id)},
                                      {"X-Target", call.where.target.value}};
  for (const char* name : {"Content-Type", "X-Total-Tokens", "X-Prompt-Hash", "X-Service-Units"}) {
    const std::string_view value = find_header(call.head.headers, name);
    if (!value.empty()) {
      headers.push_back({name, std::string(value)});
    }
  }
  return headers;
}

void begin_answer(router_process& process, caller_call& call) {
  if (call.answer_begun) {
    return;
  }
  call.answer_begun = true;
  observe(process.counts.first_byte, current_time() - call.arrived);
  if (call.exchange != nullptr) {
    reply_begin(*call.exchange, call.head.status, answer_headers(process, call));
  }
}

void finish_answer(router_process& process, caller_call& call) {
  begin_answer(process, call);
  const instant now = current_time();
  observe(process.counts.whole_answer, now - call.arrived);
  ++process.counts.answered;
  if (call.exchange != nullptr) {
    call.exchange->on_gone = nullptr;
    call.exchange->on_drained = nullptr;
    reply_end(*call.exchange);
  }
  const std::vector<http_header> headers = answer_headers(process, call);
  for (const std::shared_ptr<server_exchange>& repeat : call.joined) {
    if (call.kept_whole) {
      reply(*repeat, call.head.status, headers, call.kept_body);
    } else {
      answer_failure(process, *repeat,
                     {outcome::done,
                      refusal::overloaded,
                      {},
                      "The call is done; its answer was too large to keep."});
    }
  }
  target_result result;
  result.result = wire::finish_ok;
  result.run = call.run_number;
  result.cost = measured_cost(call, now);
  result.boot_id = std::string(find_header(call.head.headers, "X-Boot-Id"));
  result.answer_begun = true;
  effects todo;
  router_on_target_done(process.core, call.id, result, now, todo);
  if (call.key_sequence) {
    kept_answer kept;
    kept.status = call.head.status;
    kept.content_type = std::string(find_header(call.head.headers, "Content-Type"));
    kept.body = std::move(call.kept_body);
    kept.body_kept = call.kept_whole;
    complete_call(process.core.keys, *call.key_sequence, std::move(kept));
    process.calls_by_key.erase(*call.key_sequence);
  }
  process.calls.erase(call.id);
  carry_out(process, todo);
}

void on_run_head(router_process& process, std::uint64_t id, const answer_head& head) {
  caller_call* call = find_call(process, id);
  if (call == nullptr) {
    return;
  }
  call->head = head;
}

// True unless the target names another request in its answer.
bool is_own_answer(const router_process& process, const caller_call& call) {
  const std::string_view echoed = find_header(call.head.headers, header_request_id);
  return echoed.empty() || echoed == request_text(process.core, call.id);
}

// True if the answer is to be relayed: whole by its framing, and to this request.
bool is_relayable(const router_process& process, const caller_call& call) {
  const bool own = is_own_answer(process, call);
  const bool status = is_success(call.head.status) || is_callers_fault(call.head.status);
  return own && call.head.framed && status;
}

void keep_for_repeats(const router_process& process, caller_call& call, std::string_view data) {
  if (!call.key_sequence || !call.kept_whole) {
    return;
  }
  if (call.kept_body.size() + data.size() > process.settings.key_result_bytes) {
    call.kept_whole = false;
    call.kept_body.clear();
    return;
  }
  call.kept_body += data;
}

void on_run_data(router_process& process, std::uint64_t id, std::string_view data) {
  caller_call* call = find_call(process, id);
  if (call == nullptr || !is_relayable(process, *call)) {
    return;
  }
  const instant now = current_time();
  if (call->chunks > 0) {
    observe(process.counts.between_chunks, now - call->last_chunk);
  }
  ++call->chunks;
  call->last_chunk = now;
  keep_for_repeats(process, *call, data);
  begin_answer(process, *call);
  if (call->exchange == nullptr) {
    return;
  }
  reply_data(*call->exchange, data);
  if (unsent_bytes(*call->exchange) > process.settings.stream_buffer_bytes &&
      call->run != nullptr) {
    call->reading_paused = true;
    pause_call(*call->run);
  }
}

target_result failed_run(const router_process& process, const caller_call& call, call_end end) {
  target_result result;
  result.cost = end == call_end::refused ? 0 : measured_cost(call, current_time());
  result.boot_id = std::string(find_header(call.head.headers, "X-Boot-Id"));
  result.answer_begun = call.answer_begun && call.exchange != nullptr;
  if (end == call_end::refused) {
    result.result = wire::finish_refused;
    result.cost = 0;
  } else if (end == call_end::lost) {
    result.result = wire::finish_lost;
    result.why = refusal::target_lost;
  } else {
    const target_config* target = find_target(*process.core.config, call.where.target);
    const bool truthful = target != nullptr && target->truthful_refusals &&
                          call.head.status == 503 && is_own_answer(process, call);
    result.result = truthful ? wire::finish_refused : wire::finish_failed;
    result.why = refusal::target_failed;
  }
  return result;
}

void on_run_end(router_process& process, std::uint64_t id, call_end end) {
  caller_call* call = find_call(process, id);
  if (call == nullptr) {
    return;
  }
  if (end == call_end::complete && is_relayable(process, *call)) {
    finish_answer(process, *call);
    return;
  }
  log_line(log_part::target, log_level::warn,
           "Run ended early. request=" + request_text(process.core, id) +
               " target=" + call->where.target.value + " end=" +
               (end == call_end::refused ? "refused"
                : end == call_end::lost  ? "lost"
                                         : "failed") +
               " status=" + std::to_string(call->head.status));
  report_end(process, *call, failed_run(process, *call, end));
}

void on_run_timeout(router_process& process, std::uint64_t id) {
  caller_call* call = find_call(process, id);
  if (call == nullptr || call->run == nullptr) {
    return;
  }
  cancel_call(*call->run);
  target_result result;
  result.result = wire::finish_failed;
  result.why = refusal::target_failed;
  result.cost = measured_cost(*call, current_time());
  result.answer_begun = call->answer_begun && call->exchange != nullptr;
  report_end(process, *call, result);
}

void on_timer(evutil_socket_t, short, void* argument) {
  const run_timeout_argument what = *static_cast<run_timeout_argument*>(argument);
  on_run_timeout(*what.process, what.request);
}

void start_run_timer(router_process& process, caller_call& call, duration remaining) {
  call.run_timeout = {&process, call.id};
  call.run_timer.reset(evtimer_new(process.base.get(), on_timer, &call.run_timeout));
  const timeval time = to_timeval(std::chrono::ceil<std::chrono::milliseconds>(remaining));
  event_add(call.run_timer.get(), &time);
}

http_call make_call(const router_process& process, const caller_call& call,
                    const target_config& target, const profile_config& profile) {
  http_call result;
  result.address = target.address;
  result.method = http_method::post;
  result.path = profile.path;
  result.headers = call.headers;
  result.headers.push_back({header_request_id, request_text(process.core, call.id)});
  result.headers.push_back({"X-Organisation", call.organisation.value});
  result.headers.push_back({"X-Fencing", std::to_string(call.where.fencing)});
  if (!call.key_text.empty()) {
    result.headers.push_back({"X-Idempotency-Key", call.key_text});
  }
  result.body = call.body;
  result.idle_timeout = profile.run_timeout;
  return result;
}

}  // namespace

void start_run(router_process& process, const dispatch& what) {
  caller_call* call = find_call(process, what.request);
  PERIDOT_CHECK(call != nullptr, "a dispatched request has no call");
  PERIDOT_CHECK(call->run == nullptr, "a request is dispatched while it runs");
  const target_config* target = find_target(*process.core.config, what.where.target);
  const profile_config* profile = find_profile(*process.core.config, call->profile);
  const instant now = current_time();
  call->where = what.where;
  call->run_number = what.run;
  call->run_started = now;
  if (target == nullptr || profile == nullptr) {
    report_end(process, *call, {.result = wire::finish_refused});
    return;
  }
  observe(process.counts.queue_wait, now - call->arrived);
  const std::uint64_t id = call->id;
  call_handlers handlers;
  handlers.on_head = [&process, id](const answer_head& head) { on_run_head(process, id, head); };
  handlers.on_data = [&process, id](std::string_view data) { on_run_data(process, id, data); };
  handlers.on_end = [&process, id](call_end end) { on_run_end(process, id, end); };
  if (call->exchange != nullptr) {
    call->exchange->on_drained = [&process, id]() {
      caller_call* drained = find_call(process, id);
      if (drained != nullptr && drained->reading_paused && drained->run != nullptr) {
        drained->reading_paused = false;
        resume_call(*drained->run);
      }
    };
  }
  call->run = start_call(process.base.get(), make_call(process, *call, *target, *profile),
                         std::move(handlers));
  start_run_timer(process, *call, what.run_until - now);
}

}  // namespace peridot
