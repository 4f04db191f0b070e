#include "core/settings/settings.h"

#include "core/base/stable_hash.h"
#include "core/settings/document_file.h"
#include "core/settings/document_reader.h"
#include "core/settings/document_tree.h"

namespace peridot {
namespace {

constexpr std::size_t max_seeds = 64;
constexpr value_range<std::size_t> fleet_key_bytes{16, 512};
constexpr value_range<milliseconds> stop_grace_range{milliseconds{500}, milliseconds{3'600'000}};
// Of store_touch, leaving_limit and heartbeat_interval.
constexpr value_range<milliseconds> store_time_range{milliseconds{100}, milliseconds{600'000}};
constexpr value_range<milliseconds> gossip_interval_range{milliseconds{20}, milliseconds{10'000}};
constexpr value_range<double> ratio_range{0, 100};
constexpr value_range<double> slack_range{0, 1e6};
constexpr value_range<double> crossing_range{0, 10'000};
constexpr value_range<std::int64_t> connections_range{1, 1'000'000};
constexpr value_range<std::int64_t> body_bytes_range{1 << 16, 1LL << 34};
constexpr value_range<std::int64_t> buffer_bytes_range{1'024, 64 << 20};

constexpr choice<std::string_view> log_levels[] = {
    {"debug", "debug"}, {"info", "info"}, {"warn", "warn"}, {"error", "error"}};

void read_required(table_reader& reader, router_settings& settings) {
  read_name(reader, "name", presence::required, settings.name);
  read_name(reader, "domain", presence::required, settings.domain.value);
  read_endpoint(reader, "callers_address", presence::required, settings.callers_address);
  read_endpoint(reader, "readiness_address", presence::required, settings.readiness_address);
  read_endpoint(reader, "mesh_address", presence::required, settings.mesh_address.value);
  read_endpoint(reader, "store_address", presence::required, settings.store_address);
  read_secret(reader, "fleet_key", fleet_key_bytes, settings.fleet_key);
}

void read_optional_addresses(table_reader& reader, router_settings& settings) {
  read_endpoint(reader, "control_address", presence::optional, settings.control_address);
  read_endpoint(reader, "metrics_address", presence::optional, settings.metrics_address);
  settings.seeds = read_endpoints(reader, "seeds", max_seeds);
}

void read_limits(table_reader& reader, router_settings& settings) {
  read_milliseconds(reader, "stop_grace_ms", stop_grace_range, settings.stop_grace);
  read_seconds(reader, "stop_grace_s", stop_grace_range, settings.stop_grace);
  read_milliseconds(reader, "store_touch_ms", store_time_range, settings.store_touch);
  read_milliseconds(reader, "leaving_limit_ms", store_time_range, settings.leaving_limit);
  read_milliseconds(reader, "heartbeat_interval_ms", store_time_range, settings.heartbeat_interval);
  read_milliseconds(reader, "gossip_interval_ms", gossip_interval_range, settings.gossip_interval);
  read_number(reader, "processor_share", ratio_range, settings.processor_share);
  read_number(reader, "retry_ratio", ratio_range, settings.retry_ratio);
  read_number(reader, "retry_slack", slack_range, settings.retry_slack);
  read_number(reader, "cold_over", ratio_range, settings.cold_over);
  read_number(reader, "cold_slack", slack_range, settings.cold_slack);
  read_number(reader, "crossing_call_ms", crossing_range, settings.crossing_call_ms);
  read_number(reader, "crossing_kilobyte_ms", crossing_range, settings.crossing_kilobyte_ms);
  read_integer(reader, "max_connections", presence::optional, connections_range,
               settings.max_connections);
  read_integer(reader, "max_body_total", presence::optional, body_bytes_range,
               settings.max_body_total);
  read_integer(reader, "max_response_total", presence::optional, body_bytes_range,
               settings.max_response_total);
  read_integer(reader, "stream_buffer_bytes", presence::optional, buffer_bytes_range,
               settings.stream_buffer_bytes);
}

void check_callers_address_is_distinct(const table_reader& reader,
                                       const router_settings& settings) {
  if (!settings.callers_address.empty() && settings.callers_address == settings.readiness_address) {
    add_key_error(reader, "readiness_address", "must differ from callers_address");
  }
}

// Serves no control pages rather than take the callers' address.
void check_control_address_is_distinct(const table_reader& reader, router_settings& settings) {
  if (!settings.control_address.empty() && settings.control_address == settings.callers_address) {
    add_key_error(reader, "control_address", "must differ from callers_address");
    settings.control_address.clear();
  }
}

}  // namespace

settings_result parse_settings(std::string_view text, std::string_view file) {
  settings_result result;
  result.text_hash = stable_hash(text);
  tree_result tree = parse_document_tree(text, file);
  if (!tree.root.has_value()) {
    result.errors = std::move(tree.errors);
    return result;
  }
  error_list problems{std::string{file}, {}};
  table_reader reader = root_reader(*tree.root, problems);
  const std::string default_level = result.settings.log_level;
  std::string_view log_level = default_level;
  read_required(reader, result.settings);
  check_callers_address_is_distinct(reader, result.settings);
  result.usable = problems.errors.empty();
  read_optional_addresses(reader, result.settings);
  check_control_address_is_distinct(reader, result.settings);
  read_limits(reader, result.settings);
  read_choice(reader, "log_level", log_levels, log_level);
  result.settings.log_level = std::string{log_level};
  check_unknown_keys(reader);
  sort_by_line(problems.errors);
  result.errors = std::move(problems.errors);
  return result;
}

settings_result load_settings(const std::string& path) {
  file_result file = read_document_file(path);
  if (!file.errors.empty()) {
    settings_result result;
    result.errors = std::move(file.errors);
    return result;
  }
  return parse_settings(file.text, path);
}

}  // namespace peridot
