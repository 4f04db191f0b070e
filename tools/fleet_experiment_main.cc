// fleet_experiment: seeded proofs and measurements under virtual time.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <cstdio>
#include <string>
#include <vector>

#include "core/document_file.h"
#include "experiment/report.h"
#include "experiment/scenarios.h"
#include "experiment/trace.h"

ABSL_FLAG(std::string, mode, "seeds",
          "seeds: random faults over many small fleets, invariants checked. "
          "measure: named scenarios, the product beside its baselines. "
          "replay: a recorded trace against its stated outcomes.");
ABSL_FLAG(std::string, trace, "", "File of the trace (mode replay); see docs/TRACES.md.");
ABSL_FLAG(std::uint64_t, first_seed, 1, "First seed.");
ABSL_FLAG(std::uint64_t, seeds, 100, "Number of seeds (1 to 1000000).");
ABSL_FLAG(std::string, scenario, "", "Only this scenario (mode measure).");
ABSL_FLAG(std::string, report, "", "File for the report (Markdown, with an SVG beside it).");

namespace {

constexpr int exit_violation = 1;
constexpr int exit_usage = 2;
constexpr std::uint64_t most_seeds = 1'000'000;

int run_seeds(std::uint64_t first, std::uint64_t count) {
  peridot::experiment::seed_summary summary;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const peridot::experiment::fleet_report report =
        peridot::experiment::run_fleet(peridot::experiment::small_fleet(seed));
    for (const std::string& violation : report.violations) {
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), violation.c_str());
    }
    for (const std::pair<const std::string, std::uint64_t>& entry : report.unsettled) {
      std::printf("seed %llu: unsettled at the end: %s %llu\n",
                  static_cast<unsigned long long>(seed), entry.first.c_str(),
                  static_cast<unsigned long long>(entry.second));
    }
    peridot::experiment::add(summary, report);
  }
  std::printf("%s", peridot::experiment::to_text(summary).c_str());
  return summary.violations == 0 && summary.unsettled == 0 ? 0 : exit_violation;
}

int run_measurements(std::uint64_t seed, const std::string& only, const std::string& path) {
  std::vector<peridot::experiment::measured_row> rows;
  for (const peridot::experiment::scenario& each : peridot::experiment::scenarios()) {
    if (!only.empty() && each.name != only) {
      continue;
    }
    for (const peridot::experiment::variant& how : peridot::experiment::variants()) {
      const peridot::experiment::fleet_report report =
          peridot::experiment::run_fleet(peridot::experiment::apply(each, how, seed));
      rows.push_back({each, how, report});
      std::printf("%s", peridot::experiment::to_line(rows.back()).c_str());
    }
  }
  if (rows.empty()) {
    std::fprintf(stderr, "fleet_experiment: --scenario=%s is not known\n", only.c_str());
    return exit_usage;
  }
  if (!path.empty() && !peridot::experiment::write_report(rows, seed, path)) {
    std::fprintf(stderr, "fleet_experiment: --report=%s cannot be written\n", path.c_str());
    return exit_usage;
  }
  return 0;
}

int replay_trace(const std::string& path) {
  const peridot::file_result file = peridot::read_document_file(path);
  if (!file.errors.empty()) {
    std::fprintf(stderr, "fleet_experiment: --trace=%s cannot be read\n", path.c_str());
    return exit_usage;
  }
  const peridot::experiment::parsed_trace parsed = peridot::experiment::parse_trace(file.text);
  for (const peridot::experiment::trace_error& error : parsed.errors) {
    std::fprintf(stderr, "%s:%zu: %s\n", path.c_str(), error.line, error.what.c_str());
  }
  if (!parsed.errors.empty()) {
    return exit_usage;
  }
  const peridot::experiment::replay_result result = peridot::experiment::replay(parsed.what);
  for (const peridot::experiment::found_outcome& found : result.found) {
    std::printf("found %s=%s\n", found.key.c_str(), found.value.c_str());
  }
  for (const std::string& missed : result.missed) {
    std::printf("missed: %s\n", missed.c_str());
  }
  std::printf("%s: %zu outcomes stated, %zu missed\n", path.c_str(), parsed.what.stated.size(),
              result.missed.size());
  return result.missed.empty() ? 0 : exit_violation;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs fleets under virtual time.\n\n"
      "  fleet_experiment --mode=seeds --first_seed=1 --seeds=100\n"
      "  fleet_experiment --mode=measure --report=report.md\n"
      "  fleet_experiment --mode=replay --trace=traces/flood.txt\n\n"
      "Exit status: 0, 1 if an invariant was violated or a stated outcome was missed, "
      "2 for a bad flag or file.");
  absl::FlagsUsageConfig usage;
  usage.version_string = []() { return std::string("fleet_experiment 0.1.0\n"); };
  absl::SetFlagsUsageConfig(usage);
  absl::ParseCommandLine(argc, argv);
  const std::uint64_t first = absl::GetFlag(FLAGS_first_seed);
  const std::uint64_t count = absl::GetFlag(FLAGS_seeds);
  const std::string mode = absl::GetFlag(FLAGS_mode);
  if (count < 1 || count > most_seeds) {
    std::fprintf(stderr, "fleet_experiment: --seeds must be from 1 to 1000000\n");
    return exit_usage;
  }
  if (mode == "seeds") {
    return run_seeds(first, count);
  }
  if (mode == "measure") {
    return run_measurements(first, absl::GetFlag(FLAGS_scenario), absl::GetFlag(FLAGS_report));
  }
  if (mode == "replay") {
    return replay_trace(absl::GetFlag(FLAGS_trace));
  }
  std::fprintf(stderr, "fleet_experiment: --mode must be seeds, measure or replay\n");
  return exit_usage;
}
