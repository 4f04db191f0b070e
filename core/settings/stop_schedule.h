// When a router that is stopped takes which step, within the time that the platform gives it.
//
// The load balancer in front checks readiness once a second and opens no new connections after two
// failed checks. Where the grace allows, requests are taken until then. With a shorter grace each
// step comes sooner in proportion: a call that is taken needs time to end.
//
//   stop_schedule schedule = make_stop_schedule(settings.stop_grace);
//
// Invariant: 0 < close_idle_after <= refuse_after < end_after < grace.
// Thread safety: no shared state.
#pragma once

#include <chrono>

namespace peridot {

struct stop_schedule {
  std::chrono::milliseconds close_idle_after{};  // closes idle connections of callers
  std::chrono::milliseconds refuse_after{};      // refuses new calls
  std::chrono::milliseconds end_after{};         // ends, with calls in progress or not
};

// Precondition: `grace`, from the stop signal to the platform's kill, is at least 100 ms.
stop_schedule make_stop_schedule(std::chrono::milliseconds grace);

}  // namespace peridot
