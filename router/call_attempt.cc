// The send of a call to a target, and its answer back to the caller.

#include <algorithm>

#include "core/base/check.h"
#include "net/log.h"
#include "platform/wire_headers.h"
#include "router/call_internal.h"

namespace peridot {
namespace {

constexpr milliseconds connect_timeout{250};  // within one region, a lost first packet aside
constexpr milliseconds target_margin{10};     // the answer's way back to the caller
constexpr milliseconds reuse_repeatable{
    4'000};                              // rest of a connection; a reset costs one more send
constexpr milliseconds reuse_once{600};  // for calls whose loss cannot be repaired
constexpr std::size_t whole_answer_bytes = 256 << 10;  // longer ones are passed on as they arrive
constexpr double silence_of_plain = 2.5;               // aims without an answer: tried elsewhere
constexpr double silence_of_stream = 3;                // aims without a first event: likewise
constexpr double silence_in_stream = 4;  // longest pauses without an event: resumed elsewhere
constexpr milliseconds least_silence{400};
constexpr milliseconds default_gap{500};
constexpr int first_failure_status = 500;

bool is_event_stream(const active_call& call, const message_head& head) {
  const std::string_view type = find_header(head.headers, "Content-Type");
  return call.matched_route->kind == call_kind::streaming && head.status == 200 &&
         type.substr(0, type.find(';')) == "text/event-stream";
}

duration silence_limit(const active_call& call) {
  if (call.current_attempt->first_token_received) {
    const milliseconds gap = call.matched_route->max_event_gap > milliseconds{0}
                                 ? call.matched_route->max_event_gap
                                 : default_gap;
    return scaled(gap, silence_in_stream);
  }
  const double factor =
      call.matched_route->kind == call_kind::streaming ? silence_of_stream : silence_of_plain;
  return std::max<duration>(
      scaled(call.matched_route->latency_objective, factor) + from_ms(call.predicted_ms),
      least_silence);
}

void arm_silence(active_call& call) {
  const timeval time = to_timeval(std::chrono::ceil<milliseconds>(silence_limit(call)));
  event_add(call.inactivity_timer.get(), &time);
}

// The target says nothing: another may do better.
void on_silence(evutil_socket_t, short, void* argument) {
  active_call& call = *static_cast<active_call*>(argument);
  if (call.current_attempt == nullptr || call.reading_paused || !try_acquire_retry(call)) {
    return;  // the call waits on, up to its own end
  }
  log_line(log_part::target, log_level::warn,
           "Target silent; sent elsewhere. call=" + call.request.id +
               " target=" + call.current_attempt->target.value +
               " silent_ms=" + ms_text(current_time() - call.last_progress_at));
  call.may_have_run = true;
  end_attempt(call, call_result::incomplete_response);
  place_call(call);
}

void begin_answer(active_call& call, std::optional<std::uint64_t> length) {
  target_attempt& now = *call.current_attempt;
  start_response(*call.exchange, now.response_head.status,
                 platform::response_headers_for_caller(now.response_head), length);
  call.response_started = true;
  if (call.response_started_at == instant{}) {
    call.response_started_at = current_time();
    observe(call.router->call_metrics.time_to_first_byte,
            call.response_started_at - call.arrived_at);
  }
}

void hold_back_if_slow(active_call& call) {
  if (!call.reading_paused &&
      unsent_bytes(*call.exchange) > call.router->settings.stream_buffer_bytes) {
    call.reading_paused = true;
    pause_call(*call.current_attempt->target_call);
  }
}

void pass_event(active_call& call, std::string_view event, std::optional<std::uint64_t> id) {
  if (call.exchange->connection == nullptr) {
    return;
  }
  if (id.has_value() && call.last_event_id.has_value() && *id <= *call.last_event_id) {
    return;  // the caller has it
  }
  const instant now = current_time();
  if (!call.current_attempt->first_token_received) {
    call.current_attempt->first_token_received = true;
    record_first_token(call.router->loads, call.current_attempt->target, call.current_attempt->cost,
                       now);
  }
  if (!call.response_started) {
    begin_answer(call, std::nullopt);
  } else if (call.events_forwarded > 0) {
    observe(call.router->call_metrics.between_chunks, now - call.last_progress_at);
    const pool* home = find_pool(*call.config, call.current_attempt->pool);
    record_event_gap(call.router->loads, call.current_attempt->target, now - call.last_progress_at,
                     home == nullptr ? 1 : home->tokens_per_event);
  }
  send_response_data(*call.exchange, event);
  ++call.events_forwarded;
  call.last_progress_at = now;
  if (id.has_value()) {
    call.last_event_id = id;
  }
  if (call.inactivity_timer != nullptr) {
    arm_silence(call);
  }
  hold_back_if_slow(call);
}

// A target's refusal before it ran the call: tries another, or passes the truth on.
void on_not_run(active_call& call, bool other_target) {
  log_line(log_part::target, log_level::warn,
           "Target did not run the call. call=" + call.request.id +
               " target=" + call.current_attempt->target.value +
               " status=" + std::to_string(call.current_attempt->response_head.status));
  end_attempt(call, other_target ? call_result::unreachable : call_result::target_full);
  if (try_acquire_retry(call)) {
    place_call(call);
  } else if (call.response_started) {
    end_with_aborted_response(call, refusal::retry_budget);
  } else if (call.may_have_run) {
    end_with_failure(call, refusal::retry_budget);
  } else {
    end_with_refusal(call, refusal::retry_budget,
                     std::min<duration>(milliseconds{300}, (call.deadline - current_time()) / 4));
  }
}

void on_head(router_state& router, std::uint64_t number, const message_head& head) {
  active_call& call = *find_call(router, number);
  target_attempt& current = *call.current_attempt;
  current.response_head = head;
  const platform::decoded_response answer = platform::decode_response(head);
  if (answer.not_run) {
    on_not_run(call, answer.misdirected);
    return;
  }
  call.may_have_run = true;
  current.is_stream = is_event_stream(call, head);
  if (call.response_started && !current.is_stream) {
    end_attempt(call, call_result::error_response);
    end_with_aborted_response(call, refusal::target_malformed);
    return;
  }
  if (head.status >= first_failure_status && is_retryable(*call.matched_route) &&
      try_acquire_retry(call)) {
    log_line(log_part::target, log_level::warn,
             "Target failed; sent elsewhere. call=" + call.request.id +
                 " target=" + current.target.value + " status=" + std::to_string(head.status));
    end_attempt(call, call_result::error_response);
    place_call(call);
  }
}

void on_data(router_state& router, std::uint64_t number, std::string_view data) {
  active_call& call = *find_call(router, number);
  target_attempt& current = *call.current_attempt;
  if (current.is_stream) {
    const bool bounded = feed_events(
        current.splitter, data, [&call](std::string_view event, std::optional<std::uint64_t> id) {
          pass_event(call, event, id);
        });
    if (!bounded) {
      end_attempt(call, call_result::incomplete_response);
      if (call.response_started) {
        end_with_aborted_response(call, refusal::target_malformed);
      } else {
        end_with_failure(call, refusal::target_malformed);
      }
    }
    return;
  }
  if (!current.forwarding) {
    current.buffered_body.append(data);
    if (current.buffered_body.size() <= whole_answer_bytes) {
      return;
    }
    current.forwarding = true;
    const bool framed = current.response_head.framing == body_framing::length;
    begin_answer(call, framed ? std::optional<std::uint64_t>(current.response_head.content_length)
                              : std::nullopt);
    data = current.buffered_body;
  }
  send_response_data(*call.exchange, data);
  hold_back_if_slow(call);
}

// A stream ended as its target meant it to.
void finish_stream(active_call& call) {
  target_attempt& current = *call.current_attempt;
  if (!call.response_started) {
    begin_answer(call, std::nullopt);
  }
  if (pending_bytes(current.splitter) > 0) {
    send_response_data(*call.exchange, current.splitter.pending);
  }
  end_attempt(call, call_result::success);
  finish_response(*call.exchange);
  end_answered(call, 200);
}

void finish_whole(active_call& call) {
  target_attempt& current = *call.current_attempt;
  const int status = current.response_head.status;
  record_first_token(call.router->loads, current.target, current.cost, current_time());
  if (!call.request.call_prompt.has_value() && status < first_failure_status) {
    record_service_time(call.router->loads, current.target, current_time() - current.sent_at);
  }
  if (!current.forwarding) {
    begin_answer(call, current.buffered_body.size());
    send_response_data(*call.exchange, current.buffered_body);
  }
  end_attempt(call,
              status >= first_failure_status ? call_result::error_response : call_result::success);
  finish_response(*call.exchange);
  end_answered(call, status);
}

// The connection broke while the call may have been running.
void on_lost(active_call& call) {
  call.may_have_run = true;
  log_line(log_part::target, log_level::warn,
           "Answer lost. call=" + call.request.id +
               " target=" + call.current_attempt->target.value + " cause=\"" +
               call.current_attempt->target_call->problem +
               "\" events=" + std::to_string(call.events_forwarded));
  record_interrupted_call(call);
  const bool passing = call.current_attempt->forwarding;
  end_attempt(call, call_result::incomplete_response);
  if (!passing && is_retryable(*call.matched_route) && try_acquire_retry(call)) {
    place_call(call);
  } else if (call.response_started) {
    end_with_aborted_response(call, refusal::target_lost);
  } else {
    end_with_failure(call, refusal::target_lost);
  }
}

void on_refused(active_call& call) {
  router_state& router = *call.router;
  const target_name target = call.current_attempt->target;
  log_line(log_part::target, log_level::warn,
           "Target unreachable. call=" + call.request.id + " target=" + target.value + " cause=\"" +
               call.current_attempt->target_call->problem + "\"");
  --call.sends;
  end_attempt(call, call_result::unreachable);
  handle_unreachable_target(router, target);
  place_call(call);
}

void on_end(router_state& router, std::uint64_t number, client_call_result end) {
  active_call& call = *find_call(router, number);
  switch (end) {
    case client_call_result::not_sent:
      on_refused(call);
      return;
    case client_call_result::failed_after_send:
      on_lost(call);
      return;
    case client_call_result::complete:
      break;
  }
  if (call.current_attempt->is_stream) {
    finish_stream(call);
  } else {
    finish_whole(call);
  }
}

http_request make_call(const active_call& call, const target_state& target, instant now) {
  const message_head& head = call.exchange->head;
  const duration left = call.deadline - now - target_margin;
  platform::outgoing_call outgoing;
  outgoing.request_head = &head;
  outgoing.target = target.entry.name;
  outgoing.organisation = call.organisation;
  outgoing.time_left = std::max(milliseconds{1}, std::chrono::duration_cast<milliseconds>(left));
  outgoing.last_event_id = call.last_event_id;
  http_request result;
  result.address = target.entry.address;
  result.method = head.method;
  result.request_target = head.request_target;
  result.headers = platform::request_headers_for_target(outgoing);
  result.body = call.exchange->body;
  result.has_body =
      head.framing != body_framing::none || has_header(head.headers, "Content-Length");
  result.echo_header = std::string(platform::call_id_header());
  result.echo_value = call.request.id;
  result.connect_timeout = connect_timeout;
  result.max_reuse_idle_time = is_retryable(*call.matched_route) ? reuse_repeatable : reuse_once;
  return result;
}

// Null if the call reads no prompt.
const prompt* prompt_of(const active_call& call) {
  return call.request.call_prompt.has_value() ? &*call.request.call_prompt : nullptr;
}

// What a send adds to load, shares and budgets.
void account_send(active_call& call, const pool& home, const target_state& target, instant now) {
  router_state& router = *call.router;
  const prompt* what = prompt_of(call);
  call.current_attempt->cost =
      record_call_sent(router.loads, target.entry.name, what, home.kv_capacity_tokens, now);
  if (call.sends > 0) {
    return;
  }
  const int routers = static_cast<int>(live_peer_count(router.membership, now)) + 1;
  earn_retry_credit(
      pool_state_of(router, home.name).budget,
      retry_limits_for(router.settings.retry_ratio, router.settings.retry_slack, routers));
  observe(router.call_metrics.queue_wait, now - call.arrived_at);
  if (what != nullptr) {
    record_served_tokens(router.shares, call.organisation, weighted_tokens(*what), now);
  }
}

}  // namespace

void start_attempt(active_call& call, const target_state& target, const placement& choice) {
  router_state& router = *call.router;
  const instant now = current_time();
  const pool* home = find_pool(*call.config, target.entry.pool);
  PERIDOT_CHECK(home != nullptr, "a target was chosen from a pool that is not there");
  PERIDOT_CHECK(is_usable(router.store.targets, target), "a call is sent to a leaving target");
  call.current_attempt = std::make_unique<target_attempt>();
  target_attempt& current = *call.current_attempt;
  current.target = target.entry.name;
  current.pool = target.entry.pool;
  current.sent_at = now;
  account_send(call, *home, target, now);
  call.last_progress_at = now;
  call.attempted_targets.push_back(target.entry.name);
  ++call.sends;
  ++call.started_attempts;
  const prompt* what = prompt_of(call);
  log_line(
      log_part::http, log_level::info,
      "Call sent. call=" + call.request.id + " target=" + target.entry.name.value +
          " send=" + std::to_string(call.sends) + " tokens_in=" +
          std::to_string(what == nullptr ? 0 : static_cast<int>(what->prompt_tokens)) +
          " tokens_out=" +
          std::to_string(what == nullptr ? 0 : static_cast<int>(what->expected_output_tokens)) +
          " predicted_ms=" + std::to_string(static_cast<int>(choice.first_token_ms)) +
          " unread_ahead=" + std::to_string(static_cast<int>(choice.pending_prefill_tokens)) +
          " kept=" + std::to_string(static_cast<int>(choice.cached_tokens)) +
          " running=" + std::to_string(choice.running_calls) +
          " share_position=" + std::to_string(call.share_position) +
          " target_revision=" + std::to_string(target.entry.revision) +
          " config=" + std::to_string(call.config->version));
  const std::uint64_t number = call.exchange_id;
  call_handlers handlers;
  handlers.on_head = [&router, number](const message_head& head) { on_head(router, number, head); };
  handlers.on_data = [&router, number](std::string_view data) { on_data(router, number, data); };
  handlers.on_end = [&router, number](client_call_result end) { on_end(router, number, end); };
  if (is_retryable(*call.matched_route)) {
    call.inactivity_timer.reset(evtimer_new(router.base.get(), on_silence, &call));
    arm_silence(call);
  }
  current.target_call =
      start_call(router.target_client, make_call(call, target, now), std::move(handlers));
}

}  // namespace peridot
