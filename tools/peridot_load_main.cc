// peridot_load: open-loop load from several organisations on several routers.
//
//   peridot_load --routers=127.0.0.1:18001,127.0.0.1:18002 --seconds=20 --mix=FILE
//
// Calls arrive by a Poisson process whatever became of earlier ones. The tool
// behaves as a caller should: it repeats a call that may not be repeated only
// under its own idempotency key, and comes back when a refusal says so. It
// checks that every answer is whole and belongs to its own request.
//
// Exit status: 0 if no answer was cut, broken or wrong; 1 otherwise; 2 for bad
// flags. docs/STANDINS.md describes the mix and the report.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <event2/event.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "standins/load_client.h"
#include "standins/load_mix.h"
#include "standins/load_summary.h"

ABSL_FLAG(std::vector<std::string>, routers, {}, "IP numbers and ports, separated by commas");
ABSL_FLAG(double, seconds, 20, "how long calls arrive");
ABSL_FLAG(double, drain_seconds, 30, "how long to wait for their ends after that");
ABSL_FLAG(std::uint64_t, seed, 1, "of arrivals, choice of routers and bodies");
ABSL_FLAG(std::string, mix, "", "file with one caller a line, see docs/STANDINS.md");
ABSL_FLAG(std::string, callers, "",
          "callers instead of a file, e.g. \"organisation=a profile=explain rate=5; ...\"");
ABSL_FLAG(std::string, path, "",
          "sends straight to this path of targets, e.g. /v1/generate, without routers");
ABSL_FLAG(std::uint32_t, max_connections, 512,
          "connections open at once; calls beyond are counted");
ABSL_FLAG(std::uint32_t, max_attempts, 6, "requests sent for one call with a key");
ABSL_FLAG(double, answer_timeout_seconds, 60, "longest silence of a router before giving up");
ABSL_FLAG(std::string, report, "", "file for the results as key=value lines");
ABSL_FLAG(std::string, keyed_calls, "",
          "file for one line \"KEY BODY_HASH END\" for each call with a key");
ABSL_FLAG(bool, move_on_when_stopping, false,
          "sends calls refused because a router stops to another at once, under a new key");
ABSL_FLAG(bool, allow_broken, false,
          "exit status 0 also after broken answers, for runs that kill routers or targets");

namespace peridot::standins {
namespace {

constexpr int exit_usage = 2;

std::string read_mix_text() {
  if (absl::GetFlag(FLAGS_mix).empty()) {
    return absl::GetFlag(FLAGS_callers);
  }
  std::ifstream file(absl::GetFlag(FLAGS_mix));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns what is wrong with the flags; empty if nothing is.
std::string read_flags(load_options& options) {
  using seconds = std::chrono::duration<double>;
  for (const std::string& text : absl::GetFlag(FLAGS_routers)) {
    const std::optional<ip_port> router = parse_ip_port(text);
    if (!router) {
      return "not an IP number and port: " + text;
    }
    options.routers.push_back(*router);
  }
  if (options.routers.empty()) {
    return "--routers is required";
  }
  const mix_result mix = parse_mix(read_mix_text());
  if (!mix.problem.empty()) {
    return mix.problem;
  }
  options.callers = mix.callers;
  options.path = absl::GetFlag(FLAGS_path);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.max_connections = absl::GetFlag(FLAGS_max_connections);
  options.max_attempts = absl::GetFlag(FLAGS_max_attempts);
  options.move_on_when_stopping = absl::GetFlag(FLAGS_move_on_when_stopping);
  options.run_time = std::chrono::duration_cast<duration>(seconds(absl::GetFlag(FLAGS_seconds)));
  options.drain_time =
      std::chrono::duration_cast<duration>(seconds(absl::GetFlag(FLAGS_drain_seconds)));
  options.answer_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      seconds(absl::GetFlag(FLAGS_answer_timeout_seconds)));
  return "";
}

void on_tick(evutil_socket_t /*socket*/, short /*events*/, void* arg) {
  load_client& client = *static_cast<load_client*>(arg);
  if (!run_load(client, std::chrono::steady_clock::now())) {
    event_base_loopbreak(client.base);
  }
}

void on_signal(evutil_socket_t /*signal*/, short /*events*/, void* arg) {
  load_client& client = *static_cast<load_client*>(arg);
  stop_arrivals(client, std::chrono::steady_clock::now());
}

void run_loop(load_client& client) {
  event* ticker = event_new(client.base, -1, EV_PERSIST, on_tick, &client);
  event* term = evsignal_new(client.base, SIGTERM, on_signal, &client);
  const timeval interval{
      0, static_cast<suseconds_t>(std::chrono::microseconds(stand_in_tick).count())};
  event_add(ticker, &interval);
  event_add(term, nullptr);
  event_base_dispatch(client.base);
  event_free(ticker);
  event_free(term);
}

// False if a file cannot be written.
bool write_files(load_client& client) {
  bool written = true;
  if (!absl::GetFlag(FLAGS_report).empty()) {
    std::ofstream file(absl::GetFlag(FLAGS_report));
    print_report(file, client.counts);
    written = written && file.good();
  }
  if (!absl::GetFlag(FLAGS_keyed_calls).empty()) {
    std::ofstream file(absl::GetFlag(FLAGS_keyed_calls));
    for (const keyed_end& end : client.keyed_ends) {
      file << (end.key.empty() ? "-" : end.key) << " " << end.body_hash << " " << end.end << "\n";
    }
    written = written && file.good();
  }
  return written;
}

int run() {
  load_client client;
  const std::string problem = read_flags(client.options);
  if (!problem.empty()) {
    std::fprintf(stderr, "peridot_load: %s\n", problem.c_str());
    return exit_usage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  client.base = event_base_new();
  start_load(client, std::chrono::steady_clock::now());
  run_loop(client);
  end_load(client);
  event_base_free(client.base);
  print_summary(std::cout, client.counts);
  if (!write_files(client)) {
    std::fprintf(stderr, "peridot_load: cannot write the report\n");
    return exit_usage;
  }
  const load_counts& counts = client.counts;
  const bool broken = counts.broken > 0 && !absl::GetFlag(FLAGS_allow_broken);
  return counts.cut > 0 || counts.wrong > 0 || broken ? 1 : 0;
}

}  // namespace
}  // namespace peridot::standins

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Open-loop load from several organisations on several routers.\n\n"
      "  peridot_load --routers=127.0.0.1:18001,127.0.0.1:18002 --seconds=20 "
      "--callers=\"organisation=a profile=explain rate=5\"");
  absl::ParseCommandLine(argc, argv);
  return peridot::standins::run();
}
