// Compares the router's placement and admission with baseline policies in simulation. A
// failure means that a change earns less worth, or serves fewer calls, than a baseline in an
// overload scenario, refuses calls for good below capacity, caches a hot subject on too few
// engines or other subjects on too many, or starves an organisation, a kind of calls or large
// prompts.
#include "experiment/fleet_model.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace peridot::experiment;

namespace {

constexpr std::uint64_t seed = 1;

// Returns the scenario, shortened to 25 s.
load_scenario find_scenario(const std::string& name) {
  for (load_scenario& scenario : all_scenarios()) {
    if (scenario.name == name) {
      scenario.length = std::chrono::seconds{25};
      return scenario;
    }
  }
  FAIL("no scenario ", name);
  return {};
}

}  // namespace

TEST_CASE(
    "overload: more worth is earned than with each baseline, no fewer calls are served, and no "
    "group is starved") {
  for (const char* name : {"listings", "notebooks", "hot-subject", "short-calls"}) {
    CAPTURE(name);
    const load_scenario scenario = find_scenario(name);
    const simulation_result router_result = simulate(scenario, routing_policy::peridot, seed);
    for (routing_policy baseline : {routing_policy::no_admission, routing_policy::least_connections,
                                    routing_policy::rendezvous}) {
      CAPTURE(to_text(baseline));
      const simulation_result baseline_result = simulate(scenario, baseline, seed);
      CHECK(router_result.worth_fraction > baseline_result.worth_fraction);
      CHECK(router_result.worst_organisation_worth_fraction >
            baseline_result.worst_organisation_worth_fraction);
      CHECK(router_result.served_fraction >= baseline_result.served_fraction);
    }
    // Bounds of the users' platform: the largest tenth of the prompts of the first kind is served
    // at least half as often as all calls; each organisation and each kind of calls earns at least
    // a quarter of the mean worth fraction.
    CHECK(router_result.largest_tenth_served_fraction >= router_result.served_fraction / 2);
    CHECK(router_result.worst_organisation_worth_fraction >= router_result.worth_fraction / 4);
    CHECK(router_result.worst_kind_worth_fraction >= router_result.worth_fraction / 4);
  }
}

TEST_CASE("below capacity: almost no call is refused for good") {
  for (const char* name : {"calm", "many-subjects"}) {
    CAPTURE(name);
    const simulation_result router_result =
        simulate(find_scenario(name), routing_policy::peridot, seed);
    CHECK(router_result.served_fraction >= 0.99);
    CHECK(router_result.refused_fraction <= 0.03);
    CHECK(router_result.worst_kind_worth_fraction >= 0.9);
  }
}

TEST_CASE("a hot subject is cached on several engines, other subjects on few") {
  const load_scenario hot_subject = find_scenario("hot-subject");
  const simulation_result router_result = simulate(hot_subject, routing_policy::peridot, seed);
  const simulation_result rendezvous_result =
      simulate(hot_subject, routing_policy::rendezvous, seed);
  CHECK(router_result.busiest_to_mean_prefill < rendezvous_result.busiest_to_mean_prefill / 2);
  const load_scenario many_subjects = find_scenario("many-subjects");
  const simulation_result many_subjects_result =
      simulate(many_subjects, routing_policy::peridot, seed);
  const simulation_result least_connections_result =
      simulate(many_subjects, routing_policy::least_connections, seed);
  CHECK(many_subjects_result.repeated_prefill_fraction <
        least_connections_result.repeated_prefill_fraction);
}

TEST_CASE("a simulation is deterministic for its seed") {
  const load_scenario scenario = find_scenario("short-calls");
  CHECK(simulate(scenario, routing_policy::peridot, 4).worth_fraction ==
        simulate(scenario, routing_policy::peridot, 4).worth_fraction);
}
