#include "core/fleet/membership.h"

#include <algorithm>

namespace peridot {
namespace {

void learn(membership_table& table, const router_address& address, instant now) {
  if (address == table.self.address || table.peers.contains(address) ||
      table.peers.size() >= max_known_peers) {
    return;
  }
  peer_row row;
  row.first_known = now;
  table.peers.emplace(address, row);
}

bool was_heard(const peer_row& row) {
  return row.incarnation != 0;
}

void begin_cycle(membership_table& table, instant now) {
  table.waiting = live_peers(table, now);
  const std::size_t rounds = (table.waiting.size() + round_peers - 1) / round_peers;
  const duration cycle = table.interval * std::max<std::size_t>(1, rounds);
  table.news_life = std::max<duration>(least_news_life, scaled(cycle, news_life_cycles));
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

bool on_peer(membership_table& table, const router_identity& from,
             const std::vector<router_address>& knows, bool leaving, const domain_name& domain,
             instant now) {
  learn(table, from.address, now);
  for (const router_address& address : knows) {
    learn(table, address, now);
  }
  auto found = table.peers.find(from.address);
  if (found == table.peers.end()) {
    return false;
  }
  peer_row& row = found->second;
  const bool news = row.incarnation != from.incarnation || !is_alive(row, now);
  row.incarnation = from.incarnation;
  row.domain = domain;
  row.leaving = leaving;
  row.introduced = row.introduced && !news;
  row.last_heard = now;
  row.alive_until = now + table.news_life;
  return news;
}

bool is_alive(const peer_row& row, instant now) {
  return was_heard(row) && now <= row.alive_until;
}

std::size_t live_count(const membership_table& table, instant now) {
  return static_cast<std::size_t>(
      std::count_if(table.peers.begin(), table.peers.end(),
                    [now](const std::pair<const router_address, peer_row>& entry) {
                      return is_alive(entry.second, now);
                    }));
}

std::size_t peers_with_room(const membership_table& table, instant now) {
  return static_cast<std::size_t>(
      std::count_if(table.peers.begin(), table.peers.end(),
                    [now](const std::pair<const router_address, peer_row>& entry) {
                      const peer_row& row = entry.second;
                      return is_alive(row, now) && !row.overloaded && !row.leaving;
                    }));
}

std::vector<router_address> live_peers(const membership_table& table, instant now) {
  std::vector<router_address> result;
  for (const std::pair<const router_address, peer_row>& entry : table.peers) {
    if (is_alive(entry.second, now)) {
      result.push_back(entry.first);
    }
  }
  return result;
}

std::vector<router_address> possible_peers(const membership_table& table, instant now) {
  std::vector<router_address> result;
  for (const std::pair<const router_address, peer_row>& entry : table.peers) {
    const instant heard_of =
        was_heard(entry.second) ? entry.second.last_heard : entry.second.first_known;
    if (now - heard_of <= remembered_for) {
      result.push_back(entry.first);
    }
  }
  return result;
}

gossip_round next_round(membership_table& table, instant now) {
  gossip_round round;
  if (table.waiting.empty()) {
    round.begins_cycle = true;
    begin_cycle(table, now);
  }
  while (!table.waiting.empty() && round.peers.size() < round_peers) {
    round.peers.push_back(table.waiting.back());
    table.waiting.pop_back();
  }
  std::size_t tried = 0;
  for (std::pair<const router_address, peer_row>& entry : table.peers) {
    if (!is_alive(entry.second, now) && now - entry.second.last_tried >= seed_retry &&
        tried < round_peers) {
      entry.second.last_tried = now;
      round.peers.push_back(entry.first);
      ++tried;
    }
  }
  return round;
}

bool needs_introduction(const membership_table& table, const router_address& peer) {
  auto found = table.peers.find(peer);
  return found != table.peers.end() && !found->second.introduced;
}

void note_introduced(membership_table& table, const router_address& peer, instant now) {
  auto found = table.peers.find(peer);
  if (found != table.peers.end()) {
    // A silent peer may not have got it.
    found->second.introduced = is_alive(found->second, now);
  }
}

std::vector<router_address> peers_to_tell(const membership_table& table, std::size_t most,
                                          std::minstd_rand& random, instant now) {
  std::vector<router_address> alive = live_peers(table, now);
  std::shuffle(alive.begin(), alive.end(), random);
  alive.resize(std::min(alive.size(), most));
  return alive;
}

void expire_peers(membership_table& table, instant now) {
  std::erase_if(table.peers, [&table, now](const std::pair<const router_address, peer_row>& item) {
    const instant seen = was_heard(item.second) ? item.second.last_heard : item.second.first_known;
    const bool seed =
        std::find(table.seeds.begin(), table.seeds.end(), item.first) != table.seeds.end();
    return !seed && now - seen > remembered_for;
  });
}

}  // namespace peridot
