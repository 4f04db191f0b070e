// Model of a router's processor, and of the load balancer in front of the routers.
//
// A processor works on one task after the other. The time until it has finished the tasks at
// hand is about the duration of the router's next loop iteration, from which the router detects
// its overload (core/routing/overload.h). The load balancer sends each client to one router by a
// hash among those in rotation, and checks readiness once per second.
//
//   instant done = spend(processor, costs.refused_call, now);
//   duration loop_time = backlog(processor, now);
//
// Thread safety: none.
#pragma once

#include <cstdint>
#include <vector>

#include "core/base/types.h"
#include "core/routing/overload.h"

namespace peridot::experiment {

// Processor time of one core, measured on loopback (docs/CAPACITY.md).
struct router_costs {
  std::chrono::microseconds closed_connection{29};  // opened, and closed unread
  std::chrono::microseconds refused_call{63};       // on a new connection
  std::chrono::microseconds served_call{199};       // with all events of its response
};

struct router_processor {
  double cores = 0;  // share of one core; 0: not modelled, tasks take no time
  instant busy_until{};
};

// Adds a task after those at hand. Returns when it is finished.
instant spend(router_processor& processor, duration core_time, instant now);

// Time until the tasks at hand are finished.
duration backlog(const router_processor& processor, instant now);

inline constexpr std::chrono::seconds readiness_check_interval{1};
inline constexpr int max_missed_checks = 2;  // then the router is taken out of rotation

struct balanced_router {
  int missed_checks = 0;
  bool in_rotation = true;
};

// Records the result of one readiness check.
void record_check(balanced_router& router, bool ready);

// The router that receives the client's connections: the one of highest hash among those in
// rotation. If fewer than half are in rotation, among all.
// Precondition: `routers` is not empty.
std::size_t choose_router(const std::vector<balanced_router>& routers, std::uint64_t client);

}  // namespace peridot::experiment
