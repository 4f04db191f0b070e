// Which routers run, as one router believes.
//
// Every router sends a heartbeat to its peers each `heartbeat_interval`. A peer
// is alive while its newest heartbeat is younger than `suspect_after`. Peers are
// found in the platform's lagging list, in the seed addresses of the settings,
// and by being heard from. A peer that answers with a new incarnation has
// restarted empty; its earlier self will not be heard again.
//
// The view is a hint for choosing (owners, watchers). Nothing that must hold
// rests on it: rights rest on leases (lease.h).
//
//   membership_table members = make_membership(self, domain, http_address, seeds, now);
//   membership_tick(members, config, list, local, now, out);       // each tick
//   on_heartbeat(members, from, heartbeat, now);                   // each heartbeat
//
// Thread safety: none; one loop owns the table.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/peer_messages.h"
#include "core/published_config.h"
#include "core/types.h"

namespace peridot {

enum class member_state { unknown, alive, leaving, gone };

// One row: a peer, by address.
struct member {
  router_identity identity;  // incarnation 0 until heard from
  domain_name domain;
  std::string http_address;
  member_state state = member_state::unknown;
  instant last_heard{};                 // arrival of the newest heartbeat
  std::uint64_t newest_sent_at_us = 0;  // its clock, echoed back to it
  instant confirmed_until{};            // it heard us this recently, on our clock
  std::uint64_t config_version = 0;
  std::uint64_t config_digest = 0;
  std::uint64_t list_version = 0;
  bool watches_service = false;
  std::vector<shard_key> owned;  // shards it says it holds
  bool listed = false;           // in the newest list
  bool list_leaving = false;     // the list shows it leaving
};

// Up to this many peers all get every heartbeat; see docs/design/membership.md.
inline constexpr std::size_t full_mesh_peers = 24;

// Peers per heartbeat round outside the bounded set of a large fleet.
inline constexpr std::size_t rotating_peers = 4;

struct membership_table {
  router_identity self;
  domain_name domain;
  std::string http_address;
  bool leaving = false;                      // set when this router shuts down
  std::map<router_address, member> members;  // never contains self
  std::vector<router_address> seeds;
  instant next_heartbeat{};
  instant next_scan{};                // no peer can fall silent before this
  std::uint64_t list_version = 0;     // of the list that was taken in last
  bool has_list = false;              // a list was taken in
  std::uint64_t generation = 1;       // grows whenever a choice made from the view may change
  std::uint64_t heartbeat_round = 0;  // rounds sent, turns the rotating peers
};

// What this router tells its peers about itself.
struct local_status {
  std::uint64_t config_version = 0;
  std::uint64_t config_digest = 0;
  std::uint64_t list_version = 0;
  std::vector<shard_key> owned;
  std::vector<wire::suspect> suspects;
  std::vector<shard_key> shards;  // all of the configuration; used above `full_mesh_peers` only
};

membership_table make_membership(const router_identity& self, const domain_name& domain,
                                 const std::string& http_address,
                                 const std::vector<router_address>& seeds, instant now);

// Adds listed peers, marks silent ones gone, forgets peers that are neither
// listed, nor seeds, nor heard from for ten times `suspect_after`, and sends the
// heartbeats that are due. `list` may be null before one has been received.
void membership_tick(membership_table& table, const fleet_config& fleet, const instance_list* list,
                     const local_status& local, instant now, outbox& out);

// Sends heartbeats at once, e.g. after a change that peers must learn.
void send_heartbeats(membership_table& table, const fleet_config& fleet, const local_status& local,
                     instant now, outbox& out);

// Who gets the heartbeat of this round: all peers up to `full_mesh_peers`, else
// co-voters of the shards this router votes for, voters of the shards it holds,
// watchers of its failure domain and `rotating_peers` others. Sorted.
std::vector<router_address> heartbeat_targets(const membership_table& table,
                                              const fleet_config& fleet, const local_status& local);

// What a heartbeat told.
enum class heartbeat_effect { known, first_contact, restarted };
heartbeat_effect on_heartbeat(membership_table& table, const router_identity& from,
                              const wire::heartbeat& message, instant now);

// Members that are alive and not leaving, and self unless leaving. Sorted.
std::vector<router_address> live_routers(const membership_table& table);

// The live router that should own the shard: highest rendezvous score.
// Empty if none is live.
std::optional<router_address> preferred_owner(const membership_table& table,
                                              const shard_key& shard);

// The alive or leaving router that says it holds the shard, self included in
// `own_shards`. If two say so, the one heard from last.
std::optional<router_address> known_owner(const membership_table& table, const shard_key& shard,
                                          const std::vector<shard_key>& own_shards);

// True if this router should watch the configuration service: it is among the
// `watchers_per_domain` live routers of its failure domain with the highest
// score, so that the calls grow with failure domains and not with routers.
inline constexpr std::size_t watchers_per_domain = 2;
bool should_watch_service(const membership_table& table);

// The routers that vote on a shard: of the list's routers that are not leaving
// (and of the seeds while there is no list), the `voters_per_shard` with the
// highest score. Self is included if it is among them. A pure function of the
// list, not of who is alive. Sorted.
std::vector<router_address> voters_of(const membership_table& table, const instance_list* list,
                                      const fleet_config& fleet, const shard_key& shard);

}  // namespace peridot
