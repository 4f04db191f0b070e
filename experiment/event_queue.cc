#include "experiment/event_queue.h"

#include <cmath>
#include <utility>

#include "core/check.h"

namespace peridot::experiment {

void schedule_at(event_queue& queue, instant at, std::function<void()> work) {
  queue.events.push({at < queue.now ? queue.now : at, queue.next_order++, std::move(work)});
}

void schedule_in(event_queue& queue, duration delay, std::function<void()> work) {
  schedule_at(queue, queue.now + delay, std::move(work));
}

bool run_next(event_queue& queue, instant end) {
  if (queue.events.empty() || queue.events.top().at > end) {
    return false;
  }
  const timed_event next = queue.events.top();
  queue.events.pop();
  PERIDOT_CHECK(next.at >= queue.now, "virtual time runs backwards");
  queue.now = next.at;
  next.work();
  return true;
}

double uniform(random_source& random) {
  constexpr double scale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(random() >> 11) * scale;
}

std::uint64_t below(random_source& random, std::uint64_t bound) {
  PERIDOT_CHECK(bound > 0, "an empty range has no random value");
  return random() % bound;
}

bool chance(random_source& random, double probability) {
  return uniform(random) < probability;
}

duration between(random_source& random, duration low, duration high) {
  const double span = static_cast<double>((high - low).count());
  return low + duration{static_cast<duration::rep>(uniform(random) * span)};
}

duration exponential(random_source& random, duration mean) {
  const double factor = -std::log(1.0 - uniform(random));
  return duration{static_cast<duration::rep>(static_cast<double>(mean.count()) * factor)};
}

}  // namespace peridot::experiment
