// Valid documents that tests change one thing of.
#pragma once

#include <string>

#include "core/check.h"

namespace peridot::testing {

inline std::string sample_config() {
  return R"(version = 7
[fleet]
heartbeat_interval_ms = 500
lease_ms = 2000
grant_validity_ms = 400

[[failure_domain]]
name = "zone-a"

[[failure_domain]]
name = "zone-b"
out = true

[[profile]]
name = "explain"
pool = "explain" # of the targets below
class = "interactive"
max_retries = 1

[[organisation]]
name = "bank"
weight = 2

[[target]]
name = "engine-1"
address = "10.0.0.9:8000"
pool = "explain"
failure_domain = "zone-a" # of the sections above
kind = "model_engine"
warm_limit = 8
cold_limit = 2
reserved_slots = 1
drained = false

[[target]]
name = "engine-2"
address = "[fd00::a]:8000"
pool = "explain"
failure_domain = "zone-b"
)";
}

inline std::string sample_list() {
  return R"(version = 3

[[router]]
address = "127.0.0.1:7401"
http_address = "127.0.0.1:8401"
failure_domain = "zone-a"
state = "live"

[[router]]
address = "127.0.0.1:7402"
http_address = "127.0.0.1:8402"
failure_domain = "zone-b"
state = "leaving"

[[target]]
name = "engine-1"
state = "live"
)";
}

inline std::string sample_settings() {
  return R"(name = "router-a1"
domain = "zone-a"
http_address = "127.0.0.1:8401"
mesh_address = "127.0.0.1:7401"
seeds = ["127.0.0.1:7402"]
config_service = "127.0.0.1:9000"
fleet_key = "0123456789abcdef"
tick_ms = 20
log_level = "info"
)";
}

// Replaces the first occurrence of `find`, which must be there.
inline std::string replace_once(std::string text, const std::string& find,
                                const std::string& replacement) {
  const std::size_t position = text.find(find);
  PERIDOT_CHECK(position != std::string::npos, "the sample document changed under its test");
  return text.replace(position, find.size(), replacement);
}

}  // namespace peridot::testing
