#include "core/routing/overload.h"

#include <algorithm>

namespace peridot {
namespace {

duration scaled(duration time, double factor) {
  return std::chrono::duration_cast<duration>(time * factor);
}

}  // namespace

void note_turn(overload_state& state, duration turn, instant now) {
  const duration bounded = std::clamp<duration>(turn, duration{0}, most_turn);
  state.turn += scaled(bounded - state.turn, turn_memory);
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

bool refuses_new(const overload_state& state, duration aim, bool peers_alive) {
  const duration turns = scaled(state.turn, turns_per_call);
  if (!peers_alive) {
    return turns > aim;
  }
  return state.turn > ordinary_turn && turns > scaled(aim, turns_aim_part);
}

}  // namespace peridot
