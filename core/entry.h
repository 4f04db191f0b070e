// The entry router's side: requests from their arrival to their last answer.
//
// A request that a caller brought is queued here, in the router where it
// entered, one first-in first-out queue per pool, organisation and class. The
// owners of the pool's shards are told what is queued (`demand`, complete each
// time) and answer with grants; a grant starts the head of a queue on one
// target. The table never sends to a target or a caller: it returns decisions.
//
//   submit_result r = submit(table, request, context, now);
//   if (!r.accepted) answer the caller with r.why, outcome not_run, r.retry_after
//   entry_tick(table, context, now, out)      -> requests that ran out of time
//   on_grant(table, from, grant, ...)         -> the request to send, if any
//   on_target_done(table, id, result, ...)    -> final answer, or queued again
//   cancel(table, id, ...)                    -> the caller left
//
// What always holds:
//   - A request of a profile that may not be repeated is dispatched at most once
//     by this table; after a lost answer its outcome is `unknown`. It is queued
//     again only if the result proves that nothing ran.
//   - A repeatable request is queued again only while no byte of an answer has
//     reached its caller, its retries and its organisation's retry budget last,
//     and it has not crashed targets too often.
//   - `not_run` is answered only for requests that were never dispatched, or
//     whose every dispatch was refused provably before it ran.
//   - A grant is used only while it is valid: valid_for counts from the sending
//     time of the demand that it echoes, on this router's own clock, so that a
//     grant which was delayed anywhere is void. It is returned otherwise.
//   - A grant starts one request, also if its message arrives twice.
//
// Requests that crash targets. A request whose target is lost while it runs
// becomes a suspect by fingerprint (organisation and body). A suspect with one
// crash runs alone on a target; with `max_crashes` it is refused for
// `suspect_request_life`. Routers share what they saw by heartbeat; crashes seen
// by different routers add up. At most `max_suspects_per_organisation` are kept
// for one organisation, oldest dropped first, so a flood harms nobody else.
//
// Budgets: `max_queued` requests in all, `organisation_config::max_queued` each;
// beyond them a refusal says when to come back. As the router's queue fills, the
// limit of each organisation shrinks with the room that is left, so that one
// organisation cannot take all of it. A retry is queued without these limits:
// it held a slot of a target before, so their number is bounded by the slots.
//
// Thread safety: none; one loop owns the table.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/membership.h"
#include "core/peer_messages.h"
#include "core/published_config.h"
#include "core/types.h"

namespace peridot {

inline constexpr std::uint32_t max_crashes = 2;
inline constexpr std::size_t max_suspects_per_organisation = 64;
inline constexpr std::size_t max_suspects = 4096;
inline constexpr std::size_t max_suspects_per_heartbeat = 256;
inline constexpr std::chrono::hours longest_suspect_life{24};  // that a peer is believed
inline constexpr double retry_budget_share = 0.1;  // retries per first try, per organisation
inline constexpr double retry_budget_burst = 10;   // retries
inline constexpr std::size_t max_remembered_grants = 16'384;
inline constexpr std::size_t max_cost_estimates = 4096;
inline constexpr std::size_t max_queue_rates = 4096;

struct new_request {
  organisation_name organisation;
  profile_name profile;
  std::uint64_t fingerprint = 0;                            // stable_hash of organisation and body
  std::optional<std::chrono::milliseconds> queue_deadline;  // caller's own, if shorter
};

// Where a running request runs.
struct placement {
  std::uint64_t grant_id = 0;
  shard_key shard;
  router_identity owner;
  target_name target;
  std::uint64_t fencing = 0;
  service_units estimated = 0;
};

struct request_row {
  std::uint64_t id = 0;
  organisation_name organisation;
  profile_name profile;
  pool_name pool;
  traffic_class priority = traffic_class::standard;
  std::uint64_t fingerprint = 0;
  bool repeatable = true;
  bool solo = false;             // must run alone on a target
  std::uint32_t dispatches = 0;  // that reached, or may have reached, a target
  std::uint32_t retries = 0;
  std::uint32_t max_retries = 0;
  std::chrono::milliseconds longest_wait{0};  // for a target, each time it is queued
  std::chrono::milliseconds run_timeout{0};
  instant arrived{};
  instant queued{};
  instant start_before{};
  refusal expires_as = refusal::deadline;   // why it is refused at start_before
  outcome earlier_runs = outcome::not_run;  // what earlier dispatches came to
  bool earned_retry = false;                // its first try was added to the retry budget
  std::uint64_t run = 0;                    // number of the current run; table-wide
  std::optional<placement> running;
  instant started{};
  service_units estimated = 0;
};

struct queue_key {
  pool_name pool;
  organisation_name organisation;
  traffic_class priority = traffic_class::standard;
  bool solo = false;  // suspects queue apart, so that they block nobody
  friend auto operator<=>(const queue_key&, const queue_key&) = default;
  friend bool operator==(const queue_key&, const queue_key&) = default;
};

// Speed of one queue: grants and the time during which it had requests waiting,
// both decayed by that same time. Their quotient is the rate while backlogged.
struct queue_rate {
  double grants = 0;
  double backlogged_seconds = 0;
  instant updated{};
};

struct cost_key {
  organisation_name organisation;
  profile_name profile;
  friend auto operator<=>(const cost_key&, const cost_key&) = default;
  friend bool operator==(const cost_key&, const cost_key&) = default;
};

struct cost_estimate {
  service_units average = 0;
  instant updated{};
};

// Crashes that one router saw. Each router's word lives as long as that router
// says; it is never passed on by others, so that no echo keeps it alive.
struct crash_count {
  std::uint32_t crashes = 0;
  instant expires{};
};

// One fingerprint. `expires` is the latest of its counts.
struct suspect_row {
  std::map<router_address, crash_count> seen_by;
  instant expires{};
};

struct suspect_deadline {
  instant at{};
  organisation_name organisation;
  std::uint64_t fingerprint = 0;
  friend auto operator<=>(const suspect_deadline&, const suspect_deadline&) = default;
  friend bool operator==(const suspect_deadline&, const suspect_deadline&) = default;
};

// Keyed by organisation first: equal fingerprints of two organisations are two
// suspects. `deadlines` has one entry for each row, at its `expires`.
struct suspect_table {
  std::map<organisation_name, std::map<std::uint64_t, suspect_row>> rows;
  std::set<suspect_deadline> deadlines;
};

struct organisation_row {
  std::size_t queued = 0;
  double retry_tokens = retry_budget_burst;
};

// What is known of a pool: when its owners must be told, and how fast it serves.
struct pool_demand {
  bool changed = false;
  instant last_sent{};
  std::vector<router_address> told;  // owners that were sent a demand that was not empty
};

// A grant, unique in the fleet.
struct grant_key {
  router_identity owner;
  std::uint64_t id = 0;
  friend auto operator<=>(const grant_key&, const grant_key&) = default;
  friend bool operator==(const grant_key&, const grant_key&) = default;
};

// Grants that were seen and could still be valid if their message came again.
struct grant_expiry {
  grant_key grant;
  instant expires{};
};

struct grant_memory {
  std::set<grant_key> seen;
  std::deque<grant_expiry> by_arrival;
};

struct queue_deadline {
  instant at{};
  std::uint64_t request = 0;
  friend auto operator<=>(const queue_deadline&, const queue_deadline&) = default;
  friend bool operator==(const queue_deadline&, const queue_deadline&) = default;
};

struct entry_table {
  std::uint64_t next_id = 1;
  std::uint64_t next_run = 1;
  std::size_t max_queued = 4096;
  std::size_t queued = 0;
  bool stopping = false;  // submit refuses with refusal::stopping
  std::map<std::uint64_t, request_row> requests;
  std::map<queue_key, std::deque<std::uint64_t>> queues;  // none is empty
  std::set<queue_deadline> deadlines;                     // of each queued request
  std::map<grant_key, std::uint64_t> running;             // request that uses the grant
  grant_memory grants;
  std::map<queue_key, queue_rate> rates;
  std::map<organisation_name, organisation_row> organisations;
  std::map<cost_key, cost_estimate> costs;
  suspect_table suspects;
  std::map<pool_name, pool_demand> demands;  // pools with something queued, or with owners to tell
  std::optional<instant> first_demand;       // sent by this table
  instant next_running_report{};
};

struct entry_context {
  const published_config& config;
  const membership_table& members;
  const std::vector<shard_key>& own_shards;  // held by this router
  const instance_list* list = nullptr;       // null before one has been received
};

struct submit_result {
  bool accepted = false;
  std::uint64_t id = 0;
  refusal why = refusal::none;
  std::chrono::milliseconds retry_after{0};  // meaningful for a refusal
};

// Queues the request, or refuses it at once: unknown organisation or profile,
// queue full, known crasher, or a wait that is expected to outlast its deadline.
submit_result submit(entry_table& table, const new_request& request, const entry_context& context,
                     instant now);

// A queued request to be sent to a target now. The caller of on_grant() must
// send within the same tick and report the end by on_target_done().
struct dispatch {
  std::uint64_t request = 0;
  placement where;
  instant run_until{};    // run_timeout of the profile
  std::uint64_t run = 0;  // to be repeated in the target_result
};

// Uses the grant for the head of its queue, or returns it through `out`.
std::optional<dispatch> on_grant(entry_table& table, const router_identity& from,
                                 const wire::grant& message, const entry_context& context,
                                 instant now, outbox& out);

// How a run on a target ended.
struct target_result {
  wire::finish_result result = wire::finish_ok;
  service_units cost = 0;       // that ran, as far as known
  std::string boot_id;          // of the target, if seen
  bool answer_begun = false;    // a byte of the answer has reached the caller
  refusal why = refusal::none;  // for the caller, if this is final
  std::uint64_t run = 0;        // dispatch::run; 0 stands for the current run
};

// What to do with the request after a run, or when it ran out of time.
struct decision {
  enum class kind { none, answered, queued_again, give_up } what = kind::none;
  std::uint64_t request = 0;
  outcome how = outcome::done;  // for give_up
  refusal why = refusal::none;
  std::chrono::milliseconds retry_after{0};
};

// Reports the end to the owner through `out`, learns cost and suspects. The
// request is removed from the table unless it is queued again. A run that is not
// the current one (a late or doubled report) gives kind::none and changes nothing.
decision on_target_done(entry_table& table, std::uint64_t request, const target_result& result,
                        const entry_context& context, instant now, outbox& out);

// The caller left. A queued request is dropped; a running one is reported as
// cancelled with what ran. Returns its placement if it was running.
std::optional<placement> cancel(entry_table& table, std::uint64_t request, service_units cost,
                                const entry_context& context, instant now, outbox& out);

// Refuses requests whose start_before has passed, sends demands that are due,
// refreshes them each `demand_refresh` while something is queued, and drops old
// suspects. An owner that was told of demand gets an empty one when it ends.
inline constexpr std::chrono::milliseconds demand_refresh{100};
std::vector<decision> entry_tick(entry_table& table, const entry_context& context, instant now,
                                 outbox& out);

// Names the grants in use to each known owner, every `running_report_interval`, so
// that a finish that was lost keeps no slot for long. Called by entry_tick.
inline constexpr std::chrono::milliseconds running_report_interval{1'000};
void send_running_reports(entry_table& table, const entry_context& context, instant now,
                          outbox& out);

// Sends demands for pools that changed. Called after each batch of submits, so
// that a request need not wait for the tick; at most one demand per pool, owner
// and `demand_spacing`.
inline constexpr std::chrono::milliseconds demand_spacing{2};
void send_changed_demands(entry_table& table, const entry_context& context, instant now,
                          outbox& out);

// Suspects to be put into heartbeats (what this router itself saw, the newest
// max_suspects_per_heartbeat), and those heard from a peer.
std::vector<wire::suspect> own_suspects(const entry_table& table, const router_address& self,
                                        instant now);
void on_suspects(entry_table& table, const router_address& from,
                 const google::protobuf::RepeatedPtrField<wire::suspect>& suspects, instant now);

// Empties the queues when this router stops: every queued request that was never
// dispatched gets a true `not_run`, the others what their earlier runs came to.
// Runs that end later may queue requests again: call it until none is running.
std::vector<decision> refuse_queued(entry_table& table, refusal why, instant now);

// Gives up the request if it is queued and the configuration in force has its
// organisation or its profile no more, or has the profile in another pool.
std::optional<decision> refuse_if_unpublished(entry_table& table, std::uint64_t request,
                                              const entry_context& context, instant now);

// The same for all queued requests. To be called for each new configuration.
std::vector<decision> refuse_unpublished(entry_table& table, const entry_context& context,
                                         instant now);

}  // namespace peridot
