// Merges the rings of several processes.
//
// Each ring has a head, its first event that has not been emitted. A head is
// ready if its cause has been emitted or is in no ring. The ready head with the
// earliest wall clock goes next; process name and sequence decide ties, so that
// the result does not depend on the order of the input. A ring whose head is not
// ready is parked at the event it waits for, and is looked at again when that
// event is emitted.
//
// Invariant: a ring is either ready, parked or exhausted. Rings that contradict
// each other (an event that follows from its own effect) leave only parked ones;
// then the earliest parked head goes next, so that the merge always ends.
//
// Cost: O(n log r) for n events in r rings.
#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

#include "core/timeline.h"

namespace peridot {
namespace {

// An event by its ring and its index there.
struct event_place {
  std::size_t ring = 0;
  std::size_t index = 0;
  friend bool operator<(const event_place& left, const event_place& right) {
    return std::tie(left.ring, left.index) < std::tie(right.ring, right.index);
  }
};

struct head_order {
  std::chrono::system_clock::time_point wall;
  std::string process;
  std::uint64_t sequence = 0;
  std::size_t ring = 0;
  friend bool operator<(const head_order& left, const head_order& right) {
    return std::tie(left.wall, left.process, left.sequence, left.ring) <
           std::tie(right.wall, right.process, right.sequence, right.ring);
  }
};

struct merge_state {
  const std::vector<parsed_timeline>* rings = nullptr;
  std::unordered_map<std::string, std::vector<std::size_t>> rings_of;  // by process
  std::vector<std::size_t> heads;                                      // index by ring
  std::set<head_order> ready;
  std::map<event_place, std::vector<std::size_t>> parked;  // rings, by what they wait for
};

const timeline_event& head_event(const merge_state& state, std::size_t ring) {
  return (*state.rings)[ring].events[state.heads[ring]];
}

head_order order_of_head(const merge_state& state, std::size_t ring) {
  const timeline_event& event = head_event(state, ring);
  return {event.wall, (*state.rings)[ring].process, event.sequence, ring};
}

std::optional<std::size_t> index_of(const parsed_timeline& ring, std::uint64_t sequence) {
  auto found = std::lower_bound(
      ring.events.begin(), ring.events.end(), sequence,
      [](const timeline_event& event, std::uint64_t wanted) { return event.sequence < wanted; });
  if (found == ring.events.end() || found->sequence != sequence) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - ring.events.begin());
}

// Where the cause of an event is. Nothing if it has none, if its ring dropped
// it, or if two rings of that process hold the number (a restarted process).
std::optional<event_place> cause_of(const merge_state& state, const timeline_event& event) {
  auto candidates = state.rings_of.find(event.cause_process);
  if (event.cause_process.empty() || candidates == state.rings_of.end()) {
    return std::nullopt;
  }
  std::optional<event_place> place;
  for (std::size_t ring : candidates->second) {
    const std::optional<std::size_t> index = index_of((*state.rings)[ring], event.cause_sequence);
    if (!index.has_value()) {
      continue;
    }
    if (place.has_value()) {
      return std::nullopt;
    }
    place = event_place{ring, *index};
  }
  return place;
}

// Makes the ring ready or parks it. Does nothing if it is exhausted.
void place_ring(merge_state& state, std::size_t ring) {
  if (state.heads[ring] == (*state.rings)[ring].events.size()) {
    return;
  }
  const std::optional<event_place> cause = cause_of(state, head_event(state, ring));
  const bool waits =
      cause.has_value() && cause->ring != ring && cause->index >= state.heads[cause->ring];
  if (waits) {
    state.parked[*cause].push_back(ring);
  } else {
    state.ready.insert(order_of_head(state, ring));
  }
}

// Makes the ring with the earliest parked head ready.
void release_earliest(merge_state& state) {
  std::optional<head_order> earliest;
  event_place waited_for;
  for (const std::pair<const event_place, std::vector<std::size_t>>& entry : state.parked) {
    for (std::size_t ring : entry.second) {
      const head_order candidate = order_of_head(state, ring);
      if (!earliest.has_value() || candidate < *earliest) {
        earliest = candidate;
        waited_for = entry.first;
      }
    }
  }
  auto parked = state.parked.find(waited_for);
  std::erase(parked->second, earliest->ring);
  if (parked->second.empty()) {
    state.parked.erase(parked);
  }
  state.ready.insert(*earliest);
}

// Emits the head of the earliest ready ring.
void emit_next(merge_state& state, std::vector<merged_event>& merged) {
  const std::size_t ring = state.ready.begin()->ring;
  state.ready.erase(state.ready.begin());
  merged.push_back({(*state.rings)[ring].process, head_event(state, ring)});
  const event_place emitted{ring, state.heads[ring]};
  ++state.heads[ring];
  place_ring(state, ring);
  auto parked = state.parked.find(emitted);
  if (parked == state.parked.end()) {
    return;
  }
  const std::vector<std::size_t> released = std::move(parked->second);
  state.parked.erase(parked);
  for (std::size_t waiting : released) {
    place_ring(state, waiting);
  }
}

}  // namespace

std::vector<merged_event> merge(const std::vector<parsed_timeline>& timelines) {
  merge_state state;
  state.rings = &timelines;
  state.heads.resize(timelines.size());
  for (std::size_t ring = 0; ring < timelines.size(); ++ring) {
    state.rings_of[timelines[ring].process].push_back(ring);
  }
  for (std::size_t ring = 0; ring < timelines.size(); ++ring) {
    place_ring(state, ring);
  }
  std::vector<merged_event> merged;
  while (!state.ready.empty() || !state.parked.empty()) {
    if (state.ready.empty()) {
      release_earliest(state);
    }
    emit_next(state, merged);
  }
  return merged;
}

std::vector<merged_event> filter(const std::vector<merged_event>& events,
                                 const timeline_filter& wanted) {
  std::vector<merged_event> kept;
  for (const merged_event& merged : events) {
    const timeline_event& event = merged.event;
    const bool matches =
        (wanted.request.empty() || wanted.request == event.request) &&
        (wanted.organisation.value.empty() || wanted.organisation == event.organisation) &&
        (wanted.target.value.empty() || wanted.target == event.target) &&
        (wanted.process.empty() || wanted.process == merged.process);
    if (matches) {
      kept.push_back(merged);
    }
  }
  return kept;
}

}  // namespace peridot
