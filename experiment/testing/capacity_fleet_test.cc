// The fleet that costs are measured on has to work, or its figures mean nothing.

#include "experiment/capacity_fleet.h"

#include <doctest/doctest.h>

namespace peridot::experiment {
namespace {

constexpr std::size_t heartbeat_kind = 0;
constexpr std::size_t grant_kind = 4;

TEST_CASE("a measured fleet serves what it is measured on") {
  capacity_options options;
  options.routers = 5;
  options.targets = 10;
  options.counted = std::chrono::seconds{2};

  SUBCASE("without calls only periodic messages flow, and a change reaches all routers") {
    const capacity_report report = measure_capacity(options);
    CHECK(report.held_shards == options.shards_per_pool);
    CHECK(report.unready == 0);
    CHECK(report.spread < options.longest_spread);
    CHECK(report.messages[heartbeat_kind].count > 0);
    CHECK(report.messages[grant_kind].count == 0);
  }

  SUBCASE("with more calls than slots all slots are busy") {
    options.backlogged = 32;
    const capacity_report report = measure_capacity(options);
    const double slots = options.targets * options.target_slots;
    const double ends = static_cast<double>(report.requests.count) / 2 / report.seconds;
    CHECK(ends > 0.8 * slots / std::chrono::duration<double>(options.run_time).count());
    CHECK(report.messages[grant_kind].bytes > 0);
  }
}

}  // namespace
}  // namespace peridot::experiment
