#include "core/fleet/delegates.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "core/base/stable_hash.h"

namespace peridot {
namespace {

bool reported_lately(const peer_state& peer, instant now) {
  return peer.last_report != instant{} && now - peer.last_report <= min_report_ttl;
}

bool can_be_delegate(const peer_state& peer, instant now) {
  return is_alive(peer, now) && !peer.leaving && now >= peer.avoided_until;
}

// The delegates of the own domain, without self.
std::vector<router_address> own_delegates(const membership_table& table,
                                          const std::vector<router_address>& ranking) {
  std::vector<router_address> result(
      ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(
                                             std::min(ranking.size(), delegates_per_domain)));
  std::erase(result, table.self.address);
  return result;
}

bool ranks_as_delegate(const membership_table& table, const std::vector<router_address>& ranking) {
  const std::size_t position = static_cast<std::size_t>(
      std::find(ranking.begin(), ranking.end(), table.self.address) - ranking.begin());
  return position < delegates_per_domain;
}

void set_primary(membership_table& table, const router_address& primary, instant now) {
  if (table.primary.value.empty()) {
    table.relies_since = now;
  }
  if (table.primary != primary) {
    table.primary = primary;
    table.primary_since = now;
  }
}

// Avoids the delegate that this router relies on once its digests are overdue. True if so.
bool avoid_silent_primary(membership_table& table, instant now) {
  auto found = table.peers.find(table.primary);
  if (found == table.peers.end() ||
      now - std::max(table.primary_since, found->second.last_digest) <= digest_timeout) {
    return false;
  }
  found->second.avoided_until = now + avoid_time;
  return true;
}

void update_cut_off(membership_table& table, instant now) {
  table.cut_off = !table.primary.value.empty() &&
                  now - std::max(table.relies_since, table.last_fleet_digest) > cut_off_time;
}

bool other_domains_live(const membership_table& table, instant now) {
  return std::any_of(table.peers.begin(), table.peers.end(),
                     [&table, now](const std::pair<const router_address, peer_state>& entry) {
                       return is_alive(entry.second, now) && entry.second.domain != table.domain;
                     });
}

// True if this router should rely on its own knowledge. The second delegate does so only while the
// other domains know it as one.
bool acts_as_delegate(const membership_table& table, const std::vector<router_address>& ranking,
                      instant now) {
  if (!ranks_as_delegate(table, ranking)) {
    return false;
  }
  return ranking.front() == table.self.address || !other_domains_live(table, now) ||
         now - table.last_foreign_digest <= foreign_digest_timeout;
}

// Delegates of the other domains.
std::vector<router_address> delegates_elsewhere(const membership_table& table, instant now) {
  std::set<failure_domain_name> domains;
  for (const std::pair<const router_address, peer_state>& entry : table.peers) {
    if (is_alive(entry.second, now) && entry.second.domain != table.domain) {
      domains.insert(entry.second.domain);
    }
  }
  std::vector<router_address> result;
  for (const failure_domain_name& domain : domains) {
    const std::vector<router_address> ranking = delegate_ranking(table, domain, now);
    result.insert(result.end(), ranking.begin(),
                  ranking.begin() +
                      static_cast<std::ptrdiff_t>(std::min(ranking.size(), delegates_per_domain)));
  }
  return result;
}

// Seeds that are silent, and one other silent peer: enough to find the fleet again after a cut.
std::vector<router_address> silent_peers_to_try(membership_table& table, std::minstd_rand& random,
                                                instant now) {
  std::vector<router_address> result;
  std::vector<std::pair<const router_address, peer_state>*> others;
  for (std::pair<const router_address, peer_state>& entry : table.peers) {
    if (is_alive(entry.second, now) ||
        now - entry.second.last_silent_send < silent_peer_retry_interval) {
      continue;
    }
    if (std::find(table.seeds.begin(), table.seeds.end(), entry.first) != table.seeds.end()) {
      entry.second.last_silent_send = now;
      result.push_back(entry.first);
    } else {
      others.push_back(&entry);
    }
  }
  if (!others.empty()) {
    std::pair<const router_address, peer_state>& chosen = *others[random() % others.size()];
    chosen.second.last_silent_send = now;
    result.push_back(chosen.first);
  }
  return result;
}

}  // namespace

void update_exchange_mode(membership_table& table) {
  const std::size_t bound = table.uses_delegates ? min_delegated_peers - 1 : max_direct_peers;
  table.uses_delegates = table.counts.live > bound;
  if (table.uses_delegates) {
    table.rounds_per_cycle = gossip_rounds_per_cycle(table.counts.live);
    table.report_ttl = min_report_ttl;
    table.pending_peers.clear();
  } else {
    table.primary = router_address{};
    table.cut_off = false;
  }
}

std::vector<router_address> delegate_ranking(const membership_table& table,
                                             const failure_domain_name& domain, instant now) {
  // Ordered by: overloaded ones last, the largest processors first, then by hash.
  std::vector<std::tuple<bool, int, std::uint64_t, router_address>> ranked;
  if (domain == table.domain) {
    ranked.emplace_back(false, -table.processor_percent, stable_hash(table.self.address.value),
                        table.self.address);
  }
  for (const std::pair<const router_address, peer_state>& entry : table.peers) {
    if (entry.second.domain == domain && can_be_delegate(entry.second, now)) {
      ranked.emplace_back(entry.second.overloaded, -entry.second.processor_percent,
                          stable_hash(entry.first.value), entry.first);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<router_address> result;
  result.reserve(ranked.size());
  for (const std::tuple<bool, int, std::uint64_t, router_address>& entry : ranked) {
    result.push_back(std::get<3>(entry));
  }
  return result;
}

exchange_plan plan_exchange(membership_table& table, std::minstd_rand& random, instant now) {
  exchange_plan plan;
  ++table.round;
  std::vector<router_address> ranking = delegate_ranking(table, table.domain, now);
  if (avoid_silent_primary(table, now)) {
    ranking = delegate_ranking(table, table.domain, now);
  }
  plan.reports_to = own_delegates(table, ranking);
  set_primary(table, acts_as_delegate(table, ranking, now) ? router_address{} : ranking.front(),
              now);
  update_cut_off(table, now);
  for (std::pair<const router_address, peer_state>& entry : table.peers) {
    peer_state& peer = entry.second;
    if (!reported_lately(peer, now)) {
      continue;
    }
    if (now < peer.digest_requested_until) {
      plan.subscribers.push_back(entry.first);
    } else if (peer.needs_member_list) {
      plan.newcomers.push_back(entry.first);
    }
    peer.needs_member_list = false;
  }
  if (!plan.subscribers.empty() || ranking.front() == table.self.address) {
    plan.other_domains = delegates_elsewhere(table, now);
  }
  plan.silent = silent_peers_to_try(table, random, now);
  return plan;
}

void on_report_received(membership_table& table, const router_address& from,
                        const report_header& header, instant now) {
  auto found = table.peers.find(from);
  if (found == table.peers.end()) {
    return;
  }
  peer_state& peer = found->second;
  peer.report_round = header.round;
  peer.digest_requested_until = header.wants_digest ? now + digest_request_ttl : instant{};
  peer.needs_member_list = peer.needs_member_list || (table.uses_delegates && header.is_direct);
}

void on_digest_received(membership_table& table, const router_address& from, bool of_domain,
                        instant now) {
  (of_domain ? table.last_foreign_digest : table.last_fleet_digest) = now;
  auto found = table.peers.find(from);
  if (found == table.peers.end() || of_domain) {
    return;
  }
  found->second.last_digest = now;
  found->second.avoided_until = instant{};
}

std::size_t on_member_list(membership_table& table, const router_address& from,
                           const failure_domain_name& domain, bool of_domain,
                           const std::vector<listed_router>& listed, instant now) {
  std::size_t newly_alive = 0;
  std::set<router_address> present{from};
  for (const listed_router& router : listed) {
    if (router.identity.address == table.self.address) {
      continue;
    }
    present.insert(router.identity.address);
    auto found = table.peers.find(router.identity.address);
    if (found == table.peers.end()) {
      if (table.peers.size() >= max_known_peers) {
        continue;
      }
      found = table.peers.emplace(router.identity.address, peer_state{}).first;
      found->second.discovered_at = now;
    }
    peer_state& peer = found->second;
    if (!is_alive(peer, now) || peer.incarnation != router.identity.incarnation) {
      ++newly_alive;
      peer.avoided_until = instant{};
    }
    peer.alive_until = std::max(peer.alive_until, now + listed_ttl);
    peer.last_heard = now;
    if (reported_lately(peer, now)) {
      continue;  // what it said itself is newer
    }
    peer.incarnation = router.identity.incarnation;
    peer.domain = router.domain;
    peer.leaving = router.leaving;
    peer.overloaded = router.overloaded;
    peer.store_unavailable = router.store_unavailable;
    peer.processor_percent = router.processor_percent;
  }
  for (std::pair<const router_address, peer_state>& entry : table.peers) {
    const bool covered = !of_domain || entry.second.domain == domain;
    if (covered && !present.contains(entry.first) && !reported_lately(entry.second, now)) {
      entry.second.alive_until = std::min(entry.second.alive_until, now - milliseconds{1});
    }
  }
  return newly_alive;
}

std::vector<listed_router> member_list(const membership_table& table, bool of_domain, instant now) {
  std::vector<listed_router> result;
  for (const std::pair<const router_address, peer_state>& entry : table.peers) {
    const peer_state& peer = entry.second;
    if (is_alive(peer, now) && (!of_domain || reported_lately(peer, now))) {
      result.push_back({{entry.first, peer.incarnation},
                        peer.domain,
                        peer.leaving,
                        peer.overloaded,
                        peer.store_unavailable,
                        peer.processor_percent});
    }
  }
  return result;
}

bool reads_store(const membership_table& table, instant now) {
  if (!table.uses_delegates || table.cut_off) {
    return true;
  }
  const std::vector<router_address> ranking = delegate_ranking(table, table.domain, now);
  std::size_t served_before = 0;
  for (std::size_t position = 0; position < std::min(ranking.size(), max_store_readers);
       ++position) {
    if (ranking[position] == table.self.address) {
      return served_before < store_readers_per_domain;
    }
    const peer_state& peer = table.peers.at(ranking[position]);
    served_before += peer.store_unavailable ? 0 : 1;
  }
  return false;
}

std::size_t expected_store_readers(const membership_table& table) {
  if (!table.uses_delegates) {
    return table.counts.live + 1;
  }
  std::set<failure_domain_name> domains{table.domain};
  for (const std::pair<const router_address, peer_state>& entry : table.peers) {
    domains.insert(entry.second.domain);
  }
  return domains.size() * store_readers_per_domain;
}

}  // namespace peridot
