// Callers: backlogged organisations, open-loop traffic, keyed calls that are sent
// again, and calls that crash targets.

#include <algorithm>
#include <utility>

#include "core/check.h"
#include "experiment/fleet_state.h"

namespace peridot::experiment {
namespace {

constexpr duration caller_way = std::chrono::milliseconds{3};
constexpr duration resend_pause = std::chrono::milliseconds{500};
constexpr std::uint32_t max_sends = 20;
constexpr std::uint64_t poison_fingerprint = 0x706f69736f6eULL;

std::size_t choose_router(fleet_state& fleet, const caller_group& group) {
  const std::uint64_t count = fleet.routers.size();
  const std::uint64_t home = stable_hash(group.organisation.value) % count;
  const bool at_home = chance(fleet.random, group.skew);
  std::size_t index = at_home ? home : below(fleet.random, count);
  // The platform's balancer skips routers that it sees down.
  for (std::uint64_t step = 0; step < count; ++step) {
    const driven_router& router = fleet.routers[index];
    if (router.core != nullptr && !router.core->stopping) {
      return index;
    }
    index = (index + 1) % count;
  }
  return index;
}

void count_answer(fleet_state& fleet, const std::string& what) {
  ++fleet.report.answers[what];
}

void end_call(fleet_state& fleet, std::uint64_t id, const std::string& what);

void close_connections(fleet_state& fleet, std::uint64_t id) {
  for (driven_router& router : fleet.routers) {
    router.open_calls.erase(id);
  }
}

void send_later(fleet_state& fleet, std::uint64_t id, duration pause) {
  schedule_in(fleet.queue, pause, [&fleet, id]() { send_call(fleet, id); });
}

// A call that was not run is sent again while its caller has patience.
void send_again_or_end(fleet_state& fleet, std::uint64_t id, duration pause,
                       const std::string& what) {
  std::map<std::uint64_t, caller_call>::iterator found = fleet.calls.find(id);
  if (found == fleet.calls.end()) {
    return;
  }
  close_connections(fleet, id);
  if (found->second.sends < max_sends) {
    send_later(fleet, id, std::max(pause, resend_pause));
  } else {
    end_call(fleet, id, what);
  }
}

void take_key(fleet_state& fleet, caller_call& call) {
  const caller_group& group = fleet.options.callers[call.group];
  driven_router& issuer = fleet.routers[choose_router(fleet, group)];
  if (is_running(fleet, issuer) && !issuer.core->stopping) {
    call.key = issue_key(issuer.core->keys, local_time(issuer, fleet.queue.now));
  }
}

new_request make_request(const fleet_state& fleet, const caller_call& call) {
  const caller_group& group = fleet.options.callers[call.group];
  new_request request;
  request.organisation = group.organisation;
  request.profile = group.profile;
  const bool same_body = call.poison && !fleet.options.poison_in_disguise;
  request.fingerprint = same_body ? poison_fingerprint : stable_hash("body", call.id);
  return request;
}

void submit_call(fleet_state& fleet, driven_router& router, caller_call& call,
                 std::optional<std::uint64_t> key_sequence) {
  effects todo;
  const submit_result result = router_submit(*router.core, make_request(fleet, call),
                                             local_time(router, fleet.queue.now), todo);
  if (result.accepted) {
    attempt tried;
    tried.call = call.id;
    tried.key_sequence = key_sequence;
    router.attempts.emplace(result.id, tried);
  } else {
    if (key_sequence) {
      withdraw_call(router.core->keys, *key_sequence);
    }
    const std::string what = std::string("not_run_") + to_text(result.why);
    count_answer(fleet, "refused_" + what);
    if (result.why == refusal::suspect) {
      end_call(fleet, call.id, what);  // final: it would be refused for minutes
    } else {
      send_again_or_end(fleet, call.id, result.retry_after, what);
    }
  }
  carry_out(fleet, router.index, todo);
}

// The issuer of the key, as its caller's router reaches it.
driven_router* reach_issuer(fleet_state& fleet, const driven_router& from, const parsed_key& key) {
  for (driven_router& router : fleet.routers) {
    if (router.address == key.issuer.address && router.group == from.group &&
        is_running(fleet, router)) {
      return &router;
    }
  }
  return nullptr;
}

void begin_keyed(fleet_state& fleet, driven_router& issuer, caller_call& call,
                 const parsed_key& key) {
  const begin_result begun =
      begin_call(issuer.core->keys, key, call.id, local_time(issuer, fleet.queue.now));
  switch (begun.what) {
    case begin_result::kind::start:
      submit_call(fleet, issuer, call, key.sequence);
      return;
    case begin_result::kind::join:
      issuer.joined[key.sequence].push_back(call.id);
      return;
    case begin_result::kind::replay:
      end_call(fleet, call.id, begun.answer->how == outcome::done ? "done" : "unknown_replayed");
      return;
    case begin_result::kind::not_mine:
      end_call(fleet, call.id, "unknown_key_issuer_gone");
      return;
    case begin_result::kind::expired:
    case begin_result::kind::conflict:
      violated(fleet, "a key was refused that is good");
      return;
    case begin_result::kind::full:
      send_again_or_end(fleet, call.id, resend_pause, "not_run_overloaded");
      return;
  }
}

void send_keyed(fleet_state& fleet, driven_router& router, caller_call& call) {
  if (call.key.empty()) {
    take_key(fleet, call);
  }
  const std::optional<parsed_key> key = parse_key(call.key, router.core->options.fleet_key);
  if (!key) {
    send_again_or_end(fleet, call.id, resend_pause, "not_run_no_key");
    return;
  }
  if (fleet.options.repeat_without_issuer) {
    submit_call(fleet, router, call, std::nullopt);
    return;
  }
  driven_router* issuer = reach_issuer(fleet, router, *key);
  if (issuer == nullptr) {
    send_again_or_end(fleet, call.id, std::chrono::seconds{1}, "unknown_issuer_unreachable");
    return;
  }
  begin_keyed(fleet, *issuer, call, *key);
}

std::uint64_t add_call(fleet_state& fleet, std::size_t group_index) {
  const caller_group& group = fleet.options.callers[group_index];
  caller_call call;
  call.id = fleet.next_call++;
  call.group = group_index;
  call.keyed = group.keyed;
  call.cost = group.lowest_cost + uniform(fleet.random) * (group.highest_cost - group.lowest_cost);
  call.sent = fleet.queue.now;
  const std::uint64_t id = call.id;
  fleet.calls.emplace(id, std::move(call));
  ++fleet.report.calls;
  if (group.keyed) {
    ++fleet.report.keyed_calls;
  }
  return id;
}

bool is_sending(const fleet_state& fleet, const caller_group& group) {
  const duration at = fleet.queue.now - fleet.began;
  return at >= group.from && at < group.until && at < fleet.options.length;
}

void send_open_loop(fleet_state& fleet, std::size_t group_index) {
  const caller_group& group = fleet.options.callers[group_index];
  if (fleet.queue.now - fleet.began >= group.until) {
    return;
  }
  send_call(fleet, add_call(fleet, group_index));
  schedule_in(fleet.queue, exponential(fleet.random, group.every),
              [&fleet, group_index]() { send_open_loop(fleet, group_index); });
}

void end_call(fleet_state& fleet, std::uint64_t id, const std::string& what) {
  std::map<std::uint64_t, caller_call>::iterator found = fleet.calls.find(id);
  if (found == fleet.calls.end()) {
    return;  // its caller has given up, or was answered over another connection
  }
  const caller_call& call = found->second;
  count_answer(fleet, what);
  if (call.keyed) {
    fleet.report.keyed_done += what == "done" ? 1 : 0;
    fleet.report.keyed_unknown += what.starts_with("unknown") ? 1 : 0;
  }
  if (what.starts_with("not_run") && call.runs > 0 && call.keyed) {
    violated(fleet, "a caller was told not_run for a call that ran");
  }
  const caller_group& group = fleet.options.callers[call.group];
  const std::size_t group_index = call.group;
  std::map<std::uint64_t, watched_call>::iterator watched = fleet.watched.find(id);
  if (watched != fleet.watched.end()) {
    watched->second = {call, what, watched->second.answers + 1};
  }
  close_connections(fleet, id);
  fleet.calls.erase(id);
  if (group.backlog > 0 && is_sending(fleet, group)) {
    send_call(fleet, add_call(fleet, group_index));
  }
}

}  // namespace

void send_call(fleet_state& fleet, std::uint64_t id) {
  std::map<std::uint64_t, caller_call>::iterator sent = fleet.calls.find(id);
  if (sent == fleet.calls.end()) {
    return;  // answered over another connection in the meantime
  }
  caller_call& call = sent->second;
  ++call.sends;
  call.last_sent = fleet.queue.now;
  const std::size_t index = choose_router(fleet, fleet.options.callers[call.group]);
  schedule_in(fleet.queue, caller_way, [&fleet, id, index]() {
    driven_router& router = fleet.routers[index];
    if (router.core == nullptr) {
      send_again_or_end(fleet, id, resend_pause, "not_run_no_router");
      return;
    }
    router.open_calls.insert(id);
    on_router(fleet, index, router.generation, [&fleet, id](driven_router& running) {
      std::map<std::uint64_t, caller_call>::iterator found = fleet.calls.find(id);
      if (found == fleet.calls.end()) {
        return;
      }
      if (found->second.keyed) {
        send_keyed(fleet, running, found->second);
      } else {
        submit_call(fleet, running, found->second, std::nullopt);
      }
    });
  });
}

void on_attempt_done(fleet_state& fleet, std::size_t index, std::uint64_t request) {
  driven_router& router = fleet.routers[index];
  const attempt tried = router.attempts.at(request);
  router.attempts.erase(request);
  end_call(fleet, tried.call, "done");
  if (!tried.key_sequence) {
    return;
  }
  complete_call(router.core->keys, *tried.key_sequence, {.status = 200, .how = outcome::done});
  for (std::uint64_t call : std::exchange(router.joined[*tried.key_sequence], {})) {
    if (call != tried.call && fleet.calls.contains(call)) {
      end_call(fleet, call, "done");
    }
  }
}

void on_decision(fleet_state& fleet, std::size_t index, const decision& what) {
  driven_router& router = fleet.routers[index];
  std::map<std::uint64_t, attempt>::iterator found = router.attempts.find(what.request);
  PERIDOT_CHECK(found != router.attempts.end(), "a decision names an unknown request");
  const attempt tried = found->second;
  router.attempts.erase(found);
  const std::string text = std::string(to_text(what.how)) + "_" + to_text(what.why);
  if (what.how == outcome::not_run && tried.reached > 0) {
    violated(fleet, "not_run was answered for an attempt that reached a target");
  }
  if (tried.key_sequence) {
    if (what.how == outcome::not_run) {
      withdraw_call(router.core->keys, *tried.key_sequence);
    } else {
      complete_call(router.core->keys, *tried.key_sequence, {.how = what.how, .why = what.why});
    }
    router.joined.erase(*tried.key_sequence);
  }
  if (what.how == outcome::not_run && what.why != refusal::suspect) {
    count_answer(fleet, "refused_" + text);
    send_again_or_end(fleet, tried.call, what.retry_after, text);
  } else {
    end_call(fleet, tried.call, text);
  }
}

void on_connection_broken(fleet_state& fleet, std::uint64_t id) {
  std::map<std::uint64_t, caller_call>::iterator found = fleet.calls.find(id);
  if (found == fleet.calls.end()) {
    return;
  }
  count_answer(fleet, "connection_broken");
  // A call without a key may be repeated; one with a key is repeated under it.
  send_again_or_end(fleet, id, resend_pause, "unknown_connection_broken");
}

void start_callers(fleet_state& fleet) {
  for (std::size_t index = 0; index < fleet.options.callers.size(); ++index) {
    const caller_group& group = fleet.options.callers[index];
    schedule_in(fleet.queue, group.from, [&fleet, index, &group]() {
      for (std::uint32_t call = 0; call < group.backlog; ++call) {
        send_call(fleet, add_call(fleet, index));
      }
      if (group.every > duration{}) {
        send_open_loop(fleet, index);
      }
    });
  }
}

void begin_poison(fleet_state& fleet) {
  for (std::size_t index = 0; index < fleet.options.callers.size(); ++index) {
    if (!fleet.options.callers[index].keyed) {
      const std::uint64_t id = add_call(fleet, index);
      fleet.calls.at(id).poison = true;
      send_call(fleet, id);
      return;
    }
  }
}

}  // namespace peridot::experiment
