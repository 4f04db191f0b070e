// Calls from their arrival to a target, and their end.

#include <algorithm>
#include <cstdio>

#include "core/admission.h"
#include "core/check.h"
#include "core/peer_messages.h"
#include "net/call_internal.h"
#include "net/log.h"
#include "platform/wire_headers.h"

namespace peridot {
namespace {

constexpr milliseconds refusal_pause{300};     // Retry-After where nothing better is known
constexpr milliseconds no_config_pause{500};   // a watch answers within this
constexpr milliseconds stale_config{2'000};    // the platform's bound for a change
constexpr milliseconds least_time_to_send{8};  // less cannot bring an answer
constexpr milliseconds target_margin{10};      // the answer's way back to the caller
constexpr int max_unreachable = 3;             // targets without connection that one call tries
constexpr double connections_part = 0.85;      // of a target's connections that routers plan for
constexpr double most_connections_part = 0.5;  // up to which one router may exceed its share
constexpr double plain_queue_part = 3;         // calls per slot at a plain target, all routers
constexpr milliseconds crash_window{1'000};    // between a broken answer and a refused connection
constexpr double pool_failure_memory = 0.02;   // weight of the newest answer in the pool's mean
constexpr std::size_t max_broken_runs = 256;

std::string ms_text(duration time) {
  return std::to_string(static_cast<std::int64_t>(to_ms(time)));
}

std::string seconds_text(duration time) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", std::chrono::duration<double>(time).count());
  return text;
}

double random_part(router_state& router) {
  return std::uniform_real_distribution<double>(0, 1)(router.random);
}

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

// True if the configuration in force may be older than the newest one.
bool config_may_be_old(const router_state& router, instant now) {
  return router.store.disturbed && now - router.store.disturbed_last < stale_config * 30 &&
         router.store.back_at + stale_config < now;
}

void on_give_up(evutil_socket_t, short, void* argument) {
  live_call& call = *static_cast<live_call*>(argument);
  if (call.current != nullptr) {
    call.may_have_run = call.may_have_run || call.current->call->sent;
    end_attempt(call, call_result::broken);
  }
  if (call.answering) {
    end_broken_off(call, refusal::deadline);
  } else if (call.may_have_run) {
    end_with_failure(call, refusal::deadline);
  } else {
    end_with_refusal(call, refusal::deadline, duration{0});
  }
}

void on_caller_gone(live_call& call) {
  if (call.current != nullptr) {
    // The target is not to blame: its result is not noted.
    call.current->counted = true;
    end_attempt(call, call_result::done);
  }
  ++call.router->counts.callers_gone;
  finish(call, call_outcome::caller_left, 0, refusal::none);
}

void watch_caller(live_call& call) {
  router_state& router = *call.router;
  const std::uint64_t number = call.number;
  call.exchange->on_gone = [&router, number]() {
    live_call* gone = find_call(router, number);
    if (gone != nullptr) {
      on_caller_gone(*gone);
    }
  };
  call.exchange->on_drained = [&router, number]() {
    live_call* drained = find_call(router, number);
    if (drained != nullptr && drained->reading_paused && drained->current != nullptr) {
      drained->reading_paused = false;
      resume_call(*drained->current->call);
    }
  };
  call.give_up_timer.reset(evtimer_new(router.base.get(), on_give_up, &call));
  const duration left = std::max(duration{0}, call.give_up_at - current_time());
  const timeval time = to_timeval(std::chrono::ceil<milliseconds>(left));
  event_add(call.give_up_timer.get(), &time);
}

// Connections to one target that this router plans for.
int connection_share(const router_state& router, const pool& home) {
  const std::size_t routers = live_peers(router.members, current_time()).size() + 1;
  return std::max(
      2, static_cast<int>(connections_part * home.max_connections / static_cast<double>(routers)));
}

// The share of each router is a guide: where the others use little, one may use more.
bool has_room(const router_state& router, const target_state& target, const pool& home, int share,
              instant now) {
  auto open = router.targets.open_by_address.find(target.entry.address);
  if (open == router.targets.open_by_address.end() || open->second < share ||
      router.targets.idle.contains(target.entry.address)) {
    return true;
  }
  auto load = router.loads.targets.find(target.entry.name);
  const int running = load == router.loads.targets.end() ? 0 : running_at(load->second, now);
  return std::max(running, open->second) < most_connections_part * home.max_connections;
}

// True if the target is warm, or this router may send to it while it is cold.
bool may_bear(const router_state& router, const target_state& target, const pool& home,
              instant now) {
  if (now >= target.cold_until || home.cold_rate <= 0) {
    return true;
  }
  const double limit = home.cold_rate * router.settings.cold_over + router.settings.cold_slack;
  return may_send_cold(router.cold, target.entry.name, limit, router.self.address,
                       possible_peers(router.members, now), now);
}

std::vector<candidate> collect(live_call& call, const pool& home, bool avoided) {
  router_state& router = *call.router;
  const instant now = current_time();
  const int share = connection_share(router, home);
  std::vector<candidate> result;
  for (const std::pair<const target_name, target_state>& entry : router.store.targets.targets) {
    const target_state& target = entry.second;
    const bool tried =
        std::find(call.tried.begin(), call.tried.end(), entry.first) != call.tried.end();
    if (target.entry.pool != home.name || tried || !is_usable(router.store.targets, target) ||
        is_avoided(router.health, entry.first, now) != avoided ||
        !may_bear(router, target, home, now) || !has_room(router, target, home, share, now)) {
      continue;
    }
    result.push_back(
        {entry.first, target.entry.slots, target.entry.domain == router.settings.domain});
  }
  return result;
}

// The pool of the route for this call: by weight, the same for all its sends.
const pool* choose_pool(const live_call& call) {
  double total = 0;
  for (const pool_share& share : call.way->pools) {
    total += share.weight;
  }
  double point = static_cast<double>(stable_hash(call.request.id) % 10'000) / 10'000 * total;
  for (const pool_share& share : call.way->pools) {
    point -= share.weight;
    if (point < 0) {
      return find_pool(*call.config, share.pool);
    }
  }
  return find_pool(*call.config, call.way->pools.back().pool);
}

placement choose(live_call& call, const pool& home, const std::vector<candidate>& candidates) {
  const load_table& loads = call.router->loads;
  const instant now = current_time();
  if (home.engine && call.request.what_to_read.has_value()) {
    return choose_engine(loads, candidates,
                         {.what = &*call.request.what_to_read,
                          .memory_tokens = home.memory_tokens,
                          .aim = home.shortest_aim,
                          .left = call.give_up_at - now},
                         now);
  }
  return choose_plain(loads, candidates, stable_hash(call.request.id), now);
}

// Candidates in order of preference: healthy ones; one that is due for a trial; any.
std::vector<candidate> candidates_for(live_call& call, const pool& home) {
  router_state& router = *call.router;
  std::vector<candidate> healthy = collect(call, home, false);
  const std::vector<candidate> avoided = collect(call, home, true);
  if (may_repeat(*call.way)) {
    for (const candidate& trial : avoided) {
      if (take_trial(router.health, trial.name, current_time())) {
        return {trial};
      }
    }
  }
  return healthy.empty() ? avoided : healthy;
}

// Refuses a call that cannot be begun in time. True if it was refused.
bool refuse_if_late(live_call& call, const pool& home, const placement& where) {
  const instant now = current_time();
  const double predicted = where.first_token_ms;
  call.predicted_ms = predicted;
  if (call.sends > 0) {
    return false;  // what was begun is brought to its end
  }
  if (!home.engine) {
    const double places = plain_queue_part * where.chosen->slots;
    if (where.running < places) {
      return false;
    }
    end_with_refusal(
        call, refusal::overloaded,
        retry_after(from_ms(predicted), call.give_up_at - now, random_part(*call.router)));
    return true;
  }
  call.position = share_position(call.router->shares, call.caller);
  const admission verdict = admit({.predicted = from_ms(predicted),
                                   .waited = now - call.arrived,
                                   .aim = call.way->target_latency,
                                   .left = call.give_up_at - now,
                                   .share_position = call.position,
                                   .jitter = random_part(*call.router)});
  if (verdict.admitted) {
    return false;
  }
  log_line(log_part::http, log_level::warn,
           "Call not taken on. call=" + call.request.id + " reason=" + to_text(verdict.why) +
               " best_target=" + where.chosen->name.value +
               " predicted_ms=" + std::to_string(static_cast<int>(predicted)) +
               " aim_ms=" + ms_text(call.way->target_latency) +
               " unread_ahead=" + std::to_string(static_cast<int>(where.unread_ahead)) +
               " kept=" + std::to_string(static_cast<int>(where.kept_tokens)) + " share_position=" +
               seconds_text(std::chrono::duration_cast<duration>(
                   std::chrono::duration<double>(call.position))));
  end_with_refusal(call, verdict.why, verdict.retry_after);
  return true;
}

// No target can take the call now.
void end_without_target(live_call& call) {
  if (call.answering) {
    end_broken_off(call, refusal::no_target);
  } else if (call.may_have_run) {
    end_with_failure(call, refusal::target_lost);
  } else {
    end_with_refusal(
        call, refusal::no_target,
        retry_after(refusal_pause, call.give_up_at - current_time(), random_part(*call.router)));
  }
}

// Finds route, organisation and time of a call. Null if it was refused.
live_call* admit_exchange(router_state& router, const std::shared_ptr<http_exchange>& exchange,
                          call_request request) {
  const instant now = current_time();
  const std::shared_ptr<const fleet_config>& config = router.store.config;
  if (config == nullptr) {
    refuse_at_once(router, *exchange, request, refusal::no_configuration, no_config_pause);
    return nullptr;
  }
  if (router.refusing) {
    refuse_at_once(router, *exchange, request, refusal::stopping, least_retry_after);
    return nullptr;
  }
  const route* way = find_route(*config, request.host, path_of(exchange->head.target));
  if (way == nullptr) {
    refuse_at_once(
        router, *exchange, request,
        config_may_be_old(router, now) ? refusal::no_configuration : refusal::unknown_route,
        config_may_be_old(router, now) ? no_config_pause : milliseconds{0});
    return nullptr;
  }
  const organisation* caller = nullptr;
  if (!way->is_public && !config->organisations.empty()) {
    caller = find_organisation(*config, request.key);
    if (caller == nullptr) {
      refuse_at_once(
          router, *exchange, request,
          config_may_be_old(router, now) ? refusal::no_configuration : refusal::unknown_key,
          config_may_be_old(router, now) ? no_config_pause : milliseconds{0});
      return nullptr;
    }
  }
  std::unique_ptr<live_call> owned = std::make_unique<live_call>();
  live_call& call = *owned;
  call.router = &router;
  call.number = exchange->id;
  call.exchange = exchange;
  call.request = std::move(request);
  call.config = config;
  call.way = way;
  call.caller = caller == nullptr ? organisation_name{} : caller->name;
  call.priority = caller != nullptr && caller->priority >= 0 ? caller->priority : way->priority;
  call.fingerprint = fingerprint_of(call.caller, path_of(exchange->head.target), exchange->body);
  call.arrived = exchange->first_byte;
  call.caller_leaves_at = call.arrived + call.request.wait.value_or(way->timeout);
  call.give_up_at = std::min(call.caller_leaves_at, call.arrived + way->timeout);
  call.last_event = call.request.last_event;
  router.calls.emplace(call.number, std::move(owned));
  return &call;
}

}  // namespace

live_call* find_call(router_state& router, std::uint64_t number) {
  auto found = router.calls.find(number);
  return found == router.calls.end() ? nullptr : found->second.get();
}

pool_state& pool_of(router_state& router, const pool_name& name) {
  return router.pools[name];
}

void handle_call(router_state& router, const std::shared_ptr<http_exchange>& exchange) {
  platform::decoded_call decoded = platform::decode_call(exchange->head);
  if (!decoded.problem.empty()) {
    refuse_at_once(router, *exchange, decoded.call, refusal::bad_call, duration{0});
    return;
  }
  live_call* call = admit_exchange(router, exchange, std::move(decoded.call));
  if (call == nullptr) {
    return;
  }
  if (is_refused(router.suspects, call->fingerprint)) {
    end_with_refusal(*call, refusal::suspect, duration{0});
    return;
  }
  watch_caller(*call);
  if (call->request.what_to_read.has_value()) {
    const prompt& what = *call->request.what_to_read;
    note_asked(router.shares, call->caller, what.tokens_in + 2 * what.expected_out, current_time());
  }
  place_call(*call);
}

void place_call(live_call& call) {
  router_state& router = *call.router;
  const instant now = current_time();
  const pool* home = choose_pool(call);
  if (call.give_up_at - now < least_time_to_send || home == nullptr ||
      call.tries > call.sends + max_unreachable) {
    end_without_target(call);
    return;
  }
  const std::vector<candidate> candidates = candidates_for(call, *home);
  if (candidates.empty()) {
    end_without_target(call);
    return;
  }
  const placement where = choose(call, *home, candidates);
  if (refuse_if_late(call, *home, where)) {
    return;
  }
  const target_state& target = router.store.targets.targets.at(where.chosen->name);
  if (now < target.cold_until) {
    note_cold_send(router.cold, target.entry.name, now);
  }
  start_attempt(call, target, where);
}

void end_attempt(live_call& call, call_result result) {
  router_state& router = *call.router;
  PERIDOT_CHECK(call.current != nullptr, "no attempt to end");
  std::unique_ptr<attempt> ended = std::move(call.current);
  call.silence_timer.reset();
  call.reading_paused = false;
  const instant now = current_time();
  note_ended(router.loads, ended->target, ended->cost);
  cancel_call(*ended->call);
  if (ended->counted) {
    return;
  }
  pool_state& state = pool_of(router, ended->pool);
  note_result(router.health, ended->target, result, state.failure_mean, now);
  const bool failure = result == call_result::failed || result == call_result::broken;
  state.failure_mean += pool_failure_memory * ((failure ? 1.0 : 0.0) - state.failure_mean);
  if (is_avoided(router.health, ended->target, now) && failure) {
    log_line(log_part::target, log_level::warn,
             "Target avoided. target=" + ended->target.value +
                 " failure_mean=" + std::to_string(failure_mean(router.health, ended->target)) +
                 " pool_mean=" + std::to_string(state.failure_mean));
  }
}

bool may_send_again(live_call& call) {
  router_state& router = *call.router;
  if (call.sends >= call.way->max_attempts ||
      call.give_up_at - current_time() < least_time_to_send ||
      is_refused(router.suspects, call.fingerprint)) {
    return false;
  }
  const pool* home = choose_pool(call);
  if (home == nullptr || (collect(call, *home, false).empty())) {
    return false;
  }
  if (!try_spend(pool_of(router, home->name).budget)) {
    ++router.counts.retries_denied;
    return false;
  }
  ++router.counts.retried;
  return true;
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

void note_broken_run(live_call& call) {
  router_state& router = *call.router;
  const instant now = current_time();
  std::erase_if(router.broken_runs,
                [now](const broken_run& run) { return now - run.at > crash_window; });
  if (router.broken_runs.size() < max_broken_runs) {
    router.broken_runs.push_back({call.current->target, call.fingerprint, now});
  }
}

void note_unreachable(router_state& router, const target_name& target) {
  const instant now = current_time();
  auto found = router.store.targets.targets.find(target);
  if (found != router.store.targets.targets.end()) {
    const pool* home = router.store.config == nullptr
                           ? nullptr
                           : find_pool(*router.store.config, found->second.entry.pool);
    if (home != nullptr) {
      mark_cold(found->second, home->cold_time, now);
    }
    forget_address(router.targets, found->second.entry.address);
  }
  std::erase_if(router.broken_runs, [&](const broken_run& run) {
    if (run.target != target || now - run.at > crash_window) {
      return false;
    }
    note_crash(router.suspects, run.fingerprint, now);
    log_line(log_part::target, log_level::warn,
             "Target crashed while it ran a call. target=" + target.value +
                 " fingerprint=" + std::to_string(run.fingerprint) +
                 " crashes=" + std::to_string(crash_count(router.suspects, run.fingerprint)));
    return true;
  });
}

}  // namespace peridot
