// The owner's side: which queued request gets the next slot of a target.
//
// The router that holds a shard's lease schedules its targets. Entry routers
// tell it what they have queued (`demand`); it answers with grants, each the
// right to send one request to one target; the entry router reports the end of
// each (`finish`) with what it cost.
//
//   add_shard(table, shard, fencing, now, context)   when the lease was acquired
//   on_demand, on_finish, on_load_report, on_service_totals    as they arrive
//   grant_slots(table, leases, context, now, out)    after these, and each tick
//   send_totals(table, other_owners, context, now, out)        each tick
//   remove_shard(table, shard)                       when the lease was lost
//
// Fair shares. Each organisation has a tag per pool: service charged, divided by
// its weight. The backlogged organisation with the lowest tag is next. Cost is
// known only at the end: an estimate is charged at the grant and corrected at
// the finish. An organisation that becomes backlogged starts at the lowest tag
// among the backlogged ones, so idle time earns no credit. Owners of one pool
// tell each other what they charged (`service_totals`) each `totals_interval`,
// and add what they hear to their own tags. The bound on the gap,
// fairness_gap_bound(), is derived in docs/design/fairness.md.
//
// Classes. The tag decides between organisations; within one the most urgent
// class goes first. Reserved slots are for interactive calls, of organisations
// whose lead is below `reserved_slot_lead`. A call that must run alone gets a
// target that was emptied for it, one at a time in each pool.
//
// Targets. In-flight work never exceeds the limit, which starts at `cold_limit`
// when the target starts, and grows by one with every `ramp_calls` completed
// calls up to `warm_limit`. A new boot id, a lost connection or a refused one
// makes it cold at once. A new owner does not know what earlier owners left
// running: it uses no target before a load report that was sampled after its
// tenure began, and counts what that report shows. A grant whose end nobody
// reports stays counted until load reports show that it does not run.
// docs/design/targets.md gives the argument.
//
// Cost: a grant or a finish takes O(log(backlogged organisations)); a call of
// grant_slots() besides O(targets and entry routers of the pools held). State is
// bounded by the published organisations, and idle ones are forgotten.
//
// Thread safety: none; one loop owns the table.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/peer_messages.h"
#include "core/published_config.h"
#include "core/types.h"

namespace peridot {

// Which policy picks the next organisation. The others are baselines.
enum class share_policy {
  fleet_fair,  // tags that count what other owners charged
  local_fair,  // tags of this owner alone
  first_come,  // oldest demand first
};

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
  shard_key shard;
  target_name target;
  organisation_name organisation;
  router_identity entry;
  traffic_class priority = traffic_class::standard;
  bool solo = false;
  service_units estimated = 0;  // as charged
  instant granted_at{};
  instant use_before{};          // an unused grant is void from here on
  std::uint64_t void_at_us = 0;  // the same on the entry router's clock
  instant last_named{};          // by a running report
  bool entry_gone = false;       // no finish will come; load reports must show its end
};

// A load report that waits until the ends of calls that it no longer counts must
// have been heard of.
struct unsettled_report {
  std::uint32_t load = 0;
  instant sampled_at{};
};

// One target of a held shard.
struct target_row {
  target_name name;
  target_config settings;  // as published
  bool withdrawn = false;  // as published and listed
  bool configured = true;  // still published, and in this shard
  std::string boot_id;     // empty until one was seen
  std::vector<std::string> past_boot_ids;
  std::uint64_t completed = 0;      // calls since it started, as far as known; a lower bound
  std::uint64_t finished_here = 0;  // calls granted here that ended since it was last cold
  std::uint64_t reported_completed = 0;
  std::set<std::uint64_t> grants;  // own ones outstanding, by id
  std::uint32_t in_flight = 0;     // how many these are
  std::uint32_t interactive_in_flight = 0;
  std::uint32_t foreign_in_flight = 0;  // left running by earlier owners; an upper bound
  bool usable = false;                  // a load report of this tenure was seen
  instant usable_after{};               // reports sampled before this are too old
  instant cold_until{};                 // reports sampled before this do not warm it
  instant blocked_until{};              // after a failed connection
  std::uint32_t refusals = 0;           // in a row
  instant last_report{};                // time of the newest sample
  instant last_arrival{};               // when that report came
  std::optional<unsettled_report> unsettled;
  std::uint32_t settled = 0;         // reports of the present window that were applied
  std::uint32_t most_beyond = 0;     // calls beyond own ones, over the window
  std::uint32_t least_shortage = 0;  // own calls that were not seen, over the window
  std::uint32_t entry_gone = 0;      // own grants whose entry router is gone
  std::map<std::uint64_t, outstanding_grant> reclaimed;  // taken to have ended, by id
  std::uint32_t overrun = 0;                             // own grants older than any call may run
  bool recounting = false;                               // gets no new work meanwhile
  instant recount_from{};                                // samples from here on belong to it
  std::uint32_t recount_windows = 0;
  instant next_recount{};
  bool solo_running = false;
  bool solo_wanted = false;  // being emptied for a solo request
};

struct shard_row {
  instant tenure_began{};
  std::uint64_t fencing = 0;
  std::map<target_name, target_row> targets;
};

// Calls that one demand added to a line.
struct arrival {
  instant at{};
  std::uint32_t calls = 0;
};

// What one entry router has queued of one organisation and class. `plain` and
// `solo` count down as grants go out.
struct queued_line {
  std::uint32_t plain = 0;
  std::uint32_t solo = 0;  // must run alone on a target
  service_units estimated = 0;
  std::deque<arrival> arrivals;  // oldest first; kept for share_policy::first_come only
};

// What an organisation has queued in one class, by entry router.
struct class_backlog {
  std::uint32_t plain = 0;
  std::uint32_t solo = 0;
  std::map<router_address, queued_line> lines;
  router_address last_granted;  // entry routers take turns
};

struct line_key {
  organisation_name organisation;
  traffic_class priority = traffic_class::standard;
};

// Calls of a demand that are not granted yet, since they may be the ones that
// grants on their way have served. They count again one round trip after these,
// unless a newer demand has come.
struct withheld_calls {
  line_key key;
  std::uint32_t plain = 0;
  std::uint32_t solo = 0;
  service_units estimated = 0;
  instant until{};
};

// The newest demand of one entry router for one pool. Its lines are kept with
// the accounts of their organisations.
struct entry_demand {
  router_identity entry;
  std::uint64_t sent_at_us = 0;  // entry router's clock, to be echoed
  instant received_at{};         // this router's clock
  std::vector<line_key> lines;
  std::vector<withheld_calls> withheld;
};

inline constexpr std::size_t traffic_classes = 3;

// One organisation in one pool.
struct account {
  double tag = 0;      // charged service / weight, over all owners heard
  double weight = 1;   // as published
  double charged = 0;  // by this router, grows only; what totals carry
  double refunds = 0;  // of that, taken back by corrections; grows only, in totals too
  double told = 0;     // of `charged`, already sent
  instant opened{};
  instant last_active{};        // last demand or charge
  instant keeps_place_until{};  // after its demand went stale
  bool backlogged = false;
  std::uint32_t in_flight = 0;  // own grants outstanding
  std::array<class_backlog, traffic_classes> classes;
  double index_key = 0;  // under which the pool's indexes hold it
  bool in_plain = false;
  bool in_interactive = false;
  bool in_solo = false;
};

// Backlogged organisations in the order in which the policy serves them.
using backlog_index = std::set<std::pair<double, organisation_name>>;

// What was heard of one account of another owner.
struct heard_account {
  std::uint64_t opened_us = 0;  // sender's clock
  double total = 0;
  double refunded = 0;
  instant changed{};
};

// One other owner, by address. Accounts that it opened after `counts_from_us`
// are counted from zero, older ones from the first total that was heard.
struct heard_owner {
  std::uint64_t incarnation = 0;
  std::uint64_t counts_from_us = 0;  // sender's clock
  std::map<organisation_name, heard_account> accounts;
};

struct pool_row {
  std::map<organisation_name, account> accounts;
  std::map<router_address, entry_demand> demands;
  std::map<router_address, heard_owner> heard_totals;
  std::set<router_address> told_owners;  // those that were sent every account once
  std::set<organisation_name> untold;    // accounts whose `charged` has grown since
  std::uint64_t totals_sent = 0;         // rounds
  backlog_index plain;                   // organisations with any call that may share a target
  backlog_index interactive;             // of these, with interactive ones
  backlog_index solo;                    // with calls that must run alone
  double virtual_time = 0;               // highest tag that was ever served next; never shrinks
  instant next_totals{};
  instant next_prune{};
};

struct scheduler_table {
  std::map<shard_key, shard_row> shards;  // held ones only
  std::map<pool_name, pool_row> pools;
  std::map<std::uint64_t, outstanding_grant> grants;  // ids grow with time
  std::uint64_t next_grant = 1;

  instant latest{};  // newest `now` of any call
  share_policy policy = share_policy::fleet_fair;

  // Copies of what was published, renewed when its version changes.
  std::uint64_t config_version = 0;
  std::uint64_t config_digest = 0;
  std::uint64_t list_version = 0;
  bool has_list = false;
  std::map<pool_name, std::chrono::milliseconds> longest_run;  // run timeouts
  std::unordered_map<organisation_name, double> weights;
  std::map<pool_name, std::vector<std::uint32_t>> shards_with_targets;  // indices, sorted
};

// Most that one call is charged, whatever is reported of it.
inline constexpr service_units max_call_cost = 1'000'000;

// Least that one call is charged, so that every grant moves its organisation.
inline constexpr service_units min_call_cost = 1;

// Lead in tag beyond which an organisation gets no reserved slots, only its
// share of the others: otherwise the reserved slots alone could take it ever
// further ahead of organisations that have no interactive calls.
inline constexpr double reserved_slot_lead = 20'000;

// Time for a message between two routers, or between a router and a target.
inline constexpr std::chrono::milliseconds network_slack{100};

// Grants younger than this may be unknown to the entry router when it sent a
// demand that arrives now: about one round trip.
inline constexpr std::chrono::milliseconds grant_round_trip{5};

// An organisation whose demand was away for no longer keeps its place.
inline constexpr std::chrono::milliseconds backlog_grace{200};

// After a lost or refused connection, reports sampled for this long do not warm
// the target.
inline constexpr std::chrono::milliseconds cold_distrust{1'000};

// Pause after a refused connection; doubles with each further one.
inline constexpr std::chrono::milliseconds refused_backoff{250};
inline constexpr std::chrono::milliseconds refused_backoff_limit{4'000};

// A grant of a live entry router that is silent for this long after its
// use_before may be taken back when load reports show that it does not run.
inline constexpr std::chrono::milliseconds reclaim_after{2'000};

// Settled reports that make a window: a slot is taken back only if all of them
// show that nothing runs on it.
inline constexpr std::uint32_t report_window = 3;

// Windows after which a recount ends even if the target is still unclear.
inline constexpr std::uint32_t max_recount_windows = 2;

// Least time between two recounts of one target, and before its first one.
inline constexpr std::chrono::milliseconds recount_interval{10'000};
inline constexpr std::chrono::milliseconds first_recount_delay{2'000};

// Accounts idle for this long are forgotten.
inline constexpr std::chrono::minutes account_life{5};

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
// Settles what finishes that were lost left open: frees the slots of grants that the
// entry router does not use, and counts those again that it does use and that were
// taken to have ended. Exact, since the report and the time from which a grant is
// void are both on the entry router's clock. Charges stay at the estimate.
void on_running_report(scheduler_table& table, const router_identity& from,
                       const wire::running_report& message, instant now,
                       const scheduler_context& context);
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

// Lead of the highest tag over the lowest among the organisations that are
// backlogged in the pool, as this owner sees it; 0 if there are fewer than two.
double widest_lead(const scheduler_table& table, const pool_name& pool);

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
  double reserved_lead = 0;  // reserved_slot_lead if the pool has reserved slots
};
double fairness_gap_bound(const gap_inputs& inputs);

}  // namespace peridot
