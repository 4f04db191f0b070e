#include "experiment/report.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace peridot::experiment {
namespace {

constexpr int plot_width = 900;
constexpr int plot_height = 220;
constexpr int plot_margin = 50;
constexpr std::size_t samples_per_point = 10;  // one point a second

double milliseconds_of(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

std::string fixed(double value, int digits) {
  char text[64];
  std::snprintf(text, sizeof text, "%.*f", digits, value);
  return text;
}

std::uint64_t sum_of(const std::map<std::string, std::uint64_t>& counts,
                     const std::string& prefix) {
  std::uint64_t sum = 0;
  for (const std::pair<const std::string, std::uint64_t>& entry : counts) {
    sum += entry.first.starts_with(prefix) ? entry.second : 0;
  }
  return sum;
}

const char* colour_of(const variant& how) {
  if (how.ideal) {
    return "#888888";
  }
  switch (how.policy) {
    case share_policy::fleet_fair:
      return "#1b6ca8";
    case share_policy::local_fair:
      return "#c26a00";
    case share_policy::first_come:
      return "#a8324a";
  }
  return "#000000";
}

// Units a second, averaged over one second.
std::vector<double> service_curve(const fleet_report& report) {
  std::vector<double> curve;
  double sum = 0;
  for (std::size_t index = 0; index < report.samples.size(); ++index) {
    sum += report.samples[index].units;
    if ((index + 1) % samples_per_point == 0) {
      curve.push_back(sum);
      sum = 0;
    }
  }
  return curve;
}

void draw_curve(std::ostringstream& out, const std::vector<double>& curve, double top,
                const char* colour, int offset) {
  out << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"1.5\" points=\"";
  for (std::size_t index = 0; index < curve.size(); ++index) {
    const double x = plot_margin + static_cast<double>(index) * (plot_width - 2 * plot_margin) /
                                       std::max<double>(1, static_cast<double>(curve.size()) - 1);
    const double y =
        offset + plot_height - plot_margin - curve[index] / top * (plot_height - 2 * plot_margin);
    out << fixed(x, 1) << "," << fixed(y, 1) << " ";
  }
  out << "\"/>\n";
}

void draw_panel(std::ostringstream& out, const std::vector<const measured_row*>& rows, int offset) {
  double top = 1;
  for (const measured_row* row : rows) {
    const std::vector<double> curve = service_curve(row->report);
    top = std::max(top, curve.empty() ? 0 : *std::max_element(curve.begin(), curve.end()));
  }
  const int base = offset + plot_height - plot_margin;
  out << "<text x=\"" << plot_margin << "\" y=\"" << offset + 20 << "\" font-weight=\"bold\">"
      << rows.front()->where.name << ": units served a second</text>\n";
  out << "<line x1=\"" << plot_margin << "\" y1=\"" << base << "\" x2=\""
      << plot_width - plot_margin << "\" y2=\"" << base << "\" stroke=\"#444\"/>\n";
  out << "<text x=\"4\" y=\"" << offset + plot_margin + 4 << "\">" << fixed(top, 0) << "</text>\n";
  out << "<text x=\"4\" y=\"" << base << "\">0</text>\n";
  out << "<text x=\"" << plot_width - plot_margin - 30 << "\" y=\"" << base + 16 << "\">"
      << rows.front()->report.samples.size() / samples_per_point << " s</text>\n";
  int legend = plot_margin + 330;
  for (const measured_row* row : rows) {
    draw_curve(out, service_curve(row->report), top, colour_of(row->how), offset);
    out << "<text x=\"" << legend << "\" y=\"" << offset + 20 << "\" fill=\"" << colour_of(row->how)
        << "\">" << row->how.name << "</text>\n";
    legend += 100;
  }
}

std::string draw(const std::vector<measured_row>& rows) {
  std::vector<std::vector<const measured_row*>> panels;
  for (const measured_row& row : rows) {
    if (panels.empty() || panels.back().front()->where.name != row.where.name) {
      panels.emplace_back();
    }
    panels.back().push_back(&row);
  }
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << plot_width << "\" height=\""
      << plot_height * static_cast<int>(panels.size())
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  int offset = 0;
  for (const std::vector<const measured_row*>& panel : panels) {
    draw_panel(out, panel, offset);
    offset += plot_height;
  }
  out << "</svg>\n";
  return out.str();
}

void write_row(std::ostream& out, const measured_row& row) {
  const fleet_report& report = row.report;
  out << "| " << row.where.name << " | " << row.how.name << " | " << fixed(report.gap.largest, 0)
      << " | " << (row.how.policy == share_policy::fleet_fair ? fixed(report.gap_bound, 0) : "")
      << " | " << fixed(report.utilisation, 3) << " | "
      << fixed(milliseconds_of(report.first_unit_p50), 0) << " | "
      << fixed(milliseconds_of(report.first_unit_p95), 0) << " | "
      << fixed(report.control_bytes_per_second, 0) << " | "
      << fixed(report.periodic_bytes_per_second, 0) << " | " << report.overloads << " | "
      << report.double_runs << " | " << sum_of(report.answers, "violation") << " |\n";
}

}  // namespace

void add(seed_summary& summary, const fleet_report& report) {
  ++summary.seeds;
  summary.violations += sum_of(report.answers, "violation");
  summary.unsettled += report.unsettled.empty() ? 0 : 1;
  summary.calls += report.calls;
  summary.keyed_calls += report.keyed_calls;
  summary.keyed_done += report.keyed_done;
  summary.keyed_unknown += report.keyed_unknown;
  summary.double_runs += report.double_runs;
  summary.overloads += report.overloads;
  summary.longest_config_spread =
      std::max(summary.longest_config_spread, report.longest_config_spread);
  summary.latest_withdrawn_work =
      std::max(summary.latest_withdrawn_work, report.latest_withdrawn_work);
  for (const std::pair<const std::string, std::uint64_t>& entry : report.faults) {
    summary.faults[entry.first] += entry.second;
  }
}

std::string to_text(const seed_summary& summary) {
  std::ostringstream out;
  out << "seeds " << summary.seeds << ", violations " << summary.violations << ", unsettled fleets "
      << summary.unsettled << "\n";
  out << "calls " << summary.calls << ", with a key " << summary.keyed_calls << " (done "
      << summary.keyed_done << ", unknown " << summary.keyed_unknown << "), double runs "
      << summary.double_runs << ", overloads " << summary.overloads << "\n";
  out << "longest spread of a configuration "
      << fixed(milliseconds_of(summary.longest_config_spread), 0)
      << " ms, latest work on a withdrawn target "
      << fixed(milliseconds_of(summary.latest_withdrawn_work), 0) << " ms\n";
  out << "faults:";
  for (const std::pair<const std::string, std::uint64_t>& entry : summary.faults) {
    out << " " << entry.first << " " << entry.second;
  }
  out << "\n";
  return out.str();
}

std::string to_line(const measured_row& row) {
  const fleet_report& report = row.report;
  std::ostringstream out;
  out << row.where.name << " " << row.how.name << ": gap " << fixed(report.gap.largest, 0) << " ("
      << report.gap.pair << "; bound " << fixed(report.gap_bound, 0) << "), utilisation "
      << fixed(report.utilisation, 3) << ", first unit p50 "
      << fixed(milliseconds_of(report.first_unit_p50), 0) << " ms p95 "
      << fixed(milliseconds_of(report.first_unit_p95), 0) << " ms, control "
      << fixed(report.control_bytes_per_second, 0) << " B/s a router (periodic "
      << fixed(report.periodic_bytes_per_second, 0) << "), overloads " << report.overloads
      << ", violations " << sum_of(report.answers, "violation") << "\n";
  for (const std::string& violation : report.violations) {
    out << "  " << violation << "\n";
  }
  return out.str();
}

bool write_report(const std::vector<measured_row>& rows, std::uint64_t seed,
                  const std::string& path) {
  std::ofstream table(path);
  table
      << "Seed " << seed << ". Gap in service units per weight; first unit in ms; control in "
      << "bytes a second and router.\n\n"
      << "| scenario | policy | gap | bound | utilisation while work waits | first unit p50 | p95 "
      << "| control | of it periodic | overloads | double runs | violations |\n"
      << "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const measured_row& row : rows) {
    write_row(table, row);
  }
  std::ofstream plot(path + ".svg");
  plot << draw(rows);
  return table.good() && plot.good();
}

}  // namespace peridot::experiment
