#include "core/routing/overload.h"

#include <algorithm>

namespace peridot {
bool have_room(std::size_t peers_with_room, std::size_t live_peers) {
  return peers_with_room > 0 &&
         static_cast<double>(peers_with_room) >= room_part * static_cast<double>(live_peers);
}

void note_turn(overload_state& state, duration turn, bool others_have_room, instant now) {
  const duration bounded = std::clamp<duration>(turn, duration{0}, most_turn);
  state.turn += scaled(bounded - state.turn, turn_memory);
  if (!others_have_room) {
    state.shedding = false;
    state.closing = false;
    state.changing_since = instant{};
    return;
  }
  state.closing = state.turn > close_above || (state.closing && state.turn > shed_above);
  const bool changes = state.shedding ? state.turn < calm_below : state.turn > shed_above;
  if (!changes) {
    state.changing_since = instant{};
    return;
  }
  if (state.changing_since == instant{}) {
    state.changing_since = now;
  }
  if (now - state.changing_since >= (state.shedding ? calm_after : shed_after)) {
    state.shedding = !state.shedding;
    state.changing_since = instant{};
  }
}

bool refuses_new(const overload_state& state, duration aim, bool others_have_room) {
  const duration turns = scaled(state.turn, turns_per_call);
  if (!others_have_room) {
    return turns > aim;
  }
  return state.turn > ordinary_turn && turns > scaled(aim, turns_aim_part);
}

}  // namespace peridot
