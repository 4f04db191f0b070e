#include "experiment/report.h"

#include <array>
#include <cstdio>

#include "core/base/check.h"

namespace peridot::experiment {
namespace {

constexpr int bar_height_px = 14;
constexpr int row_gap_px = 10;
constexpr int label_width_px = 260;
constexpr int plot_width_px = 420;
constexpr std::array<const char*, 4> colours = {"#2c6e49", "#8fb996", "#c77d3a", "#7a7a7a"};

std::string format_number(double value, int digits) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.*f", digits, value);
  return text;
}

std::string svg_text(int x, int y, const std::string& text) {
  return "<text x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) + "\">" + text +
         "</text>\n";
}

}  // namespace

simulation_result mean_of(const std::vector<simulation_result>& results) {
  PERIDOT_CHECK(!results.empty(), "mean_of() needs at least one result");
  constexpr std::array<double simulation_result::*, 12> fields = {
      &simulation_result::worth_fraction,
      &simulation_result::served_fraction,
      &simulation_result::refused_fraction,
      &simulation_result::served_after_refusal_fraction,
      &simulation_result::first_token_p50_ms,
      &simulation_result::first_token_p95_ms,
      &simulation_result::cached_prompt_fraction,
      &simulation_result::repeated_prefill_fraction,
      &simulation_result::busiest_to_mean_prefill,
      &simulation_result::worst_organisation_worth_fraction,
      &simulation_result::worst_kind_worth_fraction,
      &simulation_result::largest_tenth_served_fraction};
  simulation_result mean;
  for (const simulation_result& result : results) {
    mean.calls += result.calls / results.size();
    for (double simulation_result::*field : fields) {
      mean.*field += result.*field / static_cast<double>(results.size());
    }
  }
  return mean;
}

std::string to_markdown(const std::vector<result_row>& rows) {
  std::string text;
  const load_scenario* current = nullptr;
  for (const result_row& row : rows) {
    if (row.scenario != current) {
      current = row.scenario;
      text += "\n**" + current->name + "**: " + current->description + ".\n\n" +
              "| policy | worth | served | refused | came back | first p50 ms | first p95 ms | "
              "saved | shared again | busiest / mean | worst organisation | worst kind | "
              "largest tenth |\n" +
              "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    }
    const simulation_result& mean = row.mean;
    text += std::string("| ") + to_text(row.policy);
    for (double value : {mean.worth_fraction, mean.served_fraction, mean.refused_fraction,
                         mean.served_after_refusal_fraction}) {
      text += " | " + format_number(value, 3);
    }
    text += " | " + format_number(mean.first_token_p50_ms, 0) + " | " +
            format_number(mean.first_token_p95_ms, 0);
    for (double value : {mean.cached_prompt_fraction, mean.repeated_prefill_fraction,
                         mean.busiest_to_mean_prefill, mean.worst_organisation_worth_fraction,
                         mean.worst_kind_worth_fraction, mean.largest_tenth_served_fraction}) {
      text += " | " + format_number(value, 3);
    }
    text += " |\n";
  }
  return text;
}

std::string to_bar_chart(const std::string& title, const std::vector<result_row>& rows,
                         double (*value)(const simulation_result&)) {
  int y = 40;
  std::string body = svg_text(10, 20, title);
  const load_scenario* current = nullptr;
  for (const result_row& row : rows) {
    if (row.scenario != current) {
      current = row.scenario;
      y += row_gap_px;
    }
    const double fraction = value(row.mean);
    body += svg_text(10, y + bar_height_px - 3, current->name + ", " + to_text(row.policy));
    body += "<rect x=\"" + std::to_string(label_width_px) + "\" y=\"" + std::to_string(y) +
            "\" width=\"" + format_number(fraction * plot_width_px, 1) + "\" height=\"" +
            std::to_string(bar_height_px - 2) + "\" fill=\"" +
            colours[static_cast<std::size_t>(row.policy) % colours.size()] + "\"/>\n";
    body += svg_text(label_width_px + plot_width_px + 8, y + bar_height_px - 3,
                     format_number(fraction, 3));
    y += bar_height_px;
  }
  return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
         std::to_string(label_width_px + plot_width_px + 60) + "\" height=\"" +
         std::to_string(y + 20) + "\" font-family=\"sans-serif\" font-size=\"11\">\n" + body +
         "</svg>\n";
}

}  // namespace peridot::experiment
