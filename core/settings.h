// Settings of one process, read from a TOML file once at start.
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

#include "core/config_checker.h"
#include "core/types.h"

namespace peridot {

struct router_settings {
  std::string name;                   // process name in logs and time lines; required
  domain_name domain;                 // failure domain; required
  std::string http_address;           // "10.0.0.7:8080", callers and operators; required
  router_address mesh_address;        // "10.0.0.7:7400", peers; required
  std::vector<router_address> seeds;  // peers known before the list has been read
  std::string config_service;         // "10.0.0.2:9000", the platform's service; required
  std::string fleet_key;              // shared secret of the fleet, at least 16 bytes; required
  std::chrono::milliseconds tick{5};
  std::chrono::milliseconds load_poll{200};          // of owned targets
  std::chrono::milliseconds service_timeout{2'000};  // one call to the platform's service
  std::chrono::milliseconds watch_wait{10'000};      // one waiting watch
  std::chrono::milliseconds stop_grace{130'000};     // longest graceful shutdown
  std::chrono::milliseconds key_life{3'600'000};     // of an idempotency key
  std::size_t max_connections = 4'096;
  std::size_t max_queued = 4'096;  // requests, over all organisations
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 1 << 20;
  std::size_t stream_buffer_bytes = 262'144;  // per slow caller, then back pressure
  std::size_t max_keys = 100'000;             // used keys remembered
  std::size_t key_result_bytes = 65'536;      // largest answer kept for repeats
  std::size_t key_results_total_bytes = 16 << 20;
  std::size_t timeline_events = 20'000;
  std::string log_level = "info";  // debug, info, warn, error
};

struct settings_result {
  router_settings settings;
  std::vector<document_error> errors;  // empty: settings are valid
};

settings_result parse_settings(std::string_view text, std::string_view file);

// Reads the file; a file that cannot be read is one error with line 0.
settings_result load_settings(const std::string& path);

}  // namespace peridot
