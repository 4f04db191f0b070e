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

bool is_event_stream(const live_call& call, const message_head& head) {
  const std::string_view type = find_header(head.headers, "Content-Type");
  return call.way->kind == call_kind::streaming && head.status == 200 &&
         type.substr(0, type.find(';')) == "text/event-stream";
}

duration silence_limit(const live_call& call) {
  if (call.current->first_token_seen) {
    const milliseconds gap =
        call.way->max_event_gap > milliseconds{0} ? call.way->max_event_gap : default_gap;
    return scaled(gap, silence_in_stream);
  }
  const double factor =
      call.way->kind == call_kind::streaming ? silence_of_stream : silence_of_plain;
  return std::max<duration>(
      scaled(call.way->latency_objective, factor) + from_ms(call.predicted_ms), least_silence);
}

void arm_silence(live_call& call) {
  const timeval time = to_timeval(std::chrono::ceil<milliseconds>(silence_limit(call)));
  event_add(call.silence_timer.get(), &time);
}

// The target says nothing: another may do better.
void on_silence(evutil_socket_t, short, void* argument) {
  live_call& call = *static_cast<live_call*>(argument);
  if (call.current == nullptr || call.reading_paused || !may_send_again(call)) {
    return;  // the call waits on, up to its own end
  }
  log_line(log_part::target, log_level::warn,
           "Target silent; sent elsewhere. call=" + call.request.id +
               " target=" + call.current->target.value +
               " silent_ms=" + ms_text(current_time() - call.last_progress));
  call.may_have_run = true;
  end_attempt(call, call_result::incomplete_response);
  place_call(call);
}

void begin_answer(live_call& call, std::optional<std::uint64_t> length) {
  attempt& now = *call.current;
  reply_begin(*call.exchange, now.head.status, platform::caller_headers(now.head), length);
  call.answering = true;
  if (call.first_answer == instant{}) {
    call.first_answer = current_time();
    observe(call.router->counts.first_byte, call.first_answer - call.arrived);
  }
}

void hold_back_if_slow(live_call& call) {
  if (!call.reading_paused &&
      unsent_bytes(*call.exchange) > call.router->settings.stream_buffer_bytes) {
    call.reading_paused = true;
    pause_call(*call.current->call);
  }
}

void pass_event(live_call& call, std::string_view event, std::optional<std::uint64_t> id) {
  if (call.exchange->connection == nullptr) {
    return;
  }
  if (id.has_value() && call.last_event.has_value() && *id <= *call.last_event) {
    return;  // the caller has it
  }
  const instant now = current_time();
  if (!call.current->first_token_seen) {
    call.current->first_token_seen = true;
    record_first_token(call.router->loads, call.current->target, call.current->cost, now);
  }
  if (!call.answering) {
    begin_answer(call, std::nullopt);
  } else if (call.events_passed > 0) {
    observe(call.router->counts.between_chunks, now - call.last_progress);
    const pool* home = find_pool(*call.config, call.current->pool);
    record_event_gap(call.router->loads, call.current->target, now - call.last_progress,
                     home == nullptr ? 1 : home->tokens_per_event);
  }
  reply_data(*call.exchange, event);
  ++call.events_passed;
  call.last_progress = now;
  if (id.has_value()) {
    call.last_event = id;
  }
  if (call.silence_timer != nullptr) {
    arm_silence(call);
  }
  hold_back_if_slow(call);
}

// A target's refusal before it ran the call: tries another, or passes the truth on.
void on_not_run(live_call& call, bool other_target) {
  log_line(log_part::target, log_level::warn,
           "Target did not run the call. call=" + call.request.id + " target=" +
               call.current->target.value + " status=" + std::to_string(call.current->head.status));
  end_attempt(call, other_target ? call_result::unreachable : call_result::target_full);
  if (may_send_again(call)) {
    place_call(call);
  } else if (call.answering) {
    end_broken_off(call, refusal::retry_budget);
  } else if (call.may_have_run) {
    end_with_failure(call, refusal::retry_budget);
  } else {
    end_with_refusal(call, refusal::retry_budget,
                     std::min<duration>(milliseconds{300}, (call.give_up_at - current_time()) / 4));
  }
}

void on_head(router_state& router, std::uint64_t number, const message_head& head) {
  live_call& call = *find_call(router, number);
  attempt& current = *call.current;
  current.head = head;
  const platform::decoded_answer answer = platform::decode_answer(head);
  if (answer.not_run) {
    on_not_run(call, answer.other_target);
    return;
  }
  call.may_have_run = true;
  current.is_stream = is_event_stream(call, head);
  if (call.answering && !current.is_stream) {
    end_attempt(call, call_result::error_response);
    end_broken_off(call, refusal::target_malformed);
    return;
  }
  if (head.status >= first_failure_status && is_retryable(*call.way) && may_send_again(call)) {
    log_line(log_part::target, log_level::warn,
             "Target failed; sent elsewhere. call=" + call.request.id +
                 " target=" + current.target.value + " status=" + std::to_string(head.status));
    end_attempt(call, call_result::error_response);
    place_call(call);
  }
}

void on_data(router_state& router, std::uint64_t number, std::string_view data) {
  live_call& call = *find_call(router, number);
  attempt& current = *call.current;
  if (current.is_stream) {
    const bool bounded = feed_events(
        current.events, data, [&call](std::string_view event, std::optional<std::uint64_t> id) {
          pass_event(call, event, id);
        });
    if (!bounded) {
      end_attempt(call, call_result::incomplete_response);
      if (call.answering) {
        end_broken_off(call, refusal::target_malformed);
      } else {
        end_with_failure(call, refusal::target_malformed);
      }
    }
    return;
  }
  if (!current.passing) {
    current.body.append(data);
    if (current.body.size() <= whole_answer_bytes) {
      return;
    }
    current.passing = true;
    const bool framed = current.head.framing == body_framing::length;
    begin_answer(call, framed ? std::optional<std::uint64_t>(current.head.length) : std::nullopt);
    data = current.body;
  }
  reply_data(*call.exchange, data);
  hold_back_if_slow(call);
}

// A stream ended as its target meant it to.
void finish_stream(live_call& call) {
  attempt& current = *call.current;
  if (!call.answering) {
    begin_answer(call, std::nullopt);
  }
  if (pending_bytes(current.events) > 0) {
    reply_data(*call.exchange, current.events.pending);
  }
  end_attempt(call, call_result::success);
  reply_end(*call.exchange);
  end_answered(call, 200);
}

void finish_whole(live_call& call) {
  attempt& current = *call.current;
  const int status = current.head.status;
  record_first_token(call.router->loads, current.target, current.cost, current_time());
  if (!call.request.call_prompt.has_value() && status < first_failure_status) {
    record_service_time(call.router->loads, current.target, current_time() - current.sent_at);
  }
  if (!current.passing) {
    begin_answer(call, current.body.size());
    reply_data(*call.exchange, current.body);
  }
  end_attempt(call,
              status >= first_failure_status ? call_result::error_response : call_result::success);
  reply_end(*call.exchange);
  end_answered(call, status);
}

// The connection broke while the call may have been running.
void on_lost(live_call& call) {
  call.may_have_run = true;
  log_line(log_part::target, log_level::warn,
           "Answer lost. call=" + call.request.id + " target=" + call.current->target.value +
               " cause=\"" + call.current->call->problem +
               "\" events=" + std::to_string(call.events_passed));
  note_broken_run(call);
  const bool passing = call.current->passing;
  end_attempt(call, call_result::incomplete_response);
  if (!passing && is_retryable(*call.way) && may_send_again(call)) {
    place_call(call);
  } else if (call.answering) {
    end_broken_off(call, refusal::target_lost);
  } else {
    end_with_failure(call, refusal::target_lost);
  }
}

void on_refused(live_call& call) {
  router_state& router = *call.router;
  const target_name target = call.current->target;
  log_line(log_part::target, log_level::warn,
           "Target unreachable. call=" + call.request.id + " target=" + target.value + " cause=\"" +
               call.current->call->problem + "\"");
  --call.sends;
  end_attempt(call, call_result::unreachable);
  note_unreachable(router, target);
  place_call(call);
}

void on_end(router_state& router, std::uint64_t number, call_end end) {
  live_call& call = *find_call(router, number);
  switch (end) {
    case call_end::refused:
      on_refused(call);
      return;
    case call_end::lost:
      on_lost(call);
      return;
    case call_end::complete:
      break;
  }
  if (call.current->is_stream) {
    finish_stream(call);
  } else {
    finish_whole(call);
  }
}

http_call make_call(const live_call& call, const target_state& target, instant now) {
  const message_head& head = call.exchange->head;
  const duration left = call.give_up_at - now - target_margin;
  platform::outgoing_call outgoing;
  outgoing.from_caller = &head;
  outgoing.target = target.entry.name;
  outgoing.caller = call.caller;
  outgoing.time_left = std::max(milliseconds{1}, std::chrono::duration_cast<milliseconds>(left));
  outgoing.last_event = call.last_event;
  http_call result;
  result.address = target.entry.address;
  result.method = head.method;
  result.target = head.target;
  result.headers = platform::target_headers(outgoing);
  result.body = call.exchange->body;
  result.has_body =
      head.framing != body_framing::none || has_header(head.headers, "Content-Length");
  result.echo_header = std::string(platform::call_id_header());
  result.echo_value = call.request.id;
  result.connect_timeout = connect_timeout;
  result.max_reuse_idle = is_retryable(*call.way) ? reuse_repeatable : reuse_once;
  return result;
}

// Null if the call reads no prompt.
const prompt* prompt_of(const live_call& call) {
  return call.request.call_prompt.has_value() ? &*call.request.call_prompt : nullptr;
}

// What a send adds to load, shares and budgets.
void account_send(live_call& call, const pool& home, const target_state& target, instant now) {
  router_state& router = *call.router;
  const prompt* what = prompt_of(call);
  call.current->cost =
      record_call_sent(router.loads, target.entry.name, what, home.kv_capacity_tokens, now);
  if (call.sends > 0) {
    return;
  }
  const int routers = static_cast<int>(live_peer_count(router.members, now)) + 1;
  earn_retry_credit(
      pool_of(router, home.name).budget,
      retry_limits_for(router.settings.retry_ratio, router.settings.retry_slack, routers));
  observe(router.counts.queue_wait, now - call.arrived);
  if (what != nullptr) {
    record_served_tokens(router.shares, call.caller, weighted_tokens(*what), now);
  }
}

}  // namespace

void start_attempt(live_call& call, const target_state& target, const placement& where) {
  router_state& router = *call.router;
  const instant now = current_time();
  const pool* home = find_pool(*call.config, target.entry.pool);
  PERIDOT_CHECK(home != nullptr, "a target was chosen from a pool that is not there");
  PERIDOT_CHECK(is_usable(router.store.targets, target), "a call is sent to a leaving target");
  call.current = std::make_unique<attempt>();
  attempt& current = *call.current;
  current.target = target.entry.name;
  current.pool = target.entry.pool;
  current.sent_at = now;
  account_send(call, *home, target, now);
  call.last_progress = now;
  call.tried.push_back(target.entry.name);
  ++call.sends;
  ++call.tries;
  const prompt* what = prompt_of(call);
  log_line(
      log_part::http, log_level::info,
      "Call sent. call=" + call.request.id + " target=" + target.entry.name.value +
          " send=" + std::to_string(call.sends) + " tokens_in=" +
          std::to_string(what == nullptr ? 0 : static_cast<int>(what->prompt_tokens)) +
          " tokens_out=" +
          std::to_string(what == nullptr ? 0 : static_cast<int>(what->expected_output_tokens)) +
          " predicted_ms=" + std::to_string(static_cast<int>(where.first_token_ms)) +
          " unread_ahead=" + std::to_string(static_cast<int>(where.pending_prefill_tokens)) +
          " kept=" + std::to_string(static_cast<int>(where.cached_tokens)) + " running=" +
          std::to_string(where.running_calls) + " share_position=" + std::to_string(call.position) +
          " target_revision=" + std::to_string(target.entry.revision) +
          " config=" + std::to_string(call.config->version));
  const std::uint64_t number = call.number;
  call_handlers handlers;
  handlers.on_head = [&router, number](const message_head& head) { on_head(router, number, head); };
  handlers.on_data = [&router, number](std::string_view data) { on_data(router, number, data); };
  handlers.on_end = [&router, number](call_end end) { on_end(router, number, end); };
  if (is_retryable(*call.way)) {
    call.silence_timer.reset(evtimer_new(router.base.get(), on_silence, &call));
    arm_silence(call);
  }
  current.call = start_call(router.targets, make_call(call, target, now), std::move(handlers));
}

}  // namespace peridot
