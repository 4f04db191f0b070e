// A fleet without faults under virtual time, to measure what a router costs.
//
// The real core of every router runs; messages take one step of the clock. The
// processor time of each call into a core is counted by the kind of the call,
// and bytes by the kind of the message. Calls are in a closed loop: each entry
// router keeps one request queued or running for each backlogged organisation.
//
//   capacity_options options;
//   options.routers = 36;
//   capacity_report report = measure_capacity(options);
//
// Thread safety: none; state is read from the process's allocator, so that one
// measurement runs at a time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "core/types.h"

namespace peridot::experiment {

struct capacity_options {
  std::uint32_t routers = 9;
  std::uint32_t domains = 3;
  std::uint32_t pools = 1;
  std::uint32_t targets = 18;
  std::uint32_t target_slots = 8;
  std::uint32_t shards_per_pool = 3;
  std::uint32_t organisations = 16;  // published
  std::uint32_t backlogged = 0;      // at each entry router; 0: no calls at all
  duration run_time = std::chrono::milliseconds{200};
  duration settle = std::chrono::seconds{6};   // before anything is counted
  duration counted = std::chrono::seconds{5};  // without a change of configuration
  duration longest_spread = std::chrono::seconds{20};
};

// Calls of one kind, over all routers.
struct call_cost {
  std::uint64_t count = 0;
  std::uint64_t bytes = 0;  // of messages, as sent, with the transport's headers
  double cpu_seconds = 0;   // in the receiving or calling core
};

inline constexpr std::size_t message_kinds = 9;

// Name of a kind of message, by its place in capacity_report::messages.
const char* message_kind_name(std::size_t kind);

struct capacity_report {
  double seconds = 0;  // counted
  std::uint32_t routers = 0;
  std::array<call_cost, message_kinds> messages;
  call_cost ticks;
  call_cost requests;                   // submitted, and ended at a target
  call_cost load_polls;                 // load reports taken in
  double service_calls_per_second = 0;  // to the platform's service, whole fleet
  std::size_t state_bytes = 0;          // a router, mean, with its documents
  std::size_t document_bytes = 0;       // of the configuration
  std::uint32_t held_shards = 0;        // at the end, whole fleet
  std::uint32_t unready = 0;            // routers that is_ready() denies at the end
  std::uint32_t watching = 0;           // routers that watch the service at the end
  duration spread{};                    // of one change, until the last router has it
};

capacity_report measure_capacity(const capacity_options& options);

// The documents that the fleet runs on.
std::string capacity_config_text(const capacity_options& options, std::uint64_t version);
std::string capacity_list_text(const capacity_options& options);

}  // namespace peridot::experiment
