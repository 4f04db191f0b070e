// Checks a configuration before an operator sends it: what is wrong, what can never match, which
// limits contradict each other, and what differs from the version in force.
//
//   std::vector<config_finding> findings = check_config(config);
//   std::vector<config_change> changes = config_changes(in_force, config);
//
// The configuration is read by the routers' own reader, so what that one rejects never gets here.
// An error is what callers would feel at once or what makes routers ignore the version; a warning
// is what has no effect or is probably meant otherwise.
//
// Cost: linear in routes, pools, organisations and keys, times a logarithm. Thread safety: pure
// functions, callable from any thread.
#pragma once

#include <string>
#include <vector>

#include "core/fleet/config_and_targets.h"

namespace peridot {

enum class finding_severity { error, warning };

struct config_finding {
  finding_severity severity = finding_severity::error;
  std::string subject;  // "route chat", "pool engines", "organisation org-1", "limits"
  std::string text;
};

// Findings in the order of the configuration: routes, pools, organisations, limits.
std::vector<config_finding> check_config(const fleet_config& config);

enum class change_kind { added, removed, changed };

struct config_change {
  change_kind kind = change_kind::changed;
  std::string subject;
  std::string text;  // "timeout_ms 4000 -> 3000"; empty if it was added or removed
};

// What differs from the version in force, by name. Keys are counted, never shown.
std::vector<config_change> config_changes(const fleet_config& in_force, const fleet_config& config);

// An error if routers that have `in_force` would ignore the configuration.
std::vector<config_finding> check_version(const fleet_config& in_force, const fleet_config& config);

const char* to_text(finding_severity severity);
const char* to_text(change_kind kind);

}  // namespace peridot
