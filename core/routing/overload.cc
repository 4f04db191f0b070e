#include "core/routing/overload.h"

#include <algorithm>

namespace peridot {
bool enough_peers_accept_calls(std::size_t accepting_peers, std::size_t live_peers) {
  return accepting_peers > 0 && static_cast<double>(accepting_peers) >=
                                    min_accepting_peer_fraction * static_cast<double>(live_peers);
}

void record_loop_time(overload_state& state, duration loop_time, bool peers_accept_calls,
                      instant now) {
  const duration sample = std::clamp<duration>(loop_time, duration{0}, max_loop_time_sample);
  state.mean_loop_time += scaled(sample - state.mean_loop_time, loop_time_ewma_weight);
  if (!peers_accept_calls) {
    state.shedding = false;
    state.closing_new_connections = false;
    state.condition_since = instant{};
    return;
  }
  state.closing_new_connections =
      state.mean_loop_time > close_loop_time ||
      (state.closing_new_connections && state.mean_loop_time > shed_loop_time);
  const bool condition_holds = state.shedding ? state.mean_loop_time < recovered_loop_time
                                              : state.mean_loop_time > shed_loop_time;
  if (!condition_holds) {
    state.condition_since = instant{};
    return;
  }
  if (state.condition_since == instant{}) {
    state.condition_since = now;
  }
  if (now - state.condition_since >= (state.shedding ? recovery_delay : shed_delay)) {
    state.shedding = !state.shedding;
    state.condition_since = instant{};
  }
}

bool should_refuse_new_call(const overload_state& state, duration latency_objective,
                            bool peers_accept_calls) {
  const duration call_loop_time = scaled(state.mean_loop_time, loop_iterations_per_call);
  if (!peers_accept_calls) {
    return call_loop_time > latency_objective;
  }
  return state.mean_loop_time > normal_loop_time &&
         call_loop_time > scaled(latency_objective, max_loop_latency_fraction);
}

}  // namespace peridot
