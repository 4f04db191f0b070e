// The fairness gap: for two organisations and a window in which both were
// backlogged all the time, the difference of their service divided by weight.
// Over all windows inside one common backlogged stretch, the largest difference
// is the largest minus the smallest value of the running difference, so one pass
// a pair is enough.

#include <algorithm>
#include <cmath>

#include "experiment/fleet_state.h"

namespace peridot::experiment {
namespace {

double weight_of(const fleet_state& fleet, const organisation_name& name) {
  for (const caller_group& group : fleet.options.callers) {
    if (group.organisation == name) {
      return group.weight;
    }
  }
  return 1;
}

double units_at(const fleet_state& fleet, std::size_t sample, const organisation_name& name) {
  const std::map<organisation_name, double>& units = fleet.unit_samples[sample];
  std::map<organisation_name, double>::const_iterator found = units.find(name);
  return found == units.end() ? 0 : found->second;
}

double pair_gap(const fleet_state& fleet, const organisation_name& left,
                const organisation_name& right) {
  const double left_weight = weight_of(fleet, left);
  const double right_weight = weight_of(fleet, right);
  double largest = 0;
  double low = 0;
  double high = 0;
  bool inside = false;
  for (std::size_t sample = 0; sample < fleet.unit_samples.size(); ++sample) {
    const std::set<organisation_name>& backlogged = fleet.backlogged_samples[sample];
    if (!backlogged.contains(left) || !backlogged.contains(right)) {
      inside = false;
      continue;
    }
    const double difference =
        units_at(fleet, sample, left) / left_weight - units_at(fleet, sample, right) / right_weight;
    low = inside ? std::min(low, difference) : difference;
    high = inside ? std::max(high, difference) : difference;
    inside = true;
    largest = std::max(largest, high - low);
  }
  return largest;
}

}  // namespace

gap_report largest_gap(const fleet_state& fleet) {
  std::set<organisation_name> names;
  for (const caller_group& group : fleet.options.callers) {
    if (!group.keyed) {
      names.insert(group.organisation);
    }
  }
  gap_report report;
  for (const organisation_name& left : names) {
    for (const organisation_name& right : names) {
      if (!(left < right)) {
        continue;
      }
      const double gap = pair_gap(fleet, left, right);
      if (gap > report.largest) {
        report.largest = gap;
        report.pair = left.value + " / " + right.value;
      }
    }
  }
  return report;
}

}  // namespace peridot::experiment
