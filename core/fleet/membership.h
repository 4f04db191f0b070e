// Which routers run, as one router believes.
//
// Routers find each other from seeds and tell each other whom they know. A peer is
// alive while its newest gossip is younger than `alive_for`. The view is a hint for
// shares, load and fairness; nothing that must hold rests on it.
//
//   membership_table members = make_membership(self, seeds);
//   on_peer(members, from, told_peers, leaving, domain, now);    // each gossip
//   for (const router_address& peer : gossip_peers(members, now)) send(...)
//
// Traffic: everybody is told up to `full_gossip_peers` peers; beyond, each round goes
// to that many, taken in turn.
// Thread safety: none; one loop owns the table.
#pragma once

#include <map>
#include <vector>

#include "core/base/types.h"

namespace peridot {

inline constexpr milliseconds alive_for{1'500};         // several rounds of gossip
inline constexpr milliseconds remembered_for{120'000};  // as one that may still send
inline constexpr milliseconds seed_retry{1'000};        // silent peers are tried this often
inline constexpr std::size_t full_gossip_peers = 16;    // keeps a node within 6 KB/s
inline constexpr std::size_t max_known_peers = 2'048;

struct peer_row {
  std::uint64_t incarnation = 0;  // 0: never heard from
  domain_name domain;
  bool leaving = false;
  instant last_heard{};
  instant last_tried{};
  instant first_known{};
  std::uint64_t store_revision = 0;
  duration store_age{};  // since its store last answered, when it said so
};

struct membership_table {
  router_identity self;
  std::vector<router_address> seeds;
  std::map<router_address, peer_row> peers;  // never contains self
  std::size_t turn = 0;
};

membership_table make_membership(const router_identity& self,
                                 const std::vector<router_address>& seeds, instant now);

// Takes over what a peer says of itself and whom it knows. True if the peer was not
// alive before, or has restarted.
bool on_peer(membership_table& table, const router_identity& from,
             const std::vector<router_address>& knows, bool leaving, const domain_name& domain,
             instant now);

bool is_alive(const peer_row& row, instant now);

std::vector<router_address> live_peers(const membership_table& table, instant now);

// Peers that were heard from lately, alive or not: they may still be sending.
std::vector<router_address> possible_peers(const membership_table& table, instant now);

// Whom to send this round's gossip: live peers, and silent ones whose turn it is.
std::vector<router_address> gossip_peers(membership_table& table, instant now);

// Forgets peers that are neither seeds nor heard from for `remembered_for`.
void expire_peers(membership_table& table, instant now);

}  // namespace peridot
