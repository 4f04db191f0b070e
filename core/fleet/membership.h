// Which routers run, as one router believes.
//
// Routers find each other from seeds and tell each other whom they know. The view is a
// hint for shares, load and fairness; nothing that must hold rests on it.
//
//   membership_table members = make_membership(self, seeds, gossip_interval, now);
//   on_peer(members, from, told_peers, leaving, domain, now);    // each gossip
//   gossip_round round = next_round(members, now);
//   send(round.peers, peers_to_tell(members, reminded_peers, random, now));
//
// Traffic: a round goes to `round_peers` peers at most. A cycle of rounds reaches
// everybody once; what is told counts for two and a half cycles (`news_life`), so that
// one lost message changes nothing.
// Thread safety: none; one loop owns the table.
#pragma once

#include <map>
#include <random>
#include <vector>

#include "core/base/types.h"

namespace peridot {

inline constexpr milliseconds min_report_ttl{1'500};    // several rounds of gossip
inline constexpr double report_ttl_cycles = 2.5;        // one message may be lost
inline constexpr milliseconds peer_retention{120'000};  // as one that may still send
inline constexpr milliseconds silent_peer_retry_interval{
    1'000};                                               // silent peers are tried this often
inline constexpr std::size_t max_peers_per_round = 16;    // bounds a router's traffic
inline constexpr std::size_t max_full_peer_list = 256;    // told to a peer that is new
inline constexpr std::size_t partial_peer_list_size = 4;  // told to others, drawn at random
inline constexpr std::size_t max_known_peers = 2'048;

struct peer_state {
  std::uint64_t incarnation = 0;  // 0: never heard from
  domain_name domain;
  bool leaving = false;
  bool store_unavailable = false;    // its calls to the store fail, it says
  bool overloaded = false;           // it asks for no new connections, it says
  bool full_peer_list_sent = false;  // was told whom this router knows
  instant last_heard{};
  instant alive_until{};
  instant last_attempt{};
  instant discovered_at{};
};

struct membership_table {
  router_identity self;
  std::vector<router_address> seeds;
  std::map<router_address, peer_state> peers;  // never contains self
  duration interval{};                         // between rounds
  std::vector<router_address> pending_peers;   // to be reached in this cycle
  duration report_ttl{min_report_ttl};         // how long what a peer told counts
};

struct gossip_round {
  std::vector<router_address> peers;
  bool starts_cycle = false;
};

membership_table make_membership(const router_identity& self,
                                 const std::vector<router_address>& seeds, duration interval,
                                 instant now);

// Takes over what a peer says of itself and whom it knows. True if the peer was not
// alive before, or has restarted.
bool on_peer_gossip(membership_table& table, const router_identity& from,
                    const std::vector<router_address>& reported_peers, bool leaving,
                    const domain_name& domain, instant now);

bool is_alive(const peer_state& row, instant now);

std::size_t live_peer_count(const membership_table& table, instant now);

// Live peers that take new calls.
std::size_t accepting_peer_count(const membership_table& table, instant now);

std::vector<router_address> live_peers(const membership_table& table, instant now);

// Peers that were heard of lately, alive or not: they may be sending.
std::vector<router_address> possibly_active_peers(const membership_table& table, instant now);

// Whom to send this round's gossip: live peers whose turn it is, and silent ones.
gossip_round next_gossip_round(membership_table& table, instant now);

// A peer that is new, or has restarted, is told of everybody alive, others of a few.
bool needs_full_peer_list(const membership_table& table, const router_address& peer);
void mark_full_peer_list_sent(membership_table& table, const router_address& peer, instant now);

// Live peers, `most` of them, drawn at random.
std::vector<router_address> sample_live_peers(const membership_table& table, std::size_t max_count,
                                              std::minstd_rand& random, instant now);

// Forgets peers that are neither seeds nor heard from for `remembered_for`.
void expire_peers(membership_table& table, instant now);

}  // namespace peridot
