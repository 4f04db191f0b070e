// What the platform publishes, in the project's words: routes, pools of targets,
// organisations, limits, targets and evacuated failure domains.
//
// A `fleet_config` is immutable once made and shared by the calls that arrived
// under it. The table of targets changes with each report of the platform:
//
//   std::shared_ptr<const fleet_config> config = finish_config(std::move(draft));
//   const route* found = find_route(*config, "app.example", "/chat/1");
//   const organisation* caller = find_organisation(*config, key);
//
// Thread safety: a finished configuration may be read from any thread; the table
// of targets belongs to one loop.
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

namespace peridot {

// What may be repeated.
enum class call_kind { idempotent, non_idempotent, streaming };

// A part of a route's calls.
struct weighted_pool {
  pool_name pool;
  double weight = 1;
};

struct route {
  route_name name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  call_kind kind = call_kind::non_idempotent;
  milliseconds timeout{30'000};           // longest time a caller is kept waiting
  milliseconds latency_objective{1'000};  // answers within it earn full credit
  milliseconds max_event_gap{0};          // longest pause between events; 0: none stated
  std::vector<weighted_pool> pools;       // at least one
  int max_attempts = 1;                   // targets that one call may be sent to
  bool is_public = false;                 // needs no key
  bool carries_prompt = false;
  bool resumable = false;  // a stream may go on at another target
};

// True if a call of the route may run more than once.
bool is_retryable(const route& call_route);

struct pool {
  pool_name name;
  int max_connections = 64;  // of one target, from all callers together
  milliseconds cold_time{0};
  double cold_rate = 0;      // calls a second that a cold target bears; 0: no bound
  bool has_engines = false;  // its targets read prompts
  int batch_slots = 0;       // of an engine: requests at once
  double kv_capacity_tokens = 0;
  int tokens_per_event = 1;                   // of its streams
  milliseconds min_latency_objective{1'000};  // of the routes with prompts; by finish_config()
};

struct organisation {
  organisation_name name;
  std::vector<std::string> keys;
};

// What a caller may send.
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
  double tokens_per_second = 0;  // all engines together; 0: not stated

  // Built by finish_config().
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;  // longest first
  std::unordered_map<std::string, std::size_t> organisation_by_key;
};

std::shared_ptr<const fleet_config> finish_config(fleet_config draft);

// The route of this host with the longest prefix that begins the path, or null.
const route* find_route(const fleet_config& config, std::string_view host, std::string_view path);

// Null if no organisation holds the key.
const organisation* find_organisation(const fleet_config& config, std::string_view key);

const pool* find_pool(const fleet_config& config, const pool_name& name);

// One target as the platform describes it.
struct target_entry {
  target_name name;
  pool_name pool;
  std::string address;  // "10.0.0.9:8000"
  domain_name domain;
  int slots = 1;
  bool draining = false;
  milliseconds cold_remaining{0};
  std::uint64_t sequence = 0;        // grows with each order that this start of the target accepted
  std::int64_t started_unix_ms = 0;  // 0: not stated
  std::uint64_t revision = 0;        // of the store
};

// A target and what binds its use.
struct target_state {
  target_entry entry;
  instant cold_until{};
  bool leaving = false;        // draining, or gone from the store; final for this start
  instant entry_expired_at{};  // its entry vanished while the store was disturbed
  bool entry_expired = false;
};

struct target_table {
  std::map<target_name, target_state> targets;
  std::set<domain_name> evacuated;
  std::uint64_t generation = 1;  // grows with each change that affects the choice of targets
};

// How long a target whose entry vanished during a disturbance of the store is still
// used after the store's return. From the platform: entries are back within about 2 s.
inline constexpr milliseconds expiry_grace{2'200};

// The same, counted from the removal: one that was seen well after the store's return
// did not lapse while it was away. Half the platform's bound for leaving targets.
inline constexpr milliseconds removal_grace{1'000};

// Takes over an entry. A target that starts again under its name is cold for its
// pool's whole cold time, and no longer leaving.
void on_target_entry(target_table& table, const fleet_config* config, const target_entry& entry,
                     instant now);

// The entry vanished. `store_disturbed`: it may have lapsed because the store was
// away, so that the target is used until lapse_grace after `store_back`.
void on_target_removed(target_table& table, const target_name& name, bool store_unavailable,
                       instant now);

// Drops lapsed targets lapse_grace after the store's return, and no sooner than
// removal_grace after their removal. `disturbed`: the store is still away.
void remove_expired_targets(target_table& table, bool store_unavailable, instant store_recovered_at,
                            instant now);

// An evacuation ended: the failure domain's targets may be cold.
void on_evacuation(target_table& table, const domain_name& domain, bool evacuated,
                   const fleet_config* config, instant now);

// True if new calls may be sent to the target.
bool is_usable(const target_table& table, const target_state& target);

// A target may have restarted without notice: it is cold from now on.
void mark_cold(target_state& target, milliseconds cold_time, instant now);

}  // namespace peridot
