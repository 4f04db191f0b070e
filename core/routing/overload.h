// Overload of this instance: how long a turn of its loop takes, and what follows.
//
// Callers are spread over instances by a hash, so that one busy caller can fill one
// instance while the others idle. A turn of the loop serves all sockets that are ready;
// a call and its answer need several turns, and each event of a stream one more. When
// turns are long, new calls are refused at once, since a refused caller tries another
// instance; if it lasts, the instance asks the balancer for no new connections.
//
//   note_turn(state, turn, others_have_room, now);   // measured a few times a second
//   if (refuses_new(state, aim, others_have_room)) { ... }
//   if (state.shedding) { not ready; answers end their connections }
//   if (state.closing) { new connections are closed unread }
//
// Load patterns answered: one caller that sends many times its usual over connections
// to one instance; an instance that is slowed or whose processor share is used up.
//
// Invariants: 0 <= turn <= most_turn; `shedding` begins no sooner than shed_after its
// cause began, and ends calm_after it ended, or at once when the others have no room.
// Thread safety: none; one loop.
#pragma once

#include "core/base/types.h"

namespace peridot {

inline constexpr milliseconds max_loop_time_sample{500};  // a process that slept is soon over it
inline constexpr milliseconds normal_loop_time{25};       // pauses of a shared processor
inline constexpr double loop_time_ewma_weight = 0.3;      // weight of the newest measurement
inline constexpr double loop_iterations_per_call = 5;     // accept, read, connect, send, answer
inline constexpr double max_loop_latency_fraction = 0.5;  // of the aim, for the turns of a call
inline constexpr milliseconds shed_loop_time{50};         // about half of the users' usual aim
inline constexpr milliseconds shed_delay{500};            // lasting, not one pause
inline constexpr double min_accepting_peer_fraction =
    0.67;                                               // of the live peers, so that they bear it
inline constexpr milliseconds close_loop_time{120};     // then even a refusal comes late
inline constexpr milliseconds recovered_loop_time{15};  // well below both bounds above
inline constexpr milliseconds recovery_delay{2'000};    // two questions of the balancer

struct overload_state {
  duration mean_loop_time{};  // mean of late
  bool shedding = false;
  bool closing_new_connections = false;
  instant condition_since{};  // the cause of the next change began; unset: there is none
};

// A turn of the loop took this long. Nothing is shed while the others have no room.
void record_loop_time(overload_state& state, duration loop_time, bool peers_accept_calls,
                      instant now);

// True if a new call should go to another instance. If none has room, only calls are
// refused that would begin after their aim.
bool should_refuse_new_call(const overload_state& state, duration latency_objective,
                            bool peers_accept_calls);

// True if enough of the live peers take new calls to take this instance's as well.
bool enough_peers_accept_calls(std::size_t accepting_peers, std::size_t live_peers);

}  // namespace peridot
