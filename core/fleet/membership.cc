#include "core/fleet/membership.h"

#include <algorithm>

namespace peridot {
namespace {

void learn(membership_table& table, const router_address& address, instant now) {
  if (address == table.self.address || table.peers.contains(address) ||
      table.peers.size() >= max_known_peers) {
    return;
  }
  peer_state row;
  row.discovered_at = now;
  table.peers.emplace(address, row);
}

bool was_heard(const peer_state& row) {
  return row.incarnation != 0;
}

void begin_cycle(membership_table& table, instant now) {
  table.pending_peers = live_peers(table, now);
  const std::size_t rounds =
      (table.pending_peers.size() + max_peers_per_round - 1) / max_peers_per_round;
  const duration cycle = table.interval * std::max<std::size_t>(1, rounds);
  table.report_ttl = std::max<duration>(min_report_ttl, scaled(cycle, report_ttl_cycles));
}

}  // namespace

membership_table make_membership(const router_identity& self,
                                 const std::vector<router_address>& seeds, duration interval,
                                 instant now) {
  membership_table table;
  table.self = self;
  table.interval = interval;
  table.seeds = seeds;
  for (const router_address& seed : seeds) {
    learn(table, seed, now);
  }
  return table;
}

bool on_peer_gossip(membership_table& table, const router_identity& from,
                    const std::vector<router_address>& reported_peers, bool leaving,
                    const domain_name& domain, instant now) {
  learn(table, from.address, now);
  for (const router_address& address : reported_peers) {
    learn(table, address, now);
  }
  auto found = table.peers.find(from.address);
  if (found == table.peers.end()) {
    return false;
  }
  peer_state& row = found->second;
  const bool news = row.incarnation != from.incarnation || !is_alive(row, now);
  row.incarnation = from.incarnation;
  row.domain = domain;
  row.leaving = leaving;
  row.full_peer_list_sent = row.full_peer_list_sent && !news;
  row.last_heard = now;
  row.alive_until = now + table.report_ttl;
  return news;
}

bool is_alive(const peer_state& row, instant now) {
  return was_heard(row) && now <= row.alive_until;
}

std::size_t live_peer_count(const membership_table& table, instant now) {
  return static_cast<std::size_t>(
      std::count_if(table.peers.begin(), table.peers.end(),
                    [now](const std::pair<const router_address, peer_state>& entry) {
                      return is_alive(entry.second, now);
                    }));
}

std::size_t accepting_peer_count(const membership_table& table, instant now) {
  return static_cast<std::size_t>(
      std::count_if(table.peers.begin(), table.peers.end(),
                    [now](const std::pair<const router_address, peer_state>& entry) {
                      const peer_state& row = entry.second;
                      return is_alive(row, now) && !row.overloaded && !row.leaving;
                    }));
}

std::vector<router_address> live_peers(const membership_table& table, instant now) {
  std::vector<router_address> result;
  for (const std::pair<const router_address, peer_state>& entry : table.peers) {
    if (is_alive(entry.second, now)) {
      result.push_back(entry.first);
    }
  }
  return result;
}

std::vector<router_address> possibly_active_peers(const membership_table& table, instant now) {
  std::vector<router_address> result;
  for (const std::pair<const router_address, peer_state>& entry : table.peers) {
    const instant heard_of =
        was_heard(entry.second) ? entry.second.last_heard : entry.second.discovered_at;
    if (now - heard_of <= peer_retention) {
      result.push_back(entry.first);
    }
  }
  return result;
}

gossip_round next_gossip_round(membership_table& table, instant now) {
  gossip_round round;
  if (table.pending_peers.empty()) {
    round.starts_cycle = true;
    begin_cycle(table, now);
  }
  while (!table.pending_peers.empty() && round.peers.size() < max_peers_per_round) {
    round.peers.push_back(table.pending_peers.back());
    table.pending_peers.pop_back();
  }
  std::size_t tried = 0;
  for (std::pair<const router_address, peer_state>& entry : table.peers) {
    if (!is_alive(entry.second, now) &&
        now - entry.second.last_attempt >= silent_peer_retry_interval &&
        tried < max_peers_per_round) {
      entry.second.last_attempt = now;
      round.peers.push_back(entry.first);
      ++tried;
    }
  }
  return round;
}

bool needs_full_peer_list(const membership_table& table, const router_address& peer) {
  auto found = table.peers.find(peer);
  return found != table.peers.end() && !found->second.full_peer_list_sent;
}

void mark_full_peer_list_sent(membership_table& table, const router_address& peer, instant now) {
  auto found = table.peers.find(peer);
  if (found != table.peers.end()) {
    // A silent peer may not have got it.
    found->second.full_peer_list_sent = is_alive(found->second, now);
  }
}

std::vector<router_address> sample_live_peers(const membership_table& table, std::size_t max_count,
                                              std::minstd_rand& random, instant now) {
  std::vector<router_address> alive = live_peers(table, now);
  std::shuffle(alive.begin(), alive.end(), random);
  alive.resize(std::min(alive.size(), max_count));
  return alive;
}

void expire_peers(membership_table& table, instant now) {
  std::erase_if(
      table.peers, [&table, now](const std::pair<const router_address, peer_state>& item) {
        const instant seen =
            was_heard(item.second) ? item.second.last_heard : item.second.discovered_at;
        const bool seed =
            std::find(table.seeds.begin(), table.seeds.end(), item.first) != table.seeds.end();
        return !seed && now - seen > peer_retention;
      });
}

}  // namespace peridot
