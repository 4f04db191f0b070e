// A small fleet under virtual time: the real decision code of every router, over
// small fakes of the network, the targets, the platform and the callers.
//
// This is the seeded driver of the proofs and of the measurements. It holds no
// policy: routers decide, it delivers. From the outside it checks what must
// always hold, and records each violation with the virtual time.
//
//   fleet_options options = small_fleet(seed);
//   fleet_report report = run_fleet(options);
//   for (const std::string& violation : report.violations) { ... }
//
// A run is a pure function of its options. A process pause is modelled between
// two events of a router, not inside one.
// Thread safety: none; runs share nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/router.h"
#include "core/types.h"

namespace peridot::experiment {

struct fleet_state;  // experiment/fleet_state.h

// What goes wrong, as mean times between faults of a kind; zero: never.
struct fault_plan {
  double loss = 0;                 // of peer messages
  double duplicate = 0;            // of peer messages
  duration kill_every{};           // a router ends and restarts empty
  duration mass_restart_every{};   // all routers but one end, and restart empty at once
  duration pause_every{};          // a router sleeps, some longer than a lease
  duration cut_every{};            // the routers split into two groups
  duration crash_every{};          // a target restarts cold
  duration service_down_every{};   // the platform's service stops answering
  duration service_stale_every{};  // it serves an old copy
  duration withdraw_every{};       // operators take a failure domain or a target out, or back
  duration poison_every{};         // a caller sends a request that crashes targets
  duration stop_every{};           // a router is replaced by a planned stop
  duration last_fault = std::chrono::seconds{30};  // none after this, so that the fleet settles
};

struct caller_group {
  organisation_name organisation;
  profile_name profile;
  double weight = 1;
  std::uint32_t backlog = 0;  // closed loop: this many calls at any time; 0: open loop
  duration every{};           // open loop: mean time between calls
  service_units lowest_cost = 20;
  service_units highest_cost = 200;
  double skew = 0;     // 0: over all routers; 1: through one router
  bool keyed = false;  // the profile may not be repeated
  duration from{};     // calls are sent from here on
  duration until = std::chrono::hours{1};
};

struct fleet_options {
  std::uint64_t seed = 1;
  std::uint32_t routers = 9;
  std::uint32_t domains = 3;
  std::uint32_t engines = 9;   // pool "explain"
  std::uint32_t services = 3;  // pool "booking"
  std::uint32_t warm_limit = 4;
  std::uint32_t cold_limit = 1;
  std::uint32_t shards_per_pool = 3;
  bool start_warm = false;  // targets have completed enough before the run
  share_policy policy = share_policy::fleet_fair;
  duration length = std::chrono::seconds{45};
  duration tick = std::chrono::milliseconds{20};
  duration one_way = std::chrono::microseconds{500};  // between failure domains
  duration list_lag = std::chrono::seconds{3};
  fault_plan faults;
  std::vector<caller_group> callers;
  std::vector<std::pair<duration, std::string>> operator_steps;  // "out domain-a", "back domain-a"
  std::function<void(fleet_state&)> on_start;      // schedules the events of a trace; may be empty
  std::function<void(const fleet_state&)> on_end;  // looks at the state; may be empty
  // Switches a mechanism off from the outside, to show that a check can fail.
  bool forget_voter_start = false;         // restarted voters do not abstain
  bool repeat_without_issuer = false;      // a repeat of a key starts at whichever router gets it
  bool poison_in_disguise = false;         // calls that crash targets differ in their bodies
  bool stale_routers_keep_config = false;  // routers never hear of newer documents
};

struct gap_report {
  double largest = 0;  // units / weight, over all pairs and windows
  std::string pair;
};

// A tenth of a second of the run.
struct service_sample {
  duration at{};
  double units = 0;        // produced in this interval
  std::uint32_t busy = 0;  // slots
  std::uint32_t able = 0;  // slots of targets that may take work
  bool waiting = false;    // calls wait in a queue
};

struct fleet_report {
  std::vector<std::string> violations;
  std::map<std::string, std::uint64_t> faults;     // injected, by kind
  std::map<std::string, std::uint64_t> answers;    // by outcome and reason
  std::map<std::string, std::uint64_t> unsettled;  // what was not well at the end
  std::uint64_t calls = 0;
  std::uint64_t keyed_calls = 0;
  std::uint64_t keyed_done = 0;
  std::uint64_t keyed_unknown = 0;
  std::uint64_t double_runs = 0;
  std::uint64_t overloads = 0;
  std::uint64_t poison_crashes = 0;  // targets lost to calls that crash them
  gap_report gap;
  double gap_bound = 0;
  double utilisation = 0;                // busy slots over able slots while work waits
  double control_bytes_per_second = 0;   // a router, mean, all peer messages
  double periodic_bytes_per_second = 0;  // of that, what does not follow from requests
  double service_calls_per_second = 0;   // to the platform's service, whole fleet
  duration first_unit_p50{};             // of organisations that are not backlogged
  duration first_unit_p95{};
  duration longest_config_spread{};  // from the first acceptance until all running routers had it
  duration latest_withdrawn_work{};  // from the first acceptance until the last new work there
  std::map<organisation_name, double> units;
  std::vector<service_sample> samples;
};

fleet_report run_fleet(const fleet_options& options);

// A fleet of five routers and four targets with mixed callers, for fast seeds.
fleet_options small_fleet(std::uint64_t seed);

}  // namespace peridot::experiment
