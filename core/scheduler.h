// The owner's side: which queued request gets the next slot of a target.
//
// The router that holds a shard's lease schedules its targets. Entry routers
// tell it what they have queued (`demand`); it answers with grants, each the
// right to send one request to one target; the entry router reports the end of
// each (`finish`) with what it cost.
//
// Fair shares. Each organisation has a tag per pool: service charged, divided by
// its weight. The backlogged organisation with the lowest tag is next. Cost is
// known only at the end: an estimate is charged at the grant and corrected at
// the finish. An organisation that becomes backlogged starts at the lowest tag
// among the backlogged ones, so idle time earns no credit. Owners of one pool
// tell each other what they charged (`service_totals`) each `totals_interval`,
// and add what they hear to their own tags. The bound on the gap is derived in
// docs/design/fairness.md and checked by fairness_gap_bound().
//
// Targets. In-flight work never exceeds the limit, which starts at `cold_limit`
// when the target starts, and grows by one with every `ramp_calls` completed
// calls up to `warm_limit`. A new boot id, a lost connection or a refused one
// makes it cold at once. A new owner does not know what earlier owners left
// running: it uses no target before a load report that was sampled after its
// tenure began, and counts what that report shows.
//
// Thread safety: none; one loop owns the table.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/peer_messages.h"
#include "core/published_config.h"
#include "core/types.h"

namespace peridot {

// What a target says of itself. `sampled_at` is when the sample was taken, on
// the clock of the router that polled, and never later than that moment.
struct load_report {
  target_name target;
  std::string boot_id;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t completed = 0;  // since this start
  instant sampled_at{};
};

struct outstanding_grant {
  std::uint64_t id = 0;
  target_name target;
  organisation_name organisation;
  router_identity entry;
  traffic_class priority = traffic_class::standard;
  bool solo = false;
  service_units estimated = 0;
  instant granted_at{};
  instant use_before{};  // an unused grant is void from here on
};

// One target of a held shard.
struct target_row {
  target_name name;
  std::string boot_id;
  std::uint64_t completed = 0;  // calls since it started, as far as known
  std::uint32_t in_flight = 0;  // own grants outstanding
  std::uint32_t interactive_in_flight = 0;
  std::uint32_t foreign_in_flight = 0;  // left running by earlier owners
  bool usable = false;                  // a load report of this tenure was seen
  instant usable_after{};               // reports sampled before this are too old
  instant blocked_until{};              // after a failed connection
  instant last_report{};
  bool solo_running = false;
  bool solo_wanted = false;  // being emptied for a solo request
};

struct shard_row {
  instant tenure_began{};
  std::uint64_t fencing = 0;
  std::map<target_name, target_row> targets;
};

// Demand of one entry router for one pool.
struct entry_demand {
  router_identity entry;
  instant sent_at{};                     // entry router's clock, to be echoed
  instant received_at{};                 // this router's clock
  std::vector<wire::demand_line> lines;  // `queued` counts down as grants go out
};

// One organisation in one pool.
struct account {
  double tag = 0;      // charged service / weight, over all owners heard
  double charged = 0;  // by this router, grows only; what totals carry
  double told = 0;     // of `charged`, already sent
  instant last_backlogged{};
  bool backlogged = false;
};

struct pool_row {
  std::map<organisation_name, account> accounts;
  std::map<router_address, entry_demand> demands;
  std::map<router_identity, std::map<organisation_name, double>> heard_totals;
  instant next_totals{};
};

struct scheduler_table {
  std::map<shard_key, shard_row> shards;  // held ones only
  std::map<pool_name, pool_row> pools;
  std::map<std::uint64_t, outstanding_grant> grants;
  std::uint64_t next_grant = 1;
};

// Which policy picks the next organisation. The others are baselines.
enum class share_policy {
  fleet_fair,  // tags that count what other owners charged
  local_fair,  // tags of this owner alone
  first_come,  // oldest demand first
};

struct scheduler_context {
  const published_config& config;
  const instance_list* list;  // may be null
  share_policy policy = share_policy::fleet_fair;
};

// A shard was acquired or lost. Losing drops its grants: their holders can no
// longer use them, and what already runs is counted by the next owner.
void add_shard(scheduler_table& table, const shard_key& shard, std::uint64_t fencing, instant now,
               const scheduler_context& context);
void remove_shard(scheduler_table& table, const shard_key& shard);

void on_demand(scheduler_table& table, const router_identity& from, const wire::demand& message,
               instant now, const scheduler_context& context);
void on_finish(scheduler_table& table, const router_identity& from, const wire::finish& message,
               instant now, const scheduler_context& context);
void on_load_report(scheduler_table& table, const load_report& report, instant now,
                    const scheduler_context& context);
void on_service_totals(scheduler_table& table, const router_identity& from,
                       const wire::service_totals& message, const scheduler_context& context);

// A peer is gone or restarted: its demand and its unused grants are void. What
// it had running on targets stays counted until load reports show it ended.
void on_peer_gone(scheduler_table& table, const router_address& peer, instant now);

// Grants every slot that is free and may be used. `lease_ends` is when this
// router's lease on the shard ends; no grant is valid beyond it.
struct shard_lease {
  shard_key shard;
  instant ends{};
};
void grant_slots(scheduler_table& table, const std::vector<shard_lease>& leases,
                 const scheduler_context& context, instant now, outbox& out);

// Sends totals that are due to the other owners of each pool.
void send_totals(scheduler_table& table, const std::vector<router_address>& other_owners,
                 const scheduler_context& context, instant now, outbox& out);

// Calls the target bears now: a pure function of completed calls since its start.
std::uint32_t current_limit(const target_config& target, std::uint64_t completed);

// Largest difference of charged service / weight that two organisations, both
// backlogged over any window, can see: docs/design/fairness.md derives it.
struct gap_inputs {
  service_units cost_ceiling = 0;  // most that one call can cost
  std::uint32_t slots = 0;         // of the pool, over all targets
  std::uint32_t owners = 1;
  double service_rate = 0;                // units a second the pool serves at most
  std::chrono::milliseconds exchange{0};  // totals interval and delivery
  double lowest_weight = 1;
};
double fairness_gap_bound(const gap_inputs& inputs);

}  // namespace peridot
