// Tables and plots of an experiment.
#pragma once

#include <string>
#include <vector>

#include "experiment/fleet_model.h"

namespace peridot::experiment {

struct result_row {
  const scenario* what = nullptr;
  policy how = policy::peridot;
  outcome mean;  // over the seeds
};

// Mean of several outcomes. Precondition: there is one at least.
outcome mean_of(const std::vector<outcome>& outcomes);

// Markdown: one table for each scenario.
std::string to_markdown(const std::vector<result_row>& rows);

// A bar for each scenario and policy, as SVG. `value` is from 0 to 1.
std::string to_bars(const std::string& title, const std::vector<result_row>& rows,
                    double (*value)(const outcome&));

}  // namespace peridot::experiment
