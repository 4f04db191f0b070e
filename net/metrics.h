// Metrics of one process, in the Prometheus text exposition format.
//
// Durations are counted in histograms (Boost.Histogram) with fixed logarithmic bins, so
// that memory does not grow with traffic. Names of metrics contain their unit.
//
//   metrics call_metrics;
//   record_duration(call_metrics.time_to_first_byte, elapsed);
//   std::string page = to_exposition(call_metrics, scalars);
//
// Thread safety: none; for use from one event loop.
#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/base/types.h"

namespace peridot {

using duration_axis =
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using duration_counts = decltype(boost::histogram::make_histogram(std::declval<duration_axis>()));

// 36 bins from 0.1 ms to 1,000 s, in seconds, with an underflow and an overflow bin.
struct duration_histogram {
  duration_counts counts = boost::histogram::make_histogram(duration_axis(36, 1e-4, 1e3));
  double sum_seconds = 0;
};

void record_duration(duration_histogram& histogram, duration elapsed);

// Calls of one organisation. Tokens are weighted as in core/routing/fair_share.h.
struct organisation_counters {
  double asked_tokens = 0;                             // of calls that arrived, retries included
  double served_tokens = 0;                            // of calls that were sent to an engine
  std::map<std::string, std::uint64_t> refused_calls;  // by reason
};

// On the metrics page, those that asked for most tokens.
inline constexpr std::size_t max_exposed_organisations = 32;

struct metrics {
  duration_histogram queue_wait;          // from arrival to dispatch
  duration_histogram time_to_first_byte;  // from arrival to the first byte of the response
  duration_histogram between_chunks;      // time between chunks of a streamed response
  duration_histogram response_time;       // from arrival to the end of the call
  std::uint64_t answered_calls = 0;       // with a complete response
  // By outcome and reason.
  std::map<std::pair<std::string, std::string>, std::uint64_t> ended_calls;
  // Of targets, by framing of the body and by how the response ended.
  std::map<std::pair<std::string, std::string>, std::uint64_t> target_responses;
  // By name. Bounded by the number of organisations in all configurations of the process's life.
  std::map<std::string, organisation_counters> organisations;
  std::uint64_t retries = 0;
  std::uint64_t sends_to_other_domains = 0;
  std::uint64_t fetches = 0;            // of prompt parts, by engines
  std::uint64_t fetches_told = 0;       // whose first token told whether the part was found
  std::uint64_t fetches_not_found = 0;  // of these, the source did not have it any more
  double fetched_tokens = 0;
  std::uint64_t crash_evidence = 0;  // calls broken off by targets that may have crashed
  std::uint64_t suspects_found = 0;  // what calls that crash targets have in common
  std::uint64_t suspects_ended = 0;
  std::uint64_t suspect_trials = 0;
  std::uint64_t crash_probes = 0;          // of targets that broke a call off at once
  std::uint64_t crash_probes_refused = 0;  // that no longer listened
  std::uint64_t streams_taken_up = 0;      // by callers, at the build that began them
  std::uint64_t streams_unknown = 0;       // refused, since no router knows that build
  std::uint64_t retries_denied = 0;        // by the retry budget
  std::uint64_t aborted_responses = 0;
  std::uint64_t caller_disconnects = 0;
};

// Counts a call that has ended.
void record_outcome(metrics& values, const std::string& outcome, const std::string& reason);

// Counts a response of a target that has ended.
void record_target_response(metrics& values, const std::string& framing, const std::string& end);

// A gauge or counter whose value is read when the metrics are requested.
struct scalar_metric {
  std::string name;
  std::string help;
  double value = 0;
  bool is_counter = false;
};

// The page of all metrics. Counters and gauges come first: a reader that cuts the page off loses
// buckets of histograms only.
std::string to_exposition(const metrics& values, const std::vector<scalar_metric>& scalars);

}  // namespace peridot
