// Delegates: how a large fleet exchanges reports at a cost per router that does not grow with the
// fleet.
//
// A fleet whose live peers one gossip round reaches exchanges reports directly. In a larger one,
// the routers of each failure domain report to two of them, its delegates, in every round:
//
//   member  --report-->  delegates of its domain
//   delegate  --digest of its domain-->  delegates of the other domains
//   delegate  --digest of the fleet-->  the members that rely on it
//
// A digest holds sums: tokens by organisation and load by target. What a router knows of the
// others is thus at most three rounds old, plus the delays of the network. Digests of the fleet
// also list the live routers, when the list changed and once per member_list_interval.
//
// Each router ranks the live routers of its domain by itself: those with the largest processor
// share first, among them by rendezvous hashing. The first two are its delegates, and it relies on
// the digests of the first. A router whose digests fail to arrive for digest_timeout is avoided for
// avoid_time, and the next one in the ranking takes its place. The second delegate receives the
// same reports as the first, so that it can take over at once. A delegate sends digests to each
// router that relies on it, whatever its own ranking says, so no agreement is needed.
//
// Delegates also read the platform's store for their domain; other routers get the items from them.
// If the store turns a reader away, further routers of the ranking read it, up to
// max_store_readers.
//
// No safety property depends on any of this. A router that hears no delegate acts on its own
// counts, reads the store itself, and asks the seeds and a silent peer in each round.
//
//   exchange_plan plan = plan_exchange(members, now);  // each round, if members.uses_delegates
//   on_digest_received(members, from, of_domain, now);
//   on_member_list(members, from, of_domain, listed, now);
//
// Cost of a round: one pass over the known peers; a member sends two reports, a delegate one digest
// to each member and to two delegates of each other domain.
// Thread safety: none; for use from one event loop.
#pragma once

#include <vector>

#include "core/fleet/membership.h"

namespace peridot {

// Live peers above which a fleet uses delegates, and below which it stops.
inline constexpr std::size_t max_direct_peers = max_peers_per_round;
inline constexpr std::size_t min_delegated_peers = max_peers_per_round - 4;

inline constexpr std::size_t delegates_per_domain = 2;
inline constexpr milliseconds digest_timeout{500};  // two rounds at the default interval
// A router that was silent but did not restart is relied on again after this.
inline constexpr milliseconds avoid_time{2'000};
inline constexpr milliseconds digest_request_ttl{1'000};
inline constexpr milliseconds member_list_interval{1'000};
// A router that was listed is taken for alive until two further lists are overdue.
inline constexpr milliseconds listed_ttl{2'500};
// Without digests for this time, a router acts as if it were cut off: three delegates have failed
// one after the other.
inline constexpr milliseconds cut_off_time{2'000};
// The second delegate of a domain that gets no digests of other domains for this time is not known
// to them as a delegate. It then relies on the first.
inline constexpr milliseconds foreign_digest_timeout{1'000};
// Routers of a domain that may read the store, and of these, how many do while it serves them.
inline constexpr std::size_t max_store_readers = 6;
inline constexpr std::size_t store_readers_per_domain = 2;

// What one router sends in one round.
struct exchange_plan {
  std::vector<router_address> reports_to;     // delegates of the own domain, without self
  std::vector<router_address> subscribers;    // rely on this router for digests of the fleet
  std::vector<router_address> other_domains;  // delegates there; empty unless this router is one
  std::vector<router_address> newcomers;      // get the list of members
  std::vector<router_address> silent;         // of which one may have come back
};

// A live router as a digest lists it.
struct listed_router {
  router_identity identity;
  failure_domain_name domain;
  bool leaving = false;
  bool overloaded = false;
  bool store_unavailable = false;
  int processor_percent = 0;
};

// Decides whether the fleet is large enough for delegates, and chooses this round's receivers.
// Requires current table.counts.
exchange_plan plan_exchange(membership_table& table, std::minstd_rand& random, instant now);

// Switches `table.uses_delegates` by the number of live peers.
void update_exchange_mode(membership_table& table);

// The routers of the domain, self included, that can be delegates, best first.
std::vector<router_address> delegate_ranking(const membership_table& table,
                                             const failure_domain_name& domain, instant now);

// What a peer's report says beyond on_peer_gossip().
struct report_header {
  std::uint32_t round = 0;
  bool wants_digest = false;  // the peer relies on this router
  bool is_direct = false;     // the peer uses no delegates
};

// A peer that uses no delegates while this router does may know a part of the fleet only: it gets
// the list of members after each report.
void on_report_received(membership_table& table, const router_address& from,
                        const report_header& header, instant now);

void on_digest_received(membership_table& table, const router_address& from, bool of_domain,
                        instant now);

// Applies a list of live routers. It is complete for the sender's domain (`of_domain`) or for the
// fleet: a router that is missing in it and has not reported to this one is not alive.
// Returns the number of routers that became alive.
std::size_t on_member_list(membership_table& table, const router_address& from,
                           const failure_domain_name& domain, bool of_domain,
                           const std::vector<listed_router>& listed, instant now);

// The live routers, self not included: those heard directly (`of_domain`), or all.
std::vector<listed_router> member_list(const membership_table& table, bool of_domain, instant now);

// True if this router should call the store: always, unless others of its domain do so for it.
bool reads_store(const membership_table& table, instant now);

// The number of routers in the fleet that read the store, about.
std::size_t expected_store_readers(const membership_table& table);

}  // namespace peridot
