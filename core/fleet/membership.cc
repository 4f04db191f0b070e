#include "core/fleet/membership.h"

#include <algorithm>

namespace peridot {
namespace {

void add_discovered_peer(membership_table& table, const router_address& address, instant now) {
  if (address == table.self.address || table.peers.contains(address) ||
      table.peers.size() >= max_known_peers) {
    return;
  }
  peer_state peer;
  peer.discovered_at = now;
  table.peers.emplace(address, peer);
}

bool was_heard_from(const peer_state& peer) {
  return peer.incarnation != 0;
}

void start_cycle(membership_table& table, instant now) {
  table.pending_peers = live_peers(table, now);
  table.rounds_per_cycle = gossip_rounds_per_cycle(table.pending_peers.size());
  table.report_ttl = report_ttl_for(table.interval, table.rounds_per_cycle);
}

}  // namespace

std::size_t gossip_rounds_per_cycle(std::size_t live_peers) {
  return std::max<std::size_t>(1, (live_peers + max_peers_per_round - 1) / max_peers_per_round);
}

duration report_ttl_for(duration interval, std::size_t rounds_per_cycle) {
  return std::max<duration>(min_report_ttl, scaled(interval * rounds_per_cycle, report_ttl_cycles));
}

membership_table make_membership(const router_identity& self,
                                 const std::vector<router_address>& seeds, duration interval,
                                 instant now) {
  membership_table table;
  table.self = self;
  table.interval = interval;
  table.seeds = seeds;
  for (const router_address& seed : seeds) {
    add_discovered_peer(table, seed, now);
  }
  return table;
}

bool on_peer_gossip(membership_table& table, const router_identity& from,
                    const std::vector<router_address>& listed_peers, bool leaving,
                    const failure_domain_name& domain, instant now) {
  add_discovered_peer(table, from.address, now);
  for (const router_address& address : listed_peers) {
    add_discovered_peer(table, address, now);
  }
  auto found = table.peers.find(from.address);
  if (found == table.peers.end()) {
    return false;
  }
  peer_state& peer = found->second;
  const bool newly_alive = peer.incarnation != from.incarnation || !is_alive(peer, now);
  if (newly_alive) {
    peer.avoided_until = instant{};
  }
  peer.incarnation = from.incarnation;
  peer.domain = domain;
  peer.leaving = leaving;
  peer.full_peer_list_sent = peer.full_peer_list_sent && !newly_alive;
  peer.needs_member_list = peer.needs_member_list || newly_alive;
  peer.last_heard = now;
  peer.last_report = now;
  peer.alive_until = now + table.report_ttl;
  return newly_alive;
}

bool is_alive(const peer_state& peer, instant now) {
  return was_heard_from(peer) && now <= peer.alive_until;
}

std::size_t live_peer_count(const membership_table& table, instant now) {
  return static_cast<std::size_t>(
      std::count_if(table.peers.begin(), table.peers.end(),
                    [now](const std::pair<const router_address, peer_state>& entry) {
                      return is_alive(entry.second, now);
                    }));
}

void refresh_peer_counts(membership_table& table, instant now) {
  table.counts = {};
  for (const std::pair<const router_address, peer_state>& entry : table.peers) {
    const peer_state& peer = entry.second;
    const bool alive = is_alive(peer, now);
    table.counts.live += alive ? 1 : 0;
    table.counts.accepting += alive && !peer.overloaded && !peer.leaving ? 1 : 0;
    table.counts.before_self += alive && entry.first < table.self.address ? 1 : 0;
  }
}

double position_in_fleet(const peer_counts& counts) {
  return static_cast<double>(counts.before_self + 1) / static_cast<double>(counts.live + 1);
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
    const instant last_known_at =
        was_heard_from(entry.second) ? entry.second.last_heard : entry.second.discovered_at;
    const bool has_left = entry.second.leaving && !is_alive(entry.second, now);
    if (now - last_known_at <= peer_retention && !has_left) {
      result.push_back(entry.first);
    }
  }
  return result;
}

gossip_round next_gossip_round(membership_table& table, instant now) {
  gossip_round round;
  ++table.round;
  if (table.pending_peers.empty()) {
    round.starts_cycle = true;
    start_cycle(table, now);
  }
  while (!table.pending_peers.empty() && round.peers.size() < max_peers_per_round) {
    round.peers.push_back(table.pending_peers.back());
    table.pending_peers.pop_back();
  }
  std::size_t silent_peers_added = 0;
  for (std::pair<const router_address, peer_state>& entry : table.peers) {
    if (!is_alive(entry.second, now) &&
        now - entry.second.last_silent_send >= silent_peer_retry_interval &&
        silent_peers_added < max_peers_per_round) {
      entry.second.last_silent_send = now;
      round.peers.push_back(entry.first);
      ++silent_peers_added;
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
    // A silent peer may not have received it.
    found->second.full_peer_list_sent = is_alive(found->second, now);
  }
}

std::vector<router_address> sample_live_peers(const membership_table& table, std::size_t max_count,
                                              std::minstd_rand& random, instant now) {
  std::vector<router_address> sample = live_peers(table, now);
  std::shuffle(sample.begin(), sample.end(), random);
  sample.resize(std::min(sample.size(), max_count));
  return sample;
}

void expire_peers(membership_table& table, instant now) {
  std::erase_if(
      table.peers, [&table, now](const std::pair<const router_address, peer_state>& entry) {
        const instant last_known_at =
            was_heard_from(entry.second) ? entry.second.last_heard : entry.second.discovered_at;
        const bool is_seed =
            std::find(table.seeds.begin(), table.seeds.end(), entry.first) != table.seeds.end();
        return !is_seed && now - last_known_at > peer_retention;
      });
}

}  // namespace peridot
