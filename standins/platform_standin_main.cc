// platform_standin: stand-in for the users' platform (store and targets), for tests and the demo.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdio>

#include "net/log.h"
#include "standins/platform_standin.h"

ABSL_FLAG(std::string, store, "127.0.0.1:9000", "IP:PORT of the store.");
ABSL_FLAG(int, first_port, 9100,
          "Port of the first target; each further target has the next port.");
ABSL_FLAG(int, engines, 3, "Number of targets that are engines.");
ABSL_FLAG(int, plain_targets, 3, "Number of targets that are not engines.");

namespace {

void on_signal(evutil_socket_t, short, void* base) {
  event_base_loopbreak(static_cast<event_base*>(base));
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): an uncaught exception should end the program
int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs a stand-in for the platform: its store and targets, on loopback.");
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  peridot::start_logging("platform_standin", "warn");
  const peridot::event_base_ptr base(event_base_new());
  peridot::standin::platform_options options;
  options.store_address = absl::GetFlag(FLAGS_store);
  options.first_target_port = absl::GetFlag(FLAGS_first_port);
  options.engine_count = absl::GetFlag(FLAGS_engines);
  options.plain_target_count = absl::GetFlag(FLAGS_plain_targets);
  const peridot::event_ptr term(evsignal_new(base.get(), SIGTERM, on_signal, base.get()));
  event_add(term.get(), nullptr);
  return peridot::leaf::try_handle_all(
      [&]() -> peridot::leaf::result<int> {
        BOOST_LEAF_AUTO(platform, peridot::standin::start_platform(base.get(), options));
        event_base_dispatch(base.get());
        return 0;
      },
      [](const peridot::error_subject& subject, const peridot::error_cause& cause) {
        std::fprintf(stderr, "platform_standin: %s: %s\n", subject.value.c_str(),
                     cause.value.c_str());
        return 1;
      },
      []() { return 1; });
}
