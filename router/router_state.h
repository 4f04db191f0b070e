// State of one router process: its tables, its sockets and the active calls.
//
// Internal to router/. The tables are defined in core/ and platform/. router/call_*.cc
// processes calls, router/peer_exchange.cc exchanges gossip with other routers,
// router/control_pages.cc serves the readiness, status and metrics pages,
// router/router_process.cc starts the process, and router/planned_stop.cc ends it.
// Thread safety: none; for use from one event loop.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/calls/call.h"
#include "core/calls/event_stream.h"
#include "core/fleet/delegates.h"
#include "core/fleet/fleet.h"
#include "core/routing/routing.h"
#include "core/settings/settings.h"
#include "core/settings/stop_schedule.h"
#include "net/connect_probe.h"
#include "net/http_client.h"
#include "net/http_listener.h"
#include "net/loop.h"
#include "net/mesh.h"
#include "net/metrics.h"
#include "platform/store_client.h"
#include "platform/store_state.h"

namespace peridot {

struct router_state;

// One attempt to run a call at a target.
struct target_attempt {
  target_name target;
  pool_name pool;
  std::shared_ptr<client_call> target_call;
  call_load added_load;
  instant sent_at{};
  build_id build = 0;  // of the target when the call was sent
  bool first_event_forwarded = false;
  instant first_event_at{};
  message_head response_head;
  // Body of a non-streaming response, until it is complete or exceeds the buffer limit.
  std::string buffered_body;
  std::size_t held_bytes = 0;  // of the response, as counted in router_state::held_response_bytes
  // The body of a non-streaming response exceeded the limit: it is forwarded as it arrives.
  bool forwarding_unbuffered = false;
  bool is_stream = false;
  event_splitter splitter;
  int events_received = 0;     // comments included
  bool ignore_result = false;  // the result must not count against the target
};

// Peers are asked which build began the stream that a call takes up.
struct build_query {
  event_ptr timer;
  pool_name pool;
  std::size_t replies_due = 0;         // of peers
  bool asks_store = false;             // too; its response is looked at when the time is over
  std::optional<build_id> only_build;  // that a peer has seen the pool run
  bool has_several_builds = false;     // a peer has seen the pool run several
};

// Whether a target that broke calls off at once, on connections that had been idle, has ended.
struct crash_probe {
  std::unique_ptr<connect_probe> probe;
  std::vector<crash_event> events;  // of these calls; they count if it has
};

// A call from its arrival to the end of its response.
struct active_call {
  router_state* router = nullptr;
  std::uint64_t exchange_id = 0;
  std::shared_ptr<http_exchange> exchange;
  call_request request;
  std::shared_ptr<const fleet_config> config;  // in force when it arrived
  const route* matched_route = nullptr;        // points into `config`
  organisation_name organisation;
  std::vector<std::uint64_t> signatures;  // see core/routing/crash_suspects.h
  bool is_trial = false;                  // sent although it is suspected of crashing targets
  instant arrived_at{};
  // The earlier of the caller's deadline and the end of the route's timeout.
  instant deadline{};
  std::unique_ptr<target_attempt> current_attempt;  // null while no target has the call
  int sends = 0;                                    // attempts that did not fail to connect
  int started_attempts = 0;                         // all attempts
  std::vector<target_name> attempted_targets;
  bool may_have_run = false;
  bool response_started = false;               // bytes of the response were sent to the caller
  std::optional<std::uint64_t> last_event_id;  // of the newest event that the caller has
  std::optional<build_id> build;               // that began the stream; only it may go on
  int events_forwarded = 0;
  // The newest event that the caller has carries no id: a second run could not continue after it.
  bool newest_event_has_no_id = false;
  // The other failure domain that it may go to as soon as that pays, or 0.
  failure_domain_id spillover_to = 0;
  // Predicted time to the first token (plain targets: wait for a slot) at the target chosen last.
  double predicted_ms = 0;
  // Served tokens of its organisation over its fair share, when an engine was chosen.
  double share_position = 0;
  double level_position = 0;  // the same over the admission level
  instant response_started_at{};
  instant last_progress_at{};  // newest send or event
  // Of the newest response of a target; for logs.
  std::string response_framing = "-";      // "-": no response head has arrived
  std::size_t unfinished_event_bytes = 0;  // received of an event whose end did not arrive
  event_ptr deadline_timer;
  std::unique_ptr<build_query> pending_build_query;  // while peers are asked
  event_ptr inactivity_timer;
  bool reading_paused = false;
};

struct pool_state {
  retry_budget budget;
  double failure_rate = 0;  // over all targets of the pool, moving average
  spillover_state spillover;
  double logged_share = 0;  // the share that was logged last
};

// Prefills that the next digest passes on, by hash of the target.
struct prefill_sum {
  double tokens = 0;
  std::set<std::uint32_t> prefixes;
};
using prefill_sums = std::unordered_map<std::uint32_t, prefill_sum>;

struct sent_target_use {
  peer_load load;
  double prefilled_tokens = 0;
};

// What a report of this router held.
struct sent_report {
  std::uint32_t round = 0;
  std::unordered_map<std::uint32_t, sent_target_use> targets;  // by hash
  std::map<std::uint64_t, token_usage> organisations;          // likewise
};

// When a list of members was last sent, and what it held.
struct sent_list {
  std::uint64_t hash = 0;
  instant at{};
};

struct digest_state {
  exchange_plan plan;  // of the last round
  std::deque<sent_report> sent_reports;
  std::uint32_t last_included_round = 0;  // the newest own report that a digest has included
  prefill_sums domain_prefills;           // of this router and those that report to it
  prefill_sums foreign_prefills;          // of other domains
  sent_list fleet_list;
  sent_list domain_list;
  instant view_at{};          // age of what is known of the fleet: no part of it is older
  instant foreign_view_at{};  // at a delegate: of the newest digest of another domain
};

// Which of the store's items this router knows, where others read the store for it.
struct item_progress {
  // Up to these, changes were passed on to the routers that rely on this one.
  store_revision passed_operator;
  store_revision passed_target;
  // Removals of targets up to here are final, as any router has seen.
  store_revision settled_target;
  instant read_store_until{};  // reads the store itself until then, whatever others do
};

// Streams of which the witnesses are told next.
struct untold_streams {
  std::vector<std::pair<std::uint64_t, build_id>> streams;
  instant told_at{};             // when witnesses were last told of streams
  std::vector<pool_name> pools;  // that run several builds, as of the last check
  std::uint64_t targets_generation = 0;
  instant builds_checked_at{};
  instant witnesses_checked_at{};
};

struct response_time {
  duration time{};
  instant at{};
};

struct router_state {
  router_settings settings;
  std::string settings_path;
  std::uint64_t settings_text_hash = 0;  // of the settings file when it was read last
  std::size_t settings_errors = 0;       // in it
  instant settings_checked_at{};
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
  digest_state digests;
  item_progress items;
  target_view view;  // how current the targets are that this router knows
  load_table loads;
  statement_table statements;  // of targets
  stream_table streams;
  untold_streams untold;
  health_table health;
  fleet_rate_limiter rate_limiter;
  share_table shares;
  overload_state overload;
  crash_suspect_table crash_suspects;
  bool crash_update_pending = false;                // in the next loop iteration
  std::map<target_name, crash_probe> crash_probes;  // in progress
  std::map<pool_name, pool_state> pools;
  std::unordered_map<std::uint32_t, target_name> target_by_hash;         // hashes as in gossip
  std::unordered_map<std::uint32_t, target_name> target_by_incarnation;  // incarnation_hash()
  std::uint64_t target_by_hash_generation = 0;  // of the target table it was built from
  std::uint64_t cleanup_generation = 0;         // of the target table at the last cleanup
  instant shares_logged_at{};
  bool newcomer_heard = false;         // since the last round; it knows no statements of targets
  instant store_items_requested_at{};  // when store items were last requested from any peer
  // Since when each peer's store revisions have been newer than this router's, or when items
  // were last requested from it.
  std::map<router_address, instant> peer_ahead_since;

  std::unordered_map<std::uint64_t, std::unique_ptr<active_call>> calls;
  // Parts of responses that calls hold back: plain ones that are not complete, and events.
  std::size_t held_response_bytes = 0;
  metrics call_metrics;
  std::minstd_rand random;
  instant started_at{};

  bool ready = false;
  bool stopping = false;
  bool refusing_calls = false;  // late in the shutdown: new calls are refused
  bool ending = false;          // at the end of the shutdown: the loop is about to end
  instant stop_started_at{};
  stop_schedule stop_steps;
  std::map<route_name, response_time> longest_responses;  // see record_response_time()
  std::function<void()> gossip_timer_callback;
  std::function<void()> tick_timer_callback;
  event_ptr gossip_timer;
  event_ptr tick_timer;
  event_ptr end_timer;  // at the end of the shutdown
  event_ptr term_signal;
  event_ptr hup_signal;
  int exit_status = 0;
};

// call_attempt.cc
// Marks a target as leaving that has said so, and logs it. `source` as below.
void apply_leaving(router_state& router, target_state& target, const std::string& source);
// Logs the target's limit after it has changed. `source`: "response" or the address of a peer.
void log_limit_change(const router_state& router, const target_entry& target,
                      const std::string& source);

// call_resume.cc
// Remembers the build of the stream that has just begun, or goes on, and tells the witnesses.
void record_stream_build(active_call& call);
// Follows the builds that pools run and chooses the witnesses; queues all streams in progress if
// they have to hear of them anew. To be called with each tick.
void update_witnesses(router_state& router, instant now);
// Tells the witnesses of streams that wait for it.
void send_due_streams(router_state& router, instant now);
// A peer has told this router of its streams, asks for one, or replies.
void on_begun_streams(router_state& router, const wire::begun_streams& message);
void on_stream_query(router_state& router, const router_identity& from,
                     const wire::stream_query& query);
void on_stream_reply(router_state& router, const wire::stream_reply& reply);

// call_arrival.cc
void handle_call(router_state& router, const std::shared_ptr<http_exchange>& exchange);

// peer_exchange.cc
void send_gossip(router_state& router);
void on_peer_message(router_state& router, const router_identity& from,
                     const wire::peer_message& message);

// call_domains.cc
// Updates the share of the calls to each pool that leave the failure domain. To be called once a
// round.
void update_spillovers(router_state& router, instant now);
// What a target in another failure domain costs the call.
crossing_cost crossing_cost_of(active_call& call, const pool& target_pool);

// peer_items.cc
// Passes changes of the store's items on to the routers that rely on this one.
void pass_on_items(router_state& router);

// control_pages.cc
void handle_readiness_request(router_state& router, const std::shared_ptr<http_exchange>& exchange);
void handle_control_request(router_state& router, const std::shared_ptr<http_exchange>& exchange);

}  // namespace peridot
