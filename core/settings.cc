#include "core/settings.h"

#include "core/document_file.h"
#include "core/document_reader.h"
#include "core/document_tree.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t max_seeds = 64;
constexpr value_range<std::size_t> fleet_key_bytes{16, 512};
constexpr value_range<milliseconds> tick_range{milliseconds{1}, milliseconds{1'000}};
constexpr value_range<milliseconds> poll_range{milliseconds{10}, milliseconds{60'000}};
constexpr value_range<milliseconds> stop_range{milliseconds{0}, milliseconds{3'600'000}};
constexpr value_range<milliseconds> key_life_range{milliseconds{1'000}, milliseconds{86'400'000}};
constexpr value_range<std::int64_t> connections_range{1, 1'000'000};
constexpr value_range<std::int64_t> queued_range{1, 1'000'000};
constexpr value_range<std::int64_t> header_bytes_range{256, 1 << 20};
constexpr value_range<std::int64_t> body_bytes_range{1, 64 << 20};
constexpr value_range<std::int64_t> buffer_bytes_range{1'024, 64 << 20};
constexpr value_range<std::int64_t> keys_range{1, 10'000'000};
constexpr value_range<std::int64_t> result_bytes_range{0, 64 << 20};
constexpr value_range<std::int64_t> all_results_bytes_range{0, 1LL << 32};
constexpr value_range<std::int64_t> events_range{100, 1'000'000};

constexpr choice<std::string_view> log_levels[] = {
    {"debug", "debug"}, {"info", "info"}, {"warn", "warn"}, {"error", "error"}};

template <class Integer>
void read_count(table_reader& reader, std::string_view key, value_range<std::int64_t> range,
                Integer& output) {
  read_integer(reader, key, presence::optional, range, output);
}

void read_identity(table_reader& reader, router_settings& settings) {
  read_name(reader, "name", presence::required, settings.name);
  read_name(reader, "domain", presence::required, settings.domain.value);
  read_endpoint(reader, "http_address", presence::required, settings.http_address);
  read_endpoint(reader, "mesh_address", presence::required, settings.mesh_address.value);
  for (std::string& seed : read_endpoints(reader, "seeds", max_seeds)) {
    settings.seeds.push_back(router_address{std::move(seed)});
  }
  read_endpoint(reader, "config_service", presence::required, settings.config_service);
  read_secret(reader, "fleet_key", fleet_key_bytes, settings.fleet_key);
}

void read_timing(table_reader& reader, router_settings& settings) {
  read_milliseconds(reader, "tick_ms", tick_range, settings.tick);
  read_milliseconds(reader, "load_poll_ms", poll_range, settings.load_poll);
  read_milliseconds(reader, "service_timeout_ms", poll_range, settings.service_timeout);
  read_milliseconds(reader, "watch_wait_ms", poll_range, settings.watch_wait);
  read_milliseconds(reader, "stop_grace_ms", stop_range, settings.stop_grace);
  read_milliseconds(reader, "key_life_ms", key_life_range, settings.key_life);
}

void read_budgets(table_reader& reader, router_settings& settings) {
  read_count(reader, "max_connections", connections_range, settings.max_connections);
  read_count(reader, "max_queued", queued_range, settings.max_queued);
  read_count(reader, "max_header_bytes", header_bytes_range, settings.max_header_bytes);
  read_count(reader, "max_body_bytes", body_bytes_range, settings.max_body_bytes);
  read_count(reader, "stream_buffer_bytes", buffer_bytes_range, settings.stream_buffer_bytes);
  read_count(reader, "max_keys", keys_range, settings.max_keys);
  read_count(reader, "key_result_bytes", result_bytes_range, settings.key_result_bytes);
  read_count(reader, "key_results_total_bytes", all_results_bytes_range,
             settings.key_results_total_bytes);
  read_count(reader, "timeline_events", events_range, settings.timeline_events);
}

// Rules that span two keys.
void check_settings(const table_reader& reader, const router_settings& settings) {
  const std::string& mesh = settings.mesh_address.value;
  if (!mesh.empty() && mesh == settings.http_address) {
    report_key(reader, "mesh_address", "must differ from http_address");
  }
  if (settings.key_results_total_bytes < settings.key_result_bytes) {
    report_key(reader, "key_results_total_bytes", "must be at least key_result_bytes");
  }
}

}  // namespace

settings_result parse_settings(std::string_view text, std::string_view file) {
  settings_result result;
  tree_result tree = parse_document_tree(text, file);
  if (!tree.root.has_value()) {
    result.errors = std::move(tree.errors);
    return result;
  }
  error_list problems{std::string{file}, {}};
  table_reader reader = root_reader(*tree.root, problems);
  const std::string default_level = result.settings.log_level;
  std::string_view log_level = default_level;
  read_identity(reader, result.settings);
  read_timing(reader, result.settings);
  read_budgets(reader, result.settings);
  read_choice(reader, "log_level", log_levels, log_level);
  result.settings.log_level = std::string{log_level};
  check_settings(reader, result.settings);
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
