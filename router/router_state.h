// What one router process holds: its tables, its sockets, the calls in progress.
//
// Internal to net/. The tables belong to core/ and platform/; net/call_*.cc move
// calls, router/peer_exchange.cc exchanges gossip, router/control_pages.cc answers operators,
// router/router_process.cc starts and stops.
// Thread safety: none; one loop.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/calls/call.h"
#include "core/calls/event_stream.h"
#include "core/fleet/fleet.h"
#include "core/routing/routing.h"
#include "core/settings/settings.h"
#include "net/http_client.h"
#include "net/http_listener.h"
#include "net/loop.h"
#include "net/mesh.h"
#include "net/metrics.h"
#include "platform/store_client.h"
#include "platform/store_state.h"

namespace peridot {

struct router_state;

// One send of a call to a target.
struct target_attempt {
  target_name target;
  pool_name pool;
  std::shared_ptr<client_call> target_call;
  call_load cost;
  instant sent_at{};
  bool first_token_received = false;
  message_head response_head;
  std::string buffered_body;  // of an answer that is passed on whole
  bool forwarding = false;    // the answer is being passed on in parts
  bool is_stream = false;
  event_splitter splitter;
  bool result_recorded = false;  // its result was noted
};

// A call from its arrival to its final answer.
struct active_call {
  router_state* router = nullptr;
  std::uint64_t exchange_id = 0;
  std::shared_ptr<http_exchange> exchange;
  call_request request;
  std::shared_ptr<const fleet_config> config;  // in force when it arrived
  const route* matched_route = nullptr;        // of `config`
  organisation_name organisation;
  std::uint64_t fingerprint = 0;
  instant arrived_at{};
  instant deadline{};                               // the caller's time or the route's is over
  std::unique_ptr<target_attempt> current_attempt;  // null while it is not at a target
  int sends = 0;             // to targets, connections that were refused not counted
  int started_attempts = 0;  // including those
  std::vector<target_name> attempted_targets;
  bool may_have_run = false;
  bool response_started = false;               // bytes of an answer went to the caller
  std::optional<std::uint64_t> last_event_id;  // that the caller has got
  int events_forwarded = 0;
  double predicted_ms = 0;
  double share_position = 0;  // of its organisation's share
  instant response_started_at{};
  instant last_progress_at{};
  event_ptr deadline_timer;
  event_ptr inactivity_timer;
  bool reading_paused = false;
};

// A broken answer that may have been a crash of the target.
struct interrupted_call {
  target_name target;
  std::uint64_t fingerprint = 0;
  instant interrupted_at{};
};

struct pool_state {
  retry_budget budget;
  double failure_rate = 0;  // share of failures among its targets' answers
};

struct router_state {
  router_settings settings;
  std::string settings_path;
  event_base_ptr base;
  router_identity self;

  platform::store_state store;
  platform::store_client store_client;
  http_client target_client;  // connections to targets

  std::unique_ptr<http_listener> caller_listener;
  std::unique_ptr<http_listener> readiness_listener;
  std::unique_ptr<http_listener> control_listener;
  std::unique_ptr<http_listener> metrics_listener;
  std::unique_ptr<mesh> peer_mesh;

  membership_table membership;
  load_table loads;
  health_table health;
  cold_start_limiter cold_limiter;
  share_table shares;
  overload_state overload;
  crash_suspect_table crash_suspects;
  std::map<pool_name, pool_state> pools;
  std::vector<interrupted_call> interrupted_calls;
  std::unordered_map<std::uint32_t, target_name> target_by_hash;
  std::uint64_t target_by_hash_generation = 0;
  std::uint64_t cleanup_generation = 0;
  instant items_requested_at{};                        // from a peer, last
  std::map<router_address, instant> peer_ahead_since;  // peers whose store is ahead of ours

  std::unordered_map<std::uint64_t, std::unique_ptr<active_call>> calls;
  metrics call_metrics;
  std::minstd_rand random;
  instant started_at{};

  bool ready = false;
  bool stopping = false;
  bool refusing_calls = false;  // late in the shutdown: new calls are refused
  instant stop_started_at{};
  std::function<void()> on_gossip;
  std::function<void()> on_tick;
  event_ptr gossip_timer;
  event_ptr tick_timer;
  event_ptr term_signal;
  event_ptr hup_signal;
  int exit_status = 0;
};

// call_arrival.cc
void handle_call(router_state& router, const std::shared_ptr<http_exchange>& exchange);

// peer_exchange.cc
void send_gossip(router_state& router);
void on_peer_message(router_state& router, const router_identity& from,
                     const wire::peer_message& message);

// control_pages.cc
void handle_readiness_request(router_state& router, const std::shared_ptr<http_exchange>& exchange);
void handle_control_request(router_state& router, const std::shared_ptr<http_exchange>& exchange);

}  // namespace peridot
