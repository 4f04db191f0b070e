// Reports of runs: one line for a person, a Markdown table, and a plot.
//
// Thread safety: pure functions, but for write_report, which writes two files.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "experiment/scenarios.h"

namespace peridot::experiment {

// Many seeds of small fleets.
struct seed_summary {
  std::uint64_t seeds = 0;
  std::uint64_t violations = 0;
  std::uint64_t unsettled = 0;
  std::uint64_t calls = 0;
  std::uint64_t keyed_calls = 0;
  std::uint64_t keyed_done = 0;
  std::uint64_t keyed_unknown = 0;
  std::uint64_t double_runs = 0;
  std::uint64_t overloads = 0;
  duration longest_config_spread{};
  duration latest_withdrawn_work{};
  std::map<std::string, std::uint64_t> faults;
};

void add(seed_summary& summary, const fleet_report& report);
std::string to_text(const seed_summary& summary);

struct measured_row {
  scenario where;
  variant how;
  fleet_report report;
};

std::string to_line(const measured_row& row);

// Writes `path` (Markdown) and an SVG plot of service over time beside it.
// False if a file cannot be written.
bool write_report(const std::vector<measured_row>& rows, std::uint64_t seed,
                  const std::string& path);

}  // namespace peridot::experiment
