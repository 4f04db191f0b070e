// Membership of the router fleet as seen by one router, with failure detection by timeout.
//
// Routers discover each other from seeds and from the peer lists in gossip messages. The
// table is approximate and used for fair shares and load estimates; no safety property may
// depend on it.
//
//   membership_table members = make_membership(self, seeds, gossip_interval, now);
//   on_peer_gossip(members, from, listed_peers, leaving, domain, now);  // each message
//   gossip_round round = next_gossip_round(members, now);
//   send(round.peers, sample_live_peers(members, partial_peer_list_size, random, now));
//
// A peer is live while its last report is valid, otherwise silent. A report stays valid for
// report_ttl_cycles cycles, but at least min_report_ttl, so that one lost message doesn't
// mark a peer as failed.
// Traffic: a round sends to at most `max_peers_per_round` live peers and as many silent
// ones. A cycle of rounds reaches each live peer once. Fleets with more live peers than one round
// reaches exchange reports through delegates instead (core/fleet/delegates.h).
// Thread safety: none; for use from one event loop.
#pragma once

#include <map>
#include <random>
#include <vector>

#include "core/base/types.h"

namespace peridot {

inline constexpr milliseconds min_report_ttl{1'500};  // 7 rounds at the default interval of 200 ms
inline constexpr double report_ttl_cycles = 2.5;      // tolerates one lost message
inline constexpr milliseconds peer_retention{120'000};  // a silent peer may still send calls
inline constexpr milliseconds silent_peer_retry_interval{1'000};
// Of live peers, and of silent peers; limits a router's gossip traffic.
inline constexpr std::size_t max_peers_per_round = 16;
inline constexpr std::size_t max_full_peer_list = 256;  // limit of the list for a newly alive peer
inline constexpr std::size_t partial_peer_list_size = 4;  // random sample for the others
inline constexpr std::size_t max_known_peers = 2'048;

struct peer_state {
  std::uint64_t incarnation = 0;  // 0: no message received yet
  failure_domain_name domain;
  bool leaving = false;
  bool store_unavailable = false;    // reported by the peer: its calls to the store fail
  bool overloaded = false;           // reported by the peer: it accepts no new calls
  bool full_peer_list_sent = false;  // since the peer last became alive or restarted
  instant last_heard{};              // last message received
  instant alive_until{};             // last_heard plus report_ttl at that time
  instant last_silent_send{};        // last time the silent peer was chosen for a round
  instant discovered_at{};           // address first seen in seeds or gossip

  // For core/fleet/delegates.h.
  int processor_percent = 0;         // of a core that the peer may use; 0: unknown
  instant last_report{};             // last message from the peer itself
  std::uint32_t report_round = 0;    // of that message
  instant digest_requested_until{};  // until then the peer relies on this router for digests
  instant last_digest{};             // last digest from the peer
  instant avoided_until{};           // not used as a delegate: its digests did not arrive
  bool needs_member_list = false;    // newly heard: it may not know the fleet
};

// Counts as of the last refresh_peer_counts().
struct peer_counts {
  std::size_t live = 0;
  std::size_t accepting = 0;    // live, and accepts new calls
  std::size_t before_self = 0;  // live, with a lower address than this router's
};

// This router's position among the live ones, above 0 and up to 1, as all of them see it.
double position_in_fleet(const peer_counts& counts);

struct membership_table {
  router_identity self;
  std::vector<router_address> seeds;
  std::map<router_address, peer_state> peers;  // never contains self
  duration interval{};                         // between rounds
  std::vector<router_address> pending_peers;   // not yet reached in this cycle
  duration report_ttl{min_report_ttl};         // validity of a peer's report
  std::size_t rounds_per_cycle = 1;            // of the cycle that started last
  peer_counts counts;

  // For core/fleet/delegates.h.
  failure_domain_name domain;  // of this router
  int processor_percent = 0;   // likewise
  bool uses_delegates = false;
  std::uint32_t round = 0;  // of the reports sent
  router_address primary;   // on whose digests this router relies; empty: on none
  instant primary_since{};
  instant relies_since{};         // since when this router has relied on some peer's digests
  instant last_fleet_digest{};    // from any peer
  instant last_foreign_digest{};  // from a delegate of another domain
  bool cut_off = false;           // no digest for cut_off_time
};

// The peers to which one round of gossip is sent.
struct gossip_round {
  std::vector<router_address> peers;
  bool starts_cycle = false;
};

// Rounds of a gossip cycle that reaches this number of live peers, at least 1.
std::size_t gossip_rounds_per_cycle(std::size_t live_peers);

// How long a report stays valid when a cycle takes that many rounds, `interval` apart.
duration report_ttl_for(duration interval, std::size_t rounds_per_cycle);

membership_table make_membership(const router_identity& self,
                                 const std::vector<router_address>& seeds, duration interval,
                                 instant now);

// Records a gossip message: the sender's incarnation, domain and `leaving` flag, and the peers
// that it lists. The caller sets store_unavailable and overloaded. Returns true if the
// sender was not alive before or has restarted. Once max_known_peers are known,
// messages from further peers are ignored.
bool on_peer_gossip(membership_table& table, const router_identity& from,
                    const std::vector<router_address>& listed_peers, bool leaving,
                    const failure_domain_name& domain, instant now);

// True if the last message from the peer is still valid.
bool is_alive(const peer_state& peer, instant now);

std::size_t live_peer_count(const membership_table& table, instant now);

// Counts the live peers. To be called a few times a second; decisions for a call read
// `table.counts`, so that their cost doesn't grow with the fleet.
void refresh_peer_counts(membership_table& table, instant now);

std::vector<router_address> live_peers(const membership_table& table, instant now);

// Peers heard from, or discovered and never heard from, within `peer_retention`, alive or
// not. They may be sending calls to targets. Not those that are silent after they said that they
// leave.
std::vector<router_address> possibly_active_peers(const membership_table& table, instant now);

// Chooses the peers for this round: the next live peers of the cycle, and silent peers due
// for a retry.
gossip_round next_gossip_round(membership_table& table, instant now);

// True until the list of all live peers, up to `max_full_peer_list`, has been sent to the peer
// after it was first heard from, restarted or was heard again after a silence. Other peers
// get a random sample. False for an unknown peer.
bool needs_full_peer_list(const membership_table& table, const router_address& peer);

// Records that the full list was sent. A silent peer may not have received it and still
// needs the list.
void mark_full_peer_list_sent(membership_table& table, const router_address& peer, instant now);

// A random sample of at most `max_count` live peers.
std::vector<router_address> sample_live_peers(const membership_table& table, std::size_t max_count,
                                              std::minstd_rand& random, instant now);

// Removes peers that are not seeds and were last heard from, or discovered if never heard
// from, more than `peer_retention` ago.
void expire_peers(membership_table& table, instant now);

}  // namespace peridot
