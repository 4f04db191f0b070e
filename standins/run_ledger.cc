#include "standins/run_ledger.h"

#include <algorithm>

namespace peridot::standins {

namespace {

std::uint64_t repeated(const std::map<std::string, std::uint64_t>& runs) {
  return static_cast<std::uint64_t>(std::count_if(
      runs.begin(), runs.end(),
      [](const std::pair<const std::string, std::uint64_t>& entry) { return entry.second > 1; }));
}

}  // namespace

std::uint64_t record_run(run_ledger& ledger, const std::string& key, const std::string& body) {
  if (key.empty()) {
    ++ledger.by_key["body-" + body];
  } else {
    ++ledger.by_key[key];
    ++ledger.by_body[body];
  }
  return ++ledger.runs;
}

run_totals totals(const run_ledger& ledger) {
  run_totals result;
  result.runs = ledger.runs;
  result.keys = ledger.by_key.size();
  result.double_runs = repeated(ledger.by_key);
  result.double_bodies = repeated(ledger.by_body);
  return result;
}

}  // namespace peridot::standins
