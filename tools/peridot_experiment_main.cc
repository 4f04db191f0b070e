// peridot_experiment: policies against baselines on models of engines.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <fstream>

#include "experiment/report.h"

ABSL_FLAG(std::string, scenario, "", "Only the scenario of this name.");
ABSL_FLAG(int, seeds, 5, "Runs of each scenario and policy, with seeds 1, 2, ...");
ABSL_FLAG(std::string, plots, "", "Folder for plots (SVG); empty: none.");

namespace {

using peridot::experiment::outcome;
using peridot::experiment::policy;
using peridot::experiment::result_row;

constexpr policy all_policies[] = {policy::peridot, policy::no_admission, policy::least_connections,
                                   policy::rendezvous};

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
  using peridot::experiment::to_bars;
  return write_file(folder + "/worth.svg",
                    to_bars("worth earned", rows, [](const outcome& one) { return one.worth; })) &&
         write_file(folder + "/worst-organisation.svg",
                    to_bars("worth earned by the worst organisation", rows,
                            [](const outcome& one) { return one.worst_organisation; })) &&
         write_file(folder + "/saved.svg", to_bars("prompt tokens found in memory", rows,
                                                   [](const outcome& one) { return one.saved; }));
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Plays scenarios of load on models of engines, with the routers' decisions and with\n"
      "baselines, and prints a table for each.\n\n"
      "  peridot_experiment --seeds=5 --plots=docs/plots\n\n"
      "The exit status is 1 if a plot cannot be written, 2 for a wrong flag.");
  absl::ParseCommandLine(argc, argv);
  const int seeds = absl::GetFlag(FLAGS_seeds);
  const std::string wanted = absl::GetFlag(FLAGS_scenario);
  const std::vector<peridot::experiment::scenario> scenarios = peridot::experiment::all_scenarios();
  std::vector<result_row> rows;
  for (const peridot::experiment::scenario& one : scenarios) {
    if (!wanted.empty() && one.name != wanted) {
      continue;
    }
    for (policy how : all_policies) {
      std::vector<outcome> outcomes;
      for (int seed = 1; seed <= seeds; ++seed) {
        outcomes.push_back(peridot::experiment::play(one, how, static_cast<std::uint64_t>(seed)));
      }
      if (!outcomes.empty()) {
        rows.push_back({&one, how, peridot::experiment::mean_of(outcomes)});
      }
    }
  }
  if (rows.empty()) {
    std::fprintf(stderr, "peridot_experiment: no such scenario, or --seeds below 1\n");
    return 2;
  }
  std::printf("%s", peridot::experiment::to_markdown(rows).c_str());
  const std::string folder = absl::GetFlag(FLAGS_plots);
  return folder.empty() || write_plots(folder, rows) ? 0 : 1;
}
