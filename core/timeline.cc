#include "core/timeline.h"

#include <utility>

#include "core/check.h"

namespace peridot {

timeline make_timeline(std::string process, std::size_t capacity) {
  timeline ring;
  ring.process = std::move(process);
  ring.capacity = capacity;
  return ring;
}

std::uint64_t record(timeline& ring, timeline_event event, instant now,
                     std::chrono::system_clock::time_point wall) {
  PERIDOT_CHECK(ring.capacity > 0, "a time line needs room for an event");
  if (ring.events.size() == ring.capacity) {
    ring.events.pop_front();
    ++ring.dropped;
  }
  event.sequence = ring.next_sequence++;
  event.monotonic = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch());
  event.wall = wall;
  ring.events.push_back(std::move(event));
  return ring.events.back().sequence;
}

}  // namespace peridot
