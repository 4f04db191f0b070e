#include "experiment/report.h"

#include <array>
#include <cstdio>

#include "core/base/check.h"

namespace peridot::experiment {
namespace {

constexpr int bar_height = 14;
constexpr int row_gap = 10;
constexpr int label_width = 260;
constexpr int plot_width = 420;
constexpr std::array<const char*, 4> colours = {"#2c6e49", "#8fb996", "#c77d3a", "#7a7a7a"};

std::string number(double value, int digits) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.*f", digits, value);
  return text;
}

std::string text_at(int x, int y, const std::string& text) {
  return "<text x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) + "\">" + text +
         "</text>\n";
}

}  // namespace

outcome mean_of(const std::vector<outcome>& outcomes) {
  PERIDOT_CHECK(!outcomes.empty(), "the mean of nothing");
  constexpr std::array<double outcome::*, 12> fields = {
      &outcome::worth,        &outcome::served,
      &outcome::refused,      &outcome::returned,
      &outcome::first_p50_ms, &outcome::first_p95_ms,
      &outcome::saved,        &outcome::shared_again,
      &outcome::busiest,      &outcome::worst_organisation,
      &outcome::worst_kind,   &outcome::largest_tenth};
  outcome mean;
  for (const outcome& one : outcomes) {
    mean.calls += one.calls / outcomes.size();
    for (double outcome::*field : fields) {
      mean.*field += one.*field / static_cast<double>(outcomes.size());
    }
  }
  return mean;
}

std::string to_markdown(const std::vector<result_row>& rows) {
  std::string text;
  const scenario* current = nullptr;
  for (const result_row& row : rows) {
    if (row.what != current) {
      current = row.what;
      text += "\n**" + current->name + "**: " + current->shows + ".\n\n" +
              "| policy | worth | served | refused | came back | first p50 ms | first p95 ms | "
              "saved | shared again | busiest / mean | worst organisation | worst kind | "
              "largest tenth |\n" +
              "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    }
    const outcome& mean = row.mean;
    text += std::string("| ") + to_text(row.how);
    for (double value : {mean.worth, mean.served, mean.refused, mean.returned}) {
      text += " | " + number(value, 3);
    }
    text += " | " + number(mean.first_p50_ms, 0) + " | " + number(mean.first_p95_ms, 0);
    for (double value : {mean.saved, mean.shared_again, mean.busiest, mean.worst_organisation,
                         mean.worst_kind, mean.largest_tenth}) {
      text += " | " + number(value, 3);
    }
    text += " |\n";
  }
  return text;
}

std::string to_bars(const std::string& title, const std::vector<result_row>& rows,
                    double (*value)(const outcome&)) {
  int y = 40;
  std::string body = text_at(10, 20, title);
  const scenario* current = nullptr;
  for (const result_row& row : rows) {
    if (row.what != current) {
      current = row.what;
      y += row_gap;
    }
    const double share = value(row.mean);
    body += text_at(10, y + bar_height - 3, current->name + ", " + to_text(row.how));
    body += "<rect x=\"" + std::to_string(label_width) + "\" y=\"" + std::to_string(y) +
            "\" width=\"" + number(share * plot_width, 1) + "\" height=\"" +
            std::to_string(bar_height - 2) + "\" fill=\"" +
            colours[static_cast<std::size_t>(row.how) % colours.size()] + "\"/>\n";
    body += text_at(label_width + plot_width + 8, y + bar_height - 3, number(share, 3));
    y += bar_height;
  }
  return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
         std::to_string(label_width + plot_width + 60) + "\" height=\"" + std::to_string(y + 20) +
         "\" font-family=\"sans-serif\" font-size=\"11\">\n" + body + "</svg>\n";
}

}  // namespace peridot::experiment
