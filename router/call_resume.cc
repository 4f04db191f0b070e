// Calls that take a stream up: finds the build that began it (core/fleet/stream_builds.h).

#include <algorithm>

#include "net/log.h"
#include "router/call_internal.h"
#include "router/peer_internal.h"

namespace peridot {
namespace {

// A round trip within one region, and the loop iterations of two routers.
constexpr milliseconds build_query_timeout{150};
// Beyond the route's timeout, after which no caller takes a stream up.
constexpr milliseconds stream_age_margin{1'000};
// Also checked when a target comes or goes.
constexpr milliseconds build_check_interval{1'000};
constexpr milliseconds witness_check_interval{200};

std::uint64_t stream_of(const active_call& call) {
  return stream_key(call.request.resumes.empty() ? call.request.id : call.request.resumes);
}

duration longest_stream_of(const active_call& call) {
  return call.matched_route->timeout + stream_age_margin;
}

bool knows_current_targets(const router_state& router) {
  return !router.store.unavailable && is_current(router.view, revisions_known(router).target_items,
                                                 router.membership, current_time());
}

// The build of all streams of the pool that callers may still take up, if there is only one.
std::optional<build_id> build_of_all_streams(const router_state& router, const pool_name& pool,
                                             duration longest_stream) {
  return knows_current_targets(router)
             ? only_build(router.streams, pool, longest_stream, current_time())
             : std::nullopt;
}

// What this router knows of targets, for logs.
std::string view_text(const router_state& router) {
  const instant now = current_time();
  return "known=" + to_text(revisions_known(router).target_items) +
         " heard=" + to_text(router.view.newest_heard) +
         " confirmed=" + (is_confirmed(router.view, router.membership, now) ? "1" : "0") +
         " store_silent_ms=" +
         (router.view.store_answered_at == instant{}
              ? "-"
              : ms_text(now - router.view.store_answered_at));
}

void log_build(const active_call& call, const std::string& source) {
  log_call_line(log_part::http, log_level::info, [&]() {
    return "Stream is taken up. call=" + call.request.id +
           " resumes=" + (call.request.resumes.empty() ? "-" : call.request.resumes) +
           " build=" + (call.build.has_value() ? hex_text(*call.build) : "unknown") +
           " source=" + source + " waited_ms=" + ms_text(current_time() - call.arrived_at) + " " +
           view_text(*call.router);
  });
}

void place_with_build(active_call& call, build_id build, const std::string& source) {
  call.pending_build_query.reset();
  call.build = build;
  log_build(call, source);
  ++call.router->call_metrics.streams_taken_up;
  if (!call.request.resumes.empty()) {
    record_stream_build(call);
  }
  place_call(call);
}

void refuse_unknown_stream(active_call& call, const std::string& cause) {
  call.pending_build_query.reset();
  log_build(call, cause);
  ++call.router->call_metrics.streams_unknown;
  end_with_refusal(call, refusal::unknown_stream, duration{0});
}

// No further reply is awaited. What one peer says of the pool counts only if none contradicts it: a
// new build may not have reached that peer yet. The store may have answered meanwhile.
void finish_build_query(active_call& call, const std::string& cause) {
  const build_query& query = *call.pending_build_query;
  const std::optional<build_id> own =
      build_of_all_streams(*call.router, query.pool, longest_stream_of(call));
  const std::optional<build_id> only = query.only_build.has_value() ? query.only_build : own;
  if (!only.has_value() || query.has_several_builds) {
    refuse_unknown_stream(call, cause);
  } else {
    place_with_build(call, *only,
                     query.only_build.has_value() ? "only build by a peer" : "only build");
  }
}

void on_query_timeout(evutil_socket_t, short, void* argument) {
  finish_build_query(*static_cast<active_call*>(argument), "no reply");
}

void ask_peers(active_call& call, const pool& target_pool) {
  router_state& router = *call.router;
  const instant now = current_time();
  const std::vector<router_address> peers = routers_to_ask(router.membership, now);
  const bool asks_store = !is_confirmed(router.view, router.membership, now) &&
                          platform::confirm_targets(router.store_client, now);
  if (peers.empty() && !asks_store) {
    refuse_unknown_stream(call, "no peers");
    return;
  }
  wire::peer_message message;
  wire::stream_query& query = *message.mutable_stream_query();
  query.set_stream(stream_of(call));
  query.set_pool(target_pool.name.value);
  query.set_longest_stream_ms(static_cast<std::uint32_t>(to_ms(longest_stream_of(call))));
  send_to_peers(*router.peer_mesh, peers, message);
  call.pending_build_query = std::make_unique<build_query>();
  build_query& pending = *call.pending_build_query;
  pending.pool = target_pool.name;
  pending.replies_due = peers.size();
  pending.asks_store = asks_store;
  pending.has_several_builds = runs_several_builds(router.streams, target_pool.name);
  pending.timer.reset(evtimer_new(router.base.get(), on_query_timeout, &call));
  const timeval timeout = to_timeval(build_query_timeout);
  event_add(pending.timer.get(), &timeout);
}

void send_untold(router_state& router, instant now) {
  wire::peer_message message;
  wire::begun_streams& begun = *message.mutable_begun_streams();
  for (const std::pair<std::uint64_t, build_id>& stream : router.untold.streams) {
    begun.add_streams(stream.first);
    begun.add_builds(stream.second);
  }
  router.untold.streams.clear();
  router.untold.told_at = now;
  std::vector<router_address> witnesses;
  for (const router_identity& witness : router.streams.witnesses) {
    witnesses.push_back(witness.address);
  }
  if (witnesses.empty()) {
    return;
  }
  send_to_peers(*router.peer_mesh, witnesses, message);
}

// The pool whose targets the call's stream may run at.
bool has_several_builds(const active_call& call) {
  return std::any_of(call.matched_route->pools.begin(), call.matched_route->pools.end(),
                     [&call](const weighted_pool& option) {
                       return runs_several_builds(call.router->streams, option.pool);
                     });
}

// Queues all streams in progress whose pool runs several builds.
void queue_running_streams(router_state& router) {
  router.untold.streams.clear();
  for (const std::pair<const std::uint64_t, std::unique_ptr<active_call>>& entry : router.calls) {
    const active_call& call = *entry.second;
    if (call.build.has_value() && is_resumable_stream(call) && has_several_builds(call)) {
      router.untold.streams.emplace_back(stream_of(call), *call.build);
    }
  }
}

std::vector<pool_name> pools_with_several_builds(const stream_table& streams) {
  std::vector<pool_name> result;
  for (const std::pair<const pool_name, known_builds>& pool : streams.pools) {
    if (pool.second.builds.size() > 1) {
      result.push_back(pool.first);
    }
  }
  return result;
}

}  // namespace

bool is_resumable_stream(const active_call& call) {
  return call.matched_route->kind == call_kind::streaming && call.matched_route->resumable;
}

bool is_resumed(const active_call& call) {
  return call.matched_route->kind == call_kind::streaming &&
         (call.request.last_event_id.has_value() || !call.request.resumes.empty());
}

void place_resumed_call(active_call& call) {
  const std::optional<build_id> known = call.request.resumes.empty()
                                            ? std::nullopt
                                            : find_build(call.router->streams, stream_of(call));
  if (known.has_value()) {
    place_with_build(call, *known, "own");
    return;
  }
  const pool* target_pool = choose_pool(call);
  if (target_pool == nullptr) {
    refuse_unknown_stream(call, "no pool");
    return;
  }
  const std::optional<build_id> only =
      build_of_all_streams(*call.router, target_pool->name, longest_stream_of(call));
  if (only.has_value()) {
    place_with_build(call, *only, "only build");
  } else {
    ask_peers(call, *target_pool);
  }
}

void record_stream_build(active_call& call) {
  if (!is_resumable_stream(call)) {
    return;
  }
  router_state& router = *call.router;
  const instant now = current_time();
  remember_stream(router.streams, stream_of(call), *call.build, now);
  if (!has_several_builds(call)) {
    return;
  }
  router.untold.streams.emplace_back(stream_of(call), *call.build);
  if (now - router.untold.told_at >= min_tell_interval) {
    send_untold(router, now);
  }
}

void update_witnesses(router_state& router, instant now) {
  untold_streams& untold = router.untold;
  if (untold.targets_generation != router.store.targets.generation ||
      now - untold.builds_checked_at >= build_check_interval) {
    untold.targets_generation = router.store.targets.generation;
    untold.builds_checked_at = now;
    update_pool_builds(router.streams, router.store.targets, now);
  }
  std::vector<pool_name> pools = pools_with_several_builds(router.streams);
  if (pools.empty()) {
    router.streams.witnesses.clear();
    untold.pools.clear();
    return;
  }
  if (pools == untold.pools && now - untold.witnesses_checked_at < witness_check_interval) {
    return;
  }
  untold.witnesses_checked_at = now;
  std::vector<router_identity> witnesses = choose_witnesses(router.membership, now);
  if (witnesses != router.streams.witnesses || pools != untold.pools) {
    router.streams.witnesses = std::move(witnesses);
    untold.pools = std::move(pools);
    queue_running_streams(router);
  }
}

void send_due_streams(router_state& router, instant now) {
  if (!router.untold.streams.empty() && now - router.untold.told_at >= min_tell_interval) {
    send_untold(router, now);
  }
}

void on_begun_streams(router_state& router, const wire::begun_streams& message) {
  const instant now = current_time();
  const int count = std::min(message.streams_size(), message.builds_size());
  for (int index = 0; index < count; ++index) {
    remember_stream(router.streams, message.streams(index), message.builds(index), now);
  }
}

void on_stream_query(router_state& router, const router_identity& from,
                     const wire::stream_query& query) {
  const pool_name pool{query.pool()};
  const std::optional<build_id> build = find_build(router.streams, query.stream());
  const std::optional<build_id> only =
      build_of_all_streams(router, pool, milliseconds{query.longest_stream_ms()});
  wire::peer_message message;
  wire::stream_reply& reply = *message.mutable_stream_reply();
  reply.set_stream(query.stream());
  reply.set_known(build.has_value());
  reply.set_build(build.value_or(0));
  reply.set_has_only_build(only.has_value());
  reply.set_only_build(only.value_or(0));
  reply.set_has_several_builds(runs_several_builds(router.streams, pool));
  send_to_peers(*router.peer_mesh, {from.address}, message);
}

void on_stream_reply(router_state& router, const wire::stream_reply& reply) {
  std::vector<std::uint64_t> waiting;
  for (const std::pair<const std::uint64_t, std::unique_ptr<active_call>>& entry : router.calls) {
    if (entry.second->pending_build_query != nullptr &&
        stream_of(*entry.second) == reply.stream()) {
      waiting.push_back(entry.first);
    }
  }
  for (const std::uint64_t exchange_id : waiting) {
    active_call* call = find_call(router, exchange_id);
    if (call == nullptr) {
      continue;
    }
    if (reply.known()) {
      place_with_build(*call, reply.build(), "peer");
      continue;
    }
    build_query& pending = *call->pending_build_query;
    pending.has_several_builds = pending.has_several_builds || reply.has_several_builds();
    if (reply.has_only_build()) {
      // Two peers that name different builds contradict each other.
      pending.has_several_builds =
          pending.has_several_builds ||
          pending.only_build.value_or(reply.only_build()) != reply.only_build();
      pending.only_build = reply.only_build();
    }
    const bool is_answered = pending.only_build.has_value() && !pending.has_several_builds;
    if (--pending.replies_due == 0 && (is_answered || !pending.asks_store)) {
      finish_build_query(*call, "unknown to peers");
    }
  }
}

}  // namespace peridot
