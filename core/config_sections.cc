#include "core/config_sections.h"

#include <unordered_set>

namespace peridot {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t max_call_slots = 65'536;
constexpr std::int64_t max_queued_calls = 100'000;
constexpr std::int64_t max_profile_body_bytes = 64 << 20;
constexpr std::int64_t max_retries_of_profile = 10;
constexpr std::int64_t max_shards_per_pool = 64;
constexpr std::int64_t max_voters_per_shard = 31;
constexpr value_range<double> weight_range{0.001, 1'000};
constexpr value_range<double> cost_range{0.001, 1e9};
constexpr value_range<milliseconds> interval_range{milliseconds{10}, milliseconds{10'000}};
constexpr value_range<milliseconds> lease_range{milliseconds{50}, milliseconds{60'000}};
constexpr value_range<milliseconds> grant_range{milliseconds{10}, milliseconds{30'000}};
constexpr value_range<milliseconds> deadline_range{milliseconds{1}, milliseconds{3'600'000}};
constexpr value_range<milliseconds> day_range{milliseconds{1'000}, milliseconds{86'400'000}};

constexpr choice<traffic_class> classes[] = {{"interactive", traffic_class::interactive},
                                             {"standard", traffic_class::standard},
                                             {"batch", traffic_class::batch}};
constexpr choice<target_kind> kinds[] = {{"model_engine", target_kind::model_engine},
                                         {"plain_service", target_kind::plain_service}};

// Timing rules that span two keys of the fleet.
void check_fleet(const table_reader& reader, const fleet_config& fleet) {
  if (fleet.grant_validity * 2 >= fleet.lease) {
    report_key(reader, "grant_validity_ms", "must be below half of lease_ms");
  }
  if (fleet.suspect_after < fleet.heartbeat_interval * 2) {
    report_key(reader, "suspect_after_ms", "must be at least twice heartbeat_interval_ms");
  }
  if (fleet.lease < fleet.heartbeat_interval * 2) {
    report_key(reader, "lease_ms", "must be at least twice heartbeat_interval_ms");
  }
}

// Limits of one target that depend on each other.
void check_limits(const table_reader& reader, const target_config& target) {
  if (target.cold_limit > target.warm_limit) {
    report_key(reader, "cold_limit", "must not be above warm_limit");
  }
  if (target.reserved_slots >= target.warm_limit) {
    report_key(reader, "reserved_slots", "must be below warm_limit");
  }
}

// The path at the target must be one word that starts with a slash.
void check_path(const table_reader& reader, const std::string& path) {
  if (!path.starts_with('/') || path.find_first_of(" ?#") != std::string::npos) {
    report_key(reader, "path", "must start with '/' and hold no space, '?' or '#'");
  }
}

profile_config read_profile(table_reader& reader) {
  profile_config profile;
  read_name(reader, "name", presence::required, profile.name.value);
  read_name(reader, "pool", presence::required, profile.pool.value);
  read_name(reader, "path", presence::optional, profile.path);
  check_path(reader, profile.path);
  read_choice(reader, "class", classes, profile.priority);
  read_milliseconds(reader, "queue_deadline_ms", deadline_range, profile.queue_deadline);
  read_milliseconds(reader, "run_timeout_ms", {milliseconds{1}, day_range.most},
                    profile.run_timeout);
  read_boolean(reader, "repeatable", profile.repeatable);
  read_integer(reader, "max_retries", presence::optional, {0, max_retries_of_profile},
               profile.max_retries);
  read_number(reader, "cost_hint", cost_range, profile.cost_hint);
  read_integer(reader, "max_body_bytes", presence::optional, {1, max_profile_body_bytes},
               profile.max_body_bytes);
  check_unknown_keys(reader);
  return profile;
}

target_config read_target(table_reader& reader) {
  target_config target;
  const value_range<std::int64_t> slots{1, max_call_slots};
  read_name(reader, "name", presence::required, target.name.value);
  read_endpoint(reader, "address", presence::required, target.address);
  read_name(reader, "pool", presence::required, target.pool.value);
  read_name(reader, "failure_domain", presence::required, target.domain.value);
  read_choice(reader, "kind", kinds, target.kind);
  read_integer(reader, "warm_limit", presence::optional, slots, target.warm_limit);
  read_integer(reader, "cold_limit", presence::optional, slots, target.cold_limit);
  read_integer(reader, "ramp_calls", presence::optional, slots, target.ramp_calls);
  read_integer(reader, "reserved_slots", presence::optional, {0, max_call_slots},
               target.reserved_slots);
  read_boolean(reader, "truthful_refusals", target.truthful_refusals);
  read_boolean(reader, "checks_fencing", target.checks_fencing);
  read_boolean(reader, "drained", target.drained);
  check_limits(reader, target);
  check_unknown_keys(reader);
  return target;
}

}  // namespace

void read_fleet(table_reader& root, fleet_config& fleet) {
  table_reader reader = read_table(root, "fleet");
  read_milliseconds(reader, "heartbeat_interval_ms", interval_range, fleet.heartbeat_interval);
  read_milliseconds(reader, "suspect_after_ms", lease_range, fleet.suspect_after);
  read_milliseconds(reader, "lease_ms", lease_range, fleet.lease);
  read_milliseconds(reader, "grant_validity_ms", grant_range, fleet.grant_validity);
  read_milliseconds(reader, "totals_interval_ms", interval_range, fleet.totals_interval);
  read_milliseconds(reader, "suspect_request_life_ms", day_range, fleet.suspect_request_life);
  read_integer(reader, "shards_per_pool", presence::optional, {1, max_shards_per_pool},
               fleet.shards_per_pool);
  read_integer(reader, "voters_per_shard", presence::optional, {1, max_voters_per_shard},
               fleet.voters_per_shard);
  check_fleet(reader, fleet);
  check_unknown_keys(reader);
}

void read_domains(table_reader& root, std::vector<domain_config>& domains) {
  first_lines names;
  for (table_reader& reader : read_tables(root, "failure_domain", max_domains)) {
    domain_config domain;
    read_name(reader, "name", presence::required, domain.name.value);
    read_boolean(reader, "out", domain.out);
    check_unknown_keys(reader);
    check_unique(reader, "name", domain.name.value, names);
    domains.push_back(std::move(domain));
  }
}

void read_organisations(table_reader& root, std::vector<organisation_config>& organisations) {
  first_lines names;
  for (table_reader& reader : read_tables(root, "organisation", max_organisations)) {
    organisation_config organisation;
    read_name(reader, "name", presence::required, organisation.name.value);
    read_number(reader, "weight", weight_range, organisation.weight);
    read_integer(reader, "max_queued", presence::optional, {1, max_queued_calls},
                 organisation.max_queued);
    check_unknown_keys(reader);
    check_unique(reader, "name", organisation.name.value, names);
    organisations.push_back(std::move(organisation));
  }
}

std::vector<table_reader> read_profiles(table_reader& root, std::vector<profile_config>& profiles) {
  first_lines names;
  std::vector<table_reader> readers = read_tables(root, "profile", max_profiles);
  for (table_reader& reader : readers) {
    profiles.push_back(read_profile(reader));
    check_unique(reader, "name", profiles.back().name.value, names);
  }
  return readers;
}

std::vector<table_reader> read_targets(table_reader& root, std::vector<target_config>& targets) {
  first_lines names;
  first_lines addresses;
  std::vector<table_reader> readers = read_tables(root, "target", max_targets);
  for (table_reader& reader : readers) {
    targets.push_back(read_target(reader));
    check_unique(reader, "name", targets.back().name.value, names);
    check_unique(reader, "address", targets.back().address, addresses);
  }
  return readers;
}

void check_references(const published_config& config, const section_readers& readers) {
  std::unordered_set<std::string> domains;
  for (const domain_config& domain : config.domains) {
    domains.insert(domain.name.value);
  }
  std::unordered_set<std::string> pool_names;
  for (std::size_t index = 0; index < config.targets.size(); ++index) {
    const target_config& target = config.targets[index];
    pool_names.insert(target.pool.value);
    if (!target.domain.value.empty() && !domains.contains(target.domain.value)) {
      report_key(readers.targets[index], "failure_domain",
                 "no [[failure_domain]] has the name \"" + printable(target.domain.value) + "\"");
    }
  }
  for (std::size_t index = 0; index < config.profiles.size(); ++index) {
    const pool_name& pool = config.profiles[index].pool;
    if (!pool.value.empty() && !pool_names.contains(pool.value)) {
      report_key(readers.profiles[index], "pool",
                 "no [[target]] has the pool \"" + printable(pool.value) + "\"");
    }
  }
}

}  // namespace peridot
