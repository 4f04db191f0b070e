// Where calls go: candidates, the choice, refusals, and whether to send again.

#include <algorithm>
#include <optional>

#include "core/base/check.h"
#include "core/base/stable_hash.h"
#include "net/log.h"
#include "router/call_internal.h"

namespace peridot {
namespace {

constexpr milliseconds refusal_pause{300};     // Retry-After where nothing better is known
constexpr milliseconds least_time_to_send{8};  // less cannot bring an answer
constexpr int max_unreachable = 3;             // targets without connection that one call tries
constexpr double connections_part = 0.85;      // of a target's connections that routers plan for
constexpr double most_connections_part = 0.5;  // up to which one router may exceed its share
constexpr double plain_queue_part = 3;         // calls per slot at a plain target, all routers
constexpr double pool_failure_memory = 0.02;   // weight of the newest answer in the pool's mean

double random_part(router_state& router) {
  return std::uniform_real_distribution<double>(0, 1)(router.random);
}

// Connections to one target that this router plans for.
int connection_share(const router_state& router, const pool& home) {
  const std::size_t routers = live_peer_count(router.membership, current_time()) + 1;
  return std::max(
      2, static_cast<int>(connections_part * home.max_connections / static_cast<double>(routers)));
}

// The share of each router is a guide: where the others use little, one may use more.
bool has_room(const router_state& router, const target_state& target, const pool& home, int share) {
  auto open = router.target_client.connection_count_by_address.find(target.entry.address);
  if (open == router.target_client.connection_count_by_address.end() || open->second < share ||
      router.target_client.idle_connections.contains(target.entry.address)) {
    return true;
  }
  auto load = router.loads.targets.find(target.entry.name);
  const int running = load == router.loads.targets.end() ? 0 : total_running_calls(load->second);
  return std::max(running, open->second) < most_connections_part * home.max_connections;
}

// True if the target is warm, or this router may send to it while it is cold. `view` is
// made for the first cold target of a choice: it lists all routers.
bool may_bear(const router_state& router, const target_state& target, const pool& home,
              std::optional<router_view>& view, instant now) {
  if (now >= target.cold_until || home.cold_rate <= 0) {
    return true;
  }
  if (!view.has_value()) {
    view = router_view{router.self.address, possibly_active_peers(router.membership, now),
                       now - router.started_at};
  }
  const double limit = home.cold_rate * router.settings.cold_over + router.settings.cold_slack;
  return may_send_to_cold_target(router.cold_limiter, target.entry.name, limit, *view, now);
}

struct candidates {
  std::vector<candidate> healthy;
  std::vector<candidate> avoided;
};

candidates collect(const active_call& call, const pool& home) {
  const router_state& router = *call.router;
  const instant now = current_time();
  const int share = connection_share(router, home);
  std::optional<router_view> view;
  candidates result;
  for (const std::pair<const target_name, target_state>& entry : router.store.targets.targets) {
    const target_state& target = entry.second;
    const bool tried = std::find(call.attempted_targets.begin(), call.attempted_targets.end(),
                                 entry.first) != call.attempted_targets.end();
    if (target.entry.pool != home.name || tried || !is_usable(router.store.targets, target) ||
        !may_bear(router, target, home, view, now) || !has_room(router, target, home, share)) {
      continue;
    }
    const bool avoided = is_avoided(router.health, entry.first, now);
    (avoided ? result.avoided : result.healthy)
        .push_back(
            {entry.first, target.entry.slots, target.entry.domain == router.settings.domain});
  }
  return result;
}

// The pool of the route for this call: by weight, the same for all its sends.
const pool* choose_pool(const active_call& call) {
  double total = 0;
  for (const weighted_pool& share : call.matched_route->pools) {
    total += share.weight;
  }
  double point = static_cast<double>(stable_hash(call.request.id) % 10'000) / 10'000 * total;
  for (const weighted_pool& share : call.matched_route->pools) {
    point -= share.weight;
    if (point < 0) {
      return find_pool(*call.config, share.pool);
    }
  }
  return find_pool(*call.config, call.matched_route->pools.back().pool);
}

placement choose(const active_call& call, const pool& home,
                 const std::vector<candidate>& candidates, bool soonest) {
  const load_table& loads = call.router->loads;
  const instant now = current_time();
  if (home.has_engines && call.request.call_prompt.has_value()) {
    return choose_engine(loads, candidates,
                         {.call_prompt = &*call.request.call_prompt,
                          .kv_capacity_tokens = home.kv_capacity_tokens,
                          .min_latency_objective = home.min_latency_objective,
                          .time_left = call.deadline - now,
                          .earliest_first_token = soonest});
  }
  return choose_plain_target(loads, candidates, stable_hash(call.request.id));
}

// Candidates in order of preference: healthy ones; one that is due for a trial; any.
std::vector<candidate> candidates_for(active_call& call, const pool& home) {
  router_state& router = *call.router;
  const candidates all = collect(call, home);
  if (is_retryable(*call.matched_route)) {
    for (const candidate& trial : all.avoided) {
      if (try_start_trial(router.health, trial.name, current_time())) {
        return {trial};
      }
    }
  }
  return all.healthy.empty() ? all.avoided : all.healthy;
}

admission_decision verdict_of(const active_call& call, const placement& where, bool spilled) {
  const instant now = current_time();
  return admit({.queue_wait = from_ms(where.queue_ms),
                .processing_time = from_ms(where.first_token_ms - where.queue_ms),
                .elapsed = now - call.arrived_at,
                .latency_objective = call.matched_route->latency_objective,
                .time_left = call.deadline - now,
                .share_position = call.share_position,
                .jitter = random_part(*call.router),
                .is_fallback = spilled});
}

// Refuses a call because this instance is behind. True if it was refused.
bool refuse_if_busy(active_call& call) {
  router_state& router = *call.router;
  const instant now = current_time();
  if (!should_refuse_new_call(router.overload, call.matched_route->latency_objective,
                              peers_accept_calls(router, now))) {
    return false;
  }
  end_with_refusal(call, refusal::instance_busy,
                   retry_after(min_retry_after, call.deadline - now, random_part(router)));
  return true;
}

// Refuses a call for which no plain target has a place in its queue.
bool refuse_if_queued(active_call& call, const placement& where) {
  if (where.running_calls < plain_queue_part * where.chosen->slots) {
    return false;
  }
  end_with_refusal(call, refusal::overloaded,
                   retry_after(from_ms(where.first_token_ms), call.deadline - current_time(),
                               random_part(*call.router)));
  return true;
}

void refuse_late(active_call& call, const placement& where, const admission_decision& verdict) {
  log_line(log_part::http, log_level::warn,
           "Call not taken on. call=" + call.request.id + " reason=" + to_text(verdict.reason) +
               " best_target=" + where.chosen->name.value +
               " predicted_ms=" + std::to_string(static_cast<int>(where.first_token_ms)) +
               " queue_ms=" + std::to_string(static_cast<int>(where.queue_ms)) +
               " aim_ms=" + ms_text(call.matched_route->latency_objective) +
               " unread_ahead=" + std::to_string(static_cast<int>(where.pending_prefill_tokens)) +
               " kept=" + std::to_string(static_cast<int>(where.cached_tokens)) +
               " share_position=" + decimal_text(call.share_position));
  end_with_refusal(call, verdict.reason, verdict.retry_after);
}

// The engine for a new call: the one of least cost; if the wait there is too long, the
// one that begins soonest, where little is waiting. Nothing if the call was refused.
std::optional<placement> place_prompt(active_call& call, const pool& home,
                                      const std::vector<candidate>& candidates) {
  call.share_position = share_position(call.router->shares, call.organisation);
  const placement where = choose(call, home, candidates, false);
  call.predicted_ms = where.first_token_ms;
  const admission_decision verdict = verdict_of(call, where, false);
  if (verdict.admitted) {
    return where;
  }
  const placement soonest = choose(call, home, candidates, true);
  if (verdict_of(call, soonest, true).admitted) {
    call.predicted_ms = soonest.first_token_ms;
    return soonest;
  }
  refuse_late(call, where, verdict);
  return std::nullopt;
}

// Where the call goes. Nothing if it was refused.
std::optional<placement> place(active_call& call, const pool& home,
                               const std::vector<candidate>& candidates) {
  const bool is_new = call.sends == 0;  // what was begun is brought to its end
  if (is_new && refuse_if_busy(call)) {
    return std::nullopt;
  }
  if (is_new && home.has_engines && call.request.call_prompt.has_value()) {
    return place_prompt(call, home, candidates);
  }
  const placement where = choose(call, home, candidates, false);
  call.predicted_ms = where.first_token_ms;
  if (is_new && !home.has_engines && refuse_if_queued(call, where)) {
    return std::nullopt;
  }
  return where;
}

// No target can take the call now.
void end_without_target(active_call& call) {
  if (call.response_started) {
    end_with_aborted_response(call, refusal::no_target);
  } else if (call.may_have_run) {
    end_with_failure(call, refusal::target_lost);
  } else {
    end_with_refusal(
        call, refusal::no_target,
        retry_after(refusal_pause, call.deadline - current_time(), random_part(*call.router)));
  }
}

}  // namespace

bool peers_accept_calls(const router_state& router, instant now) {
  return enough_peers_accept_calls(accepting_peer_count(router.membership, now),
                                   live_peer_count(router.membership, now));
}

pool_state& pool_state_of(router_state& router, const pool_name& name) {
  return router.pools[name];
}

void place_call(active_call& call) {
  router_state& router = *call.router;
  const instant now = current_time();
  const pool* home = choose_pool(call);
  if (call.deadline - now < least_time_to_send || home == nullptr ||
      call.started_attempts > call.sends + max_unreachable) {
    end_without_target(call);
    return;
  }
  const std::vector<candidate> candidates = candidates_for(call, *home);
  if (candidates.empty()) {
    end_without_target(call);
    return;
  }
  const std::optional<placement> where = place(call, *home, candidates);
  if (!where.has_value()) {
    return;
  }
  const target_state& target = router.store.targets.targets.at(where->chosen->name);
  if (now < target.cold_until) {
    record_cold_send(router.cold_limiter, target.entry.name, now);
  }
  start_attempt(call, target, *where);
}

void end_attempt(active_call& call, call_result result) {
  router_state& router = *call.router;
  PERIDOT_CHECK(call.current_attempt != nullptr, "no attempt to end");
  std::unique_ptr<target_attempt> ended = std::move(call.current_attempt);
  call.inactivity_timer.reset();
  call.reading_paused = false;
  const instant now = current_time();
  record_call_ended(router.loads, ended->target, ended->cost);
  cancel_call(*ended->target_call);
  if (ended->result_recorded) {
    return;
  }
  pool_state& state = pool_state_of(router, ended->pool);
  record_call_result(router.health, ended->target, result, state.failure_rate, now);
  const bool failure =
      result == call_result::error_response || result == call_result::incomplete_response;
  state.failure_rate += pool_failure_memory * ((failure ? 1.0 : 0.0) - state.failure_rate);
  if (is_avoided(router.health, ended->target, now) && failure) {
    log_line(log_part::target, log_level::warn,
             "Target avoided. target=" + ended->target.value +
                 " failure_mean=" + std::to_string(failure_rate(router.health, ended->target)) +
                 " pool_mean=" + std::to_string(state.failure_rate));
  }
}

bool try_acquire_retry(active_call& call) {
  router_state& router = *call.router;
  if (call.sends >= call.matched_route->max_attempts ||
      call.deadline - current_time() < least_time_to_send ||
      is_refused_for_crashes(router.crash_suspects, call.fingerprint)) {
    return false;
  }
  const pool* home = choose_pool(call);
  if (home == nullptr || collect(call, *home).healthy.empty()) {
    return false;
  }
  if (!try_spend_retry_credit(pool_state_of(router, home->name).budget)) {
    ++router.call_metrics.retries_denied;
    return false;
  }
  ++router.call_metrics.retries;
  return true;
}

}  // namespace peridot
