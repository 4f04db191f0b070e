// Microseconds per grant and per demand line, by backlogged organisations.
//
// One owner of one pool with 64 targets of 8 slots and 12,000 published
// organisations. Each round grants every free slot and ends every call.
//
//   scheduler_bench [rounds]
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "core/scheduler.h"

namespace peridot {
namespace {

constexpr std::uint32_t published_organisations = 12'000;
constexpr std::uint32_t published_targets = 64;
constexpr std::uint32_t target_slots = 8;
constexpr std::uint64_t pool_slots = std::uint64_t{published_targets} * target_slots;
constexpr int default_rounds = 200;
const pool_name pool{"explain"};
const shard_key shard{pool, 0};
const router_identity entry{router_address{"127.0.0.1:7401"}, 1};

published_config make_config() {
  published_config config;
  config.version = 1;
  config.fleet.shards_per_pool = 1;
  for (std::uint32_t index = 0; index < published_organisations; ++index) {
    organisation_config organisation;
    organisation.name.value = "organisation-" + std::to_string(index);
    config.organisations.push_back(organisation);
  }
  for (std::uint32_t index = 0; index < published_targets; ++index) {
    target_config target;
    target.name.value = "engine-" + std::to_string(index);
    target.pool = pool;
    target.cold_limit = target_slots;
    target.warm_limit = target_slots;
    config.targets.push_back(target);
  }
  return config;
}

wire::demand make_demand(const published_config& config, std::uint32_t backlogged, instant now) {
  wire::demand message;
  message.set_pool(pool.value);
  message.set_sent_at_us(to_wire(now));
  for (std::uint32_t index = 0; index < backlogged; ++index) {
    wire::demand_line& line = *message.add_lines();
    line.set_organisation(config.organisations[index].name.value);
    line.set_traffic_class(wire::class_standard);
    line.set_queued(1'000);
    line.set_estimated_cost(100);
  }
  return message;
}

wire::finish make_finish(const wire::grant& grant) {
  wire::finish message;
  message.set_grant_id(grant.grant_id());
  *message.mutable_shard() = grant.shard();
  message.set_target(grant.target());
  message.set_organisation(grant.organisation());
  message.set_result(wire::finish_ok);
  message.set_cost(150);
  return message;
}

struct stopwatch {
  double microseconds = 0;
  std::uint64_t count = 0;
};

template <class Work>
void measure(stopwatch& watch, std::uint64_t count, const Work& work) {
  const std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
  work();
  const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - began;
  watch.microseconds += took.count();
  watch.count += count;
}

void run(const published_config& config, std::uint32_t backlogged, int rounds) {
  const scheduler_context context{.config = config, .list = nullptr};
  scheduler_table table;
  instant now = instant{} + std::chrono::seconds{1'000};
  add_shard(table, shard, 1, now, context);
  now += config.fleet.grant_validity + network_slack;
  for (const target_config& target : config.targets) {
    on_load_report(table, {target.name, "boot", 0, 0, 0, now}, now, context);
  }
  stopwatch grants;
  stopwatch finishes;
  stopwatch lines;
  for (int round = 0; round < rounds; ++round) {
    now += std::chrono::milliseconds{10};
    const wire::demand demand = make_demand(config, backlogged, now);
    measure(lines, backlogged, [&] { on_demand(table, entry, demand, now, context); });
    outbox out;
    const std::vector<shard_lease> leases{{shard, now + config.fleet.lease}};
    measure(grants, pool_slots, [&] { grant_slots(table, leases, context, now, out); });
    std::vector<wire::finish> ends;
    for (const outgoing_message& sent : out) {
      ends.push_back(make_finish(sent.message.grant()));
    }
    measure(finishes, ends.size(), [&] {
      for (const wire::finish& end : ends) {
        on_finish(table, entry, end, now, context);
      }
    });
  }
  std::printf("backlogged %5u: %.2f us/grant, %.2f us/finish, %.2f us/demand line\n", backlogged,
              grants.microseconds / static_cast<double>(grants.count),
              finishes.microseconds / static_cast<double>(finishes.count),
              lines.microseconds / static_cast<double>(lines.count));
}

}  // namespace
}  // namespace peridot

int main(int argc, char** argv) {
  const int rounds = argc > 1 ? std::atoi(argv[1]) : peridot::default_rounds;
  const peridot::published_config config = peridot::make_config();
  for (const std::uint32_t backlogged : {16U, 160U, 1'200U}) {
    peridot::run(config, backlogged, rounds);
  }
  return 0;
}
