// platform_standin: the store and targets of a small platform, for tests and the demo.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdio>

#include "net/log.h"
#include "standins/platform_standin.h"

ABSL_FLAG(std::string, store, "127.0.0.1:9000", "Address of the store.");
ABSL_FLAG(int, first_port, 9100, "First port of the targets.");
ABSL_FLAG(int, engines, 3, "Targets that read prompts.");
ABSL_FLAG(int, plain_targets, 3, "Targets that do not.");

namespace {

void on_signal(evutil_socket_t, short, void* base) {
  event_base_loopbreak(static_cast<event_base*>(base));
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): what escapes ends the program, as it should
int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Runs the store and the targets of a small platform.");
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  peridot::start_logging("platform_standin", "warn");
  const peridot::event_base_ptr base(event_base_new());
  peridot::standin::platform_options options;
  options.store_address = absl::GetFlag(FLAGS_store);
  options.first_port = absl::GetFlag(FLAGS_first_port);
  options.engines = absl::GetFlag(FLAGS_engines);
  options.plain_targets = absl::GetFlag(FLAGS_plain_targets);
  const peridot::event_ptr term(evsignal_new(base.get(), SIGTERM, on_signal, base.get()));
  event_add(term.get(), nullptr);
  return peridot::leaf::try_handle_all(
      [&]() -> peridot::leaf::result<int> {
        BOOST_LEAF_AUTO(platform, peridot::standin::start_platform(base.get(), options));
        event_base_dispatch(base.get());
        return 0;
      },
      [](const peridot::error_subject& peer, const peridot::error_cause& cause) {
        std::fprintf(stderr, "platform_standin: %s: %s\n", peer.value.c_str(), cause.value.c_str());
        return 1;
      },
      []() { return 1; });
}
