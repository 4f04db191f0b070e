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

using time_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using time_counts = decltype(boost::histogram::make_histogram(std::declval<time_axis>()));

// 36 bins from 0.1 ms to 1,000 s, in seconds; the ends catch the rest.
struct time_distribution {
  time_counts counts = boost::histogram::make_histogram(time_axis(36, 1e-4, 1e3));
  double sum_seconds = 0;
};

void observe(time_distribution& distribution, duration elapsed);

struct metrics {
  time_distribution queue_wait;      // from arrival to dispatch
  time_distribution first_byte;      // from arrival to the first byte of the answer
  time_distribution between_chunks;  // of one streamed answer
  time_distribution whole_answer;    // from arrival to the end
  std::uint64_t answered = 0;
  std::map<std::pair<std::string, std::string>, std::uint64_t> ended;  // by outcome and reason
  std::uint64_t retried = 0;
  std::uint64_t retries_denied = 0;  // by the budget
  std::uint64_t cut_answers = 0;
  std::uint64_t callers_gone = 0;
};

// Counts a call's end.
void note_outcome(metrics& values, const std::string& outcome, const std::string& reason);

// One more value that is read at the time of the request.
struct gauge {
  std::string name;
  std::string help;
  double value = 0;
  bool counter = false;
};

std::string to_exposition(const metrics& values, const std::vector<gauge>& gauges);

}  // namespace peridot
