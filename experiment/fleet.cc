#include "experiment/fleet.h"

#include <algorithm>
#include <utility>

#include "experiment/fleet_state.h"

namespace peridot::experiment {
namespace {

constexpr double largest_drift = 0.001;  // of a router's clock
constexpr duration start_of_time = std::chrono::hours{1};

void make_targets(fleet_state& fleet) {
  const fleet_options& options = fleet.options;
  for (std::uint32_t index = 0; index < options.engines + options.services; ++index) {
    const bool engine = index < options.engines;
    fake_target target;
    target.config.name.value = (engine ? "engine-" : "service-") + std::to_string(index);
    target.config.address = "127.0.0.1:" + std::to_string(9000 + index);
    target.config.pool.value = engine ? "explain" : "booking";
    target.config.domain.value = "domain-" + std::to_string(index % options.domains);
    target.config.warm_limit = options.warm_limit;
    target.config.cold_limit = options.cold_limit;
    target.config.ramp_calls = 2;
    target.config.reserved_slots = 0;
    target.completed = options.start_warm ? 1'000 : 0;
    fleet.targets.emplace(target.config.name, target);
  }
}

void make_routers(fleet_state& fleet) {
  for (std::uint32_t index = 0; index < fleet.options.routers; ++index) {
    driven_router router;
    router.index = index;
    router.address.value = "127.0.0.1:" + std::to_string(7000 + index);
    router.domain.value = "domain-" + std::to_string(index % fleet.options.domains);
    router.clock_offset = between(fleet.random, duration{}, std::chrono::hours{10});
    router.clock_drift = (uniform(fleet.random) * 2 - 1) * largest_drift;
    fleet.routers.push_back(std::move(router));
  }
}

void summarise_service(fleet_state& fleet) {
  double busy = 0;
  double able = 0;
  for (const service_sample& sample : fleet.report.samples) {
    if (sample.waiting && sample.at > std::chrono::seconds{5}) {
      busy += sample.busy;
      able += sample.able;
    }
  }
  fleet.report.utilisation = able > 0 ? busy / able : 1;
  fleet.report.units = fleet.units_done;
  std::vector<duration>& times = fleet.first_units;
  std::sort(times.begin(), times.end());
  if (!times.empty()) {
    fleet.report.first_unit_p50 = times[times.size() / 2];
    fleet.report.first_unit_p95 = times[times.size() * 95 / 100];
  }
}

void summarise_control(fleet_state& fleet) {
  double bytes = 0;
  double periodic = 0;
  for (const driven_router& router : fleet.routers) {
    bytes += static_cast<double>(router.bytes);
    periodic += static_cast<double>(router.periodic_bytes);
  }
  const double seconds = std::chrono::duration<double>(fleet.options.length).count();
  const double nodes = static_cast<double>(fleet.routers.size());
  fleet.report.control_bytes_per_second = bytes / seconds / nodes;
  fleet.report.periodic_bytes_per_second = periodic / seconds / nodes;
  fleet.report.service_calls_per_second = static_cast<double>(fleet.platform.calls) / seconds;
}

double bound_of(const fleet_options& options) {
  gap_inputs inputs;
  inputs.slots = options.engines * options.warm_limit;
  inputs.owners = std::min(options.shards_per_pool, options.routers);
  inputs.service_rate = inputs.slots * units_per_second;
  inputs.exchange = std::chrono::milliseconds{250};
  for (const caller_group& group : options.callers) {
    inputs.cost_ceiling = std::max(inputs.cost_ceiling, group.highest_cost);
    inputs.lowest_weight = std::min(inputs.lowest_weight, group.weight);
  }
  return fairness_gap_bound(inputs);
}

}  // namespace

fleet_report run_fleet(const fleet_options& options) {
  fleet_state fleet;
  fleet.options = options;
  fleet.random.seed(options.seed);
  fleet.queue.now = instant{start_of_time};
  fleet.began = fleet.queue.now;
  make_targets(fleet);
  make_routers(fleet);
  fleet.platform.config_text = make_config_text(fleet);
  fleet.platform.old_config_text = fleet.platform.config_text;
  fleet.platform.list_text = make_list_text(fleet);
  for (const driven_router& router : fleet.routers) {
    start_router(fleet, router.index);
  }
  sample_targets(fleet);
  sample_service(fleet);
  start_callers(fleet);
  start_faults(fleet);
  for (const std::pair<duration, std::string>& step : options.operator_steps) {
    const std::string text = step.second;
    schedule_in(fleet.queue, step.first, [&fleet, text]() { operator_step(fleet, text); });
  }
  if (options.on_start) {
    options.on_start(fleet);
  }
  const instant end = fleet.began + options.length;
  while (run_next(fleet.queue, end)) {
  }
  if (options.on_end) {
    options.on_end(fleet);
  }
  check_settled(fleet);
  fleet.report.gap = largest_gap(fleet);
  fleet.report.gap_bound = bound_of(options);
  summarise_service(fleet);
  summarise_control(fleet);
  return fleet.report;
}

fleet_options small_fleet(std::uint64_t seed) {
  fleet_options options;
  options.seed = seed;
  options.routers = 5;
  options.engines = 4;
  options.services = 2;
  options.shards_per_pool = 2;
  options.faults.loss = 0.01;
  options.faults.duplicate = 0.01;
  options.faults.kill_every = std::chrono::seconds{8};
  options.faults.mass_restart_every = std::chrono::seconds{40};
  options.faults.pause_every = std::chrono::seconds{8};
  options.faults.cut_every = std::chrono::seconds{15};
  options.faults.crash_every = std::chrono::seconds{10};
  options.faults.service_down_every = std::chrono::seconds{20};
  options.faults.service_stale_every = std::chrono::seconds{20};
  options.faults.withdraw_every = std::chrono::seconds{8};
  options.faults.poison_every = std::chrono::seconds{30};
  options.faults.stop_every = std::chrono::seconds{20};
  const auto add = [&options](const char* organisation, const char* profile, std::uint32_t backlog,
                              double weight, bool keyed) {
    caller_group group;
    group.organisation.value = organisation;
    group.profile.value = profile;
    group.backlog = backlog;
    group.weight = weight;
    group.keyed = keyed;
    options.callers.push_back(group);
  };
  add("large", "explain", 24, 2, false);
  add("small", "explain", 8, 1, false);
  add("tours", "reserve", 3, 1, true);
  options.callers.back().lowest_cost = 5;
  options.callers.back().highest_cost = 40;
  options.callers[1].skew = 0.9;
  return options;
}

}  // namespace peridot::experiment
