// peridot_router: one router of the fleet.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <cstdio>
#include <string>
#include <vector>

#include "core/base/end_process.h"
#include "core/settings/settings.h"
#include "router/router_process.h"

ABSL_FLAG(std::string, settings, "", "Path of the settings file (TOML). Required.");

namespace {

constexpr int exit_usage = 2;

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs one router of the fleet.\n\n  peridot_router --settings=router.toml\n\n"
      "SIGTERM starts a graceful shutdown; the exit status is 0 if all calls ended in time.\n"
      "SIGHUP reloads the settings.");
  absl::FlagsUsageConfig usage;
  usage.version_string = []() { return std::string("peridot_router 0.1.0\n"); };
  absl::SetFlagsUsageConfig(usage);
  const std::vector<char*> positional_args = absl::ParseCommandLine(argc, argv);
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty() || positional_args.size() > 1) {
    std::fprintf(stderr,
                 "peridot_router: --settings=FILE is required; other arguments are not accepted\n");
    return exit_usage;
  }
  const peridot::settings_result loaded = peridot::load_settings(path);
  for (const peridot::document_error& error : loaded.errors) {
    std::fprintf(stderr, "peridot_router: %s\n", peridot::to_text(error).c_str());
  }
  if (!loaded.usable) {
    return exit_usage;
  }
  peridot::end_process(peridot::run_router(loaded, path));
}
