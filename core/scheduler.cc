// Shards that are held, what was published, and peers that are gone.
#include "core/scheduler.h"

#include <algorithm>
#include <chrono>

#include "core/check.h"
#include "core/scheduler_internal.h"

namespace peridot {
namespace {

target_row make_row(const target_config& settings, instant usable_after) {
  target_row row;
  row.name = settings.name;
  row.settings = settings;
  row.usable_after = usable_after;
  return row;
}

// Earlier owners' grants are void when their lease ends, so what they started
// has reached the target after one validity and the network's slack.
instant after_earlier_owners(instant start, const fleet_config& fleet) {
  return start + fleet.grant_validity + network_slack;
}

// Rows of targets that are newly published, or that moved into the shard. Their
// earlier owner may hold an older configuration for as long as one lease.
void refresh_targets(scheduler_table& table, const scheduler_context& context, instant now) {
  const fleet_config& fleet = context.config.fleet;
  for (std::pair<const shard_key, shard_row>& shard : table.shards) {
    for (std::pair<const target_name, target_row>& target : shard.second.targets) {
      target.second.configured = false;
    }
  }
  for (const target_config& settings : context.config.targets) {
    const shard_key key = shard_of(settings.pool, settings.name, fleet.shards_per_pool);
    const auto shard = table.shards.find(key);
    if (shard == table.shards.end()) {
      continue;
    }
    const instant usable_after = after_earlier_owners(now + fleet.lease, fleet);
    const auto row =
        shard->second.targets.try_emplace(settings.name, make_row(settings, usable_after)).first;
    row->second.settings = settings;
    row->second.configured = true;
  }
  for (std::pair<const shard_key, shard_row>& shard : table.shards) {
    std::erase_if(shard.second.targets, [](const std::pair<const target_name, target_row>& target) {
      return !target.second.configured && target.second.in_flight == 0;
    });
  }
}

void refresh_withdrawn(scheduler_table& table, const scheduler_context& context) {
  static const instance_list nothing_listed;
  const instance_list& list = context.list == nullptr ? nothing_listed : *context.list;
  for (std::pair<const shard_key, shard_row>& shard : table.shards) {
    for (std::pair<const target_name, target_row>& target : shard.second.targets) {
      target.second.withdrawn = is_withdrawn(context.config, list, target.second.settings);
    }
  }
}

void refresh_weights(scheduler_table& table, const published_config& config) {
  table.weights.clear();
  for (const organisation_config& organisation : config.organisations) {
    table.weights[organisation.name] = organisation.weight;
  }
  for (std::pair<const pool_name, pool_row>& pool : table.pools) {
    for (std::pair<const organisation_name, account>& row : pool.second.accounts) {
      const auto weight = table.weights.find(row.first);
      row.second.weight = weight == table.weights.end() ? 1 : weight->second;
    }
  }
}

void refresh_longest_run(scheduler_table& table, const published_config& config) {
  table.longest_run.clear();
  for (const profile_config& profile : config.profiles) {
    std::chrono::milliseconds& longest = table.longest_run[profile.pool];
    longest = std::max(longest, profile.run_timeout);
  }
}

// Shards whose targets may get new work as far as the configuration says: a
// pure function of it, so that all owners agree.
void refresh_shards_with_targets(scheduler_table& table, const published_config& config) {
  static const instance_list nothing_listed;
  table.shards_with_targets.clear();
  for (const target_config& target : config.targets) {
    if (is_withdrawn(config, nothing_listed, target)) {
      continue;
    }
    const shard_key key = shard_of(target.pool, target.name, config.fleet.shards_per_pool);
    table.shards_with_targets[target.pool].push_back(key.index);
  }
  for (std::pair<const pool_name, std::vector<std::uint32_t>>& pool : table.shards_with_targets) {
    std::vector<std::uint32_t>& indices = pool.second;
    std::sort(indices.begin(), indices.end());
    indices.erase(std::unique(indices.begin(), indices.end()), indices.end());
  }
}

bool holds_shard_of(const scheduler_table& table, const pool_name& pool) {
  const auto first = table.shards.lower_bound(shard_key{pool, 0});
  return first != table.shards.end() && first->first.pool == pool;
}

}  // namespace

namespace scheduling {

void refresh_published(scheduler_table& table, const scheduler_context& context, instant now) {
  table.latest = std::max(table.latest, now);
  table.policy = context.policy;
  const published_config& config = context.config;
  const bool same_config = table.config_version == config.version &&
                           table.config_digest == config.digest && !table.weights.empty();
  const std::uint64_t list_version = context.list == nullptr ? 0 : context.list->version;
  const bool has_list = context.list != nullptr;
  if (!same_config) {
    table.config_version = config.version;
    table.config_digest = config.digest;
    refresh_targets(table, context, now);
    refresh_weights(table, config);
    refresh_longest_run(table, config);
    refresh_shards_with_targets(table, config);
  }
  if (!same_config || table.has_list != has_list || table.list_version != list_version) {
    table.has_list = has_list;
    table.list_version = list_version;
    refresh_withdrawn(table, context);
  }
}

}  // namespace scheduling

void add_shard(scheduler_table& table, const shard_key& shard, std::uint64_t fencing, instant now,
               const scheduler_context& context) {
  scheduling::refresh_published(table, context, now);
  if (table.shards.contains(shard)) {
    remove_shard(table, shard);
  }
  const fleet_config& fleet = context.config.fleet;
  shard_row row;
  row.tenure_began = now;
  row.fencing = fencing;
  for (const target_config& settings : context.config.targets) {
    if (shard_of(settings.pool, settings.name, fleet.shards_per_pool) == shard) {
      row.targets.emplace(settings.name, make_row(settings, after_earlier_owners(now, fleet)));
    }
  }
  table.shards.emplace(shard, std::move(row));
  refresh_withdrawn(table, context);
  pool_row& pool = table.pools[shard.pool];
  pool.next_prune = std::max(pool.next_prune, now + account_life);
}

void remove_shard(scheduler_table& table, const shard_key& shard) {
  std::vector<std::uint64_t> dropped;
  for (const std::pair<const std::uint64_t, outstanding_grant>& grant : table.grants) {
    if (grant.second.shard == shard) {
      dropped.push_back(grant.first);
    }
  }
  for (std::uint64_t id : dropped) {
    scheduling::release_grant(table, id);
  }
  table.shards.erase(shard);
  if (!holds_shard_of(table, shard.pool)) {
    table.pools.erase(shard.pool);
  }
}

void on_peer_gone(scheduler_table& table, const router_address& peer, instant now) {
  table.latest = std::max(table.latest, now);
  for (std::pair<const pool_name, pool_row>& pool : table.pools) {
    scheduling::drop_demand(table, pool.second, peer, true);
    pool.second.told_owners.erase(peer);
  }
  for (std::pair<const std::uint64_t, outstanding_grant>& grant : table.grants) {
    outstanding_grant& row = grant.second;
    target_row* target = scheduling::find_row(table, row.shard, row.target);
    if (row.entry.address == peer && !row.entry_gone && target != nullptr) {
      row.entry_gone = true;
      ++target->entry_gone;
    }
  }
}

double widest_lead(const scheduler_table& table, const pool_name& pool) {
  const auto row = table.pools.find(pool);
  if (row == table.pools.end() || row->second.plain.empty()) {
    return 0;
  }
  return row->second.plain.rbegin()->first - row->second.plain.begin()->first;
}

std::uint32_t current_limit(const target_config& target, std::uint64_t completed) {
  if (target.cold_limit >= target.warm_limit) {
    return target.warm_limit;
  }
  if (target.ramp_calls == 0) {
    return target.warm_limit;
  }
  const std::uint64_t steps = completed / target.ramp_calls;
  const std::uint64_t room = target.warm_limit - target.cold_limit;
  return target.cold_limit + static_cast<std::uint32_t>(std::min(steps, room));
}

}  // namespace peridot
