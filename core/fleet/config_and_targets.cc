#include "core/fleet/config_and_targets.h"

#include <algorithm>
#include <iterator>
#include <utility>

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

namespace {

// The target's history; a new one begins with the entry that counts.
entry_history& history_of(target_table& table, const target_name& name) {
  const bool is_new = !table.histories.contains(name);
  entry_history& history = table.histories[name];
  auto target = table.targets.find(name);
  if (is_new && target != table.targets.end()) {
    history.versions.push_back(
        {target->second.entry.revision, target->second.entry_seen_at, target->second.entry});
  }
  return history;
}

void erase_target(target_table& table, std::map<target_name, target_state>::iterator target,
                  bool has_ended, instant now) {
  if (has_ended) {
    mark_ended(table.ended, incarnation_hash(target->second.entry), now, now);
  }
  table.targets.erase(target);
  ++table.generation;
}

// True if the newest version says that the target will not come back by itself.
bool is_final_removal(const entry_version& version) {
  return !version.entry.has_value() &&
         (version.cause == removal_cause::left || version.cause == removal_cause::short_failure);
}

void use_entry(target_table& table, const fleet_config* config, const judged_entry& judged,
               instant now) {
  const target_entry& entry = *judged.counts->entry;
  const bool known = table.targets.contains(entry.name);
  target_state& target = table.targets[entry.name];
  const bool restarted = known && !is_same_incarnation(target.entry, entry);
  if (restarted && incarnation_hash(target.entry) != incarnation_hash(entry)) {
    mark_ended(table.ended, incarnation_hash(target.entry), now, now);
  }
  const target_state before = target;
  if (!known || restarted) {
    target = {};
    target.incarnation_seen_at = now;
  }
  const pool* target_pool = config == nullptr ? nullptr : find_pool(*config, entry.pool);
  if (restarted && target_pool != nullptr) {
    mark_cold(target, target_pool->cold_time, now);
  }
  if (entry.cold_remaining > milliseconds{0} && entry.revision > before.entry.revision) {
    mark_cold(target, entry.cold_remaining, now);
  }
  target.entry = entry;
  target.entry_seen_at = judged.counts->seen_at;
  target.is_disputed = judged.held_back != nullptr;
  target.leaving = target.leaving || judged.leaving;
  const bool was_expired = std::exchange(target.entry_expired, judged.removal != nullptr);
  if (target.entry_expired && !was_expired) {
    target.entry_expired_at = judged.removal->seen_at;
    target.expired_in_outage = judged.removal->cause == removal_cause::outage;
  }
  if (!known || restarted || target.leaving != before.leaving ||
      target.is_disputed != before.is_disputed || (target.entry_expired && !was_expired)) {
    ++table.generation;
  }
}

// True if the incarnation that counts is leaving, by its entries or its responses.
bool leaves(const target_table& table, const judged_entry& judged,
            std::map<target_name, target_state>::const_iterator known) {
  return judged.leaving || (known != table.targets.end() && known->second.leaving &&
                            is_same_incarnation(known->second.entry, *judged.counts->entry));
}

// Uses the entry that counts now.
void apply_history(target_table& table, const fleet_config* config, const target_name& name,
                   entry_history& history, instant now) {
  const judged_entry judged = judge(history, table.ended, table.times, now);
  history.holds_back = judged.held_back != nullptr;
  if (judged.held_back != nullptr) {
    const std::uint32_t incarnation = incarnation_hash(*judged.held_back->entry);
    const bool also_counts =
        judged.counts != nullptr && incarnation_hash(*judged.counts->entry) == incarnation;
    if (!also_counts && !find_ended(table.ended, incarnation).has_value()) {
      mark_ended(table.ended, incarnation, now, now);
    }
  }
  auto target = table.targets.find(name);
  const bool is_gone =
      judged.counts == nullptr || (judged.removal != nullptr && leaves(table, judged, target));
  if (!is_gone) {
    use_entry(table, config, judged, now);
    return;
  }
  if (target != table.targets.end()) {
    erase_target(table, target, is_final_removal(history.versions.back()), now);
  }
}

}  // namespace

void on_target_entry(target_table& table, const fleet_config* config, const target_entry& entry,
                     instant now) {
  entry_history& history = history_of(table, entry.name);
  if (add_version(history, {entry.revision, now, entry})) {
    apply_history(table, config, entry.name, history, now);
  }
}

void on_target_removed(target_table& table, const fleet_config* config, const target_name& name,
                       removal_cause cause, const store_revision& revision, instant now) {
  entry_history& history = history_of(table, name);
  if (add_version(history, {revision, now, std::nullopt, cause})) {
    apply_history(table, config, name, history, now);
  }
}

bool names_target(const target_table& table, const target_name& name) {
  auto history = table.histories.find(name);
  return table.targets.contains(name) ||
         (history != table.histories.end() && history->second.holds_back);
}

bool has_versions(const target_table& table, const target_name& name) {
  return table.targets.contains(name) || table.histories.contains(name);
}

bool review_entry(target_table& table, const fleet_config* config, const target_name& name,
                  instant now) {
  if (!has_versions(table, name)) {
    return false;
  }
  entry_history& history = history_of(table, name);
  const bool was_held_back = history.holds_back;
  apply_history(table, config, name, history, now);
  return history.holds_back && !was_held_back;
}

std::vector<target_name> check_entry_histories(target_table& table, const fleet_config* config,
                                               instant now) {
  std::vector<target_name> confirmed;
  if (now - table.histories_checked_at < history_check_interval) {
    return confirmed;
  }
  table.histories_checked_at = now;
  if (now - table.times.readable_since >= contradiction_time(table.times)) {
    forget_ended_before(table.ended, now - contradiction_time(table.times));
  }
  for (auto entry = table.histories.begin(); entry != table.histories.end();) {
    entry_history& history = entry->second;
    if (history.holds_back && judge(history, table.ended, table.times, now).held_back == nullptr) {
      confirm_newest(history, now);
      forget_ended(table.ended, history.confirmed_incarnation);
      apply_history(table, config, entry->first, history, now);
      confirmed.push_back(entry->first);
    }
    auto target = table.targets.find(entry->first);
    const bool is_expired = target != table.targets.end() && target->second.entry_expired;
    const bool is_needed =
        history.holds_back || is_expired || !is_settled(history, table.times, now);
    entry = is_needed ? std::next(entry) : table.histories.erase(entry);
  }
  return confirmed;
}

void remove_expired_targets(target_table& table, bool store_unavailable, instant store_recovered_at,
                            instant now) {
  for (auto entry = table.targets.begin(); entry != table.targets.end();) {
    auto found = entry++;
    const target_state& target = found->second;
    const bool had_time_to_reappear =
        !target.expired_in_outage ||
        (!store_unavailable && now >= store_recovered_at + expiry_grace);
    if (!target.entry_expired || !had_time_to_reappear ||
        now < target.entry_expired_at + table.removal_grace) {
      continue;
    }
    auto history = table.histories.find(found->first);
    if (history != table.histories.end()) {
      end_expiry(history->second);
    }
    erase_target(table, found, !target.expired_in_outage, now);
  }
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

bool is_cold(const target_state& target, instant now) {
  return now < target.cold_until || target.is_disputed;
}

void doubt_build(target_state& target, instant now) {
  target.build_doubted_at = now;
}

bool runs_build(const target_state& target, build_id build, bool store_unavailable, instant now) {
  const bool is_doubted = target.build_doubted_at != instant{} &&
                          (store_unavailable || now - target.build_doubted_at < build_doubt_time);
  return !is_doubted && !target.is_disputed && build_of(target.entry) == build;
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
