// What one router process holds: its tables, its sockets, the calls in progress.
//
// Internal to net/. The tables belong to core/ and platform/; net/call_*.cc move
// calls, router/peer_exchange.cc exchanges gossip, router/pages.cc answers operators,
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
struct attempt {
  target_name target;
  pool_name pool;
  std::shared_ptr<client_call> call;
  call_load cost;
  instant sent_at{};
  bool first_token_seen = false;
  message_head head;
  std::string body;      // of an answer that is passed on whole
  bool passing = false;  // the answer is being passed on in parts
  bool is_stream = false;
  event_splitter events;
  bool counted = false;  // its result was noted
};

// A call from its arrival to its final answer.
struct live_call {
  router_state* router = nullptr;
  std::uint64_t number = 0;
  std::shared_ptr<http_exchange> exchange;
  call_request request;
  std::shared_ptr<const fleet_config> config;  // in force when it arrived
  const route* way = nullptr;                  // of `config`
  organisation_name caller;
  std::uint64_t fingerprint = 0;
  instant arrived{};
  instant give_up_at{};              // the caller's time or the route's is over
  std::unique_ptr<attempt> current;  // null while it is not at a target
  int sends = 0;                     // to targets, connections that were refused not counted
  int tries = 0;                     // including those
  std::vector<target_name> tried;
  bool may_have_run = false;
  bool answering = false;                   // bytes of an answer went to the caller
  std::optional<std::uint64_t> last_event;  // that the caller has got
  int events_passed = 0;
  double predicted_ms = 0;
  double position = 0;  // of its organisation's share
  instant first_answer{};
  instant last_progress{};
  event_ptr give_up_timer;
  event_ptr silence_timer;
  bool reading_paused = false;
};

// A broken answer that may have been a crash of the target.
struct broken_run {
  target_name target;
  std::uint64_t fingerprint = 0;
  instant at{};
};

struct pool_state {
  retry_budget budget;
  double failure_mean = 0;  // share of failures among its targets' answers
};

struct router_state {
  router_settings settings;
  std::string settings_path;
  event_base_ptr base;
  router_identity self;

  platform::store_state store;
  platform::store_client store_reader;
  http_client targets;  // connections to targets

  std::unique_ptr<http_listener> callers;
  std::unique_ptr<http_listener> readiness;
  std::unique_ptr<http_listener> control;
  std::unique_ptr<http_listener> metrics_page;
  std::unique_ptr<mesh> peers;

  membership_table members;
  load_table loads;
  health_table health;
  cold_start_limiter cold;
  share_table shares;
  overload_state overload;
  crash_suspect_table suspects;
  std::map<pool_name, pool_state> pools;
  std::vector<broken_run> broken_runs;
  std::unordered_map<std::uint32_t, target_name> target_by_hash;
  std::uint64_t hashed_generation = 0;
  std::uint64_t cleaned_generation = 0;
  instant items_asked_at{};                        // from a peer, last
  std::map<router_address, instant> behind_since;  // peers whose store is ahead of ours

  std::unordered_map<std::uint64_t, std::unique_ptr<live_call>> calls;
  metrics counts;
  std::minstd_rand random;
  instant started{};

  bool ready = false;
  bool stopping = false;
  bool refusing = false;  // late in the shutdown: new calls are refused
  instant stop_began{};
  std::function<void()> on_gossip;
  std::function<void()> on_tick;
  event_ptr gossip_timer;
  event_ptr tick_timer;
  event_ptr term_signal;
  event_ptr hup_signal;
  int exit_status = 0;
};

// call_intake.cc
void handle_call(router_state& router, const std::shared_ptr<http_exchange>& exchange);

// peer_exchange.cc
void send_gossip(router_state& router);
void on_peer_message(router_state& router, const router_identity& from,
                     const wire::peer_message& message);

// pages.cc
void handle_readiness(router_state& router, const std::shared_ptr<http_exchange>& exchange);
void handle_page(router_state& router, const std::shared_ptr<http_exchange>& exchange);

}  // namespace peridot
