#include "experiment/fake_target.h"

#include <algorithm>

namespace peridot::experiment {
namespace {

constexpr std::chrono::seconds sample_life{5};

}  // namespace

std::string boot_id(const fake_target& target) {
  return target.config.name.value + "#" + std::to_string(target.boots);
}

bool is_down(const fake_target& target, instant now) {
  return now < target.down_until;
}

std::uint32_t bears(const fake_target& target) {
  return current_limit(target.config, target.completed);
}

duration run_time(const target_run& run) {
  const std::chrono::duration<double> decode{run.total / units_per_second};
  return prefill_time + std::chrono::duration_cast<duration>(decode);
}

service_units produced(const target_run& run, instant now) {
  const double seconds = std::chrono::duration<double>(now - run.started - prefill_time).count();
  return std::clamp(seconds * units_per_second, 0.0, run.total);
}

void take_sample(fake_target& target, instant now) {
  if (is_down(target, now)) {
    return;
  }
  target.samples.push_back(
      {now, boot_id(target), static_cast<std::uint32_t>(target.running.size()), target.completed});
  while (now - target.samples.front().taken > sample_life) {
    target.samples.pop_front();
  }
}

const load_sample* lagging_sample(const fake_target& target, instant now) {
  const load_sample* newest = nullptr;
  for (const load_sample& sample : target.samples) {
    if (now - sample.taken >= report_lag) {
      newest = &sample;
    }
  }
  return newest;
}

void crash_target(fake_target& target, instant now, duration down_for) {
  target.running.clear();
  target.samples.clear();
  target.completed = 0;
  target.down_until = now + down_for;
  ++target.boots;
  ++target.crashes;
}

}  // namespace peridot::experiment
