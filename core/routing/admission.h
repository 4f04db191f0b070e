// Whether a call to an engine is taken on, and when its caller should come back.
//
// A call is refused at once if no engine is expected to begin it in time. What
// counts as in time depends on the organisation's share while not all can be served:
// the call may wait for others in a part of the slack, which is what the route's aim
// leaves beside reading the call's own prompt. The part is smaller for one that has
// had its share. The parts are small because short queues leave engines time to write
// and memory to keep shared parts: more callers are served than with longer ones.
// A call that need not wait is always taken on if it can be answered at all.
//
//   admission verdict = admit({.queued = 80ms, .own = 120ms, .waited = 3ms, ...});
//   if (!verdict.admitted) refuse with verdict.retry_after
//
// Load patterns answered: a burst (the queue stays shorter than the aim, so that what
// is served is on time), one organisation that sends many times its usual (the others
// keep their share), clients that repeat at once (refused without waiting), prompts of
// very different size (a large one is not refused for the time that it takes itself).
// Thread safety: pure function.
#pragma once

#include "core/base/types.h"
#include "core/calls/call.h"

namespace peridot {

inline constexpr double under_share_slack_fraction =
    0.85;  // below its share, or while all can be served
inline constexpr double at_share_slack_fraction =
    0.3;  // has just had its share; then less in proportion
inline constexpr double min_slack_fraction = 0.05;
inline constexpr double over_share_fallback_slack_fraction =
    0.01;  // as good as idle: serves anybody
inline constexpr double fallback_slack_fraction =
    0.05;                                             // an engine with that little to do has time
inline constexpr double usable_time_fraction = 0.85;  // of the caller's time, for the first token
inline constexpr milliseconds min_retry_after{120};
inline constexpr double max_retry_after_fraction =
    0.32;  // of the time left; the platform's bound is a third

struct admission_input {
  duration queue_wait{};         // expected wait at the engine behind other calls
  duration processing_time{};    // then to the first token, reading the prompt included
  duration elapsed{};            // since the call arrived
  duration latency_objective{};  // the route's
  duration time_left{};          // until it is given up
  double share_position = 0;     // 0: no shortage; else served over share
  double jitter = 0;             // 0 to 1, spreads the returns
  bool is_fallback = false;      // the engine was chosen for its short queue alone
};

struct admission_decision {
  bool admitted = true;
  refusal reason = refusal::none;
  duration retry_after{};
};

admission_decision admit(const admission_input& input);

// When to come back: at least `expected`, spread by `jitter`, and usable with `left`.
duration retry_after(duration expected, duration time_left, double jitter);

}  // namespace peridot
