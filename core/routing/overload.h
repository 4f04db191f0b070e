// Overload of this router instance, detected by the duration of its event loop iterations.
//
// The load balancer in front of the routers assigns callers to instances by a hash, so that
// one busy caller can overload one instance while the others are idle. One loop iteration
// serves all sockets that are ready; a call needs several iterations, and one more for
// each event of a stream. While iterations are long, new calls are refused on arrival,
// since a refused caller tries another instance. If the condition lasts, the instance
// sheds load: it reports not ready, so that the load balancer sends it no new connections.
//
//   record_loop_time(state, loop_time, peers_accept_calls, now);  // a few times a second
//   if (should_refuse_new_call(state, latency_objective, peers_accept_calls)) { ... }
//   if (state.shedding) { report not ready; close each connection after its response }
//   if (state.closing_new_connections) { close new connections without reading }
//
// A flood of new connections does not make iterations long: each one accepts
// max_accepts_per_iteration at most, and the others wait in the backlog of the listening socket.
// The instance then serves what its CPU allows and refuses the rest. If it shed the flood, that
// would overload the next instance, and come back once this one is ready again.
//
// Load patterns handled: one caller that sends many times its usual rate over
// connections to one instance; an instance that is slowed down or has used up its CPU
// quota.
//
// Invariants: 0 <= mean_loop_time <= max_loop_time_sample. `shedding` starts when
// mean_loop_time has been above shed_loop_time for shed_delay. It ends when mean_loop_time
// has been below recovered_loop_time for recovery_delay. `closing_new_connections` starts
// when mean_loop_time is above close_loop_time and ends when it is no longer above
// shed_loop_time. While too few peers accept new calls, neither starts, and both end at once.
// Thread safety: none; for use from one event loop.
#pragma once

#include "core/base/types.h"

namespace peridot {

// Limits the effect of a sample that was taken after the process was suspended.
inline constexpr milliseconds max_loop_time_sample{500};
// Shorter iterations are explained by scheduling pauses of a shared CPU.
inline constexpr milliseconds normal_loop_time{25};
inline constexpr double loop_time_ewma_weight = 0.3;
inline constexpr double loop_iterations_per_call = 5;  // accept, read, connect, send, respond
// Fraction of the latency objective that a call's loop iterations may take.
inline constexpr double max_loop_latency_fraction = 0.5;
// The loop iterations of a call then take 250 ms, about half of a typical latency objective.
inline constexpr milliseconds shed_loop_time{50};
inline constexpr milliseconds shed_delay{500};  // ignores a single pause
// Fraction of the live peers; fewer could not take over this instance's calls.
inline constexpr double min_accepting_peer_fraction = 0.67;
inline constexpr milliseconds close_loop_time{120};     // even a refusal would be late
inline constexpr milliseconds recovered_loop_time{15};  // well below the bounds above
inline constexpr milliseconds recovery_delay{2'000};    // two readiness checks of the load balancer

// New connections that one iteration accepts.
inline constexpr int max_accepts_per_iteration = 16;
// Connections that wait to be accepted; more are not established. With an eighth of a core, the
// last one waits for less than half a second.
inline constexpr int accept_backlog = 256;

struct overload_state {
  duration mean_loop_time{};  // moving average
  bool shedding = false;
  bool closing_new_connections = false;
  // Since when mean_loop_time has met the condition for changing `shedding`; instant{}: it
  // does not.
  instant condition_since{};
};

// Records a sample: the duration of one loop iteration; a few times a second. Ends shedding and
// closing if not `peers_accept_calls`.
void record_loop_time(overload_state& state, duration loop_time, bool peers_accept_calls,
                      instant now);

// True if a new call should go to another instance. If too few peers accept calls, only a
// call whose loop iterations alone exceed its latency objective is refused.
bool should_refuse_new_call(const overload_state& state, duration latency_objective,
                            bool peers_accept_calls);

// True if enough of the live peers accept new calls to take over this instance's calls.
bool enough_peers_accept_calls(std::size_t accepting_peers, std::size_t live_peers);

}  // namespace peridot
