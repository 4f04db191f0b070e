#include "core/fleet/config_and_targets.h"

#include <algorithm>

namespace peridot {

bool is_retryable(const route& call_route) {
  return call_route.kind == call_kind::idempotent ||
         (call_route.kind == call_kind::streaming && call_route.resumable);
}

namespace {

// The shortest aim of the routes that send prompts to each pool.
void set_aims(fleet_config& config) {
  std::set<pool_name> seen;
  for (const route& way : config.routes) {
    for (const weighted_pool& share : way.pools) {
      auto found = config.pools.find(share.pool);
      if (!way.carries_prompt || found == config.pools.end()) {
        continue;
      }
      milliseconds& aim = found->second.min_latency_objective;
      aim = seen.insert(share.pool).second ? way.latency_objective
                                           : std::min(aim, way.latency_objective);
    }
  }
}

}  // namespace

std::shared_ptr<const fleet_config> finish_config(fleet_config draft) {
  std::shared_ptr<fleet_config> config = std::make_shared<fleet_config>(std::move(draft));
  set_aims(*config);
  for (std::size_t index = 0; index < config->routes.size(); ++index) {
    config->routes_by_host[config->routes[index].host].push_back(index);
  }
  for (std::pair<const std::string, std::vector<std::size_t>>& entry : config->routes_by_host) {
    std::stable_sort(
        entry.second.begin(), entry.second.end(), [&config](std::size_t left, std::size_t right) {
          return config->routes[left].path_prefix.size() > config->routes[right].path_prefix.size();
        });
  }
  for (std::size_t index = 0; index < config->organisations.size(); ++index) {
    for (const std::string& key : config->organisations[index].keys) {
      config->organisation_by_key[key] = index;
    }
  }
  return config;
}

const route* find_route(const fleet_config& config, std::string_view host, std::string_view path) {
  auto found = config.routes_by_host.find(std::string(host));
  if (found == config.routes_by_host.end()) {
    return nullptr;
  }
  for (std::size_t index : found->second) {
    if (path.starts_with(config.routes[index].path_prefix)) {
      return &config.routes[index];
    }
  }
  return nullptr;
}

const organisation* find_organisation(const fleet_config& config, std::string_view key) {
  auto found = config.organisation_by_key.find(std::string(key));
  return found == config.organisation_by_key.end() ? nullptr : &config.organisations[found->second];
}

const pool* find_pool(const fleet_config& config, const pool_name& name) {
  auto found = config.pools.find(name);
  return found == config.pools.end() ? nullptr : &found->second;
}

void mark_cold(target_state& target, milliseconds cold_time, instant now) {
  target.cold_until = std::max(target.cold_until, now + cold_time);
}

void on_target_entry(target_table& table, const fleet_config* config, const target_entry& entry,
                     instant now) {
  target_state& target = table.targets[entry.name];
  if (target.entry.revision >= entry.revision && target.entry.revision != 0) {
    return;
  }
  const bool known = target.entry.revision != 0;
  const bool restarted =
      known && (entry.started_unix_ms != target.entry.started_unix_ms ||
                entry.sequence < target.entry.sequence || entry.address != target.entry.address);
  const bool was_leaving = target.leaving;
  if (!known || restarted) {
    target.leaving = false;
    target.cold_until = instant{};
  }
  const pool* home = config == nullptr ? nullptr : find_pool(*config, entry.pool);
  if (restarted && home != nullptr) {
    mark_cold(target, home->cold_time, now);
  }
  if (entry.cold_remaining > milliseconds{0}) {
    mark_cold(target, entry.cold_remaining, now);
  }
  target.entry = entry;
  target.leaving = target.leaving || entry.draining;
  target.entry_expired = false;
  if (!known || restarted || target.leaving != was_leaving) {
    ++table.generation;
  }
}

void on_target_removed(target_table& table, const target_name& name, bool store_unavailable,
                       instant now) {
  auto found = table.targets.find(name);
  if (found == table.targets.end()) {
    return;
  }
  ++table.generation;
  if (store_unavailable && !found->second.leaving) {
    if (!found->second.entry_expired) {
      found->second.entry_expired = true;
      found->second.entry_expired_at = now;
    }
    return;
  }
  table.targets.erase(found);
}

void remove_expired_targets(target_table& table, bool store_unavailable, instant store_recovered_at,
                            instant now) {
  if (store_unavailable) {
    return;
  }
  const std::size_t erased =
      std::erase_if(table.targets, [&](const std::pair<const target_name, target_state>& item) {
        return item.second.entry_expired &&
               now >= std::max(store_recovered_at + expiry_grace,
                               item.second.entry_expired_at + removal_grace);
      });
  table.generation += erased;
}

void on_evacuation(target_table& table, const domain_name& domain, bool evacuated,
                   const fleet_config* config, instant now) {
  ++table.generation;
  if (evacuated) {
    table.evacuated.insert(domain);
    return;
  }
  if (table.evacuated.erase(domain) == 0) {
    return;
  }
  for (std::pair<const target_name, target_state>& item : table.targets) {
    const pool* home = config == nullptr ? nullptr : find_pool(*config, item.second.entry.pool);
    if (item.second.entry.domain == domain && home != nullptr) {
      mark_cold(item.second, home->cold_time, now);
    }
  }
}

bool is_usable(const target_table& table, const target_state& target) {
  return !target.leaving && !table.evacuated.contains(target.entry.domain);
}

}  // namespace peridot
