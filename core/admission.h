// Whether a call to an engine is taken on, and when its caller should come back.
//
// A call is refused at once if no engine is expected to begin it in time. What
// counts as in time depends on the organisation's share while not all can be served:
// one that has had its share must be begun well within the route's aim, one that
// has not is also begun late.
//
//   admission verdict = admit({.predicted = 420ms, .waited = 3ms, ...});
//   if (!verdict.admitted) refuse with verdict.retry_after
//
// Load patterns answered: a burst (the queue stays shorter than the aim, so that what
// is served is on time), one organisation that sends many times its usual (the others
// keep their share), clients that repeat at once (refused without waiting).
// Thread safety: pure function.
#pragma once

#include "core/call.h"
#include "core/types.h"

namespace peridot {

inline constexpr double late_factor_calm = 0.9;  // of the aim, while all can be served
inline constexpr double late_factor_below = 0.9;  // its organisation is below its share
inline constexpr double late_factor_at = 0.45;    // has had its share
inline constexpr double late_factor_above = 0.3;  // has had half as much again
inline constexpr double above_share = 1.5;        // from here on: above
inline constexpr double usable_part = 0.85;       // of the caller's time, for the first token
inline constexpr milliseconds least_retry_after{120};
inline constexpr double most_retry_part =
    0.32;  // of the time left; the platform's bound is a third

struct admission_input {
  duration predicted{};       // from now to the first token
  duration waited{};          // since the call arrived
  duration aim{};             // the route's
  duration left{};            // until it is given up
  double share_position = 0;  // 0: no shortage; else served over share
  double jitter = 0;          // 0 to 1, spreads the returns
};

struct admission {
  bool admitted = true;
  refusal why = refusal::none;
  duration retry_after{};
};

admission admit(const admission_input& input);

// When to come back: at least `expected`, spread by `jitter`, and usable with `left`.
duration retry_after(duration expected, duration left, double jitter);

}  // namespace peridot
