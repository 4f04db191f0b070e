#include "core/fleet/stream_builds.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "core/base/stable_hash.h"
#include "core/fleet/delegates.h"

namespace peridot {
namespace {

void start_generation_if_due(stream_table& table, instant now) {
  if (now - table.generation_began < stream_retention &&
      table.current.size() < max_streams_per_generation) {
    return;
  }
  table.previous = std::exchange(table.current, {});
  table.generation_began = now;
}

bool accepts_streams(const peer_state& peer, instant now) {
  return is_alive(peer, now) && peer.incarnation != 0 && !peer.leaving;
}

std::set<failure_domain_name> live_domains(const membership_table& members, instant now) {
  std::set<failure_domain_name> domains;
  for (const std::pair<const router_address, peer_state>& peer : members.peers) {
    if (accepts_streams(peer.second, now)) {
      domains.insert(peer.second.domain);
    }
  }
  return domains;
}

// The live peers of the domain that may be witnesses.
std::vector<router_address> possible_witnesses(const membership_table& members,
                                               const failure_domain_name& domain, instant now) {
  std::vector<router_address> result;
  if (members.uses_delegates) {
    result = delegate_ranking(members, domain, now);
    std::erase(result, members.self.address);
    result.resize(std::min(result.size(), delegates_per_domain));
    return result;
  }
  for (const std::pair<const router_address, peer_state>& peer : members.peers) {
    if (peer.second.domain == domain && accepts_streams(peer.second, now)) {
      result.push_back(peer.first);
    }
  }
  return result;
}

void note_build(stream_table& table, const target_entry& entry, instant now) {
  known_builds& known = table.pools.try_emplace(entry.pool, known_builds{now, {}}).first->second;
  known.builds.try_emplace(build_of(entry), seen_build{now, now}).first->second.last_seen = now;
}

}  // namespace

std::uint64_t stream_key(const std::string& call_id) {
  return stable_hash(call_id);
}

void remember_stream(stream_table& table, std::uint64_t stream, build_id build, instant now) {
  start_generation_if_due(table, now);
  table.current.try_emplace(stream, build);
}

std::optional<build_id> find_build(const stream_table& table, std::uint64_t stream) {
  // The older generation first: the build that began the stream is the one told first.
  for (const std::unordered_map<std::uint64_t, build_id>* generation :
       {&table.previous, &table.current}) {
    auto found = generation->find(stream);
    if (found != generation->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

void update_pool_builds(stream_table& table, const target_table& targets, instant now) {
  for (const std::pair<const target_name, target_state>& target : targets.targets) {
    note_build(table, target.second.entry, now);
  }
  for (const std::pair<const target_name, entry_history>& history : targets.histories) {
    if (history.second.holds_back) {
      note_build(table, *history.second.versions.back().entry, now);  // other routers may use it
    }
  }
  for (std::pair<const pool_name, known_builds>& pool : table.pools) {
    std::erase_if(pool.second.builds, [now](const std::pair<const build_id, seen_build>& build) {
      return now - build.second.last_seen > build_retention;
    });
  }
  std::erase_if(table.pools, [](const std::pair<const pool_name, known_builds>& pool) {
    return pool.second.builds.empty();
  });
}

bool runs_several_builds(const stream_table& table, const pool_name& pool) {
  auto found = table.pools.find(pool);
  return found != table.pools.end() && found->second.builds.size() > 1;
}

std::optional<build_id> only_build(const stream_table& table, const pool_name& pool,
                                   duration longest_stream, instant now) {
  auto found = table.pools.find(pool);
  if (found == table.pools.end() || found->second.builds.size() != 1 ||
      now - found->second.known_since < longest_stream || longest_stream > build_retention) {
    return std::nullopt;
  }
  return found->second.builds.begin()->first;
}

bool may_begin_streams(const stream_table& table, const pool_name& pool, build_id build,
                       duration announce_time, instant now) {
  auto found = table.pools.find(pool);
  if (found == table.pools.end()) {
    return true;
  }
  auto seen = found->second.builds.find(build);
  return seen != found->second.builds.end() &&
         (seen->second.first_seen == found->second.known_since ||
          now - seen->second.first_seen >= announce_time);
}

std::vector<router_identity> choose_witnesses(const membership_table& members, instant now) {
  const std::uint64_t own_hash = stable_hash(members.self.address.value);
  // The first of each domain, then further ones; within each rank other domains first.
  std::vector<std::tuple<std::size_t, bool, std::uint64_t, router_address>> ranked;
  for (const failure_domain_name& domain : live_domains(members, now)) {
    std::vector<router_address> candidates = possible_witnesses(members, domain, now);
    std::sort(candidates.begin(), candidates.end(),
              [own_hash](const router_address& left, const router_address& right) {
                return stable_hash(left.value, own_hash) > stable_hash(right.value, own_hash);
              });
    for (std::size_t rank = 0; rank < std::min(candidates.size(), witness_count); ++rank) {
      const bool is_own_domain = domain == members.domain;
      // A second router of another domain is better than the first of the own one.
      ranked.emplace_back(is_own_domain ? witness_count : rank, is_own_domain,
                          stable_hash(domain.value, own_hash), candidates[rank]);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<router_identity> result;
  for (const std::tuple<std::size_t, bool, std::uint64_t, router_address>& entry : ranked) {
    if (result.size() < witness_count) {
      const router_address& address = std::get<3>(entry);
      result.push_back({address, members.peers.at(address).incarnation});
    }
  }
  return result;
}

std::vector<router_address> routers_to_ask(const membership_table& members, instant now) {
  std::vector<router_address> result;
  if (!members.uses_delegates) {
    for (const std::pair<const router_address, peer_state>& peer : members.peers) {
      const bool never_heard = peer.second.incarnation == 0;
      if (never_heard || is_alive(peer.second, now)) {
        result.push_back(peer.first);
      }
    }
    return result;
  }
  for (const failure_domain_name& domain : live_domains(members, now)) {
    std::vector<router_address> ranking = delegate_ranking(members, domain, now);
    std::erase(ranking, members.self.address);
    ranking.resize(std::min(ranking.size(), asked_delegates_per_domain));
    result.insert(result.end(), ranking.begin(), ranking.end());
  }
  return result;
}

}  // namespace peridot
