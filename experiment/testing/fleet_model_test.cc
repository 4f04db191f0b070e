// The routers' decisions against baselines, on models of engines. Each scenario names its
// load pattern; bounds come from the aims: more is served than by each baseline, and
// nobody is starved.
#include "experiment/fleet_model.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace peridot::experiment;

namespace {

constexpr std::uint64_t seed = 1;

scenario scenario_named(const std::string& name) {
  for (scenario& one : all_scenarios()) {
    if (one.name == name) {
      one.lasts = std::chrono::seconds{25};
      return one;
    }
  }
  FAIL("no scenario ", name);
  return {};
}

}  // namespace

TEST_CASE("load patterns beyond what the engines bear") {
  for (const char* name : {"listings", "notebooks", "hot-subject", "short-calls"}) {
    CAPTURE(name);
    const scenario what = scenario_named(name);
    const outcome own = play(what, policy::peridot, seed);
    for (policy baseline : {policy::no_admission, policy::least_connections, policy::rendezvous}) {
      CAPTURE(to_text(baseline));
      const outcome other = play(what, baseline, seed);
      CHECK(own.worth > other.worth);
      CHECK(own.worst_organisation > other.worst_organisation);
      CHECK(own.served >= other.served);
    }
    // By the platform's bounds: the largest tenth is served half as often as all, an
    // organisation or a kind a quarter as often.
    CHECK(own.largest_tenth >= own.served / 2);
    CHECK(own.worst_organisation >= own.worth / 4);
    CHECK(own.worst_kind >= own.worth / 4);
  }
}

TEST_CASE("load patterns that the engines bear: next to nobody is refused for good") {
  for (const char* name : {"calm", "many-subjects"}) {
    CAPTURE(name);
    const outcome own = play(scenario_named(name), policy::peridot, seed);
    CHECK(own.served >= 0.99);
    CHECK(own.refused <= 0.03);
    CHECK(own.worst_kind >= 0.9);
  }
}

TEST_CASE("a hot subject lives on several engines, others on few") {
  const scenario hot = scenario_named("hot-subject");
  const outcome spread = play(hot, policy::peridot, seed);
  const outcome single = play(hot, policy::rendezvous, seed);
  CHECK(spread.busiest < single.busiest / 2);
  const scenario many = scenario_named("many-subjects");
  const outcome kept = play(many, policy::peridot, seed);
  const outcome anywhere = play(many, policy::least_connections, seed);
  CHECK(kept.shared_again < anywhere.shared_again);
}

TEST_CASE("a run repeats with its seed") {
  const scenario what = scenario_named("short-calls");
  CHECK(play(what, policy::peridot, 4).worth == play(what, policy::peridot, 4).worth);
}
