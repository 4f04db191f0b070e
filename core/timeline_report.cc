#include "core/timeline_report.h"

#include <array>
#include <cstdio>
#include <ctime>

#include "core/name_text.h"

namespace peridot {
namespace {

// ISO 8601 in UTC with microseconds, "-" for a time outside the calendar.
std::string utc_text(std::chrono::system_clock::time_point wall) {
  const std::chrono::time_point<std::chrono::system_clock, std::chrono::seconds> whole =
      std::chrono::floor<std::chrono::seconds>(wall);
  const std::int64_t fraction =
      std::chrono::duration_cast<std::chrono::microseconds>(wall - whole).count();
  const std::time_t seconds = static_cast<std::time_t>(whole.time_since_epoch().count());
  std::tm parts{};
  std::array<char, 64> date{};
  if (gmtime_r(&seconds, &parts) == nullptr ||
      std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts) == 0) {
    return "-";
  }
  std::string digits = std::to_string(fraction);
  digits.insert(0, 6 - digits.size(), '0');
  return std::string{date.data()} + "." + digits + "Z";
}

void append_field(std::string& line, const char* key, const std::string& value) {
  if (!value.empty()) {
    line += std::string{" "} + key + "=" + printable(value);
  }
}

std::string report_line(const merged_event& merged) {
  const timeline_event& event = merged.event;
  std::string line = utc_text(event.wall) + " " + printable(merged.process) + "#" +
                     std::to_string(event.sequence) + " " + to_text(event.kind);
  append_field(line, "request", event.request);
  append_field(line, "organisation", event.organisation.value);
  append_field(line, "target", event.target.value);
  append_field(line, "peer", event.peer);
  if (!event.cause_process.empty()) {
    append_field(line, "after", event.cause_process + "#" + std::to_string(event.cause_sequence));
  }
  if (!event.detail.empty()) {
    line += " " + printable(event.detail);
  }
  return line;
}

}  // namespace

std::string timeline_report(const std::vector<merged_event>& events) {
  std::string text;
  for (const merged_event& event : events) {
    text += report_line(event) + "\n";
  }
  return text;
}

}  // namespace peridot
