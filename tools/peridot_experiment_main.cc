// peridot_experiment: compares the router's policy with baselines in simulation.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <fstream>

#include "experiment/report.h"

ABSL_FLAG(std::string, scenario, "", "Name of the only scenario to run; empty: all.");
ABSL_FLAG(int, seeds, 5, "Simulations of each scenario and policy, with seeds 1, 2, ...");
ABSL_FLAG(std::string, plots, "", "Existing folder to write plots (SVG) to; empty: no plots.");

namespace {

using peridot::experiment::result_row;
using peridot::experiment::routing_policy;
using peridot::experiment::simulation_result;

constexpr routing_policy all_policies[] = {
    routing_policy::peridot, routing_policy::unlimited_accepts, routing_policy::no_admission,
    routing_policy::least_connections, routing_policy::rendezvous};

bool write_file(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.close();
  if (!file) {
    std::fprintf(stderr, "peridot_experiment: cannot write %s\n", path.c_str());
  }
  return static_cast<bool>(file);
}

bool write_plots(const std::string& folder, const std::vector<result_row>& rows) {
  using peridot::experiment::to_bar_chart;
  return write_file(folder + "/worth.svg", to_bar_chart("worth earned", rows,
                                                        [](const simulation_result& result) {
                                                          return result.worth_fraction;
                                                        })) &&
         write_file(folder + "/worst-organisation.svg",
                    to_bar_chart("worth earned by the worst organisation", rows,
                                 [](const simulation_result& result) {
                                   return result.worst_organisation_worth_fraction;
                                 })) &&
         write_file(folder + "/saved.svg", to_bar_chart("prompt tokens found in memory", rows,
                                                        [](const simulation_result& result) {
                                                          return result.cached_prompt_fraction;
                                                        }));
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Simulates load scenarios on models of engines, with the router's policy and with\n"
      "baselines, and prints a table for each scenario.\n\n"
      "  peridot_experiment --seeds=5 --plots=docs/plots\n\n"
      "The exit status is 1 if a plot cannot be written, 2 for an invalid flag value.");
  absl::ParseCommandLine(argc, argv);
  const int seeds = absl::GetFlag(FLAGS_seeds);
  const std::string scenario_name = absl::GetFlag(FLAGS_scenario);
  const std::vector<peridot::experiment::load_scenario> scenarios =
      peridot::experiment::all_scenarios();
  std::vector<result_row> rows;
  for (const peridot::experiment::load_scenario& scenario : scenarios) {
    if (!scenario_name.empty() && scenario.name != scenario_name) {
      continue;
    }
    for (routing_policy policy : all_policies) {
      std::vector<simulation_result> results;
      for (int seed = 1; seed <= seeds; ++seed) {
        results.push_back(
            peridot::experiment::simulate(scenario, policy, static_cast<std::uint64_t>(seed)));
      }
      if (!results.empty()) {
        rows.push_back({&scenario, policy, peridot::experiment::mean_of(results)});
      }
    }
  }
  if (rows.empty()) {
    std::fprintf(stderr,
                 "peridot_experiment: --scenario names no scenario, or --seeds is below 1\n");
    return 2;
  }
  std::printf("%s", peridot::experiment::to_markdown(rows).c_str());
  const std::string folder = absl::GetFlag(FLAGS_plots);
  return folder.empty() || write_plots(folder, rows) ? 0 : 1;
}
