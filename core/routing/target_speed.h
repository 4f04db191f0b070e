// How fast a target works, by its own word: targets of one pool may differ for good, and neighbours
// on a target's machine may slow it for some hundred milliseconds.
//
//   record_slowdown(speed, stated, stated_at);  // from a response, or a peer's report
//   double factor = estimated_slowdown(speed, now);
//
// A statement is what a target said of one moment; it is old on arrival. The estimate starts at the
// newest statement and returns to the target's usual slowdown, the least of the last seconds, as
// the statement ages. A target that states nothing works as usual. A slow target is not a failing
// one: it is used for what it can do in time.
//
// Load pattern handled: targets that differ by three times in speed, of which a router uses each
// once in several seconds: what any router heard counts, by its age.
//
// Bounds: constant time and memory for each target. Thread safety: none.
#pragma once

#include "core/base/types.h"

namespace peridot {

// Slower or faster statements are taken for these.
inline constexpr double min_slowdown = 0.05;
inline constexpr double max_slowdown = 50;
// A statement counts for this fraction less with each such time: neighbours change that often.
inline constexpr milliseconds slowdown_decay_time{600};
// The usual slowdown is the least of this time and the one before.
inline constexpr std::chrono::seconds usual_slowdown_period{8};

struct target_speed {
  double latest = 1;
  instant stated_at{};      // of the newest statement; instant{}: there is none
  double period_least = 1;  // of the current period
  double last_period_least = 1;
  instant period_started_at{};
};

// Records a statement; one that is older than the newest only counts for the usual slowdown.
void record_slowdown(target_speed& speed, double slowdown, instant stated_at);

// How long work takes at the target, as a factor of what it takes at one of slowdown 1.
double estimated_slowdown(const target_speed& speed, instant now);

// What it usually takes.
double usual_slowdown(const target_speed& speed);

}  // namespace peridot
