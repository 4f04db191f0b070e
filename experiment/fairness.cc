#include "experiment/fairness.h"

#include <algorithm>

namespace peridot::experiment {
namespace {

// Null after the log's length.
usage_second* second_at(fairness_log& log, std::size_t organisation, duration elapsed) {
  std::vector<usage_second>& seconds = log.organisations[organisation].seconds;
  const auto index = std::chrono::duration_cast<std::chrono::seconds>(elapsed).count();
  return index < 0 || static_cast<std::size_t>(index) >= seconds.size()
             ? nullptr
             : &seconds[static_cast<std::size_t>(index)];
}

double best_served(const fairness_log& log, std::size_t second) {
  double best = 0;
  for (const organisation_log& organisation : log.organisations) {
    best = std::max(best, organisation.seconds[second].served_tokens);
  }
  return best;
}

// The ratio of the window that starts at second `first`; 1 if all calls of a second were met.
double window_ratio(const organisation_log& organisation, const std::vector<double>& best,
                    std::size_t first) {
  double served = 0;
  double due = 0;
  for (std::size_t second = first; second < first + fairness_window_seconds; ++second) {
    const usage_second& usage = organisation.seconds[second];
    if (!usage.has_unmet_call) {
      return 1;
    }
    served += usage.served_tokens;
    due += std::min(usage.asked_tokens, best[second]);
  }
  const double tolerance = fairness_tolerance_calls * organisation.largest_call_tokens;
  return due <= 0 ? 1 : (served + tolerance) / due;
}

}  // namespace

fairness_log make_fairness_log(std::size_t organisation_count, std::chrono::seconds length) {
  fairness_log log;
  log.organisations.resize(organisation_count);
  for (organisation_log& organisation : log.organisations) {
    organisation.seconds.resize(static_cast<std::size_t>(length.count()));
  }
  return log;
}

void record_asked(fairness_log& log, std::size_t organisation, duration elapsed, double tokens) {
  usage_second* second = second_at(log, organisation, elapsed);
  if (second != nullptr) {
    second->asked_tokens += tokens;
    double& largest = log.organisations[organisation].largest_call_tokens;
    largest = std::max(largest, tokens);
  }
}

void record_served(fairness_log& log, std::size_t organisation, duration elapsed, double tokens) {
  usage_second* second = second_at(log, organisation, elapsed);
  if (second != nullptr) {
    second->served_tokens += tokens;
  }
}

void record_unmet(fairness_log& log, std::size_t organisation, duration elapsed) {
  usage_second* second = second_at(log, organisation, elapsed);
  if (second != nullptr) {
    second->has_unmet_call = true;
  }
}

double worst_fairness_ratio(const fairness_log& log) {
  if (log.organisations.empty()) {
    return 1;
  }
  const std::size_t length = log.organisations.front().seconds.size();
  std::vector<double> best(length);
  for (std::size_t second = 0; second < length; ++second) {
    best[second] = best_served(log, second);
  }
  double worst = 1;
  for (const organisation_log& organisation : log.organisations) {
    for (std::size_t first = 0; first + fairness_window_seconds <= length; ++first) {
      worst = std::min(worst, window_ratio(organisation, best, first));
    }
  }
  return worst;
}

}  // namespace peridot::experiment
