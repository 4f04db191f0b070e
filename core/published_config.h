// What operators publish, and what the platform lists.
//
// A `published_config` is made only by parse_published_config() in
// config_checker.h, so that a value of this type has been checked. Routers hold
// it by shared pointer and never change it. `version` orders configurations;
// two documents of one version are ordered by `digest`, so that all routers
// choose the same one.
//
//   std::shared_ptr<const published_config> config = ...;
//   const profile_config* profile = find_profile(*config, profile_name{"explain"});
//
// Thread safety: immutable values.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/types.h"

namespace peridot {

// How one class of traffic is treated.
struct profile_config {
  profile_name name;
  pool_name pool;
  std::string path = "/v1/generate";  // at the target
  traffic_class priority = traffic_class::standard;
  std::chrono::milliseconds queue_deadline{10'000};  // longest wait before a target starts
  std::chrono::milliseconds run_timeout{120'000};    // longest run on a target
  bool repeatable = true;                            // false: at most once, needs a key
  std::uint32_t max_retries = 2;
  service_units cost_hint = 100;  // before anything has been learned
  std::size_t max_body_bytes = 1 << 20;
};

struct organisation_config {
  organisation_name name;
  double weight = 1;               // share of service relative to others
  std::uint32_t max_queued = 256;  // per router
};

enum class target_kind { model_engine, plain_service };

struct target_config {
  target_name name;
  std::string address;  // "10.0.0.9:8000"
  pool_name pool;
  domain_name domain;
  target_kind kind = target_kind::model_engine;
  std::uint32_t warm_limit = 8;      // calls at once when warm
  std::uint32_t cold_limit = 1;      // calls at once right after a start
  std::uint32_t ramp_calls = 4;      // completed calls that raise the limit by one
  std::uint32_t reserved_slots = 1;  // of the limit, for interactive calls only
  bool truthful_refusals = false;    // its 503 proves that nothing ran
  bool checks_fencing = false;       // refuses an old fencing number
  bool drained = false;              // no new work, running work ends
};

struct domain_config {
  domain_name name;
  bool out = false;  // taken out by operators: no new work
};

// Timing and layout of the fleet. Published, so that all routers agree.
struct fleet_config {
  std::chrono::milliseconds heartbeat_interval{500};
  std::chrono::milliseconds suspect_after{2'000};  // silence after which a peer counts as gone
  std::chrono::milliseconds lease{2'000};
  std::chrono::milliseconds grant_validity{400};  // must be below half a lease
  std::chrono::milliseconds totals_interval{200};
  std::chrono::milliseconds suspect_request_life{600'000};
  std::uint32_t shards_per_pool = 3;
  std::uint32_t voters_per_shard = 9;
};

struct published_config {
  std::uint64_t version = 0;
  std::uint64_t digest = 0;  // of the document's bytes
  std::string text;          // the document as published, handed to peers
  fleet_config fleet;
  std::vector<domain_config> domains;
  std::vector<profile_config> profiles;
  std::vector<organisation_config> organisations;
  std::vector<target_config> targets;
};

enum class instance_state { live, leaving };

struct listed_router {
  router_address address;    // mesh address
  std::string http_address;  // "10.0.0.7:8080"
  domain_name domain;
  instance_state state = instance_state::live;
};

struct listed_target {
  target_name name;
  instance_state state = instance_state::live;
};

// The platform's lagging list. A hint: it may be old.
struct instance_list {
  std::uint64_t version = 0;
  std::string text;
  std::vector<listed_router> routers;
  std::vector<listed_target> targets;
};

// Each returns null if there is no such entry. Linear in the table's size.
const profile_config* find_profile(const published_config& config, const profile_name& name);
const organisation_config* find_organisation(const published_config& config,
                                             const organisation_name& name);
const target_config* find_target(const published_config& config, const target_name& name);

// True if operators or the platform have withdrawn the target from new work:
// it is drained, its failure domain is out, or the list shows it leaving.
bool is_withdrawn(const published_config& config, const instance_list& list,
                  const target_config& target);

// Distinct pools of all targets, sorted.
std::vector<pool_name> pools(const published_config& config);

}  // namespace peridot
