// Admission control: whether a call to an engine is admitted, and if not, when its caller
// should retry.
//
// A call is refused on arrival if no engine is expected to start it in time. The slack
// is the route's latency objective minus the time to process the call's own prompt. The
// expected queue wait has to fit into a fraction of the slack, less the time elapsed since
// the call arrived, and the first token has to arrive within usable_time_fraction of the
// time left. While demand exceeds capacity, the fraction of the slack is smaller for an
// organisation that has reached its fair share, and smallest for one that also gets more than
// the admission level (core/routing/fair_share.h). Short queues leave an engine time for token
// generation and KV cache space for shared prefixes, so that it serves more calls than with
// long queues. A call that need not queue is always admitted if its first token arrives
// within usable_time_fraction of the time left.
//
//   admission_decision decision = admit({.queue_wait = 80ms, .processing_time = 120ms,
//                                       .elapsed = 3ms, ...});
//   if (!decision.admitted) refuse with decision.retry_after
//
// Load patterns handled: a burst (the queue wait stays below the latency objective, so
// that admitted calls are on time); one organisation that sends many times its usual
// rate (the others keep their share); clients that retry at once (refused without
// queueing); prompts of very different size (a large prompt is not refused for its own
// processing time).
// Thread safety: pure functions.
#pragma once

#include "core/base/types.h"
#include "core/calls/call.h"

namespace peridot {

// Fractions of the slack that the queue wait may use.
inline constexpr double under_share_slack_fraction = 0.85;  // or while demand is within capacity
inline constexpr double at_share_slack_fraction = 0.3;      // divided by the share position
inline constexpr double min_slack_fraction = 0.05;
// How much the level position changes the strictness against an organisation, at most.
inline constexpr double max_level_factor = 4;

// The same for a fallback: an engine that was chosen by its time to the first token alone,
// after the call was not admitted to the engine of lowest cost. They are small, so that only
// engines with little pending work are used this way.
inline constexpr double at_share_fallback_slack_fraction = 0.01;  // a nearly idle engine
inline constexpr double under_share_fallback_slack_fraction = 0.05;

// Fraction of the time left within which the first token has to arrive.
inline constexpr double usable_time_fraction = 0.85;
inline constexpr milliseconds min_retry_after{120};
inline constexpr milliseconds default_retry_after{300};  // of a refusal without a predicted wait
// Fraction of the time left; the platform's bound is a third.
inline constexpr double max_retry_after_fraction = 0.32;

struct admission_input {
  duration queue_wait{};         // expected at the engine, behind other calls
  duration processing_time{};    // after the queue, until the first token
  duration elapsed{};            // since the call arrived
  duration latency_objective{};  // of the route
  duration time_left{};          // until the call's deadline
  double share_position = 0;     // see share_position(); 0: no organisation is limited
  double level_position = 0;     // see level_position(); 0: no organisation is limited
  double jitter = 0;             // 0 to 1; spreads the retries of refused calls
  bool is_fallback = false;      // chosen by the time to the first token alone
};

struct admission_decision {
  bool admitted = true;
  refusal reason = refusal::none;
  duration retry_after{};
};

admission_decision admit(const admission_input& input);

// The retry delay for a refused call: max(expected, min_retry_after) * (1 + jitter), but at
// most max_retry_after_fraction of `time_left`, so that the retry can still succeed.
// `expected` is the time after which a retry is likely to be admitted.
duration retry_after(duration expected, duration time_left, double jitter);

}  // namespace peridot
