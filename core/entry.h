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
//
// Requests that crash targets. A request whose target is lost while it runs
// becomes a suspect by fingerprint (organisation and body). A suspect with one
// crash runs alone on a target; with `max_crashes` it is refused for
// `suspect_request_life`. Routers share what they saw by heartbeat; crashes seen
// by different routers add up. At most `max_suspects_per_organisation` are kept
// for one organisation, oldest dropped first, so a flood harms nobody else.
//
// Budgets: `max_queued` requests in all, `organisation_config::max_queued` each;
// beyond them a refusal says when to come back.
//
// Thread safety: none; one loop owns the table.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
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
inline constexpr double retry_budget_share = 0.1;  // retries per first try, per organisation
inline constexpr double retry_budget_burst = 10;   // retries

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
  instant arrived{};
  instant queued{};
  instant start_before{};
  std::optional<placement> running;
  instant started{};
  service_units estimated = 0;
};

struct queue_key {
  pool_name pool;
  organisation_name organisation;
  traffic_class priority = traffic_class::standard;
  friend auto operator<=>(const queue_key&, const queue_key&) = default;
  friend bool operator==(const queue_key&, const queue_key&) = default;
};

// One fingerprint. `seen_by` holds crashes by the router that saw them.
struct suspect_row {
  organisation_name organisation;
  std::map<router_address, std::uint32_t> seen_by;
  instant expires{};
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

struct entry_table {
  std::uint64_t next_id = 1;
  std::size_t max_queued = 4096;
  std::size_t queued = 0;
  bool stopping = false;  // submit refuses with refusal::stopping
  std::map<std::uint64_t, request_row> requests;
  std::map<queue_key, std::deque<std::uint64_t>> queues;
  std::map<queue_key, double> grants_per_second;  // moving average
  std::map<queue_key, instant> last_grant;
  std::map<organisation_name, organisation_row> organisations;
  std::map<std::pair<organisation_name, profile_name>, service_units> average_cost;
  std::map<std::uint64_t, suspect_row> suspects;
  std::map<pool_name, pool_demand> demands;
};

struct entry_context {
  const published_config& config;
  const membership_table& members;
  const std::vector<shard_key>& own_shards;  // held by this router
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
  instant run_until{};  // run_timeout of the profile
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
// request is removed from the table unless it is queued again. An id that is
// not running (a late or doubled report) gives kind::none and changes nothing.
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

// Sends demands for pools that changed. Called after each batch of submits, so
// that a request need not wait for the tick; at most one demand per pool, owner
// and `demand_spacing`.
inline constexpr std::chrono::milliseconds demand_spacing{2};
void send_changed_demands(entry_table& table, const entry_context& context, instant now,
                          outbox& out);

// Suspects to be put into heartbeats (what this router itself saw), and those
// heard from a peer.
std::vector<wire::suspect> own_suspects(const entry_table& table, const router_address& self,
                                        instant now);
void on_suspects(entry_table& table, const router_address& from,
                 const google::protobuf::RepeatedPtrField<wire::suspect>& suspects, instant now);

// Empties the queues when this router stops: every queued request that was never
// dispatched gets a true `not_run`.
std::vector<decision> refuse_queued(entry_table& table, refusal why, instant now);

}  // namespace peridot
