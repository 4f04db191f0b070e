// Tables and plots of simulation results.
#pragma once

#include <string>
#include <vector>

#include "experiment/fleet_model.h"

namespace peridot::experiment {

struct result_row {
  const load_scenario* scenario = nullptr;
  routing_policy policy = routing_policy::peridot;
  simulation_result mean;  // over the seeds
};

// Mean of each field. Precondition: `results` is not empty.
simulation_result mean_of(const std::vector<simulation_result>& results);

// Markdown: one table per scenario. Precondition: rows of one scenario are adjacent.
std::string to_markdown(const std::vector<result_row>& rows);

// Bar chart as SVG, one bar per row. Precondition: `value` returns 0 to 1.
std::string to_bar_chart(const std::string& title, const std::vector<result_row>& rows,
                         double (*value)(const simulation_result&));

}  // namespace peridot::experiment
