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

inline constexpr milliseconds most_turn{500};     // a process that slept is soon over it
inline constexpr milliseconds ordinary_turn{25};  // pauses of a shared processor
inline constexpr double turn_memory = 0.3;        // weight of the newest measurement
inline constexpr double turns_per_call = 5;       // accept, read, connect, send, answer
inline constexpr double turns_aim_part = 0.5;     // of the aim, for the turns of a call
inline constexpr milliseconds shed_above{50};     // about half of the users' usual aim
inline constexpr milliseconds shed_after{500};    // lasting, not one pause
inline constexpr double room_part = 0.67;         // of the live peers, so that they bear it
inline constexpr milliseconds close_above{120};   // then even a refusal comes late
inline constexpr milliseconds calm_below{15};     // well below both bounds above
inline constexpr milliseconds calm_after{2'000};  // two questions of the balancer

struct overload_state {
  duration turn{};  // mean of late
  bool shedding = false;
  bool closing = false;
  instant changing_since{};  // the cause of the next change began; unset: there is none
};

// A turn of the loop took this long. Nothing is shed while the others have no room.
void note_turn(overload_state& state, duration turn, bool others_have_room, instant now);

// True if a new call should go to another instance. If none has room, only calls are
// refused that would begin after their aim.
bool refuses_new(const overload_state& state, duration aim, bool others_have_room);

// True if enough of the live peers take new calls to take this instance's as well.
bool have_room(std::size_t peers_with_room, std::size_t live_peers);

}  // namespace peridot
