// The right to use the targets of a shard, held by at most one router at a time.
//
// A claimant asks the voters of the shard for a lease. It holds the shard while
// `quorum_size(n)` voters have granted a lease that has not expired. Everything
// is kept in memory, and time is each process's own monotonic clock:
//
//   - The claimant counts a grant from the moment it sent the request; the voter
//     counts it from the later moment at which it granted. So the claimant stops
//     first, however slow the network is. `clock_margin` covers drift.
//   - A voter grants a shard to one claimant at a time.
//   - A voter that has just started abstains for a whole lease, since its earlier
//     self may have granted one that it has forgotten.
//   - A voter refuses a claimant whose configuration is older than its own. So
//     once enough voters have a configuration, no router can keep a shard on an
//     older one: a withdrawn target gets no new work after about one lease.
//
// Quorums of two views intersect when q1 + q2 > |V1 u V2|. With
// q = (n + view_slack) / 2 + 1 two holders cannot coexist while the views that
// are in use differ by at most `view_slack` replaced routers.
// docs/design/rights.md gives the argument and the ways weighed.
//
// Holders check `holds()` with the current time before every use, in the same
// tick: a process that slept past its lease finds out before it acts.
//
// Thread safety: none; one loop owns the tables.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/membership.h"
#include "core/peer_messages.h"
#include "core/published_config.h"
#include "core/types.h"

namespace peridot {

// Replaced routers by which two views in use may differ.
inline constexpr std::size_t view_slack = 1;

// For this long after its list has changed, a router needs a quorum of the
// voters before the change as well. So a list that changes in more than
// `view_slack` routers at once, e.g. when a failure domain is taken out, makes no
// second holder if all routers have the new list within this time.
inline constexpr std::chrono::milliseconds view_overlap{4'000};

// Changes within `view_overlap` that are followed; after more, a shard is not
// held until the oldest has passed.
inline constexpr std::size_t max_earlier_views = 4;

// A holder hands a shard over when another live router has been the preferred
// owner for this long. Doubled after each handover that nobody took up.
inline constexpr std::chrono::milliseconds handover_after{2'000};

// Longest lease a voter grants, and most shards it keeps a record of.
inline constexpr std::chrono::milliseconds longest_lease{60'000};
inline constexpr std::size_t max_voted_shards = 4'096;

// Part of a lease that the holder gives up for clock drift: one in this many.
inline constexpr int clock_margin_divisor = 50;

std::size_t quorum_size(std::size_t voters);

// What this router granted to others (and to itself) as a voter. Kept after the
// lease has ended: the number must not be forgotten, and late copies of the last
// holder's messages must be told from new ones.
struct granted_lease {
  router_identity holder;
  instant expires{};
  std::uint64_t newest_sent_at_us = 0;  // holder's clock; older messages are ignored
  std::uint64_t fencing = 0;            // highest number bound here
};

struct voter_table {
  instant started{};  // abstains until started + lease
  std::map<shard_key, granted_lease> granted;
};

// Voters of a shard before the list changed.
struct earlier_voters {
  std::vector<router_address> voters;
  instant until{};  // their quorum is needed until then
};

// What this router holds or claims.
struct claim {
  std::map<router_address, instant> granted_until;  // by voter, on this router's clock
  instant next_request{};
  instant held_since{};    // meaningful while held
  bool was_held = false;   // at the last tick
  bool releasing = false;  // hands the shard over: no new use
  instant release_at{};
  instant backoff_until{};
  std::uint64_t fencing = 0;  // of this tenure; grows over tenures in the fleet

  // The attempt to win, or the tenure.
  bool campaigning = false;
  instant campaign_ends{};  // not won by then: gives up
  instant void_before{};    // replies to requests sent earlier do not count
  instant ends{};           // of the lease, as of the last tick or reply
  std::uint32_t failed_campaigns = 0;
  std::set<router_address> asked;             // may have granted; they get the release
  std::map<router_address, instant> refused;  // in this campaign, and free from when

  // Choices made from the view, redone when the view changes.
  instant added{};  // when the row was made
  std::vector<router_address> voters;
  std::deque<earlier_voters> earlier;    // oldest first
  instant barred_until{};                // too many changes: not held before this
  std::vector<router_address> electors;  // voters and earlier ones, sorted
  std::optional<std::size_t> rank;       // of this router among the live voters
  router_address preferred;              // the first of them
  instant preferred_since{};
  bool owner_known = false;  // a live router says that it holds the shard
  instant unowned_since{};
  router_address handed_to;  // who was to take the shard over
  std::uint32_t failed_handovers = 0;
};

struct claim_table {
  std::map<shard_key, claim> claims;

  // What the choices in the rows were made from.
  std::uint64_t seen_generation = 0;
  std::uint64_t seen_list_version = 0;
  std::uint64_t seen_config_version = 0;
  bool seen_list = false;
  bool seen_leaving = false;
};

// A change of what this router holds. `released` comes when use stops, which is
// before the voters are told.
struct lease_event {
  enum class kind { acquired, lost, released } what = kind::acquired;
  shard_key shard;
};

// Context of a tick; references must outlive the call.
struct lease_context {
  const membership_table& members;
  const instance_list* list;  // may be null
  const fleet_config& fleet;
  std::uint64_t config_version;
  bool stopping;  // this router shuts down: release everything
  // Least fencing number of a new tenure, e.g. seconds of the wall clock. Keeps
  // the numbers growing if all voters have restarted. 0: none.
  std::uint64_t fencing_floor = 0;
};

// Claims shards this router is preferred for and nobody holds, renews what it
// holds, hands over what another live router has been preferred for over
// `handover_after`, and reports changes. A vote of this router for itself needs
// no message. `shards` are all shards of the configuration.
std::vector<lease_event> lease_tick(claim_table& claims, voter_table& votes,
                                    const std::vector<shard_key>& shards,
                                    const lease_context& context, instant now, outbox& out);

// A voter's answer; appended to `out`.
void on_lease_request(voter_table& votes, const lease_context& context, const router_identity& from,
                      const wire::lease_request& message, instant now, outbox& out);

void on_lease_reply(claim_table& claims, const lease_context& context, const router_identity& from,
                    const wire::lease_reply& message, instant now);

// When the lease on the shard ends on this router's clock; the epoch if not held.
instant held_until(const claim_table& claims, const lease_context& context, const shard_key& shard);

// True if the shard may be used at `now`.
bool holds(const claim_table& claims, const lease_context& context, const shard_key& shard,
           instant now);

// Shards held at `now`, sorted.
std::vector<shard_key> held_shards(const claim_table& claims, const lease_context& context,
                                   instant now);

// True while a shard has been given up but its voters have not been told yet. A
// router that shuts down goes on ticking until this is false.
bool release_pending(const claim_table& claims);

}  // namespace peridot
