#include "core/fleet/config_and_targets.h"

#include <algorithm>

#include "core/base/stable_hash.h"

namespace peridot {

bool is_retryable(const route& call_route) {
  return call_route.kind == call_kind::idempotent ||
         (call_route.kind == call_kind::streaming && call_route.resumable);
}

namespace {

// Sets each pool's minimum latency objective over the routes that send prompts to it.
void set_min_latency_objectives(fleet_config& config) {
  std::set<pool_name> seen_pools;
  for (const route& configured_route : config.routes) {
    for (const weighted_pool& destination : configured_route.pools) {
      auto found = config.pools.find(destination.pool);
      if (!configured_route.carries_prompt || found == config.pools.end()) {
        continue;
      }
      milliseconds& objective = found->second.min_latency_objective;
      objective = seen_pools.insert(destination.pool).second
                      ? configured_route.latency_objective
                      : std::min(objective, configured_route.latency_objective);
    }
  }
}

}  // namespace

std::shared_ptr<const fleet_config> finish_config(fleet_config draft) {
  std::shared_ptr<fleet_config> config = std::make_shared<fleet_config>(std::move(draft));
  set_min_latency_objectives(*config);
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
      config->organisation_by_api_key[key] = index;
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

const organisation* find_organisation(const fleet_config& config, std::string_view api_key) {
  auto found = config.organisation_by_api_key.find(std::string(api_key));
  return found == config.organisation_by_api_key.end() ? nullptr
                                                       : &config.organisations[found->second];
}

double kv_transfer_ms_per_token(const pool& target_pool) {
  if (target_pool.kv_bytes_per_token <= 0 || target_pool.link_mbits_per_second <= 0) {
    return 0;
  }
  constexpr double bits_per_byte = 8;
  constexpr double bits_per_ms = 1'000;  // of a link of 1 Mbit/s
  return target_pool.kv_bytes_per_token * bits_per_byte /
         (target_pool.link_mbits_per_second * bits_per_ms);
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
  const bool known = target.entry.revision != store_revision{};
  if (known && target.entry.revision >= entry.revision) {
    return;
  }
  const bool restarted =
      known && (entry.started_unix_ms != target.entry.started_unix_ms ||
                entry.sequence < target.entry.sequence || entry.address != target.entry.address);
  const bool was_leaving = target.leaving;
  if (!known || restarted) {
    target.leaving = false;
    target.cold_until = instant{};
  }
  const pool* target_pool = config == nullptr ? nullptr : find_pool(*config, entry.pool);
  if (restarted && target_pool != nullptr) {
    mark_cold(target, target_pool->cold_time, now);
  }
  if (entry.cold_remaining > milliseconds{0}) {
    mark_cold(target, entry.cold_remaining, now);
  }
  target.entry = entry;
  target.build_doubted_at = instant{};
  target.leaving = target.leaving || entry.draining;
  target.entry_expired = false;
  if (!known || restarted || target.leaving != was_leaving) {
    ++table.generation;
  }
}

void on_target_removed(target_table& table, const target_name& name, removal_cause cause,
                       instant now) {
  auto found = table.targets.find(name);
  if (found == table.targets.end()) {
    return;
  }
  ++table.generation;
  if (cause != removal_cause::left && !found->second.leaving) {
    if (!found->second.entry_expired) {
      found->second.entry_expired = true;
      found->second.entry_expired_at = now;
      found->second.expired_in_outage = cause == removal_cause::outage;
    }
    return;
  }
  table.targets.erase(found);
}

void remove_expired_targets(target_table& table, bool store_unavailable, instant store_recovered_at,
                            instant now) {
  const std::size_t erased =
      std::erase_if(table.targets, [&](const std::pair<const target_name, target_state>& entry) {
        const target_state& target = entry.second;
        const bool had_time_to_reappear =
            !target.expired_in_outage ||
            (!store_unavailable && now >= store_recovered_at + expiry_grace);
        return target.entry_expired && had_time_to_reappear &&
               now >= target.entry_expired_at + table.removal_grace;
      });
  table.generation += erased;
}

void on_evacuation(target_table& table, const failure_domain_name& domain, bool evacuated,
                   const fleet_config* config, instant now) {
  ++table.generation;
  if (evacuated) {
    table.evacuated.insert(domain);
    return;
  }
  if (table.evacuated.erase(domain) == 0) {
    return;
  }
  for (std::pair<const target_name, target_state>& entry : table.targets) {
    const pool* target_pool =
        config == nullptr ? nullptr : find_pool(*config, entry.second.entry.pool);
    if (entry.second.entry.domain == domain && target_pool != nullptr) {
      mark_cold(entry.second, target_pool->cold_time, now);
    }
  }
}

std::string to_text(const store_revision& revision) {
  return std::to_string(revision.epoch) + ":" + std::to_string(revision.number);
}

build_id build_of(const target_entry& target) {
  const std::uint64_t pool_hash = stable_hash(target.pool.value);
  return static_cast<build_id>(
      target.build.empty() ? stable_hash(target.name.value, pool_hash + static_cast<std::uint64_t>(
                                                                            target.started_unix_ms))
                           : stable_hash(target.build, pool_hash));
}

void doubt_build(target_state& target, instant now) {
  target.build_doubted_at = now;
}

bool runs_build(const target_state& target, build_id build, bool store_unavailable, instant now) {
  const bool is_doubted = target.build_doubted_at != instant{} &&
                          (store_unavailable || now - target.build_doubted_at < build_doubt_time);
  return !is_doubted && build_of(target.entry) == build;
}

void mark_leaving(target_table& table, target_state& target) {
  if (!target.leaving) {
    target.leaving = true;
    ++table.generation;
  }
}

bool is_usable(const target_table& table, const target_state& target) {
  return !target.leaving && !table.evacuated.contains(target.entry.domain);
}

}  // namespace peridot
