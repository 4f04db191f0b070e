#include "core/fleet/ended_incarnations.h"

#include <algorithm>
#include <utility>

#include "core/base/keep_first.h"
#include "core/fleet/report_times.h"

namespace peridot {
namespace {

using ended_item = std::pair<const std::uint32_t, ended_incarnation>;

void drop_oldest(ended_table& table) {
  auto oldest = std::min_element(table.incarnations.begin(), table.incarnations.end(),
                                 [](const ended_item& left, const ended_item& right) {
                                   return left.second.ended_at < right.second.ended_at;
                                 });
  table.incarnations.erase(oldest);
}

}  // namespace

void mark_ended(ended_table& table, std::uint32_t incarnation, instant ended_at, instant now) {
  if (table.incarnations.size() >= max_ended_incarnations &&
      !table.incarnations.contains(incarnation)) {
    drop_oldest(table);
  }
  table.incarnations[incarnation] = {ended_at, now};
}

void forget_ended(ended_table& table, std::uint32_t incarnation) {
  table.incarnations.erase(incarnation);
}

std::optional<instant> find_ended(const ended_table& table, std::uint32_t incarnation) {
  auto found = table.incarnations.find(incarnation);
  return found == table.incarnations.end() ? std::nullopt
                                           : std::optional<instant>(found->second.ended_at);
}

std::vector<ended_report> ended_to_report(const ended_table& table, bool all, instant now) {
  std::vector<ended_report> result;
  for (const ended_item& item : table.incarnations) {
    if (all || now - item.second.learned_at < changed_report_time) {
      result.push_back({item.first, item.second.ended_at});
    }
  }
  keep_first(result, max_reported_ended, [](const ended_report& left, const ended_report& right) {
    return left.ended_at > right.ended_at;
  });
  return result;
}

bool merge_ended(ended_table& table, const ended_report& report, instant now) {
  const std::optional<instant> known = find_ended(table, report.incarnation);
  if (known.has_value() && report.ended_at <= *known + echo_time) {
    return false;
  }
  mark_ended(table, report.incarnation, report.ended_at, now);
  return true;
}

void forget_ended_before(ended_table& table, instant oldest) {
  std::erase_if(table.incarnations,
                [oldest](const ended_item& item) { return item.second.ended_at < oldest; });
}

}  // namespace peridot
