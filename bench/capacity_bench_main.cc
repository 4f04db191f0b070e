// What a router costs: messages, bytes, processor time and state, by the size of
// the fleet, and single systems at sizes that a whole fleet does not reach here.
//
//   capacity_bench [--only=routers|shards|organisations|targets|documents|
//                  heartbeats|keys]
//
// Processor time is that of the thread. docs/CAPACITY.md works with the figures.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "core/config_checker.h"
#include "core/keys.h"
#include "core/membership.h"
#include "experiment/capacity_fleet.h"

ABSL_FLAG(std::string, only, "", "one group of measurements; empty: all");
ABSL_FLAG(std::uint32_t, largest, 144, "most routers of a fleet");

namespace peridot::experiment {
namespace {

constexpr double microseconds = 1e6;
constexpr int repeats = 3;
constexpr std::size_t message_overhead_bytes = 100;  // seal, addresses, TCP and IP headers

struct sample {
  double x = 0;
  double y = 0;
};

// Least squares, with the range of x that it rests on.
void print_fit(const char* what, const std::vector<sample>& samples) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const sample& point : samples) {
    sum_x += point.x;
    sum_y += point.y;
    sum_xx += point.x * point.x;
    sum_xy += point.x * point.y;
  }
  const double count = static_cast<double>(samples.size());
  const double spread = count * sum_xx - sum_x * sum_x;
  if (samples.size() < 2 || spread <= 0) {
    return;
  }
  const double slope = (count * sum_xy - sum_x * sum_y) / spread;
  const double base = (sum_y - slope * sum_x) / count;
  std::printf("  fit: %s = %.4g + %.4g x, x from %.0f to %.0f\n", what, base, slope,
              samples.front().x, samples.back().x);
}

double per_router(const capacity_report& report, double total) {
  return total / report.seconds / report.routers;
}

bool is_per_request(std::size_t kind) {
  return kind >= 3 && kind <= 5;  // demand, grant, finish
}

struct traffic {
  double messages = 0;  // a second and router
  double bytes = 0;
  double cpu = 0;  // share of a core
};

traffic traffic_of(const capacity_report& report, bool per_request) {
  traffic sum;
  for (std::size_t kind = 0; kind < message_kinds; ++kind) {
    if (is_per_request(kind) == per_request) {
      const call_cost& cost = report.messages.at(kind);
      sum.messages += per_router(report, static_cast<double>(cost.count));
      sum.bytes += per_router(report, static_cast<double>(cost.bytes));
      sum.cpu += per_router(report, cost.cpu_seconds);
    }
  }
  return sum;
}

double mean_cost(const call_cost& cost) {
  return cost.count == 0 ? 0 : cost.cpu_seconds * microseconds / static_cast<double>(cost.count);
}

void print_kinds(const capacity_report& report) {
  for (std::size_t kind = 0; kind < message_kinds; ++kind) {
    const call_cost& cost = report.messages.at(kind);
    if (cost.count > 0) {
      std::printf("    %-16s %9.1f /s %10.0f B/s %8.2f us\n", message_kind_name(kind),
                  per_router(report, static_cast<double>(cost.count)),
                  per_router(report, static_cast<double>(cost.bytes)), mean_cost(cost));
    }
  }
}

void print_report(const char* label, double x, const capacity_report& report) {
  const traffic periodic = traffic_of(report, false);
  const traffic requested = traffic_of(report, true);
  const double ended = per_router(report, static_cast<double>(report.requests.count)) / 2;
  std::printf(
      "%s %.0f: periodic %.1f msg/s %.0f B/s cpu %.3f%%; per request %.1f msg/s %.0f B/s "
      "cpu %.3f%%; requests %.1f/s %.1f us; tick %.1f us cpu %.3f%%; load poll %.1f us "
      "%.1f/s; state %zu KB; document %zu B; service %.2f calls/s; spread %.0f ms; "
      "held %u unready %u\n",
      label, x, periodic.messages, periodic.bytes, periodic.cpu * 100, requested.messages,
      requested.bytes, requested.cpu * 100, ended, 2 * mean_cost(report.requests),
      mean_cost(report.ticks), per_router(report, report.ticks.cpu_seconds) * 100,
      mean_cost(report.load_polls),
      per_router(report, static_cast<double>(report.load_polls.count)), report.state_bytes / 1024,
      report.document_bytes, report.service_calls_per_second,
      report.spread == duration::max()
          ? -1.0
          : std::chrono::duration<double, std::milli>(report.spread).count(),
      report.held_shards, report.unready);
  print_kinds(report);
  std::fflush(stdout);
}

// One fleet for each size; `set` puts the size into the options.
template <class Set>
void sweep(const char* label, const std::vector<std::uint32_t>& sizes, const Set& set) {
  std::vector<sample> bytes;
  std::vector<sample> request_bytes;
  std::vector<sample> ticks;
  std::vector<sample> state;
  for (std::uint32_t size : sizes) {
    capacity_options options;
    set(options, size);
    const capacity_report report = measure_capacity(options);
    print_report(label, size, report);
    bytes.push_back({static_cast<double>(size), traffic_of(report, false).bytes});
    request_bytes.push_back({static_cast<double>(size), traffic_of(report, true).bytes});
    ticks.push_back({static_cast<double>(size), mean_cost(report.ticks)});
    state.push_back({static_cast<double>(size), static_cast<double>(report.state_bytes)});
  }
  print_fit("periodic B/s", bytes);
  print_fit("per-request B/s", request_bytes);
  print_fit("us a tick", ticks);
  print_fit("state bytes", state);
}

// The fleet of the letter in small: two targets and half a shard for each router.
void set_routers(capacity_options& options, std::uint32_t routers) {
  options.routers = routers;
  options.domains = routers < 36 ? 3 : 15;
  options.targets = 2 * routers;
  options.shards_per_pool = std::min<std::uint32_t>(64, std::max<std::uint32_t>(3, routers / 2));
}

void measure_fleets(const std::string& only) {
  std::vector<std::uint32_t> routers;
  for (std::uint32_t size = 9; size <= absl::GetFlag(FLAGS_largest); size *= 2) {
    routers.push_back(size);
  }
  if (only.empty() || only == "routers") {
    sweep("idle routers", routers, set_routers);
    sweep("loaded routers", routers, [](capacity_options& options, std::uint32_t size) {
      set_routers(options, size);
      options.organisations = 160;
      options.backlogged = 32;
    });
  }
  if (only.empty() || only == "shards") {
    sweep("shards, 36 routers,", {3, 9, 18, 36}, [](capacity_options& options, std::uint32_t size) {
      set_routers(options, 36);
      options.shards_per_pool = size;
      options.organisations = 160;
      options.backlogged = 32;
    });
  }
  if (only.empty() || only == "organisations") {
    sweep("backlogged organisations, 9 routers,", {16, 160, 1'200},
          [](capacity_options& options, std::uint32_t size) {
            options.organisations = 12'000;
            options.backlogged = size;
          });
  }
  if (only.empty() || only == "targets") {
    sweep("targets, 9 routers,", {12, 120, 1'200},
          [](capacity_options& options, std::uint32_t size) { options.targets = size; });
  }
}

void measure_document(std::uint32_t organisations, std::uint32_t targets) {
  capacity_options options;
  options.pools = 5;
  options.domains = 15;
  options.organisations = organisations;
  options.targets = targets;
  const std::string text = capacity_config_text(options, 1);
  double least = 0;
  double most = 0;
  std::size_t state = 0;
  bool accepted = false;
  for (int round = 0; round < repeats; ++round) {
    const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
    const std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    const std::shared_ptr<const published_config> config =
        parse_published_config(text, "capacity").config;
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - began;
    state = mallinfo2().uordblks + mallinfo2().hblkhd - before;
    least = round == 0 ? took.count() : std::min(least, took.count());
    most = std::max(most, took.count());
    accepted = config != nullptr;
  }
  std::printf("document: %5u organisations %5u targets: %8zu B, %s, %.2f to %.2f ms, %zu KB kept\n",
              organisations, targets, text.size(), accepted ? "accepted" : "REFUSED", least, most,
              state / 1024);
}

void measure_keys(std::uint32_t count) {
  key_table table;
  table.self = {router_address{"127.0.0.1:7000"}, 1};
  table.self_http = "127.0.0.1:8000";
  table.fleet_key = "a fleet key for virtual runs";
  table.life = std::chrono::hours{1};
  table.max_used = count;
  instant now{std::chrono::hours{1}};
  const std::size_t before = mallinfo2().uordblks;
  const std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
  for (std::uint32_t index = 0; index < count; ++index) {
    now += std::chrono::microseconds{10};
    const std::string text = issue_key(table, now);
    const std::optional<parsed_key> key = parse_key(text, table.fleet_key);
    begin_call(table, *key, index, now);
    complete_call(table, key->sequence, {});
  }
  const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - began;
  std::printf("keys: %u used: %.1f bytes and %.2f us each, issued, checked, begun and completed\n",
              count, static_cast<double>(mallinfo2().uordblks - before) / count,
              took.count() / count);
}

// A view in which all routers of a list are alive.
membership_table make_view(std::uint32_t routers, std::uint32_t self, instant now) {
  const auto address = [](std::uint32_t index) {
    return router_address{"127.0.0.1:" + std::to_string(7'000 + index)};
  };
  membership_table table =
      make_membership({address(self), 1}, domain_name{"domain-0"}, "127.0.0.1:8000", {}, now);
  table.has_list = true;
  for (std::uint32_t index = 0; index < routers; ++index) {
    if (index == self) {
      continue;
    }
    member& row = table.members[address(index)];
    row.identity = {address(index), 1};
    row.domain.value = "domain-" + std::to_string(index % 15);
    row.state = member_state::alive;
    row.listed = true;
    row.last_heard = now;
  }
  return table;
}

// Rounds of heartbeats of some routers of a fleet, at any size of fleet.
void measure_heartbeats(std::uint32_t routers, std::uint32_t shards) {
  constexpr std::uint32_t senders = 8;
  const instant now{std::chrono::hours{1}};
  const fleet_config fleet;
  local_status local;
  for (std::uint32_t index = 0; index < shards; ++index) {
    local.shards.push_back({pool_name{"model-" + std::to_string(index % 5)}, index / 5});
  }
  local.owned.push_back(local.shards.front());
  std::size_t sent = 0;
  std::size_t bytes = 0;
  double seconds = 0;
  for (std::uint32_t sender = 0; sender < senders; ++sender) {
    membership_table table = make_view(routers, sender * routers / senders, now);
    outbox out;
    const std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    send_heartbeats(table, fleet, local, now, out);
    seconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    sent += out.size();
    for (const outgoing_message& message : out) {
      bytes += message.message.ByteSizeLong() + message_overhead_bytes;
    }
  }
  const double rounds = 1.0 / std::chrono::duration<double>(fleet.heartbeat_interval).count();
  std::printf(
      "heartbeats: %3u routers %3u shards: %.1f peers, %.0f us a round, %.2f%% of a core, "
      "%.0f B/s at %.0f rounds a second\n",
      routers, shards, static_cast<double>(sent) / senders, seconds * microseconds / senders,
      seconds / senders * rounds * 100, static_cast<double>(bytes) / senders * rounds, rounds);
}

void run() {
  const std::string only = absl::GetFlag(FLAGS_only);
  measure_fleets(only);
  if (only.empty() || only == "documents") {
    for (std::uint32_t organisations : {16U, 160U, 1'200U, 12'000U}) {
      measure_document(organisations, 12);
    }
    for (std::uint32_t targets : {120U, 1'200U, 4'000U, 12'000U}) {
      measure_document(16, targets);
    }
    measure_document(12'000, 12'000);
  }
  if (only.empty() || only == "heartbeats") {
    for (std::uint32_t routers : {9U, 24U, 36U, 72U, 144U, 320U, 640U}) {
      measure_heartbeats(routers, std::min(320U, std::max(3U, routers / 2)));
    }
    measure_heartbeats(640, 15);
    measure_heartbeats(640, 40);
  }
  if (only.empty() || only == "keys") {
    for (std::uint32_t count : {1'000U, 10'000U, 100'000U}) {
      measure_keys(count);
    }
  }
}

}  // namespace
}  // namespace peridot::experiment

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Measures what a router costs at several sizes.");
  absl::ParseCommandLine(argc, argv);
  peridot::experiment::run();
  return 0;
}
