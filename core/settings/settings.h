// Settings of one process, read from a TOML file at start and on SIGHUP.
//
// Every key has a type, a unit, a default and a range; an unknown key, a wrong
// type or a value out of range is refused with file, line and key before any
// socket is opened. docs/SETTINGS.md lists them.
//
//   settings_result result = load_settings("router.toml");
//   if (!result.errors.empty()) { print; exit(2); }
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
  std::string name;                // process name in logs; required
  domain_name domain;              // failure domain; required
  std::string callers_address;     // "10.0.0.7:8080"; required
  std::string readiness_address;   // for the balancer; required
  std::string control_address;     // for operators: status and metrics; empty: not served
  std::string metrics_address;     // metrics alone, at a fixed port; empty: not served
  router_address mesh_address;     // "10.0.0.7:7400", peers; required
  std::vector<std::string> seeds;  // control addresses of routers; their mesh port is this one's
  std::string store_address;       // the platform's store; required
  std::string fleet_key;           // shared by the fleet's routers, at least 16 bytes; required
  std::chrono::milliseconds stop_grace{8'000};   // until the platform kills the process
  std::chrono::milliseconds store_touch{3'000};  // the platform's bound of a calm store
  std::chrono::milliseconds gossip_interval{200};
  double retry_ratio = 0.2;                    // the platform's bound on further sends, per call
  double retry_slack = 58;                     // likewise, in one window, all routers
  double cold_over = 1.5;                      // a cold target bears its rate times this
  double cold_slack = 5;                       // plus this, in one second, all routers
  std::size_t max_connections = 3'000;         // of callers
  std::size_t max_body_total = 24 << 20;       // bytes of request bodies held at once
  std::size_t stream_buffer_bytes = 64 << 10;  // per slow caller, then back pressure
  std::string log_level = "info";              // debug, info, warn, error
};

struct settings_result {
  router_settings settings;
  std::vector<document_error> errors;  // empty: settings are valid
};

settings_result parse_settings(std::string_view text, std::string_view file);

// Reads the file; a file that cannot be read is one error with line 0.
settings_result load_settings(const std::string& path);

}  // namespace peridot
