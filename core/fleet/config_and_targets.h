// The configuration and the targets that the platform publishes: routes, pools of targets,
// organisations, limits, targets and evacuated failure domains.
//
// A `fleet_config` is immutable after finish_config(). Each call holds the configuration
// under which it arrived. The table of targets changes with each update from the platform:
//
//   std::shared_ptr<const fleet_config> config = finish_config(std::move(draft));
//   const route* found = find_route(*config, "app.example", "/chat/1");
//   const organisation* caller = find_organisation(*config, api_key);
//
// Thread safety: a finished configuration may be read from any thread; the table of targets
// has none and is for use from one event loop.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/base/types.h"
#include "core/fleet/entry_history.h"
#include "core/fleet/removal_times.h"
#include "core/fleet/target_entry.h"

namespace peridot {

// Decides whether a call may be retried; see is_retryable().
enum class call_kind { idempotent, non_idempotent, streaming };

// A pool that receives a part of a route's calls, in proportion to its weight.
struct weighted_pool {
  pool_name pool;
  double weight = 1;
};

struct route {
  route_name name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  call_kind kind = call_kind::non_idempotent;
  milliseconds timeout{30'000};  // maximum time that a caller waits
  // Goal for the time from a call's arrival to the start of its response. Responses within
  // it get full credit.
  milliseconds latency_objective{1'000};
  milliseconds max_event_gap{0};     // goal for the pause between events of a stream; 0: not set
  std::vector<weighted_pool> pools;  // at least one
  int max_attempts = 1;              // of one call, the first included
  bool is_public = false;            // no API key required
  bool carries_prompt = false;       // its requests contain a prompt
  bool resumable = false;            // a stream may be resumed at another target
};

// True if a call of the route may run more than once: it is idempotent or a resumable
// stream.
bool is_retryable(const route& call_route);

struct pool {
  pool_name name;
  int max_connections = 64;       // to one target, from all routers together
  milliseconds cold_time{0};      // how long a target is cold, e.g. after a restart
  double cold_rate = 0;           // calls per second that a cold target can handle; 0: unlimited
  bool has_engines = false;       // its targets are engines, which prefill prompts
  int batch_slots = 0;            // concurrent requests of one engine
  double kv_capacity_tokens = 0;  // KV cache of one engine
  int tokens_per_event = 1;       // generated tokens in one event of a stream
  // Its engines can fetch parts of prompts from each other if both are above 0.
  double kv_bytes_per_token = 0;
  double link_mbits_per_second = 0;  // of each engine
  // Smallest latency_objective of the routes with prompts that use the pool; set by
  // finish_config().
  milliseconds min_latency_objective{1'000};
};

struct organisation {
  organisation_name name;
  std::vector<std::string> keys;
};

// Limits on the requests of callers.
struct caller_limits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 4 << 20;
  milliseconds header_timeout{3'000};
  milliseconds idle_timeout{15'000};
};

struct fleet_config {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::map<pool_name, pool> pools;
  std::vector<organisation> organisations;
  caller_limits limits;
  double tokens_per_second = 0;  // capacity of all engines together; 0: not set

  // Lookup tables, built by finish_config(). Values are positions in `routes` and
  // `organisations`.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;  // longest prefix first
  std::unordered_map<std::string, std::size_t> organisation_by_api_key;
};

// Builds the lookup tables and sets each pool's min_latency_objective, after which the
// configuration is immutable.
std::shared_ptr<const fleet_config> finish_config(fleet_config draft);

// The route of this host with the longest path prefix that matches, or null.
const route* find_route(const fleet_config& config, std::string_view host, std::string_view path);

// Time to transfer the KV cache of one token between two engines of a failure domain, in
// milliseconds; 0 if the pool's engines cannot.
double kv_transfer_ms_per_token(const pool& target_pool);

// Null if no organisation holds the API key.
const organisation* find_organisation(const fleet_config& config, std::string_view api_key);

// Null if there is no pool of this name.
const pool* find_pool(const fleet_config& config, const pool_name& name);

// A target and the state that decides whether and how it may be used.
struct target_state {
  target_entry entry;             // the one that counts; see core/fleet/entry_history.h
  instant entry_seen_at{};        // when it was first seen
  instant incarnation_seen_at{};  // when an entry of its incarnation first counted
  bool is_disputed = false;       // a newer entry is held back: the target may have started again
  instant cold_until{};
  bool leaving = false;        // by its entry or its responses; reset only by a restart
  instant entry_expired_at{};  // when the entry disappeared; see on_target_removed()
  bool entry_expired = false;
  bool expired_in_outage = false;  // valid if entry_expired; else after a short failure
  instant build_doubted_at{};      // see doubt_build()
};

struct target_table {
  std::map<target_name, target_state> targets;
  std::set<failure_domain_name> evacuated;
  // Of targets whose entry has changed lately, those that are gone included.
  std::map<target_name, entry_history> histories;
  ended_table ended;
  entry_times times;
  instant histories_checked_at{};
  // Incremented when a target is added, removed, loses its entry, restarts, starts to leave or
  // becomes disputed or undisputed, and by each call of on_evacuation().
  std::uint64_t generation = 1;
  // Minimum time from the disappearance of an entry that may have expired to the removal of
  // its target. After an outage it takes effect when the entry disappears more than expiry_grace -
  // removal_grace after the recovery: such an entry did not expire during the outage.
  milliseconds removal_grace = removal_times{}.removal_grace;
};

// How long the build of a target is doubted that could not be reached: if it has started again, its
// new entry arrives meanwhile, unless the store is unavailable.
inline constexpr milliseconds build_doubt_time{2'000};

// How often check_entry_histories() looks at all histories.
inline constexpr milliseconds history_check_interval{250};

// Applies an entry, unless an entry or a removal of its revision is known; the entry that counts is
// decided by core/fleet/entry_history.h. A target that has restarted under the same name is cold
// for at least the cold time of its pool, if the pool is known, and is leaving only if the new
// entry is draining.
void on_target_entry(target_table& table, const fleet_config* config, const target_entry& entry,
                     instant now);

// Handles the removal of an entry at `revision`. If it may have expired, in a short failure or an
// outage that this router has seen, the target stays in use until remove_expired_targets() removes
// it, unless it is leaving.
void on_target_removed(target_table& table, const fleet_config* config, const target_name& name,
                       removal_cause cause, const store_revision& revision, instant now);

// True if the store's newest entry under this name describes a target, in use or held back.
bool names_target(const target_table& table, const target_name& name);

// True if a version of the target's entry is known, so that an older one may tell more of it.
bool has_versions(const target_table& table, const target_name& name);

// To be called when another router reports that the incarnation of the target's entry has ended.
// Returns true if the entry is held back from now on.
bool review_entry(target_table& table, const fleet_config* config, const target_name& name,
                  instant now);

// Lets entries that were held back count once they have stood for long enough, and drops histories
// that are needed no more. Returns the targets whose entry counts now. To be called with each tick.
std::vector<target_name> check_entry_histories(target_table& table, const fleet_config* config,
                                               instant now);

// Removes targets whose entry may have expired, no sooner than removal_grace after the entry
// disappeared; if that was in an outage, also no sooner than expiry_grace after the store's
// recovery, and not while `store_unavailable`: it has not recovered yet.
void remove_expired_targets(target_table& table, bool store_unavailable, instant store_recovered_at,
                            instant now);

// Starts or ends the evacuation of a failure domain. When it ends, the domain's targets may
// be cold and are marked so for the cold time of their pool.
void on_evacuation(target_table& table, const failure_domain_name& domain, bool evacuated,
                   const fleet_config* config, instant now);

// Marks the target as leaving.
void mark_leaving(target_table& table, target_state& target);

// True if new calls may be sent to the target: it is not leaving, and its failure domain is
// not evacuated.
bool is_usable(const target_table& table, const target_state& target);

// True if the target is cold, or may be: it may have started again.
bool is_cold(const target_state& target, instant now);

// To be called when the target could not be reached: it may start again, under its name, with
// another build. An entry of another start ends the doubt; one of the same start may have been
// written before.
void doubt_build(target_state& target, instant now);

// True if the target is known to run the build.
bool runs_build(const target_state& target, build_id build, bool store_unavailable, instant now);

// Marks the target as cold for `cold_time` from now, for example because it may have
// restarted without a new entry. A longer cold period is not shortened.
void mark_cold(target_state& target, milliseconds cold_time, instant now);

}  // namespace peridot
