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

}  // namespace

membership_table make_membership(const router_identity& self,
                                 const std::vector<router_address>& seeds, instant now) {
  membership_table table;
  table.self = self;
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
  row.last_heard = now;
  return news;
}

bool is_alive(const peer_row& row, instant now) {
  return was_heard(row) && now - row.last_heard <= alive_for;
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
    if (was_heard(entry.second) && now - entry.second.last_heard <= remembered_for) {
      result.push_back(entry.first);
    }
  }
  return result;
}

std::vector<router_address> gossip_peers(membership_table& table, instant now) {
  std::vector<router_address> result = live_peers(table, now);
  if (result.size() > full_gossip_peers) {
    std::rotate(result.begin(),
                result.begin() + static_cast<std::ptrdiff_t>(table.turn % result.size()),
                result.end());
    table.turn += full_gossip_peers;
    result.resize(full_gossip_peers);
  }
  std::size_t tried = 0;
  for (std::pair<const router_address, peer_row>& entry : table.peers) {
    if (!is_alive(entry.second, now) && now - entry.second.last_tried >= seed_retry &&
        tried < full_gossip_peers) {
      entry.second.last_tried = now;
      result.push_back(entry.first);
      ++tried;
    }
  }
  return result;
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
