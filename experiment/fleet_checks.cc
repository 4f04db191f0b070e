// What must always hold, checked from the outside of the routers.

#include <algorithm>
#include <sstream>

#include "experiment/fleet_state.h"

namespace peridot::experiment {
namespace {

constexpr std::size_t max_violations = 20;
// Published queue deadline (20 s), the longest run, and a pause of a router.
constexpr duration longest_answer = std::chrono::seconds{30};
constexpr duration sample_every = std::chrono::milliseconds{100};

std::set<organisation_name> backlogged_organisations(const fleet_state& fleet) {
  std::set<organisation_name> backlogged;
  for (const driven_router& router : fleet.routers) {
    if (router.core == nullptr) {
      continue;
    }
    for (const std::pair<const queue_key, std::deque<std::uint64_t>>& entry :
         router.core->entry.queues) {
      if (!entry.second.empty() && entry.first.pool.value == "explain") {
        backlogged.insert(entry.first.organisation);
      }
    }
  }
  return backlogged;
}

void count_slots(const fleet_state& fleet, service_sample& sample) {
  for (const std::pair<const target_name, fake_target>& entry : fleet.targets) {
    const fake_target& target = entry.second;
    if (target.config.pool.value != "explain") {
      continue;
    }
    const std::uint32_t busy = static_cast<std::uint32_t>(target.running.size());
    const bool withdrawn = fleet.platform.withdrawn_by.contains(entry.first);
    const bool able = !withdrawn && !is_down(target, fleet.queue.now);
    sample.busy += able ? busy : 0;
    sample.able += able ? bears(target) : 0;
  }
}

std::map<organisation_name, double> units_so_far(const fleet_state& fleet) {
  std::map<organisation_name, double> units = fleet.units_done;
  for (const std::pair<const target_name, fake_target>& entry : fleet.targets) {
    for (const std::pair<const std::uint64_t, target_run>& run : entry.second.running) {
      units[run.second.organisation] += produced(run.second, fleet.queue.now);
    }
  }
  return units;
}

}  // namespace

bool holds_now(const fleet_state& fleet, const driven_router& router, const shard_key& shard) {
  if (router.core == nullptr || router.core->config == nullptr) {
    return false;
  }
  const router_core& core = *router.core;
  const lease_context context{core.members, core.list.get(), core.config->fleet,
                              core.config->version, core.stopping};
  return holds(core.claims, context, shard, local_time(router, fleet.queue.now));
}

void violated(fleet_state& fleet, const std::string& what) {
  const std::chrono::milliseconds at =
      std::chrono::duration_cast<std::chrono::milliseconds>(fleet.queue.now - fleet.began);
  ++fleet.report.answers["violation"];
  if (fleet.report.violations.size() < max_violations) {
    fleet.report.violations.push_back("at " + std::to_string(at.count()) + " ms: " + what);
  }
}

void check_holders(fleet_state& fleet) {
  std::map<shard_key, std::size_t> holder;
  for (const driven_router& router : fleet.routers) {
    if (router.core == nullptr) {
      continue;
    }
    for (const shard_key& shard : router.core->shards) {
      if (!holds_now(fleet, router, shard)) {
        continue;
      }
      const bool first = holder.emplace(shard, router.index).second;
      if (!first) {
        violated(fleet, "two routers hold shard " + shard.pool.value + "/" +
                            std::to_string(shard.index) + ": " + std::to_string(holder.at(shard)) +
                            " and " + std::to_string(router.index));
      }
    }
  }
}

void check_versions(fleet_state& fleet, driven_router& router) {
  if (router.core->config == nullptr) {
    return;
  }
  const std::uint64_t version = router.core->config->version;
  if (version < router.highest_config) {
    violated(fleet, "a configuration was reverted");
  }
  if (version <= router.highest_config) {
    return;
  }
  router.highest_config = version;
  fleet.platform.accepted.emplace(version, fleet.queue.now);
  const bool everywhere = std::all_of(
      fleet.routers.begin(), fleet.routers.end(), [&fleet, version](const driven_router& each) {
        return !is_running(fleet, each) || each.highest_config >= version;
      });
  // A router that starts later and takes up an old version spreads nothing.
  if (everywhere && fleet.platform.everywhere.insert(version).second) {
    fleet.report.longest_config_spread = std::max(
        fleet.report.longest_config_spread, fleet.queue.now - fleet.platform.accepted.at(version));
  }
}

void check_settled(fleet_state& fleet) {
  std::map<std::string, std::uint64_t>& unsettled = fleet.report.unsettled;
  for (const driven_router& router : fleet.routers) {
    if (router.core == nullptr || router.core->config == nullptr) {
      ++unsettled["router_without_configuration"];
      continue;
    }
    if (router.core->config->version != fleet.platform.config_version) {
      ++unsettled["router_on_old_configuration"];
    }
    if (!is_ready(*router.core)) {
      ++unsettled["router_not_ready"];
    }
  }
  for (const std::pair<const std::uint64_t, caller_call>& entry : fleet.calls) {
    const bool overdue = fleet.queue.now - entry.second.last_sent > longest_answer;
    unsettled["calls_without_answer_in_time"] += overdue ? 1 : 0;
  }
  std::erase_if(unsettled, [](const std::pair<const std::string, std::uint64_t>& entry) {
    return entry.second == 0;
  });
}

void sample_service(fleet_state& fleet) {
  service_sample sample;
  sample.at = fleet.queue.now - fleet.began;
  const std::map<organisation_name, double> units = units_so_far(fleet);
  double total = 0;
  double before = 0;
  for (const std::pair<const organisation_name, double>& entry : units) {
    total += entry.second;
  }
  if (!fleet.unit_samples.empty()) {
    for (const std::pair<const organisation_name, double>& entry : fleet.unit_samples.back()) {
      before += entry.second;
    }
  }
  sample.units = total - before;
  count_slots(fleet, sample);
  fleet.unit_samples.push_back(units);
  fleet.backlogged_samples.push_back(backlogged_organisations(fleet));
  sample.waiting = !fleet.backlogged_samples.back().empty();
  fleet.report.samples.push_back(sample);
  schedule_in(fleet.queue, sample_every, [&fleet]() { sample_service(fleet); });
}

}  // namespace peridot::experiment
