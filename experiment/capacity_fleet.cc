#include "experiment/capacity_fleet.h"

#include <malloc.h>

#include <array>
#include <ctime>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/router.h"

namespace peridot::experiment {
namespace {

constexpr duration step = std::chrono::milliseconds{5};
constexpr std::uint32_t steps_per_tick = 4;
constexpr std::uint32_t steps_per_watch_check = 20;
constexpr double calls_per_watcher = 0.2;  // a second: two values, a waiting watch of 10 s
constexpr std::size_t message_overhead_bytes = 100;  // seal, addresses, TCP and IP headers
constexpr service_units call_cost_units = 100;

struct sent_message {
  router_identity from;
  std::size_t to = 0;
  wire::peer_message message;
};

struct run_end {
  std::uint64_t at_step = 0;
  std::size_t router = 0;
  dispatch what;
  organisation_name organisation;
};

struct measured_fleet {
  capacity_options options;
  instant now = instant{std::chrono::hours{1}};
  std::uint64_t steps = 0;
  std::vector<router_core> cores;
  std::unordered_map<router_address, std::size_t> places;
  std::vector<sent_message> flying;
  std::deque<run_end> runs;  // in the order of their ends
  std::map<target_name, std::uint32_t> running;
  std::vector<std::unordered_map<std::uint64_t, organisation_name>> open;  // by router, by request
  std::string config_text;
  std::string list_text;
  std::uint64_t config_version = 1;
  bool counting = false;
  capacity_report report;
};

double cpu_now() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::size_t kind_of(const wire::peer_message& message) {
  return static_cast<std::size_t>(message.body_case()) -
         static_cast<std::size_t>(wire::peer_message::kHeartbeat);
}

// Runs `work` and counts its processor time.
template <class Work>
void timed(const measured_fleet& fleet, call_cost& cost, const Work& work) {
  const double began = cpu_now();
  work();
  if (fleet.counting) {
    cost.cpu_seconds += cpu_now() - began;
    ++cost.count;
  }
}

void carry_out(measured_fleet& fleet, std::size_t index, effects& todo);

void submit_call(measured_fleet& fleet, std::size_t index, const organisation_name& organisation) {
  effects todo;
  submit_result result;
  const std::uint32_t pool = static_cast<std::uint32_t>(fleet.steps) % fleet.options.pools;
  const new_request request{organisation, profile_name{"profile-" + std::to_string(pool)}};
  timed(fleet, fleet.report.requests,
        [&] { result = router_submit(fleet.cores[index], request, fleet.now, todo); });
  if (result.accepted) {
    fleet.open[index].emplace(result.id, organisation);
  }
  carry_out(fleet, index, todo);
}

void send(measured_fleet& fleet, std::size_t index, outgoing_message& message) {
  const auto place = fleet.places.find(message.to);
  if (place == fleet.places.end()) {
    return;
  }
  if (fleet.counting) {
    call_cost& cost = fleet.report.messages[kind_of(message.message)];
    cost.bytes += message.message.ByteSizeLong() + message_overhead_bytes;
  }
  fleet.flying.push_back(
      {fleet.cores[index].options.self, place->second, std::move(message.message)});
}

void answer_poll(measured_fleet& fleet, std::size_t index, const target_config& target) {
  const load_report load{target.name, "boot", fleet.running[target.name], 0, 0, fleet.now};
  effects todo;
  timed(fleet, fleet.report.load_polls,
        [&] { router_on_load_report(fleet.cores[index], load, fleet.now, todo); });
  carry_out(fleet, index, todo);
}

void carry_out(measured_fleet& fleet, std::size_t index, effects& todo) {
  for (outgoing_message& message : todo.messages) {
    send(fleet, index, message);
  }
  for (const dispatch& what : todo.dispatches) {
    ++fleet.running[what.where.target];
    const std::uint64_t end =
        fleet.steps + static_cast<std::uint64_t>(fleet.options.run_time / step);
    fleet.runs.push_back({end, index, what, fleet.open[index][what.request]});
  }
  for (const decision& what : todo.decisions) {
    fleet.open[index].erase(what.request);
  }
  for (const target_config& target : todo.load_polls) {
    answer_poll(fleet, index, target);
  }
}

void end_runs(measured_fleet& fleet) {
  while (!fleet.runs.empty() && fleet.runs.front().at_step <= fleet.steps) {
    const run_end end = std::move(fleet.runs.front());
    fleet.runs.pop_front();
    --fleet.running[end.what.where.target];
    effects todo;
    const target_result result{.cost = call_cost_units, .boot_id = "boot", .run = end.what.run};
    timed(fleet, fleet.report.requests, [&] {
      router_on_target_done(fleet.cores[end.router], end.what.request, result, fleet.now, todo);
    });
    fleet.open[end.router].erase(end.what.request);
    carry_out(fleet, end.router, todo);
    submit_call(fleet, end.router, end.organisation);
  }
}

void deliver(measured_fleet& fleet) {
  std::vector<sent_message> arriving = std::exchange(fleet.flying, {});
  for (const sent_message& sent : arriving) {
    effects todo;
    timed(fleet, fleet.report.messages[kind_of(sent.message)], [&] {
      router_on_message(fleet.cores[sent.to], sent.from, sent.message, fleet.now, todo);
    });
    carry_out(fleet, sent.to, todo);
  }
}

void read_documents(measured_fleet& fleet, std::size_t index) {
  effects todo;
  router_on_document(fleet.cores[index], wire::document_configuration, fleet.config_text,
                     "platform", fleet.now, todo);
  router_on_document(fleet.cores[index], wire::document_instance_list, fleet.list_text, "platform",
                     fleet.now, todo);
  carry_out(fleet, index, todo);
}

void watch(measured_fleet& fleet, std::size_t index) {
  router_core& core = fleet.cores[index];
  if ((fleet.steps + index) % steps_per_watch_check != 0 || !wants_watch(core)) {
    return;
  }
  const bool news = core.config == nullptr || core.config->version < fleet.config_version;
  if (news) {
    read_documents(fleet, index);
  }
}

void run_step(measured_fleet& fleet) {
  ++fleet.steps;
  fleet.now += step;
  deliver(fleet);
  end_runs(fleet);
  for (std::size_t index = 0; index < fleet.cores.size(); ++index) {
    watch(fleet, index);
    if ((fleet.steps + index) % steps_per_tick == 0) {
      effects todo;
      timed(fleet, fleet.report.ticks, [&] { router_tick(fleet.cores[index], fleet.now, todo); });
      carry_out(fleet, index, todo);
    }
  }
}

void run_for(measured_fleet& fleet, duration length) {
  const instant end = fleet.now + length;
  while (fleet.now < end) {
    run_step(fleet);
  }
}

void start_routers(measured_fleet& fleet) {
  for (std::uint32_t index = 0; index < fleet.options.routers; ++index) {
    router_options options;
    options.name = "router-" + std::to_string(index);
    options.self = {router_address{"127.0.0.1:" + std::to_string(7'000 + index)}, index + 1};
    options.domain.value = "domain-" + std::to_string(index % fleet.options.domains);
    options.http_address = "127.0.0.1:" + std::to_string(18'000 + index);
    options.fleet_key = "a fleet key for virtual runs";
    fleet.places.emplace(options.self.address, index);
    fleet.cores.push_back(make_router(options, fleet.now));
  }
  fleet.open.resize(fleet.cores.size());
}

// Neighbours in number enter different organisations, so that all are backlogged.
void start_calls(measured_fleet& fleet) {
  for (std::size_t index = 0; index < fleet.cores.size(); ++index) {
    for (std::uint32_t call = 0; call < fleet.options.backlogged; ++call) {
      const std::size_t number =
          (index * fleet.options.backlogged + call) % fleet.options.organisations;
      submit_call(fleet, index, organisation_name{"organisation-" + std::to_string(number)});
    }
  }
}

void measure_spread(measured_fleet& fleet) {
  const instant published = fleet.now;
  fleet.config_text = capacity_config_text(fleet.options, ++fleet.config_version);
  bool everywhere = false;
  while (!everywhere && fleet.now - published < fleet.options.longest_spread) {
    run_step(fleet);
    everywhere = true;
    for (const router_core& core : fleet.cores) {
      everywhere = everywhere && core.config->version == fleet.config_version;
    }
  }
  fleet.report.spread = everywhere ? fleet.now - published : duration::max();
}

}  // namespace

const char* message_kind_name(std::size_t kind) {
  constexpr std::array<const char*, message_kinds> names{
      "heartbeat", "lease_request",  "lease_reply",      "demand",  "grant",
      "finish",    "service_totals", "document_request", "document"};
  return names.at(kind);
}

capacity_report measure_capacity(const capacity_options& options) {
  measured_fleet fleet;
  fleet.options = options;
  fleet.config_text = capacity_config_text(options, fleet.config_version);
  fleet.list_text = capacity_list_text(options);
  fleet.report.document_bytes = fleet.config_text.size();
  fleet.report.routers = options.routers;
  const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
  start_routers(fleet);
  run_for(fleet, options.settle);
  start_calls(fleet);
  run_for(fleet, std::chrono::seconds{1});
  fleet.counting = true;
  run_for(fleet, options.counted);
  fleet.counting = false;
  fleet.report.seconds = std::chrono::duration<double>(options.counted).count();
  const std::size_t after = mallinfo2().uordblks + mallinfo2().hblkhd;
  fleet.report.state_bytes = (after - before) / options.routers;
  measure_spread(fleet);
  for (const router_core& core : fleet.cores) {
    fleet.report.held_shards += static_cast<std::uint32_t>(core.own_shards.size());
    fleet.report.unready += is_ready(core) ? 0 : 1;
    fleet.report.watching += wants_watch(core) ? 1 : 0;
  }
  fleet.report.service_calls_per_second = calls_per_watcher * fleet.report.watching;
  return fleet.report;
}

}  // namespace peridot::experiment
