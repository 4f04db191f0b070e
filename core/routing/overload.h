// Overload of this instance: how long a turn of its loop takes, and what follows.
//
// Callers are spread over instances by a hash, so that one busy caller can fill one
// instance while the others idle. A turn of the loop serves all sockets that are ready;
// a call and its answer need several turns, and each event of a stream one more. When
// turns are long, new calls are refused at once, since a refused caller tries another
// instance; if it lasts, the instance asks the balancer for no new connections.
//
//   note_turn(state, turn, now);                     // measured a few times a second
//   if (refuses_new(state, aim, peers_alive)) { ... }
//   if (state.shedding) { not ready; answers end their connections }
//
// Load patterns answered: one caller that sends many times its usual over connections
// to one instance; an instance that is slowed or whose processor share is used up.
//
// Invariants: 0 <= turn <= most_turn; `shedding` changes no sooner than shed_after or
// calm_after its cause began.
// Thread safety: none; one loop.
#pragma once

#include "core/base/types.h"

namespace peridot {

inline constexpr milliseconds most_turn{500};     // a process that slept is soon over it
inline constexpr milliseconds ordinary_turn{25};  // pauses of a shared processor
inline constexpr double turn_memory = 0.3;        // weight of the newest measurement
inline constexpr double turns_per_call = 5;       // accept, read, connect, send, answer
inline constexpr double turns_aim_part = 0.5;     // of the aim, for the turns of a call
inline constexpr milliseconds shed_above{50};     // about half of the users' usual aim
inline constexpr milliseconds shed_after{500};    // lasting, not one pause
inline constexpr milliseconds calm_below{15};     // well below both bounds above
inline constexpr milliseconds calm_after{2'000};  // two questions of the balancer

struct overload_state {
  duration turn{};  // mean of late
  bool shedding = false;
  instant changing_since{};  // the cause of the next change began; unset: there is none
};

// A turn of the loop took this long.
void note_turn(overload_state& state, duration turn, instant now);

// True if a new call should go to another instance. Without peers alive there is none:
// then only calls are refused that would begin after their aim.
bool refuses_new(const overload_state& state, duration aim, bool peers_alive);

}  // namespace peridot
