// Faults: each kind comes at random times of its own, so any two may coincide.

#include <utility>

#include "experiment/fleet_state.h"

namespace peridot::experiment {
namespace {

using fault = void (*)(fleet_state&);

void kill_one(fleet_state& fleet) {
  const std::size_t index = below(fleet.random, fleet.routers.size());
  kill_router(fleet, index,
              between(fleet.random, std::chrono::milliseconds{50}, std::chrono::seconds{4}));
}

void restart_all_but_one(fleet_state& fleet) {
  const std::size_t survivor = below(fleet.random, fleet.routers.size());
  for (const driven_router& router : fleet.routers) {
    if (router.index != survivor) {
      kill_router(
          fleet, router.index,
          between(fleet.random, std::chrono::milliseconds{20}, std::chrono::milliseconds{200}));
    }
  }
}

// Half of the pauses outlast a lease.
void pause_one(fleet_state& fleet) {
  const std::size_t index = below(fleet.random, fleet.routers.size());
  const duration time =
      between(fleet.random, std::chrono::milliseconds{300}, std::chrono::seconds{4});
  fleet.routers[index].paused_until = fleet.queue.now + time;
}

void heal(fleet_state& fleet) {
  for (driven_router& router : fleet.routers) {
    router.group = 0;
  }
}

void cut_fleet(fleet_state& fleet) {
  for (driven_router& router : fleet.routers) {
    router.group = static_cast<int>(below(fleet.random, 2));
  }
  schedule_in(fleet.queue,
              between(fleet.random, std::chrono::milliseconds{500}, std::chrono::seconds{6}),
              [&fleet]() { heal(fleet); });
}

fake_target& random_target(fleet_state& fleet) {
  std::map<target_name, fake_target>::iterator chosen = fleet.targets.begin();
  std::advance(chosen, static_cast<std::ptrdiff_t>(below(fleet.random, fleet.targets.size())));
  return chosen->second;
}

void crash_one_target(fleet_state& fleet) {
  lose_runs(fleet, random_target(fleet),
            between(fleet.random, std::chrono::milliseconds{1}, std::chrono::seconds{3}));
}

void stop_service(fleet_state& fleet) {
  fleet.platform.down_until =
      fleet.queue.now + between(fleet.random, std::chrono::seconds{1}, std::chrono::seconds{10});
}

void make_service_stale(fleet_state& fleet) {
  if (fleet.queue.now >= fleet.platform.stale_until) {
    fleet.platform.old_config_text = fleet.platform.config_text;
  }
  fleet.platform.stale_until =
      fleet.queue.now + between(fleet.random, std::chrono::seconds{1}, std::chrono::seconds{10});
}

// At most one failure domain is out at a time: operators keep capacity.
void withdraw_or_return(fleet_state& fleet) {
  if (!fleet.platform.out.empty() || !fleet.platform.drained.empty()) {
    fleet.platform.out.clear();
    fleet.platform.drained.clear();
  } else if (chance(fleet.random, 0.5)) {
    const std::uint64_t index = below(fleet.random, fleet.options.domains);
    fleet.platform.out.insert(domain_name{"domain-" + std::to_string(index)});
  } else {
    fleet.platform.drained.insert(random_target(fleet).config.name);
  }
  publish_config(fleet);
}

void stop_one(fleet_state& fleet) {
  stop_router(fleet, below(fleet.random, fleet.routers.size()));
}

void repeat_fault(fleet_state& fleet, const std::string& kind, duration every, fault inject) {
  schedule_in(fleet.queue, exponential(fleet.random, every), [&fleet, kind, every, inject]() {
    if (fleet.queue.now - fleet.began > fleet.options.faults.last_fault) {
      return;
    }
    ++fleet.report.faults[kind];
    inject(fleet);
    repeat_fault(fleet, kind, every, inject);
  });
}

}  // namespace

void start_faults(fleet_state& fleet) {
  const fault_plan& plan = fleet.options.faults;
  struct planned_fault {
    const char* kind;
    duration every;
    fault inject;
  };
  const planned_fault planned[] = {
      {"router_kill", plan.kill_every, kill_one},
      {"mass_restart", plan.mass_restart_every, restart_all_but_one},
      {"router_pause", plan.pause_every, pause_one},
      {"network_cut", plan.cut_every, cut_fleet},
      {"target_crash", plan.crash_every, crash_one_target},
      {"service_down", plan.service_down_every, stop_service},
      {"service_stale", plan.service_stale_every, make_service_stale},
      {"withdrawal", plan.withdraw_every, withdraw_or_return},
      {"poison_request", plan.poison_every, begin_poison},
      {"planned_stop", plan.stop_every, stop_one},
  };
  for (const planned_fault& each : planned) {
    if (each.every > duration{}) {
      repeat_fault(fleet, each.kind, each.every, each.inject);
    }
  }
}

}  // namespace peridot::experiment
