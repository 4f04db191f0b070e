// Targets of a pool that run given builds, for tests.
#pragma once

#include <string>
#include <vector>

#include "core/fleet/config_and_targets.h"

namespace peridot::testing {

inline const pool_name engines{"engines"};

inline target_table targets_of_builds(const std::vector<std::string>& builds) {
  target_table table;
  for (std::size_t index = 0; index < builds.size(); ++index) {
    target_state target;
    target.entry.name = target_name{"i-" + std::to_string(index)};
    target.entry.pool = engines;
    target.entry.build = builds[index];
    table.targets[target.entry.name] = target;
  }
  return table;
}

inline build_id build_named(const std::string& version) {
  target_entry entry;
  entry.pool = engines;
  entry.build = version;
  return build_of(entry);
}

}  // namespace peridot::testing
