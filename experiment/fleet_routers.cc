// Routers of a run: their clocks, ticks, messages, pauses, ends and restarts.

#include <algorithm>
#include <utility>

#include "core/check.h"
#include "experiment/fleet_state.h"

namespace peridot::experiment {
namespace {

constexpr std::size_t message_overhead_bytes = 100;  // seal, addresses, TCP and IP headers
constexpr duration network_jitter = std::chrono::milliseconds{1};
constexpr double slow_message = 0.002;  // share of messages that take much longer
constexpr duration slow_message_delay = std::chrono::milliseconds{300};

bool is_periodic(const wire::peer_message& message) {
  return !message.has_demand() && !message.has_grant() && !message.has_finish();
}

duration network_delay(fleet_state& fleet) {
  duration delay = fleet.options.one_way + between(fleet.random, duration{}, network_jitter);
  if (fleet.options.faults.loss > 0 && chance(fleet.random, slow_message)) {
    delay += between(fleet.random, duration{}, slow_message_delay);
  }
  return delay;
}

std::size_t router_at(const fleet_state& fleet, const router_address& address) {
  for (const driven_router& router : fleet.routers) {
    if (router.address == address) {
      return router.index;
    }
  }
  return fleet.routers.size();
}

void deliver(fleet_state& fleet, std::size_t to, const router_identity& from,
             const wire::peer_message& message, std::uint64_t to_incarnation) {
  driven_router& receiver = fleet.routers[to];
  if (receiver.core == nullptr) {
    return;
  }
  on_router(fleet, to, receiver.generation,
            [&fleet, to, from, message, to_incarnation](driven_router& router) {
              if (to_incarnation != 0 && to_incarnation != router.core->options.self.incarnation) {
                return;
              }
              if (fleet.options.stale_routers_keep_config && message.has_document()) {
                return;
              }
              effects todo;
              router_on_message(*router.core, from, message, local_time(router, fleet.queue.now),
                                todo);
              check_versions(fleet, router);
              carry_out(fleet, to, todo);
            });
}

void send(fleet_state& fleet, std::size_t from, const outgoing_message& message) {
  driven_router& sender = fleet.routers[from];
  const std::size_t bytes = message.message.ByteSizeLong() + message_overhead_bytes;
  sender.bytes += bytes;
  if (is_periodic(message.message)) {
    sender.periodic_bytes += bytes;
  }
  const std::size_t to = router_at(fleet, message.to);
  if (to == fleet.routers.size()) {
    return;
  }
  const router_identity identity = sender.core->options.self;
  const int copies = chance(fleet.random, fleet.options.faults.duplicate) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (chance(fleet.random, fleet.options.faults.loss)) {
      continue;
    }
    const wire::peer_message body = message.message;
    const std::uint64_t incarnation = message.to_incarnation;
    schedule_in(fleet.queue, network_delay(fleet),
                [&fleet, from, to, identity, body, incarnation]() {
                  if (fleet.routers[from].group == fleet.routers[to].group) {
                    deliver(fleet, to, identity, body, incarnation);
                  }
                });
  }
}

router_options make_options(fleet_state& fleet, const driven_router& router) {
  router_options options;
  options.name = "router-" + std::to_string(router.index);
  options.self = router_identity{router.address, fleet.random() | 1};
  options.domain = router.domain;
  options.http_address = "127.0.0.1:" + std::to_string(8000 + router.index);
  for (const driven_router& other : fleet.routers) {
    options.seeds.push_back(other.address);
  }
  options.fleet_key = "a fleet key for virtual runs";
  options.timeline_events = 64;
  options.policy = fleet.options.policy;
  return options;
}

// The callers of a router that ended see their connections break.
void break_connections(fleet_state& fleet, driven_router& router) {
  std::set<std::uint64_t> broken = std::exchange(router.open_calls, {});
  for (const std::pair<const std::uint64_t, attempt>& entry : router.attempts) {
    broken.insert(entry.second.call);
  }
  for (const std::pair<const std::uint64_t, std::vector<std::uint64_t>>& entry : router.joined) {
    broken.insert(entry.second.begin(), entry.second.end());
  }
  // A target notices the closed connection and drops the run.
  for (std::pair<const target_name, fake_target>& entry : fleet.targets) {
    std::erase_if(entry.second.running, [&](const std::pair<const std::uint64_t, target_run>& run) {
      const bool own = std::any_of(router.attempts.begin(), router.attempts.end(),
                                   [&run](const std::pair<const std::uint64_t, attempt>& tried) {
                                     return tried.second.run == run.first;
                                   });
      if (own) {
        fleet.units_done[run.second.organisation] += produced(run.second, fleet.queue.now);
      }
      return own;
    });
  }
  router.attempts.clear();
  router.joined.clear();
  for (std::uint64_t call : broken) {
    on_connection_broken(fleet, call);
  }
}

}  // namespace

instant local_time(const driven_router& router, instant true_time) {
  const double drifted =
      static_cast<double>(true_time.time_since_epoch().count()) * (1.0 + router.clock_drift);
  return instant{router.clock_offset + duration{static_cast<duration::rep>(drifted)}};
}

instant true_time(const driven_router& router, instant local) {
  const duration undrifted = local.time_since_epoch() - router.clock_offset;
  const double count = static_cast<double>(undrifted.count()) / (1.0 + router.clock_drift);
  return instant{duration{static_cast<duration::rep>(count)}};
}

bool is_running(const fleet_state& fleet, const driven_router& router) {
  return router.core != nullptr && fleet.queue.now >= router.paused_until;
}

void on_router(fleet_state& fleet, std::size_t index, std::uint64_t generation,
               const std::function<void(driven_router&)>& work) {
  driven_router& router = fleet.routers[index];
  if (router.core == nullptr || router.generation != generation) {
    return;
  }
  if (fleet.queue.now >= router.paused_until) {
    work(router);
    return;
  }
  router.while_paused.push_back([&fleet, index, generation, work]() {
    driven_router& woken = fleet.routers[index];
    if (woken.core != nullptr && woken.generation == generation) {
      work(woken);
    }
  });
}

void start_router(fleet_state& fleet, std::size_t index) {
  driven_router& router = fleet.routers[index];
  ++router.generation;
  router.paused_until = instant{};
  router.while_paused.clear();
  router.attempts.clear();
  router.highest_config = 0;
  router.core = std::make_unique<router_core>(
      make_router(make_options(fleet, router), local_time(router, fleet.queue.now)));
  if (fleet.options.forget_voter_start) {
    router.core->votes.started = instant{} - std::chrono::hours{24};
  }
  const std::uint64_t generation = router.generation;
  schedule_in(fleet.queue, between(fleet.random, duration{}, fleet.options.tick),
              [&fleet, index, generation]() { tick_router(fleet, index, generation); });
  watch_platform(fleet, index, generation);
}

void kill_router(fleet_state& fleet, std::size_t index, duration down_for) {
  driven_router& router = fleet.routers[index];
  if (router.core == nullptr) {
    return;
  }
  router.core.reset();
  router.while_paused.clear();
  break_connections(fleet, router);
  schedule_in(fleet.queue, down_for, [&fleet, index]() { start_router(fleet, index); });
}

void stop_router(fleet_state& fleet, std::size_t index) {
  driven_router& router = fleet.routers[index];
  on_router(fleet, index, router.generation, [&fleet, index](driven_router& stopping) {
    effects todo;
    router_stop(*stopping.core, local_time(stopping, fleet.queue.now), todo);
    carry_out(fleet, index, todo);
  });
}

void tick_router(fleet_state& fleet, std::size_t index, std::uint64_t generation) {
  driven_router& router = fleet.routers[index];
  if (router.core == nullptr || router.generation != generation) {
    return;
  }
  if (fleet.queue.now < router.paused_until) {
    schedule_at(fleet.queue, router.paused_until,
                [&fleet, index, generation]() { tick_router(fleet, index, generation); });
    return;
  }
  std::vector<std::function<void()>> waiting = std::exchange(router.while_paused, {});
  for (const std::function<void()>& work : waiting) {
    work();
  }
  if (router.core == nullptr || router.generation != generation) {
    return;
  }
  const instant now = local_time(router, fleet.queue.now);
  effects todo;
  router_tick(*router.core, now, todo);
  check_versions(fleet, router);
  carry_out(fleet, index, todo);
  check_holders(fleet);
  if (router.core->stopping && is_drained(*router.core)) {
    if (!router.attempts.empty()) {
      violated(fleet, "a planned stop ended with calls running");
    }
    router.core.reset();
    break_connections(fleet, router);
    schedule_in(fleet.queue, std::chrono::milliseconds{500},
                [&fleet, index]() { start_router(fleet, index); });
    return;
  }
  schedule_in(fleet.queue, fleet.options.tick,
              [&fleet, index, generation]() { tick_router(fleet, index, generation); });
}

void carry_out(fleet_state& fleet, std::size_t index, effects& todo) {
  for (const outgoing_message& message : todo.messages) {
    send(fleet, index, message);
  }
  for (const dispatch& what : todo.dispatches) {
    dispatch_run(fleet, index, what);
  }
  for (const decision& what : todo.decisions) {
    on_decision(fleet, index, what);
  }
  for (const target_config& target : todo.load_polls) {
    poll_target(fleet, index, target);
  }
}

}  // namespace peridot::experiment
