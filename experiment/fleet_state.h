// State of a run, shared by the units of the driver. Private to experiment/.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "experiment/event_queue.h"
#include "experiment/fake_target.h"
#include "experiment/fleet.h"

namespace peridot::experiment {

// One attempt of a call in one incarnation of a router.
struct attempt {
  std::uint64_t call = 0;
  std::optional<std::uint64_t> key_sequence;
  std::uint64_t run = 0;        // of the present dispatch, unique in the fleet
  std::uint64_t entry_run = 0;  // dispatch::run
  std::uint64_t reached = 0;    // dispatches that arrived at a target
  bool answer_begun = false;
};

struct driven_router {
  std::size_t index = 0;
  router_address address;
  domain_name domain;
  std::unique_ptr<router_core> core;  // null while it does not run
  std::uint64_t generation = 0;       // grows with each start
  duration clock_offset{};
  double clock_drift = 0;
  instant paused_until{};
  std::vector<std::function<void()>> while_paused;
  int group = 0;                              // routers of different groups cannot reach each other
  std::map<std::uint64_t, attempt> attempts;  // by request id
  std::map<std::uint64_t, std::vector<std::uint64_t>> joined;  // key sequence to waiting calls
  std::set<std::uint64_t> open_calls;  // calls whose caller has a connection to this router
  std::uint64_t highest_config = 0;
  std::uint64_t bytes = 0;
  std::uint64_t periodic_bytes = 0;
};

// What a caller wants done, over all the times it sends it.
struct caller_call {
  std::uint64_t id = 0;
  std::size_t group = 0;
  bool keyed = false;
  bool poison = false;
  std::string key;
  service_units cost = 0;
  instant sent{};       // the first time
  instant last_sent{};  // the newest time
  std::optional<instant> first_unit;
  std::uint32_t sends = 0;
  std::uint64_t runs = 0;  // arrivals at targets
};

// A call that a trace names, and its answers so far.
struct watched_call {
  caller_call last;  // as it was when it ended
  std::string outcome;
  std::uint32_t answers = 0;
};

struct fake_platform {
  std::string config_text;
  std::uint64_t config_version = 1;
  std::string list_text;
  std::uint64_t list_version = 1;
  std::string old_config_text;  // served while stale
  instant down_until{};
  instant stale_until{};
  std::uint64_t calls = 0;
  std::map<std::uint64_t, instant> accepted;  // first, by configuration version
  std::set<std::uint64_t> everywhere;         // versions that all running routers have had
  std::set<domain_name> out;
  std::set<target_name> drained;
  std::map<target_name, std::uint64_t> withdrawn_by;  // configuration version
};

struct fleet_state {
  fleet_options options;
  random_source random;
  event_queue queue;
  instant began{};
  std::vector<driven_router> routers;
  std::map<target_name, fake_target> targets;
  fake_platform platform;
  std::map<std::uint64_t, caller_call> calls;
  std::vector<std::uint64_t> backlog_of_group;
  std::map<std::uint64_t, watched_call> watched;
  std::uint64_t next_call = 1;
  std::uint64_t next_run = 1;
  instant cut_until{};
  std::map<organisation_name, double> units_done;  // of runs that ended
  std::vector<duration> first_units;
  std::vector<std::map<organisation_name, double>> unit_samples;  // cumulative
  std::vector<std::set<organisation_name>> backlogged_samples;
  fleet_report report;
};

// fleet_routers.cc
instant local_time(const driven_router& router, instant true_time);
instant true_time(const driven_router& router, instant local_time);
bool is_running(const fleet_state& fleet, const driven_router& router);
void start_router(fleet_state& fleet, std::size_t index);
void kill_router(fleet_state& fleet, std::size_t index, duration down_for);
void stop_router(fleet_state& fleet, std::size_t index);
void tick_router(fleet_state& fleet, std::size_t index, std::uint64_t generation);
void carry_out(fleet_state& fleet, std::size_t index, effects& todo);

// Runs `work` in this incarnation of the router: now, after its pause, or never.
void on_router(fleet_state& fleet, std::size_t index, std::uint64_t generation,
               const std::function<void(driven_router&)>& work);

// fleet_targets.cc
void dispatch_run(fleet_state& fleet, std::size_t index, const dispatch& what);
void poll_target(fleet_state& fleet, std::size_t index, const target_config& target);
void lose_runs(fleet_state& fleet, fake_target& target, duration down_for);
void sample_targets(fleet_state& fleet);

// fleet_callers.cc
void start_callers(fleet_state& fleet);
void send_call(fleet_state& fleet, std::uint64_t call);
void begin_poison(fleet_state& fleet);
void on_decision(fleet_state& fleet, std::size_t index, const decision& what);
void on_attempt_done(fleet_state& fleet, std::size_t index, std::uint64_t request);
void on_connection_broken(fleet_state& fleet, std::uint64_t call);

// fleet_platform.cc
std::string make_config_text(const fleet_state& fleet);
std::string make_list_text(const fleet_state& fleet);
void publish_config(fleet_state& fleet);
void publish_list(fleet_state& fleet);
void watch_platform(fleet_state& fleet, std::size_t index, std::uint64_t generation);
void operator_step(fleet_state& fleet, const std::string& step);

// fleet_faults.cc
void start_faults(fleet_state& fleet);

// fleet_checks.cc
void violated(fleet_state& fleet, const std::string& what);
bool holds_now(const fleet_state& fleet, const driven_router& router, const shard_key& shard);
void check_holders(fleet_state& fleet);
void check_versions(fleet_state& fleet, driven_router& router);
void check_settled(fleet_state& fleet);
void sample_service(fleet_state& fleet);

// fleet_gap.cc
gap_report largest_gap(const fleet_state& fleet);

}  // namespace peridot::experiment
