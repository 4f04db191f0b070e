// Chooses targets for calls: candidates, placement, refusals and retries.

#include <algorithm>
#include <optional>

#include "core/base/check.h"
#include "core/base/stable_hash.h"
#include "net/log.h"
#include "router/call_internal.h"

namespace peridot {
namespace {

// With less time left, no response can arrive before the deadline.
constexpr milliseconds min_time_left_to_send{8};
// A call ends once more than this number of its connection attempts have failed.
constexpr int max_unreachable_targets = 3;
// Fraction of the pool's max_connections to a target that all routers together plan to use.
constexpr double planned_connections_fraction = 0.85;
// A router may exceed its planned number while both the calls running at the target and its
// own connections to it are fewer than this fraction of the pool's max_connections.
constexpr double max_connections_fraction = 0.5;
constexpr double max_plain_calls_per_slot = 3;  // running and queued, of all routers
constexpr double pool_failure_rate_ewma_weight = 0.02;

double random_fraction(router_state& router) {
  return std::uniform_real_distribution<double>(0, 1)(router.random);
}

// Number of connections to one target that this router plans to use, at least 2.
int planned_connections(const router_state& router, const pool& target_pool) {
  const std::size_t router_count = router.membership.counts.live + 1;
  return std::max(2, static_cast<int>(planned_connections_fraction * target_pool.max_connections /
                                      static_cast<double>(router_count)));
}

// True if one more call may use a connection to the target. The planned number is not a
// hard limit: where the other routers use few connections, this one may use more.
bool may_use_connection(const router_state& router, const target_state& target,
                        const pool& target_pool, int planned) {
  auto open_connections =
      router.target_client.connection_count_by_address.find(target.entry.address);
  if (open_connections == router.target_client.connection_count_by_address.end() ||
      open_connections->second < planned ||
      router.target_client.idle_connections.contains(target.entry.address)) {
    return true;
  }
  auto load = router.loads.targets.find(target.entry.name);
  const int running_calls =
      load == router.loads.targets.end() ? 0 : total_running_calls(load->second);
  return std::max(running_calls, open_connections->second) <
         max_connections_fraction * target_pool.max_connections;
}

// What this router may send to a target that is cold or names a limit. Empty: no bound.
std::optional<send_allowance> allowance_of(const router_state& router, const target_state& target,
                                           const pool& target_pool, instant now) {
  std::optional<send_allowance> allowance;
  const int routers = router_count(router.rate_limiter);
  if (is_cold(target, now) && target_pool.cold_rate > 0) {
    allowance = cold_start_allowance(
        target_pool.cold_rate * router.settings.cold_over + router.settings.cold_slack, routers);
  }
  const std::optional<double> limit = rate_limit(router.statements, target.entry);
  if (limit.has_value()) {
    const send_allowance by_limit = rate_limit_allowance(*limit, routers);
    allowance = allowance.has_value() ? stricter(*allowance, by_limit) : by_limit;
  }
  return allowance;
}

struct candidate_lists {
  std::vector<candidate> healthy;
  std::vector<candidate> avoided;
  // Of a build that other routers may not know yet, or that is in doubt; see may_begin_streams().
  std::vector<candidate> unannounced;
  // If targets are left out that only take no call now: until the first of them takes one from this
  // router. duration::max(): other routers send to them.
  std::optional<duration> wait;
};

candidate_lists collect_candidates(const active_call& call, const pool& target_pool) {
  router_state& router = *call.router;
  const instant now = current_time();
  const int planned = planned_connections(router, target_pool);
  const bool begins_stream = is_resumable_stream(call) && !call.build.has_value();
  const duration announcing = announce_time(router.membership);
  candidate_lists result;
  for (const std::pair<const target_name, target_state>& entry : router.store.targets.targets) {
    const target_state& target = entry.second;
    const bool already_attempted =
        std::find(call.attempted_targets.begin(), call.attempted_targets.end(), entry.first) !=
        call.attempted_targets.end();
    const bool is_other_build =
        call.build.has_value() && !runs_build(target, *call.build, router.store.unavailable, now);
    if (target.entry.pool != target_pool.name || already_attempted || is_other_build ||
        !is_usable(router.store.targets, target) ||
        !may_use_connection(router, target, target_pool, planned)) {
      continue;
    }
    const std::optional<send_allowance> allowance = allowance_of(router, target, target_pool, now);
    const duration rate_wait =
        allowance.has_value() ? time_until_send(router.rate_limiter, entry.first, *allowance, now)
                              : duration{0};
    const duration wait =
        std::max(rate_wait, time_until_accepted(router.statements, target.entry, now));
    if (wait > duration{0}) {
      result.wait = std::min(wait, result.wait.value_or(wait));
      continue;
    }
    const build_id build = build_of(target.entry);
    const bool is_unannounced =
        begins_stream && (target.is_disputed || !may_begin_streams(router.streams, target_pool.name,
                                                                   build, announcing, now));
    const bool avoided = is_avoided(router.health, entry.first, now);
    (is_unannounced ? result.unannounced : (avoided ? result.avoided : result.healthy))
        .push_back({entry.first, target.entry.slots, target.entry.domain == router.settings.domain,
                    domain_id(target.entry.domain), build});
  }
  if (result.healthy.empty() && result.avoided.empty() && !result.wait.has_value()) {
    result.healthy = std::move(result.unannounced);
  }
  return result;
}

placement choose_target(active_call& call, const pool& target_pool,
                        const std::vector<candidate>& candidates, bool earliest_first_token) {
  const load_table& loads = call.router->loads;
  const instant now = current_time();
  const crossing_cost crossing = crossing_cost_of(call, target_pool);
  if (target_pool.has_engines && call.request.call_prompt.has_value()) {
    return choose_engine(
        loads, candidates,
        {.call_prompt = &*call.request.call_prompt,
         .kv_capacity_tokens = target_pool.kv_capacity_tokens,
         .min_latency_objective = target_pool.min_latency_objective,
         .time_left = call.deadline - now,
         .earliest_first_token = earliest_first_token,
         .sample_fraction = engine_sample_fraction(call.router->membership.rounds_per_cycle),
         .sample_seed = stable_hash(call.request.id),
         .transfer_ms_per_token = kv_transfer_ms_per_token(target_pool),
         .crossing = crossing,
         .now = now});
  }
  return choose_plain_target(loads, candidates, crossing, stable_hash(call.request.id), now);
}

// Returns the targets to choose from. For a retryable call, if an avoided target is due for a
// trial, starts the trial and returns only that target. Otherwise returns the healthy targets
// or, if there are none, the avoided ones.
std::vector<candidate> select_candidates(active_call& call, const candidate_lists& collected) {
  router_state& router = *call.router;
  if (is_retryable(*call.matched_route)) {
    for (const candidate& trial : collected.avoided) {
      if (try_start_trial(router.health, trial.name, current_time())) {
        return {trial};
      }
    }
  }
  return collected.healthy.empty() ? collected.avoided : collected.healthy;
}

admission_decision admission_for(const active_call& call, const placement& choice,
                                 bool is_fallback) {
  const instant now = current_time();
  return admit({.queue_wait = from_ms(choice.queue_ms),
                .processing_time = from_ms(choice.first_token_ms - choice.queue_ms),
                .elapsed = now - call.arrived_at,
                .latency_objective = call.matched_route->latency_objective,
                .time_left = call.deadline - now,
                .share_position = call.share_position,
                .level_position = call.level_position,
                .jitter = random_fraction(*call.router),
                .is_fallback = is_fallback});
}

// Refuses a call if this instance is overloaded. True if it was refused.
bool refuse_if_instance_overloaded(active_call& call) {
  router_state& router = *call.router;
  const instant now = current_time();
  if (!should_refuse_new_call(router.overload, call.matched_route->latency_objective,
                              peers_accept_calls(router))) {
    return false;
  }
  end_with_refusal(call, refusal::instance_busy,
                   retry_after(min_retry_after, call.deadline - now, random_fraction(router)));
  return true;
}

// Refuses a call if the queue of the chosen plain target is full. True if it was refused.
bool refuse_if_target_queue_full(active_call& call, const placement& choice) {
  if (choice.running_calls < max_plain_calls_per_slot * choice.chosen->slots) {
    return false;
  }
  end_with_refusal(call, refusal::overloaded,
                   retry_after(from_ms(choice.first_token_ms), call.deadline - current_time(),
                               random_fraction(*call.router)));
  return true;
}

void refuse_not_admitted(active_call& call, const placement& choice,
                         const admission_decision& decision) {
  log_call_line(log_part::http, log_level::warn, [&]() {
    return "Call not admitted. call=" + call.request.id + " reason=" + to_text(decision.reason) +
           " caller=" + call.organisation.value + " tokens_in=" +
           std::to_string(static_cast<int>(call.request.call_prompt->prompt_tokens)) +
           " best_target=" + choice.chosen->name.value +
           " predicted_ms=" + std::to_string(static_cast<int>(choice.first_token_ms)) +
           " queue_ms=" + std::to_string(static_cast<int>(choice.queue_ms)) +
           " aim_ms=" + ms_text(call.matched_route->latency_objective) +
           " unread_ahead=" + std::to_string(static_cast<int>(choice.pending_prefill_tokens)) +
           " kept=" + std::to_string(static_cast<int>(choice.cached_tokens)) +
           " share_position=" + decimal_text(call.share_position) +
           " level_position=" + decimal_text(call.level_position) +
           " view_age_ms=" + ms_text(fleet_view_age(*call.router, current_time()));
  });
  end_with_refusal(call, decision.reason, decision.retry_after);
}

// Refuses a call at random so that its organisation is served the admission level at most. True
// if it was refused.
bool refuse_if_above_level(active_call& call) {
  router_state& router = *call.router;
  const double fraction = admitted_fraction(router.shares, call.organisation);
  if (fraction >= 1 || random_fraction(router) < fraction) {
    return false;
  }
  log_call_line(log_part::http, log_level::warn, [&]() {
    return "Call above the admission level. call=" + call.request.id +
           " caller=" + call.organisation.value + " tokens_in=" +
           std::to_string(static_cast<int>(call.request.call_prompt->prompt_tokens)) +
           " admitted_fraction=" + decimal_text(fraction) +
           " level_position=" + decimal_text(call.level_position) +
           " view_age_ms=" + ms_text(fleet_view_age(router, current_time())) +
           " share_position=" + decimal_text(call.share_position);
  });
  end_with_refusal(
      call, refusal::over_share,
      retry_after(default_retry_after, call.deadline - current_time(), random_fraction(router)));
  return true;
}

// Refuses a new call for reasons that do not depend on a target, so that under a flood a refusal
// does not pay for a look at each target. True if it was refused.
bool refuse_before_choice(active_call& call, const pool& target_pool) {
  if (refuse_if_instance_overloaded(call)) {
    return true;
  }
  if (!target_pool.has_engines || !call.request.call_prompt.has_value()) {
    return false;
  }
  const share_table& shares = call.router->shares;
  call.share_position = share_position(shares, call.organisation);
  call.level_position = level_position(shares, call.organisation);
  return refuse_if_above_level(call);
}

// Chooses the engine for a new call: the one with the lowest cost. If the wait there is too
// long, falls back to the engine with the earliest first token, provided that its queue is
// short. Empty if the call was refused.
std::optional<placement> place_engine_call_or_refuse(active_call& call, const pool& target_pool,
                                                     const std::vector<candidate>& candidates) {
  const placement choice = choose_target(call, target_pool, candidates, false);
  call.predicted_ms = choice.first_token_ms;
  const admission_decision decision = admission_for(call, choice, false);
  if (decision.admitted) {
    return choice;
  }
  const placement fallback = choose_target(call, target_pool, candidates, true);
  if (admission_for(call, fallback, true).admitted) {
    call.predicted_ms = fallback.first_token_ms;
    return fallback;
  }
  refuse_not_admitted(call, choice, decision);
  return std::nullopt;
}

// Chooses the target of the call. Empty if the call was refused.
std::optional<placement> place_or_refuse(active_call& call, const pool& target_pool,
                                         const std::vector<candidate>& candidates) {
  const bool is_first_send = call.sends == 0;  // retries are not refused for overload
  if (is_first_send && target_pool.has_engines && call.request.call_prompt.has_value()) {
    return place_engine_call_or_refuse(call, target_pool, candidates);
  }
  const placement choice = choose_target(call, target_pool, candidates, false);
  call.predicted_ms = choice.first_token_ms;
  if (is_first_send && !target_pool.has_engines && refuse_if_target_queue_full(call, choice)) {
    return std::nullopt;
  }
  return choice;
}

// Refuses a call that no target takes now. A router that is no sender of theirs tells its caller to
// come back soon: it comes back through another one.
void refuse_until(active_call& call, duration wait) {
  const duration expected = wait == duration::max() ? default_retry_after : wait;
  end_with_refusal(
      call, refusal::target_limit,
      retry_after(expected, call.deadline - current_time(), random_fraction(*call.router)));
}

// Refuses a call that takes a stream up where no target that runs its build is usable. It may come
// back if one is known that is only cold, doubted or full.
void refuse_without_build(active_call& call) {
  const router_state& router = *call.router;
  const std::map<target_name, target_state>& targets = router.store.targets.targets;
  const bool may_come_back =
      std::any_of(targets.begin(), targets.end(),
                  [&](const std::pair<const target_name, target_state>& target) {
                    return build_of(target.second.entry) == *call.build &&
                           is_usable(router.store.targets, target.second);
                  });
  end_with_refusal(call, refusal::no_build,
                   may_come_back ? retry_after(default_retry_after, call.deadline - current_time(),
                                               random_fraction(*call.router))
                                 : duration{0});
}

// Ends a call that cannot be sent: no usable target, an unknown pool, too little time left, or
// too many failed connection attempts.
void end_without_target(active_call& call) {
  if (call.response_started) {
    end_with_aborted_response(call, refusal::no_target);
  } else if (call.may_have_run) {
    end_with_failure(call, refusal::target_lost);
  } else if (call.build.has_value()) {
    refuse_without_build(call);
  } else {
    end_with_refusal(call, refusal::no_target,
                     retry_after(default_retry_after, call.deadline - current_time(),
                                 random_fraction(*call.router)));
  }
}

// How the response of an attempt ended, for metrics: as its framing says (complete, or cut for a
// stream that its target has not completed), because the connection or the parser failed
// (interrupted), or because this router ended the attempt (abandoned).
const char* response_end_text(const target_attempt& attempt) {
  if (attempt.target_call->connection != nullptr) {
    return "abandoned";
  }
  if (!attempt.target_call->problem.empty()) {
    return "interrupted";
  }
  return is_cut_stream(attempt) ? "cut" : "complete";
}

// Notes framing and end of the attempt's response for the log line of the call, and counts it.
void record_response_end(active_call& call, const target_attempt& attempt) {
  if (attempt.response_head.status == 0) {
    return;  // no response
  }
  call.response_framing = to_text(attempt.response_head.framing);
  call.unfinished_event_bytes = pending_bytes(attempt.splitter);
  record_target_response(call.router->call_metrics, call.response_framing,
                         response_end_text(attempt));
}

}  // namespace

bool peers_accept_calls(const router_state& router) {
  return enough_peers_accept_calls(router.membership.counts.accepting,
                                   router.membership.counts.live);
}

duration fleet_view_age(const router_state& router, instant now) {
  if (!router.membership.uses_delegates) {
    return router.settings.gossip_interval * router.membership.rounds_per_cycle;
  }
  return router.digests.view_at == instant{} ? now - router.started_at
                                             : now - router.digests.view_at;
}

const pool* choose_pool(const active_call& call) {
  const std::string& first_id =
      call.request.resumes.empty() ? call.request.id : call.request.resumes;
  double total_weight = 0;
  for (const weighted_pool& option : call.matched_route->pools) {
    total_weight += option.weight;
  }
  double remaining_weight =
      static_cast<double>(stable_hash(first_id) % 10'000) / 10'000 * total_weight;
  for (const weighted_pool& option : call.matched_route->pools) {
    remaining_weight -= option.weight;
    if (remaining_weight < 0) {
      return find_pool(*call.config, option.pool);
    }
  }
  return find_pool(*call.config, call.matched_route->pools.back().pool);
}

pool_state& pool_state_of(router_state& router, const pool_name& name) {
  return router.pools[name];
}

void place_call(active_call& call) {
  router_state& router = *call.router;
  const instant now = current_time();
  const pool* target_pool = choose_pool(call);
  if (call.deadline - now < min_time_left_to_send || target_pool == nullptr ||
      call.started_attempts > call.sends + max_unreachable_targets) {
    end_without_target(call);
    return;
  }
  if (call.sends == 0 && refuse_before_choice(call, *target_pool)) {
    return;
  }
  const candidate_lists collected = collect_candidates(call, *target_pool);
  const std::vector<candidate> candidates = select_candidates(call, collected);
  if (candidates.empty()) {
    if (collected.wait.has_value() && !call.may_have_run) {
      refuse_until(call, *collected.wait);
    } else {
      end_without_target(call);
    }
    return;
  }
  const std::optional<placement> choice = place_or_refuse(call, *target_pool, candidates);
  if (!choice.has_value()) {
    return;
  }
  const target_state& target = router.store.targets.targets.at(choice->chosen->name);
  const std::optional<send_allowance> allowance = allowance_of(router, target, *target_pool, now);
  if (allowance.has_value()) {
    record_limited_send(router.rate_limiter, target.entry.name, *allowance, now);
  }
  start_attempt(call, target, *choice);
}

void end_attempt(active_call& call, call_result result) {
  router_state& router = *call.router;
  PERIDOT_CHECK(call.current_attempt != nullptr, "end_attempt() without a current attempt");
  std::unique_ptr<target_attempt> ended = std::move(call.current_attempt);
  call.router->held_response_bytes -= ended->held_bytes;
  call.inactivity_timer.reset();
  call.reading_paused = false;
  const instant now = current_time();
  record_call_ended(router.loads, ended->target, ended->added_load);
  record_response_end(call, *ended);
  cancel_call(*ended->target_call);
  if (ended->ignore_result) {
    return;
  }
  pool_state& state = pool_state_of(router, ended->pool);
  record_call_result(router.health, ended->target, result, state.failure_rate, now);
  const bool failed =
      result == call_result::error_response || result == call_result::incomplete_response;
  state.failure_rate += pool_failure_rate_ewma_weight * ((failed ? 1.0 : 0.0) - state.failure_rate);
  if (is_avoided(router.health, ended->target, now) && failed) {
    log_line(log_part::target, log_level::warn,
             "Target failed and is avoided. target=" + ended->target.value +
                 " failure_mean=" + std::to_string(failure_rate(router.health, ended->target)) +
                 " pool_mean=" + std::to_string(state.failure_rate));
  }
}

bool try_acquire_retry(active_call& call) {
  router_state& router = *call.router;
  if (call.sends >= call.matched_route->max_attempts ||
      call.deadline - current_time() < min_time_left_to_send || !may_retry_after_crashes(call)) {
    return false;
  }
  const pool* target_pool = choose_pool(call);
  if (target_pool == nullptr || collect_candidates(call, *target_pool).healthy.empty()) {
    return false;
  }
  if (!try_spend_retry_credit(pool_state_of(router, target_pool->name).budget)) {
    ++router.call_metrics.retries_denied;
    return false;
  }
  ++router.call_metrics.retries;
  return true;
}

}  // namespace peridot
