// Choices made from the membership view: owners, voters, watchers and the peers
// that get a heartbeat. All are rendezvous hashing: each candidate is scored
// against the thing to be chosen for, and the highest scores win, so that the
// change of one candidate moves only what that candidate had.
//
// Cost: each is linear in the candidates; callers keep the results until
// `membership_table::generation` or the list changes.
#include <algorithm>
#include <limits>
#include <set>

#include "core/membership.h"

namespace peridot {
namespace {

struct scored_router {
  std::uint64_t score = 0;
  router_address address;
};

// The `count` highest scores first. Ties go to the lower address.
std::vector<router_address> best_of(const std::vector<router_address>& candidates,
                                    const shard_key& key, std::size_t count) {
  std::vector<scored_router> scored;
  scored.reserve(candidates.size());
  for (const router_address& address : candidates) {
    scored.push_back({rendezvous_score(address, key), address});
  }
  const std::size_t kept = std::min(count, scored.size());
  const auto better = [](const scored_router& a, const scored_router& b) {
    return a.score != b.score ? a.score > b.score : a.address < b.address;
  };
  std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept),
                    scored.end(), better);
  std::vector<router_address> best;
  best.reserve(kept);
  for (std::size_t i = 0; i < kept; ++i) {
    best.push_back(scored[i].address);
  }
  return best;
}

bool contains(const std::vector<router_address>& addresses, const router_address& address) {
  return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

// Routers that may vote: the list's, or the seeds and self while there is none.
std::vector<router_address> electorate(const membership_table& table, const instance_list* list) {
  std::vector<router_address> routers;
  if (list == nullptr) {
    routers = table.seeds;
    routers.push_back(table.self.address);
  } else {
    for (const listed_router& listed : list->routers) {
      if (listed.state != instance_state::leaving) {
        routers.push_back(listed.address);
      }
    }
  }
  std::sort(routers.begin(), routers.end());
  routers.erase(std::unique(routers.begin(), routers.end()), routers.end());
  return routers;
}

// As voters_of, from the rows: what the newest list that was taken in said.
std::vector<router_address> voters_by_rows(const membership_table& table, const fleet_config& fleet,
                                           const shard_key& shard) {
  std::vector<router_address> routers{table.self.address};
  for (const std::pair<const router_address, member>& entry : table.members) {
    const bool votes = table.has_list ? entry.second.listed && !entry.second.list_leaving
                                      : contains(table.seeds, entry.first);
    if (votes) {
      routers.push_back(entry.first);
    }
  }
  return best_of(routers, shard, fleet.voters_per_shard);
}

void add_voters(const membership_table& table, const fleet_config& fleet,
                const std::vector<shard_key>& shards, bool only_where_self_votes,
                std::set<router_address>& targets) {
  for (const shard_key& shard : shards) {
    const std::vector<router_address> voters = voters_by_rows(table, fleet, shard);
    if (!only_where_self_votes || contains(voters, table.self.address)) {
      targets.insert(voters.begin(), voters.end());
    }
  }
}

// Turns through all peers in order of address, so that each is reached in turn.
void add_rotating(const membership_table& table, std::set<router_address>& targets) {
  const std::size_t count = table.members.size();
  const std::size_t first = (table.heartbeat_round * rotating_peers) % count;
  std::size_t position = 0;
  for (const std::pair<const router_address, member>& entry : table.members) {
    if ((position + count - first) % count < rotating_peers) {
      targets.insert(entry.first);
    }
    ++position;
  }
}

// The key that routers of one failure domain are scored against as watchers.
shard_key watch_key(const domain_name& domain) {
  return shard_key{pool_name{"watch/" + domain.value}, 0};
}

std::vector<router_address> watchers(const membership_table& table) {
  std::vector<router_address> candidates;
  for (const router_address& address : live_routers(table)) {
    const bool own = address == table.self.address;
    if (own || table.members.at(address).domain == table.domain) {
      candidates.push_back(address);
    }
  }
  return best_of(candidates, watch_key(table.domain), watchers_per_domain);
}

}  // namespace

std::optional<router_address> preferred_owner(const membership_table& table,
                                              const shard_key& shard) {
  const std::vector<router_address> best = best_of(live_routers(table), shard, 1);
  if (best.empty()) {
    return std::nullopt;
  }
  return best.front();
}

std::optional<router_address> known_owner(const membership_table& table, const shard_key& shard,
                                          const std::vector<shard_key>& own_shards) {
  if (std::find(own_shards.begin(), own_shards.end(), shard) != own_shards.end()) {
    return table.self.address;
  }
  std::optional<router_address> owner;
  instant heard = instant::min();
  for (const std::pair<const router_address, member>& entry : table.members) {
    const member& row = entry.second;
    const bool speaks = row.state == member_state::alive || row.state == member_state::leaving;
    if (!speaks || row.last_heard <= heard) {
      continue;
    }
    if (std::find(row.owned.begin(), row.owned.end(), shard) != row.owned.end()) {
      owner = entry.first;
      heard = row.last_heard;
    }
  }
  return owner;
}

bool should_watch_service(const membership_table& table) {
  return contains(watchers(table), table.self.address);
}

std::vector<router_address> voters_of(const membership_table& table, const instance_list* list,
                                      const fleet_config& fleet, const shard_key& shard) {
  std::vector<router_address> voters =
      best_of(electorate(table, list), shard, fleet.voters_per_shard);
  std::sort(voters.begin(), voters.end());
  return voters;
}

std::vector<router_address> heartbeat_targets(const membership_table& table,
                                              const fleet_config& fleet,
                                              const local_status& local) {
  std::set<router_address> targets;
  if (table.members.size() <= full_mesh_peers) {
    for (const std::pair<const router_address, member>& entry : table.members) {
      targets.insert(entry.first);
    }
  } else {
    add_voters(table, fleet, local.shards, true, targets);
    add_voters(table, fleet, local.owned, false, targets);
    const std::vector<router_address> watching = watchers(table);
    targets.insert(watching.begin(), watching.end());
    add_rotating(table, targets);
  }
  targets.erase(table.self.address);
  return {targets.begin(), targets.end()};
}

}  // namespace peridot
