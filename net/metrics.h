// Metrics of one process, as text in the usual exposition format.
//
// Distributions are kept in Boost.Histogram with fixed logarithmic bins, so that
// memory does not grow with traffic. Names carry their unit.
//
//   metrics m;
//   observe(m.first_byte, elapsed);
//   std::string page = to_exposition(m, ...);
//
// Thread safety: none; one loop.
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

// 36 bins from 0.1 ms to 1,000 s, in seconds; the ends catch the rest.
struct duration_histogram {
  duration_counts counts = boost::histogram::make_histogram(duration_axis(36, 1e-4, 1e3));
  double sum_seconds = 0;
};

void observe(duration_histogram& histogram, duration elapsed);

struct metrics {
  duration_histogram queue_wait;          // from arrival to dispatch
  duration_histogram time_to_first_byte;  // from arrival to the first byte of the answer
  duration_histogram between_chunks;      // of one streamed answer
  duration_histogram response_time;       // from arrival to the end
  std::uint64_t answered_calls = 0;
  std::map<std::pair<std::string, std::string>, std::uint64_t>
      ended_calls;  // by outcome and reason
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;  // by the budget
  std::uint64_t aborted_responses = 0;
  std::uint64_t caller_disconnects = 0;
};

// Counts a call's end.
void record_outcome(metrics& values, const std::string& outcome, const std::string& reason);

// One more value that is read at the time of the request.
struct scalar_metric {
  std::string name;
  std::string help;
  double value = 0;
  bool is_counter = false;
};

std::string to_exposition(const metrics& values, const std::vector<scalar_metric>& scalars);

}  // namespace peridot
