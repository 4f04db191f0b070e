// Virtual time: events in the order of their time, and a seeded random source.
//
// Two events of the same time run in the order in which they were added, so a
// run is a pure function of its seed.
//
//   event_queue queue;
//   schedule_at(queue, queue.now + std::chrono::seconds{1}, []() { ... });
//   while (run_next(queue, end)) {}
//
// Thread safety: none.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "core/types.h"

namespace peridot::experiment {

struct timed_event {
  instant at{};
  std::uint64_t order = 0;
  std::function<void()> work;
};

struct later_event {
  bool operator()(const timed_event& left, const timed_event& right) const {
    return left.at != right.at ? left.at > right.at : left.order > right.order;
  }
};

struct event_queue {
  instant now{};
  std::uint64_t next_order = 0;
  std::priority_queue<timed_event, std::vector<timed_event>, later_event> events;
};

void schedule_at(event_queue& queue, instant at, std::function<void()> work);
void schedule_in(event_queue& queue, duration delay, std::function<void()> work);

// Runs the earliest event if it is not after `end`. False if there is none.
bool run_next(event_queue& queue, instant end);

using random_source = std::mt19937_64;

// Uniform in [0, 1), equal on all platforms for one state of the source.
double uniform(random_source& random);
std::uint64_t below(random_source& random, std::uint64_t bound);
bool chance(random_source& random, double probability);

// Uniform between the two.
duration between(random_source& random, duration low, duration high);

// Exponentially distributed with this mean.
duration exponential(random_source& random, duration mean);

}  // namespace peridot::experiment
