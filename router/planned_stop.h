// How a router ends that was told to stop. core/settings/stop_schedule.h has the times of its
// steps.
//
// - At once: it says that it is not ready, tells its peers, and ends each connection after its next
//   response. Calls that are not expected to end in time are refused.
// - Then it closes idle connections, and refuses all calls as not run.
// - It ends once no call and no connection is left, or when the time is over. Then each call in
//   progress gets a final answer, as do the requests that have arrived.
//
// The settings at the signal decide, since the platform's time runs from it.
// Thread safety: none; for use from one event loop.
#pragma once

#include "router/router_state.h"

namespace peridot {

// The route's responses that were complete lately took at most this long, about.
void record_response_time(router_state& router, const route_name& route, duration time,
                          instant now);

// True if the router is stopping, and a call of the route that begins now is not expected to end
// before it does, and may not be repeated then.
bool ends_before_calls(const router_state& router, const route& call_route, instant now);

// Starts to stop. Has no effect if the router is stopping already.
void begin_stop(router_state& router, instant now);

// Takes the steps that are due; to be called with each tick while the router is stopping. Breaks
// the event loop at the end, with router.exit_status 0 if no call was left.
void advance_stop(router_state& router, instant now);

}  // namespace peridot
