// A target as the router sees it: bears a limited number of calls, falls over
// beyond that, reports its load with a lag, and restarts cold.
//
// It checks from the outside what the routers must not do: `overloads` counts
// the times when it was given more than it bears.
// Thread safety: none.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "core/published_config.h"
#include "core/scheduler.h"
#include "core/types.h"

namespace peridot::experiment {

struct target_run {
  std::uint64_t id = 0;
  organisation_name organisation;
  service_units total = 0;  // units this run will produce
  instant started{};
  bool crashes = false;  // takes the target down
};

struct load_sample {
  instant taken{};
  std::string boot_id;
  std::uint32_t running = 0;
  std::uint64_t completed = 0;
};

struct fake_target {
  target_config config;
  std::uint64_t boots = 1;
  std::uint64_t completed = 0;
  instant down_until{};
  std::map<std::uint64_t, target_run> running;
  std::deque<load_sample> samples;  // newest last
  std::uint64_t overloads = 0;
  std::uint64_t crashes = 0;
  std::uint32_t most_running = 0;
  instant last_work{};  // newest arrival of a call
};

// Units a run produces a second, whatever the batch.
inline constexpr double units_per_second = 50;
inline constexpr std::chrono::milliseconds prefill_time{100};
inline constexpr std::chrono::milliseconds report_lag{150};

std::string boot_id(const fake_target& target);
bool is_down(const fake_target& target, instant now);

// Calls the target bears at once now.
std::uint32_t bears(const fake_target& target);

// How long a run takes, and what it has produced by `now`.
duration run_time(const target_run& run);
service_units produced(const target_run& run, instant now);

// Takes the sample that later reports show.
void take_sample(fake_target& target, instant now);

// The newest sample that is at least `report_lag` old; the sample's time is true
// time. Empty if there is none of this start.
const load_sample* lagging_sample(const fake_target& target, instant now);

// Everything that runs is lost. The target answers again after `down_for`, cold.
void crash_target(fake_target& target, instant now, duration down_for);

}  // namespace peridot::experiment
