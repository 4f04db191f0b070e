// Sends a call to a target and forwards the response to the caller.

#include <algorithm>

#include "core/base/check.h"
#include "net/log.h"
#include "platform/wire_headers.h"
#include "router/call_internal.h"

namespace peridot {
namespace {

// Connecting within one region takes less, unless the first packet is lost.
constexpr milliseconds connect_timeout{250};
// Kept back from the target's deadline, for the response to travel from the router to the caller.
constexpr milliseconds response_margin{10};
// Longest idle time after which a connection is reused. If the target has closed it
// meanwhile, a retryable call loses one retry and a non-retryable call fails.
constexpr milliseconds max_idle_if_retryable{4'000};
constexpr milliseconds max_idle_if_not_retryable{600};
// Longer responses are forwarded as they arrive.
constexpr std::size_t max_buffered_response_bytes = 256 << 10;
// While the process is short of memory. Events of engines are shorter by far.
constexpr std::size_t short_stream_buffer_bytes = 8 << 10;
constexpr std::size_t max_short_event_bytes = 16 << 10;
// Factors of the inactivity timeouts after which a call is retried. Until the response of a
// non-streaming route is complete, or until the first event of a stream: factor * latency
// objective + predicted time to the first token, at least min_inactivity_timeout. Between two
// events of a stream: factor * longest event gap of the route.
constexpr double non_streaming_inactivity_factor = 2.5;
constexpr double stream_start_inactivity_factor = 3;
constexpr double stream_event_inactivity_factor = 4;
constexpr milliseconds min_inactivity_timeout{400};
constexpr milliseconds default_max_event_gap{500};
constexpr int min_server_error_status = 500;
// Of one response, comments included. Engines generate fewer tokens; a target that sends more sends
// without end.
constexpr int max_events_per_response = 16'384;

bool is_event_stream(const active_call& call, const message_head& head) {
  const std::string_view content_type = find_header(head.headers, "Content-Type");
  const std::string_view media_type = trim(content_type.substr(0, content_type.find(';')));
  return call.matched_route->kind == call_kind::streaming && head.status == 200 &&
         equal_ignoring_case(media_type, "text/event-stream");
}

// True if another target may go on with the call where the response of the current attempt stops.
bool can_continue_elsewhere(const active_call& call) {
  return is_retryable(*call.matched_route) && !call.current_attempt->forwarding_unbuffered &&
         !call.newest_event_has_no_id;
}

duration inactivity_timeout(const active_call& call) {
  if (call.current_attempt->first_event_forwarded) {
    const milliseconds max_event_gap = call.matched_route->max_event_gap > milliseconds{0}
                                           ? call.matched_route->max_event_gap
                                           : default_max_event_gap;
    return scaled(max_event_gap, stream_event_inactivity_factor);
  }
  const double factor = call.matched_route->kind == call_kind::streaming
                            ? stream_start_inactivity_factor
                            : non_streaming_inactivity_factor;
  return std::max<duration>(
      scaled(call.matched_route->latency_objective, factor) + from_ms(call.predicted_ms),
      min_inactivity_timeout);
}

void restart_inactivity_timer(active_call& call) {
  const timeval timeout = to_timeval(std::chrono::ceil<milliseconds>(inactivity_timeout(call)));
  event_add(call.inactivity_timer.get(), &timeout);
}

// The attempt made no progress in time (no further event, or a response that is still
// incomplete): retries the call at another target if a retry is allowed.
void on_inactivity_timeout(evutil_socket_t, short, void* argument) {
  active_call& call = *static_cast<active_call*>(argument);
  if (call.current_attempt == nullptr || call.reading_paused || !can_continue_elsewhere(call) ||
      !try_acquire_retry(call)) {
    return;  // the call keeps waiting, up to its deadline
  }
  log_line(log_part::target, log_level::warn,
           "No progress from target in time; retrying at another target. call=" + call.request.id +
               " target=" + call.current_attempt->target.value +
               " silent_ms=" + ms_text(current_time() - call.last_progress_at));
  call.may_have_run = true;
  end_attempt(call, call_result::incomplete_response);
  place_call(call);
}

void start_caller_response(active_call& call, std::optional<std::uint64_t> length) {
  target_attempt& current = *call.current_attempt;
  start_response(*call.exchange, current.response_head.status,
                 platform::response_headers_for_caller(current.response_head), length);
  call.response_started = true;
  if (call.response_started_at == instant{}) {
    call.response_started_at = current_time();
    record_duration(call.router->call_metrics.time_to_first_byte,
                    call.response_started_at - call.arrived_at);
  }
}

// True if all calls together hold more of their responses than the process has memory for.
bool is_short_of_memory(const router_state& router) {
  return router.held_response_bytes + router.caller_listener->unsent_bytes >
         router.settings.max_response_total;
}

// Counts what the current attempt holds of its response.
void count_held_bytes(active_call& call) {
  target_attempt& current = *call.current_attempt;
  const std::size_t held = current.buffered_body.capacity() + current.splitter.pending.capacity();
  call.router->held_response_bytes += held;
  call.router->held_response_bytes -= std::exchange(current.held_bytes, held);
}

void pause_reading_if_caller_slow(active_call& call) {
  const std::size_t limit =
      is_short_of_memory(*call.router)
          ? std::min(short_stream_buffer_bytes, call.router->settings.stream_buffer_bytes)
          : call.router->settings.stream_buffer_bytes;
  if (!call.reading_paused && unsent_bytes(*call.exchange) > limit) {
    call.reading_paused = true;
    pause_call(*call.current_attempt->target_call);
  }
}

void record_first_token_of(active_call& call, instant now) {
  target_attempt& current = *call.current_attempt;
  const double fetched_tokens = current.added_load.fetched_tokens;
  const std::optional<bool> found =
      record_first_token(call.router->loads, current.target, current.added_load, now);
  if (!found.has_value()) {
    return;
  }
  metrics& counts = call.router->call_metrics;
  ++counts.fetches_told;
  if (!*found) {
    ++counts.fetches_not_found;
    log_call_line(log_part::http, log_level::info, [&]() {
      return "Fetched prefix not found at its source, by the time to the first token. call=" +
             call.request.id + " target=" + current.target.value +
             " fetch_tokens=" + std::to_string(static_cast<int>(fetched_tokens)) +
             " first_token_ms=" + ms_text(now - current.sent_at) +
             " found_fraction=" + decimal_text(call.router->loads.fetch_found_fraction);
    });
  }
}

void forward_event(active_call& call, std::string_view event, std::optional<std::uint64_t> id) {
  if (call.exchange->connection == nullptr) {
    return;
  }
  if (id.has_value() && call.last_event_id.has_value() && *id <= *call.last_event_id) {
    return;  // the caller already has this event
  }
  const instant now = current_time();
  if (!call.current_attempt->first_event_forwarded) {
    call.current_attempt->first_event_forwarded = true;
    call.current_attempt->first_event_at = now;
    record_first_token_of(call, now);
  }
  if (!call.build.has_value()) {
    call.build = call.current_attempt->build;
    record_stream_build(call);
  }
  if (!call.response_started) {
    start_caller_response(call, std::nullopt);
  } else if (call.events_forwarded > 0) {
    record_duration(call.router->call_metrics.between_chunks, now - call.last_progress_at);
    const pool* target_pool = find_pool(*call.config, call.current_attempt->pool);
    record_event_gap(call.router->loads, call.current_attempt->target, now - call.last_progress_at,
                     target_pool == nullptr ? 1 : target_pool->tokens_per_event, now);
  }
  send_response_data(*call.exchange, event);
  ++call.events_forwarded;
  call.last_progress_at = now;
  if (id.has_value()) {
    call.last_event_id = id;
  }
  if (has_field(event)) {  // not only a comment
    call.newest_event_has_no_id = !id.has_value();
  }
  if (call.inactivity_timer != nullptr) {
    restart_inactivity_timer(call);
  }
  pause_reading_if_caller_slow(call);
}

// The target states that it did not run the call: retries at another one, or ends the call.
void on_not_run(active_call& call, bool misdirected) {
  log_line(log_part::target, log_level::warn,
           "Target did not run the call. call=" + call.request.id +
               " target=" + call.current_attempt->target.value +
               " status=" + std::to_string(call.current_attempt->response_head.status));
  end_attempt(call, misdirected ? call_result::unreachable : call_result::target_full);
  if (try_acquire_retry(call)) {
    place_call(call);
  } else if (call.response_started) {
    end_with_aborted_response(call, refusal::retry_budget);
  } else if (call.may_have_run) {
    end_with_failure(call, refusal::retry_budget);
  } else {
    // Retry-After: 300 ms, but at most a quarter of the time left.
    end_with_refusal(call, refusal::retry_budget,
                     std::min<duration>(milliseconds{300}, (call.deadline - current_time()) / 4));
  }
}

void learn_statements(router_state& router, const target_attempt& attempt,
                      const response_statements& statements) {
  const instant now = current_time();
  auto target = router.store.targets.targets.find(attempt.target);
  if (target == router.store.targets.targets.end()) {
    return;
  }
  if (statements.limit_unreadable) {
    log_line(log_part::target, log_level::warn,
             "Target names a limit that cannot be read. target=" + attempt.target.value);
  }
  const target_entry& entry = target->second.entry;
  if (statements.load.has_value()) {
    record_slowdown(router.loads.targets[attempt.target].speed, statements.load->slowdown, now);
    log_call_line(log_part::target, log_level::info, [&]() {
      return "Load of a target. target=" + entry.name.value +
             " running=" + std::to_string(statements.load->running) +
             " waiting=" + std::to_string(statements.load->waiting) +
             " slots=" + std::to_string(statements.load->slots) +
             " slowdown=" + decimal_text(statements.load->slowdown);
    });
  }
  const statement_changes changes =
      record_statements(router.statements, entry, statements, attempt.sent_at, now);
  if (changes.limit) {
    log_limit_change(router, entry, "response");
  }
  if (changes.refusing) {
    log_line(log_part::target, log_level::warn,
             "Target takes no calls from this router for a while. target=" + entry.name.value +
                 " for_ms=" + ms_text(*statements.refuses_for));
  }
  if (changes.leaving) {
    apply_leaving(router, target->second, "response");
  }
}

void on_response_head(router_state& router, std::uint64_t exchange_id, const message_head& head) {
  active_call& call = *find_call(router, exchange_id);
  target_attempt& current = *call.current_attempt;
  current.response_head = head;
  const platform::decoded_response response = platform::decode_response(head);
  learn_statements(router, current, response.statements);
  if (response.not_run) {
    on_not_run(call, response.misdirected);
    return;
  }
  call.may_have_run = true;
  current.is_stream = is_event_stream(call, head);
  if (call.response_started && !current.is_stream) {
    end_attempt(call, call_result::error_response);
    end_with_aborted_response(call, refusal::target_malformed);
    return;
  }
  if (head.status >= min_server_error_status && is_retryable(*call.matched_route) &&
      try_acquire_retry(call)) {
    log_line(log_part::target, log_level::warn,
             "Target failed; retrying at another target. call=" + call.request.id +
                 " target=" + current.target.value + " status=" + std::to_string(head.status));
    end_attempt(call, call_result::error_response);
    place_call(call);
  }
}

void on_response_data(router_state& router, std::uint64_t exchange_id, std::string_view data) {
  active_call& call = *find_call(router, exchange_id);
  target_attempt& current = *call.current_attempt;
  if (current.is_stream) {
    const bool within_limit = feed_events(
        current.splitter, data, [&call](std::string_view event, std::optional<std::uint64_t> id) {
          if (++call.current_attempt->events_received <= max_events_per_response) {
            forward_event(call, event, id);
          }
        });
    count_held_bytes(call);
    const bool is_too_long =
        current.splitter.pending.size() > max_short_event_bytes && is_short_of_memory(router);
    if (!within_limit || is_too_long || current.events_received > max_events_per_response) {
      end_attempt(call, call_result::incomplete_response);
      if (call.response_started) {
        end_with_aborted_response(call, refusal::target_malformed);
      } else {
        end_with_failure(call, refusal::target_malformed);
      }
    }
    return;
  }
  if (!current.forwarding_unbuffered) {
    current.buffered_body.append(data);
    count_held_bytes(call);
    if (current.buffered_body.size() <= max_buffered_response_bytes &&
        !is_short_of_memory(router)) {
      return;
    }
    current.forwarding_unbuffered = true;
    const bool length_known = current.response_head.framing == body_framing::length;
    start_caller_response(
        call, length_known ? std::optional<std::uint64_t>(current.response_head.content_length)
                           : std::nullopt);
    send_response_data(*call.exchange, std::exchange(current.buffered_body, {}));
    count_held_bytes(call);
  } else {
    send_response_data(*call.exchange, data);
  }
  pause_reading_if_caller_slow(call);
}

// Completes the caller's stream after the target has completed its own.
void finish_stream(active_call& call) {
  if (!call.response_started) {
    start_caller_response(call, std::nullopt);
  }
  send_response_data(*call.exchange, call.current_attempt->splitter.pending);
  record_completed_call(call);
  end_attempt(call, call_result::success);
  finish_response(*call.exchange);
  end_answered(call, 200);
}

void finish_non_streaming_response(active_call& call) {
  target_attempt& current = *call.current_attempt;
  const int status = current.response_head.status;
  record_first_token_of(call, current_time());
  if (!call.request.call_prompt.has_value() && status < min_server_error_status) {
    const instant now = current_time();
    record_service_time(call.router->loads, current.target, now - current.sent_at, now);
  }
  if (status < min_server_error_status) {
    record_completed_call(call);
  }
  if (!current.forwarding_unbuffered) {
    start_caller_response(call, current.buffered_body.size());
    send_response_data(*call.exchange, current.buffered_body);
  }
  end_attempt(
      call, status >= min_server_error_status ? call_result::error_response : call_result::success);
  finish_response(*call.exchange);
  end_answered(call, status);
}

// The attempt failed after the call may have been sent: the connection broke or timed out, or
// the response was invalid or incomplete. `target_lost`: the target ended it, maybe by a crash.
void on_failed_after_send(active_call& call, const std::string& cause, bool target_lost) {
  call.may_have_run = true;
  log_line(log_part::target, log_level::warn,
           "Call failed after it may have been sent to the target. call=" + call.request.id +
               " target=" + call.current_attempt->target.value + " cause=\"" + cause +
               "\" framing=" + to_text(call.current_attempt->response_head.framing) + " events=" +
               std::to_string(call.events_forwarded) + " parts=" + parts_text(call.request));
  if (target_lost) {
    record_interrupted_call(call);
  }
  const bool may_retry = can_continue_elsewhere(call);
  end_attempt(call, call_result::incomplete_response);
  if (may_retry && try_acquire_retry(call)) {
    place_call(call);
  } else if (call.response_started) {
    end_with_aborted_response(call, refusal::target_lost);
  } else {
    end_with_failure(call, refusal::target_lost);
  }
}

// The stream is complete by its framing.
void on_stream_end(active_call& call) {
  target_attempt& current = *call.current_attempt;
  finish_events(current.splitter, [&call](std::string_view event, std::optional<std::uint64_t> id) {
    forward_event(call, event, id);
  });
  if (is_cut_stream(current)) {
    on_failed_after_send(call, "stream ended within an event or before its first", true);
  } else {
    finish_stream(call);
  }
}

void on_target_unreachable(active_call& call) {
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

void on_call_end(router_state& router, std::uint64_t exchange_id, client_call_result end) {
  active_call& call = *find_call(router, exchange_id);
  switch (end) {
    case client_call_result::not_sent:
      on_target_unreachable(call);
      return;
    case client_call_result::failed_after_send:
      on_failed_after_send(call, call.current_attempt->target_call->problem,
                           call.current_attempt->target_call->connection_lost);
      return;
    case client_call_result::complete:
      break;
  }
  if (call.current_attempt->is_stream) {
    on_stream_end(call);
  } else {
    finish_non_streaming_response(call);
  }
}

http_request make_http_request(const active_call& call, const target_state& target,
                               const prefix_fetch& fetch, instant now) {
  const message_head& head = call.exchange->head;
  const duration time_left = call.deadline - now - response_margin;
  platform::outgoing_call outgoing;
  outgoing.request_head = &head;
  outgoing.target = target.entry.name;
  outgoing.organisation = call.organisation;
  outgoing.time_left =
      std::max(milliseconds{1}, std::chrono::duration_cast<milliseconds>(time_left));
  outgoing.last_event_id = call.last_event_id;
  const std::map<target_name, target_state>& targets = call.router->store.targets.targets;
  auto source = targets.find(fetch.source);
  if (source != targets.end()) {
    outgoing.fetch_from = source->second.entry.address;
  }
  http_request result;
  result.address = target.entry.address;
  result.method = head.method;
  result.request_target = head.request_target;
  result.headers = platform::request_headers_for_target(outgoing);
  result.shared_body = std::shared_ptr<const std::string>(call.exchange, &call.exchange->body);
  result.has_body =
      head.framing != body_framing::none || has_header(head.headers, "Content-Length");
  result.echo_header = std::string(platform::call_id_header());
  result.echo_value = call.request.id;
  result.may_lack_echo = platform::states_not_run;
  result.connect_timeout = connect_timeout;
  result.max_reuse_idle_time =
      is_retryable(*call.matched_route) ? max_idle_if_retryable : max_idle_if_not_retryable;
  return result;
}

// Null if the call carries no prompt.
const prompt* prompt_of(const active_call& call) {
  return call.request.call_prompt.has_value() ? &*call.request.call_prompt : nullptr;
}

// Adds the send to the target's load. The first send of a call also earns retry credit and
// counts for the organisation's share.
void record_send(active_call& call, const pool& target_pool, const target_state& target,
                 const prefix_fetch& fetch, instant now) {
  router_state& router = *call.router;
  const prompt* call_prompt = prompt_of(call);
  call.current_attempt->added_load = record_call_sent(router.loads, target.entry.name, call_prompt,
                                                      target_pool.kv_capacity_tokens, now, fetch);
  if (!fetch.source.value.empty()) {
    ++router.call_metrics.fetches;
    router.call_metrics.fetched_tokens += call.current_attempt->added_load.fetched_tokens;
  }
  if (call.sends > 0) {
    return;
  }
  const int router_count = static_cast<int>(router.membership.counts.live) + 1;
  earn_retry_credit(
      pool_state_of(router, target_pool.name).budget,
      retry_limits_for(router.settings.retry_ratio, router.settings.retry_slack, router_count));
  record_duration(router.call_metrics.queue_wait, now - call.arrived_at);
  if (call_prompt != nullptr) {
    const double tokens = weighted_tokens(*call_prompt);
    record_served_tokens(router.shares, call.organisation, tokens, now);
    router.call_metrics.organisations[call.organisation.value].served_tokens += tokens;
  }
}

}  // namespace

bool is_cut_stream(const target_attempt& attempt) {
  const bool has_no_event =
      attempt.response_head.framing == body_framing::until_close && !attempt.first_event_forwarded;
  return attempt.is_stream && (has_no_event || ends_within_event(attempt.splitter));
}

void apply_leaving(router_state& router, target_state& target, const std::string& source) {
  if (!target.leaving) {
    log_line(log_part::target, log_level::info,
             "Target says that it leaves. target=" + target.entry.name.value + " source=" + source);
  }
  mark_leaving(router.store.targets, target);
}

void log_limit_change(const router_state& router, const target_entry& target,
                      const std::string& source) {
  const std::optional<double> limit = rate_limit(router.statements, target);
  log_line(log_part::target, log_level::info,
           "Limit of a target changed. target=" + target.name.value +
               " limit=" + (limit.has_value() ? decimal_text(*limit) : "-") + " source=" + source +
               " limited_targets=" + std::to_string(router.statements.limited_count));
}

void start_attempt(active_call& call, const target_state& target, const placement& choice) {
  router_state& router = *call.router;
  const instant now = current_time();
  const pool* target_pool = find_pool(*call.config, target.entry.pool);
  PERIDOT_CHECK(target_pool != nullptr,
                "the pool of the chosen target is not in the configuration");
  PERIDOT_CHECK(is_usable(router.store.targets, target),
                "a call is sent to a target that is not usable");
  call.current_attempt = std::make_unique<target_attempt>();
  target_attempt& current = *call.current_attempt;
  current.target = target.entry.name;
  current.pool = target.entry.pool;
  current.sent_at = now;
  current.build = build_of(target.entry);
  record_send(call, *target_pool, target, choice.fetch, now);
  call.last_progress_at = now;
  call.attempted_targets.push_back(target.entry.name);
  ++call.sends;
  ++call.started_attempts;
  if (target.entry.domain != router.settings.domain) {
    ++router.call_metrics.sends_to_other_domains;
  }
  const prompt* call_prompt = prompt_of(call);
  log_call_line(log_part::http, log_level::info, [&]() {
    return "Call sent. call=" + call.request.id + " target=" + target.entry.name.value +
           " send=" + std::to_string(call.sends) + " tokens_in=" +
           std::to_string(call_prompt == nullptr ? 0
                                                 : static_cast<int>(call_prompt->prompt_tokens)) +
           " tokens_out=" +
           std::to_string(
               call_prompt == nullptr ? 0 : static_cast<int>(call_prompt->expected_output_tokens)) +
           " predicted_ms=" + std::to_string(static_cast<int>(choice.first_token_ms)) +
           " queue_ms=" + std::to_string(static_cast<int>(choice.queue_ms)) +
           " unread_ahead=" + std::to_string(static_cast<int>(choice.pending_prefill_tokens)) +
           " kept=" + std::to_string(static_cast<int>(choice.cached_tokens)) +
           " fetch_from=" + (choice.fetch.source.value.empty() ? "-" : choice.fetch.source.value) +
           " fetch_tokens=" + std::to_string(static_cast<int>(choice.fetch.tokens)) +
           " fetch_ms=" + std::to_string(static_cast<int>(choice.fetch.ms)) +
           " running=" + std::to_string(choice.running_calls) +
           " share_position=" + decimal_text(call.share_position) +
           " level_position=" + decimal_text(call.level_position) +
           " view_age_ms=" + ms_text(fleet_view_age(router, now)) +
           " crosses_domain=" + (target.entry.domain == router.settings.domain ? "0" : "1") +
           " may_leave=" + (call.spillover_to != 0 ? "1" : "0") +
           " target_revision=" + to_text(target.entry.revision) + " build=" + target.entry.build +
           " resumes=" + (call.request.resumes.empty() ? "-" : call.request.resumes) +
           " config=" + std::to_string(call.config->version);
  });
  const std::uint64_t exchange_id = call.exchange_id;
  call_handlers handlers;
  handlers.on_head = [&router, exchange_id](const message_head& head) {
    on_response_head(router, exchange_id, head);
  };
  handlers.on_data = [&router, exchange_id](std::string_view data) {
    on_response_data(router, exchange_id, data);
  };
  handlers.on_end = [&router, exchange_id](client_call_result end) {
    on_call_end(router, exchange_id, end);
  };
  if (is_retryable(*call.matched_route)) {
    call.inactivity_timer.reset(evtimer_new(router.base.get(), on_inactivity_timeout, &call));
    restart_inactivity_timer(call);
  }
  current.target_call =
      start_call(router.target_client, make_http_request(call, target, choice.fetch, now),
                 std::move(handlers));
}

}  // namespace peridot
