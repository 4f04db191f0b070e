#include "core/fleet/config_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace peridot {
namespace {

using finding_list = std::vector<config_finding>;

void add_error(finding_list& findings, const std::string& subject, const std::string& text) {
  findings.push_back({finding_severity::error, subject, text});
}

void add_warning(finding_list& findings, const std::string& subject, const std::string& text) {
  findings.push_back({finding_severity::warning, subject, text});
}

std::string subject_of(const route& checked) {
  return "route " +
         (checked.name.value.empty() ? checked.host + checked.path_prefix : checked.name.value);
}

void check_route_pools(const fleet_config& config, const route& checked, finding_list& findings) {
  for (const weighted_pool& destination : checked.pools) {
    const pool* found = find_pool(config, destination.pool);
    if (found == nullptr) {
      add_error(findings, subject_of(checked),
                "sends calls to pool " + destination.pool.value + ", which does not exist");
    } else if (checked.carries_prompt && !found->has_engines) {
      add_warning(findings, subject_of(checked),
                  "carries prompts, but pool " + found->name.value +
                      " has no engines: its calls are placed without");
    }
  }
}

void check_route_limits(const route& checked, finding_list& findings) {
  const std::string subject = subject_of(checked);
  if (checked.timeout <= milliseconds{0}) {
    add_error(findings, subject, "timeout is not above 0: every call ends at once");
  } else if (checked.latency_objective > checked.timeout) {
    add_error(findings, subject, "latency objective is beyond the timeout: no call can be late");
  } else if (checked.max_event_gap > checked.timeout) {
    add_warning(findings, subject, "longest event gap is beyond the timeout: it never applies");
  }
  if (checked.max_event_gap > milliseconds{0} && checked.kind != call_kind::streaming) {
    add_warning(findings, subject, "names an event gap, but is no streaming route");
  }
  if (checked.resumable && checked.kind != call_kind::streaming) {
    add_warning(findings, subject, "is resumable, but is no streaming route");
  }
  if (checked.max_attempts > 1 && !is_retryable(checked)) {
    add_warning(findings, subject,
                "allows " + std::to_string(checked.max_attempts) +
                    " attempts, but its calls may run only once: the further ones "
                    "are for calls that did not run");
  }
}

void check_routes(const fleet_config& config, finding_list& findings) {
  std::map<std::pair<std::string, std::string>, std::string> first_route;
  std::set<std::string> names;
  for (const route& checked : config.routes) {
    const std::string subject = subject_of(checked);
    auto [first, is_first] = first_route.try_emplace({checked.host, checked.path_prefix}, subject);
    if (!is_first) {
      add_error(
          findings, subject,
          "never matches: " + first->second + " has the same host and path prefix and comes first");
    }
    if (!checked.name.value.empty() && !names.insert(checked.name.value).second) {
      add_warning(findings, subject, "has the name of another route: logs cannot tell them apart");
    }
    if (!checked.path_prefix.ends_with('/')) {
      add_error(findings, subject,
                "path prefix " + checked.path_prefix + " does not end with a slash");
    }
    if (std::any_of(checked.host.begin(), checked.host.end(),
                    [](char character) { return character >= 'A' && character <= 'Z'; })) {
      add_error(findings, subject, "never matches: hosts are compared in lower case");
    }
    check_route_pools(config, checked, findings);
    check_route_limits(checked, findings);
  }
}

void check_pools(const fleet_config& config, finding_list& findings) {
  std::set<pool_name> used;
  for (const route& checked : config.routes) {
    for (const weighted_pool& destination : checked.pools) {
      used.insert(destination.pool);
    }
  }
  for (const std::pair<const pool_name, pool>& entry : config.pools) {
    const pool& checked = entry.second;
    const std::string subject = "pool " + entry.first.value;
    if (!used.contains(entry.first)) {
      add_warning(findings, subject, "gets no calls: no route leads to it");
    }
    if (checked.max_connections < 1) {
      add_error(findings, subject, "allows no connection to its targets");
    }
    if (checked.cold_rate > 0 && checked.cold_time <= milliseconds{0}) {
      add_warning(findings, subject, "names a rate for cold targets, but none is ever cold");
    }
    if (!checked.has_engines) {
      continue;
    }
    if (checked.batch_slots < 1 || checked.kv_capacity_tokens <= 0) {
      add_error(findings, subject, "its engines have no slots or no KV cache");
    } else if (checked.max_connections < checked.batch_slots) {
      add_error(findings, subject,
                "allows fewer connections (" + std::to_string(checked.max_connections) +
                    ") than an engine has slots (" + std::to_string(checked.batch_slots) + ")");
    }
    if ((checked.kv_bytes_per_token > 0) != (checked.link_mbits_per_second > 0)) {
      add_warning(findings, subject,
                  "names a KV cache size or a link, not both: engines fetch nothing");
    }
  }
}

void check_organisations(const fleet_config& config, finding_list& findings) {
  std::map<std::string, std::string> owner_by_key;
  std::set<std::string> names;
  for (const organisation& checked : config.organisations) {
    const std::string subject = "organisation " + checked.name.value;
    if (checked.name.value.empty()) {
      add_error(findings, "organisation", "has no name");
    } else if (!names.insert(checked.name.value).second) {
      add_error(findings, subject, "is listed twice");
    }
    if (checked.keys.empty()) {
      add_warning(findings, subject, "has no keys: it can send no calls");
    }
    for (const std::string& key : checked.keys) {
      auto [owner, is_new] = owner_by_key.try_emplace(key, checked.name.value);
      if (key.empty()) {
        add_error(findings, subject, "has an empty key");
      } else if (!is_new) {
        add_error(findings, subject,
                  "has a key that organisation " + owner->second +
                      " has too: the later one gets its calls");
      }
    }
  }
  const bool needs_key = std::any_of(config.routes.begin(), config.routes.end(),
                                     [](const route& checked) { return !checked.is_public; });
  if (needs_key && !config.organisations.empty() && owner_by_key.empty()) {
    add_error(findings, "organisations", "no key exists: all calls to routes that need one fail");
  }
}

void check_limits(const fleet_config& config, finding_list& findings) {
  const caller_limits& limits = config.limits;
  if (limits.header_timeout > limits.idle_timeout) {
    add_warning(findings, "limits", "time for a request's headers is beyond the idle timeout");
  }
  if (limits.max_header_bytes == 0 || limits.header_timeout <= milliseconds{0} ||
      limits.idle_timeout <= milliseconds{0}) {
    add_error(findings, "limits",
              "header bytes, header timeout or idle timeout is 0: no call gets in");
  }
  const bool has_engines = std::any_of(
      config.pools.begin(), config.pools.end(),
      [](const std::pair<const pool_name, pool>& entry) { return entry.second.has_engines; });
  if (has_engines && config.tokens_per_second <= 0) {
    add_warning(findings, "limits", "no capacity in tokens: organisations have no shares");
  }
}

std::string text_of(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

using fields = std::vector<std::pair<const char*, std::string>>;

const char* kind_text(call_kind kind) {
  switch (kind) {
    case call_kind::idempotent:
      return "idempotent";
    case call_kind::non_idempotent:
      return "non_idempotent";
    case call_kind::streaming:
      return "streaming";
  }
  return "";
}

fields fields_of(const route& value) {
  std::string pools;
  for (const weighted_pool& destination : value.pools) {
    pools +=
        (pools.empty() ? "" : ",") + destination.pool.value + ":" + text_of(destination.weight);
  }
  return {{"host", value.host},
          {"path_prefix", value.path_prefix},
          {"kind", kind_text(value.kind)},
          {"timeout_ms", std::to_string(value.timeout.count())},
          {"latency_objective_ms", std::to_string(value.latency_objective.count())},
          {"max_event_gap_ms", std::to_string(value.max_event_gap.count())},
          {"pools", pools},
          {"max_attempts", std::to_string(value.max_attempts)},
          {"public", value.is_public ? "yes" : "no"},
          {"carries_prompt", value.carries_prompt ? "yes" : "no"},
          {"resumable", value.resumable ? "yes" : "no"}};
}

fields fields_of(const pool& value) {
  return {{"max_connections", std::to_string(value.max_connections)},
          {"cold_time_ms", std::to_string(value.cold_time.count())},
          {"cold_rate", text_of(value.cold_rate)},
          {"engines", value.has_engines ? "yes" : "no"},
          {"batch_slots", std::to_string(value.batch_slots)},
          {"kv_capacity_tokens", text_of(value.kv_capacity_tokens)},
          {"tokens_per_event", std::to_string(value.tokens_per_event)},
          {"kv_bytes_per_token", text_of(value.kv_bytes_per_token)},
          {"link_mbits_per_second", text_of(value.link_mbits_per_second)}};
}

fields fields_of_limits(const fleet_config& config) {
  return {{"max_header_bytes", std::to_string(config.limits.max_header_bytes)},
          {"max_body_bytes", std::to_string(config.limits.max_body_bytes)},
          {"header_timeout_ms", std::to_string(config.limits.header_timeout.count())},
          {"idle_timeout_ms", std::to_string(config.limits.idle_timeout.count())},
          {"tokens_per_second", text_of(config.tokens_per_second)}};
}

void add_field_changes(const std::string& subject, const fields& before, const fields& after,
                       std::vector<config_change>& changes) {
  for (std::size_t index = 0; index < before.size(); ++index) {
    if (before[index].second != after[index].second) {
      changes.push_back({change_kind::changed, subject,
                         std::string(before[index].first) + " " + before[index].second + " -> " +
                             after[index].second});
    }
  }
}

std::string key_changes(const std::vector<std::string>& before,
                        const std::vector<std::string>& after) {
  const std::set<std::string> old_keys(before.begin(), before.end());
  const std::set<std::string> new_keys(after.begin(), after.end());
  std::size_t added = 0;
  for (const std::string& key : new_keys) {
    added += old_keys.contains(key) ? 0 : 1;
  }
  const std::size_t removed = old_keys.size() + added - new_keys.size();
  return added + removed == 0
             ? ""
             : std::to_string(added) + " keys added, " + std::to_string(removed) + " removed";
}

// Adds what was added, removed or changed between two maps by name.
template <class Map, class Compare>
void add_map_changes(const Map& before, const Map& after, Compare compare,
                     std::vector<config_change>& changes) {
  for (const auto& entry : before) {
    auto found = after.find(entry.first);
    if (found == after.end()) {
      changes.push_back({change_kind::removed, entry.first, ""});
    } else {
      compare(entry.first, entry.second, found->second);
    }
  }
  for (const auto& entry : after) {
    if (!before.contains(entry.first)) {
      changes.push_back({change_kind::added, entry.first, ""});
    }
  }
}

std::map<std::string, route> routes_by_subject(const fleet_config& config) {
  std::map<std::string, route> result;
  for (const route& entry : config.routes) {
    result.try_emplace(subject_of(entry), entry);
  }
  return result;
}

std::map<std::string, pool> pools_by_subject(const fleet_config& config) {
  std::map<std::string, pool> result;
  for (const std::pair<const pool_name, pool>& entry : config.pools) {
    result.emplace("pool " + entry.first.value, entry.second);
  }
  return result;
}

std::map<std::string, organisation> organisations_by_subject(const fleet_config& config) {
  std::map<std::string, organisation> result;
  for (const organisation& entry : config.organisations) {
    result.try_emplace("organisation " + entry.name.value, entry);
  }
  return result;
}

}  // namespace

std::vector<config_finding> check_config(const fleet_config& config) {
  finding_list findings;
  if (config.routes.empty()) {
    add_error(findings, "routes", "there is none: no call matches");
  }
  check_routes(config, findings);
  check_pools(config, findings);
  check_organisations(config, findings);
  check_limits(config, findings);
  return findings;
}

std::vector<config_finding> check_version(const fleet_config& in_force,
                                          const fleet_config& config) {
  finding_list findings;
  if (config.version <= in_force.version) {
    add_error(findings, "version",
              std::to_string(config.version) + " is not above the version in force, " +
                  std::to_string(in_force.version) + ": routers ignore it");
  }
  return findings;
}

std::vector<config_change> config_changes(const fleet_config& in_force,
                                          const fleet_config& config) {
  std::vector<config_change> changes;
  const auto compare_fields = [&changes](const std::string& subject, const auto& before,
                                         const auto& after) {
    add_field_changes(subject, fields_of(before), fields_of(after), changes);
  };
  add_map_changes(routes_by_subject(in_force), routes_by_subject(config), compare_fields, changes);
  add_map_changes(pools_by_subject(in_force), pools_by_subject(config), compare_fields, changes);
  add_map_changes(
      organisations_by_subject(in_force), organisations_by_subject(config),
      [&changes](const std::string& subject, const organisation& before,
                 const organisation& after) {
        const std::string text = key_changes(before.keys, after.keys);
        if (!text.empty()) {
          changes.push_back({change_kind::changed, subject, text});
        }
      },
      changes);
  add_field_changes("limits", fields_of_limits(in_force), fields_of_limits(config), changes);
  return changes;
}

const char* to_text(finding_severity severity) {
  return severity == finding_severity::error ? "error" : "warning";
}

const char* to_text(change_kind kind) {
  switch (kind) {
    case change_kind::added:
      return "added";
    case change_kind::removed:
      return "removed";
    case change_kind::changed:
      return "changed";
  }
  return "";
}

}  // namespace peridot
