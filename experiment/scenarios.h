// Named scenarios of the measurements: the users' two deployments, with and
// without trouble, and the variants of policy that are compared in one run.
//
//   for (const scenario& each : scenarios()) {
//     for (const variant& v : variants()) {
//       fleet_report report = run_fleet(apply(each, v, seed));
//     }
//   }
//
// Thread safety: pure functions.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "experiment/fleet.h"

namespace peridot::experiment {

struct scenario {
  std::string name;
  std::string what;  // one sentence
  fleet_options options;
};

std::vector<scenario> scenarios();

// What schedules: the product, or a baseline.
struct variant {
  std::string name;
  std::string what;
  share_policy policy = share_policy::fleet_fair;
  bool ideal = false;  // one router, one shard a pool, no distance
};

std::vector<variant> variants();

fleet_options apply(const scenario& base, const variant& how, std::uint64_t seed);

}  // namespace peridot::experiment
