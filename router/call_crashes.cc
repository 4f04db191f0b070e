// Crashes of targets: what they tell about the calls that they interrupt, and what happens to calls
// that are suspected of crashing targets.

#include <algorithm>
#include <utility>

#include "core/base/stable_hash.h"
#include "net/log.h"
#include "router/call_internal.h"

namespace peridot {
namespace {

std::string signatures_text(const std::vector<std::uint64_t>& signatures) {
  std::string text;
  for (std::uint64_t signature : signatures) {
    text += (text.empty() ? "" : ",") + hex_text(signature);
  }
  return text;
}

// The evidence for a suspect, for logs.
std::string evidence_text(const crash_suspect& suspect, instant now) {
  std::set<router_address> reporters;
  for (const crash_event& event : suspect.events) {
    reporters.insert(event.reporters.begin(), event.reporters.end());
  }
  std::string reporters_text;
  for (const router_address& reporter : reporters) {
    reporters_text += (reporters_text.empty() ? "" : ",") + reporter.value;
  }
  return "signatures=" + signatures_text(suspect.signatures) +
         " crashes=" + std::to_string(suspect.crashes) + " reported_by=" + reporters_text +
         " oldest_crash_ms=" + ms_text(now - suspect.events.front().at) +
         " newest_crash_ms=" + ms_text(now - suspect.newest_crash_at);
}

// An idle connection that the target has closed breaks sooner when it is used again.
constexpr milliseconds min_crash_delay{10};
// The target's system refuses a connection in a round trip if the target has ended.
constexpr milliseconds crash_probe_timeout{200};

// True if the attempt may be what crashed its target: the response has not begun, or only lately.
bool may_have_crashed_target(const target_attempt& attempt, instant now) {
  return !attempt.first_event_forwarded || now - attempt.first_event_at <= max_crash_delay;
}

// True if the target may have closed the connection while it was idle, without seeing the call. A
// target that the call crashes at once breaks it as soon.
bool may_have_been_stale(const target_attempt& attempt, instant now) {
  return attempt.target_call->reused_connection && attempt.response_head.status == 0 &&
         now - attempt.sent_at < min_crash_delay;
}

void record_crash_evidence(router_state& router, const crash_event& event) {
  ++router.call_metrics.crash_evidence;
  record_crash(router.crash_suspects, event, current_time());
  schedule_crash_update(router);
}

// A target that has ended refuses connections, and all of its connections are gone. One that closes
// idle connections, restarts before it is tried or has too many connections does not.
void on_crash_probe(router_state& router, const target_name& target, const std::string& address,
                    probe_result result) {
  const std::map<target_name, crash_probe>::node_type ended = router.crash_probes.extract(target);
  if (result != probe_result::refused || has_connection_to(router.target_client, address)) {
    return;
  }
  ++router.call_metrics.crash_probes_refused;
  log_line(log_part::target, log_level::warn,
           "Target does not listen any more: calls that it broke off at once may have crashed it. "
           "target=" +
               target.value + " calls=" + std::to_string(ended.mapped().events.size()));
  for (const crash_event& event : ended.mapped().events) {
    record_crash_evidence(router, event);
  }
}

// Records the crash if the target turns out to have ended.
void probe_crashed_target(router_state& router, const target_attempt& attempt,
                          const crash_event& event) {
  crash_probe& pending = router.crash_probes[attempt.target];
  pending.events.push_back(event);
  if (pending.probe != nullptr) {
    return;
  }
  ++router.call_metrics.crash_probes;
  const std::string address = attempt.target_call->request.address;
  pending.probe = start_probe(router.base.get(), address, crash_probe_timeout,
                              [&router, target = attempt.target, address](probe_result result) {
                                on_crash_probe(router, target, address, result);
                              });
}

// Ends the call, which is suspected of crashing the target that has it.
void withdraw_suspect_call(active_call& call) {
  call.may_have_run = true;
  call.current_attempt->ignore_result = true;
  end_attempt(call, call_result::success);
  if (call.response_started) {
    end_with_aborted_response(call, refusal::suspect);
  } else {
    end_with_failure(call, refusal::suspect);
  }
}

// Ends the suspect calls at targets that have not begun to answer them: a target that drops them in
// time does not crash.
void withdraw_suspect_calls(router_state& router) {
  std::vector<active_call*> suspect_calls;
  for (const std::pair<const std::uint64_t, std::unique_ptr<active_call>>& entry : router.calls) {
    active_call& call = *entry.second;
    if (call.current_attempt != nullptr && !call.current_attempt->first_event_forwarded &&
        !call.is_trial && find_suspect(router.crash_suspects, call.signatures) != nullptr) {
      suspect_calls.push_back(&call);
    }
  }
  for (active_call* call : suspect_calls) {
    withdraw_suspect_call(*call);
  }
}

// Number of live routers whose turn to try the suspect comes before this router's.
std::size_t trial_rank(const router_state& router, const crash_suspect& suspect, instant now) {
  const std::uint64_t signature = suspect.signatures.front();
  const std::uint64_t own_hash = stable_hash(router.self.address.value, signature);
  return static_cast<std::size_t>(std::count_if(
      router.membership.peers.begin(), router.membership.peers.end(),
      [&](const std::pair<const router_address, peer_state>& peer) {
        return is_alive(peer.second, now) && stable_hash(peer.first.value, signature) > own_hash;
      }));
}

}  // namespace

void record_interrupted_call(active_call& call) {
  router_state& router = *call.router;
  const instant now = current_time();
  const target_attempt& attempt = *call.current_attempt;
  if (!may_have_crashed_target(attempt, now)) {
    return;
  }
  const crash_event event =
      make_crash_event(attempt.target, now, call.signatures, router.self.address);
  if (may_have_been_stale(attempt, now)) {
    probe_crashed_target(router, attempt, event);
  } else {
    record_crash_evidence(router, event);
  }
}

void record_completed_call(const active_call& call) {
  record_completion(call.router->crash_suspects, call.signatures, current_time());
}

void update_crash_suspects(router_state& router) {
  const instant now = current_time();
  const suspect_changes changes = update_suspects(router.crash_suspects, now);
  for (const crash_suspect& suspect : changes.added) {
    ++router.call_metrics.suspects_found;
    log_line(log_part::target, log_level::warn,
             "Calls with these signatures crash targets and are refused. " +
                 evidence_text(suspect, now));
  }
  for (const crash_suspect& suspect : changes.ended) {
    ++router.call_metrics.suspects_ended;
    log_line(log_part::target, log_level::info,
             "Calls with these signatures are no longer refused. signatures=" +
                 signatures_text(suspect.signatures));
  }
  if (!changes.added.empty()) {
    run_later(router.base.get(), [&router]() { withdraw_suspect_calls(router); });
  }
}

void schedule_crash_update(router_state& router) {
  if (std::exchange(router.crash_update_pending, true)) {
    return;
  }
  run_later(router.base.get(), [&router]() {
    router.crash_update_pending = false;
    update_crash_suspects(router);
  });
}

bool refuse_if_suspect(active_call& call) {
  router_state& router = *call.router;
  const instant now = current_time();
  const crash_suspect* suspect = find_suspect(router.crash_suspects, call.signatures);
  if (suspect == nullptr) {
    return false;
  }
  if (is_trial_due(router.crash_suspects, *suspect, trial_rank(router, *suspect, now), now)) {
    ++router.call_metrics.suspect_trials;
    call.is_trial = true;
    log_line(log_part::target, log_level::warn,
             "Trial of a call that is suspected of crashing targets. call=" + call.request.id +
                 " " + evidence_text(*suspect, now));
    record_trial(router.crash_suspects, *suspect, now);
    return false;
  }
  log_line(log_part::http, log_level::warn,
           "Call is suspected of crashing targets. call=" + call.request.id + " " +
               evidence_text(*suspect, now));
  end_with_refusal(call, refusal::suspect, duration{0});
  return true;
}

bool may_retry_after_crashes(const active_call& call) {
  const crash_suspect_table& table = call.router->crash_suspects;
  return !call.is_trial && find_suspect(table, call.signatures) == nullptr &&
         crash_count(table, call.signatures) < crashes_before_no_retry;
}

void handle_unreachable_target(router_state& router, const target_name& target) {
  auto found = router.store.targets.targets.find(target);
  if (found == router.store.targets.targets.end()) {
    return;
  }
  const pool* target_pool = router.store.config == nullptr
                                ? nullptr
                                : find_pool(*router.store.config, found->second.entry.pool);
  doubt_build(found->second, current_time());
  if (target_pool != nullptr) {
    mark_cold(found->second, target_pool->cold_time, current_time());
  }
  close_idle_connections_to(router.target_client, found->second.entry.address);
}

}  // namespace peridot
