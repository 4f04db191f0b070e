// Settings of one router process, read from a TOML file at startup and on SIGHUP.
//
// Each key has a type, a unit and a range, and a default unless it is required. An unknown
// key, a wrong type or a value out of range is an error with file, line and key. At startup the
// default then stands in for an optional key, so that a process that was restarted serves; it does
// not start without a required key. On SIGHUP the previous settings stay in force.
// docs/SETTINGS.md lists the keys.
//
//   settings_result result = load_settings("router.toml");
//   print(result.errors);
//   if (!result.usable) { exit(2); }
//
// Thread safety: immutable after loading.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/types.h"
#include "core/settings/document_error.h"

namespace peridot {

struct router_settings {
  std::string name;               // process name in logs; required
  failure_domain_name domain;     // failure domain; required
  std::string callers_address;    // "10.0.0.7:8080", for callers' requests; required
  std::string readiness_address;  // for health checks by the balancer in front; required
  std::string control_address;    // for operators: status and metrics; empty: not served
  std::string metrics_address;    // same as control_address, on a fixed port; empty: not served
  router_address mesh_address;    // "10.0.0.7:7400", for peers; required
  // Control addresses of routers. Gossip goes to their IP addresses at the port of
  // mesh_address.
  std::vector<std::string> seeds;
  std::string store_address;  // the platform's store; required
  std::string fleet_key;      // shared by all routers, at least 16 bytes; required
  std::chrono::milliseconds stop_grace{8'000};  // from the stop signal to the platform's kill
  // The platform's recovery window: items_reply messages report store_disturbed for this time
  // after a store failure.
  std::chrono::milliseconds store_touch{3'000};
  // The platform's limit, from the removal of a target's entry to the last call to the target.
  std::chrono::milliseconds leaving_limit{2'000};
  std::chrono::milliseconds heartbeat_interval{1'200};  // at which targets renew their entries
  std::chrono::milliseconds gossip_interval{200};
  double processor_share = 0;  // of a core that the process may use; 0: unknown
  double retry_ratio = 0.2;    // platform's limit on retries in any window: this many per call
  double retry_slack = 58;     // plus this many, over all routers
  double cold_over = 1.5;      // limit on calls to a cold target: cold_rate of its pool times this
  double cold_slack = 5;       // plus this many in any second, over all routers
  // What calls between failure domains cost; see core/routing/domain_spillover.h.
  double crossing_call_ms = 2;
  double crossing_kilobyte_ms = 1;
  std::size_t max_connections = 3'000;         // callers' connections
  std::size_t max_body_total = 24 << 20;       // bytes of buffered request bodies, over all calls
  std::size_t max_response_total = 16 << 20;   // bytes of responses held at once, over all calls
  std::size_t stream_buffer_bytes = 64 << 10;  // per slow caller; then back pressure
  std::string log_level = "info";              // debug, info, warn, error
};

struct settings_result {
  router_settings settings;
  std::vector<document_error> errors;  // empty: settings are valid
  bool usable = false;  // all required keys are valid, and defaults replace the others in error
  std::uint64_t text_hash = 0;  // of the file's text; 0 if it could not be read
};

// `file` is only used in errors.
settings_result parse_settings(std::string_view text, std::string_view file);

// A file that cannot be read gives one error with line 0.
settings_result load_settings(const std::string& path);

}  // namespace peridot
