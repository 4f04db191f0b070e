#include "core/routing/fair_share.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "core/base/keep_first.h"
#include "core/base/stable_hash.h"

namespace peridot {
namespace {

// Bounds of the correction of the admitted fraction by what was served.
constexpr double min_level_correction = 0.1;
constexpr double max_level_correction = 2;

// Time in which a surplus decays to 1/e: shares are judged over six seconds.
constexpr milliseconds surplus_decay_time{6'000};
// Bounds of an organisation's own level, relative to the admission level.
constexpr double min_relative_level = 0.25;
constexpr double max_relative_level = 2;
constexpr double min_surplus_tokens = 1;

constexpr double call_tokens_ewma_weight = 0.01;

constexpr duration window_length = share_bucket_width * share_bucket_count;

std::int64_t bucket_at(instant now) {
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) / share_bucket_width;
}

void clear_bucket(token_usage_window& window, std::size_t index) {
  window.asked_sum -= window.asked[index];
  window.served_sum -= window.served[index];
  window.asked[index] = 0;
  window.served[index] = 0;
}

// Clears the buckets that have left the window.
void advance_window(share_table& table, instant now) {
  const std::int64_t bucket = bucket_at(now);
  const std::int64_t expired_buckets = std::min<std::int64_t>(
      bucket - table.newest_bucket, static_cast<std::int64_t>(share_bucket_count));
  for (std::int64_t step = 0; step < expired_buckets; ++step) {
    const std::size_t index = static_cast<std::size_t>(bucket - step) % share_bucket_count;
    for (std::pair<const organisation_name, token_usage_window>& entry : table.own) {
      clear_bucket(entry.second, index);
    }
  }
  table.newest_bucket = std::max(table.newest_bucket, bucket);
}

// The max-min fair share; 0 if the capacity suffices for all or is unknown.
double limit_or_zero(const std::vector<double>& asked, double capacity) {
  if (capacity <= 0) {
    return 0;
  }
  const double share = max_min_fair_share(asked, capacity);
  return share == std::numeric_limits<double>::infinity() ? 0 : share;
}

bool is_limited(const share_table& table, const token_usage& usage) {
  return table.admission_level_per_window > 0 && usage.asked > table.admission_level_per_window;
}

// Adds to each limited organisation's surplus what it was served beyond their mean since the last
// update. No organisation gains a surplus while it is the only one that is limited.
void update_surpluses(share_table& table, instant now) {
  const duration elapsed = std::min(now - table.surpluses_updated_at, window_length);
  table.surpluses_updated_at = now;
  double served = 0;
  double limited_count = 0;
  for (const std::pair<const std::uint64_t, token_usage>& entry : table.totals) {
    served += is_limited(table, entry.second) ? entry.second.served : 0;
    limited_count += is_limited(table, entry.second) ? 1 : 0;
  }
  const double windows_elapsed = to_ms(elapsed) / to_ms(window_length);
  for (const std::pair<const std::uint64_t, token_usage>& entry : table.totals) {
    if (is_limited(table, entry.second)) {
      table.surpluses[entry.first] +=
          (entry.second.served - served / limited_count) * windows_elapsed;
    }
  }
  const double decay = std::exp(-to_ms(elapsed) / to_ms(surplus_decay_time));
  for (std::pair<const std::uint64_t, double>& entry : table.surpluses) {
    entry.second *= decay;
  }
  std::erase_if(table.surpluses, [](const std::pair<const std::uint64_t, double>& entry) {
    return std::abs(entry.second) < min_surplus_tokens;
  });
}

// The admission level of one organisation: that of all, less its surplus, so that the surplus is
// settled in about one window.
double level_of(const share_table& table, std::uint64_t organisation) {
  const double level = table.admission_level_per_window;
  auto found = table.surpluses.find(organisation);
  const double surplus = found == table.surpluses.end() ? 0 : found->second;
  return std::clamp(level - surplus, min_relative_level * level, max_relative_level * level);
}

// Tokens served to the organisation, divided by min(asked tokens, limit); 0 if there is no limit.
double position(const share_table& table, const organisation_name& organisation, double limit) {
  if (limit <= 0) {
    return 0;
  }
  auto found = table.totals.find(stable_hash(organisation.value));
  if (found == table.totals.end()) {
    return 0;
  }
  const double share = std::min(found->second.asked, limit);
  return share <= 0 ? 0 : found->second.served / share;
}

}  // namespace

double weighted_tokens(const prompt& call_prompt) {
  return call_prompt.prompt_tokens + output_token_weight * call_prompt.expected_output_tokens;
}

void record_asked_tokens(share_table& table, const organisation_name& organisation, double tokens,
                         instant now) {
  advance_window(table, now);
  token_usage_window& window = table.own[organisation];
  window.asked[static_cast<std::size_t>(table.newest_bucket) % share_bucket_count] += tokens;
  window.asked_sum += tokens;
  table.mean_call_tokens =
      table.mean_call_tokens <= 0
          ? tokens
          : table.mean_call_tokens + call_tokens_ewma_weight * (tokens - table.mean_call_tokens);
}

void record_served_tokens(share_table& table, const organisation_name& organisation, double tokens,
                          instant now) {
  advance_window(table, now);
  token_usage_window& window = table.own[organisation];
  window.served[static_cast<std::size_t>(table.newest_bucket) % share_bucket_count] += tokens;
  window.served_sum += tokens;
}

std::vector<std::pair<std::uint64_t, token_usage>> usage_report(const share_table& table,
                                                                std::size_t max_organisations) {
  using named_window = std::pair<const organisation_name, token_usage_window>;
  std::vector<const named_window*> busiest;
  busiest.reserve(table.own.size());
  for (const named_window& entry : table.own) {
    busiest.push_back(&entry);
  }
  keep_first(busiest, max_organisations, [](const named_window* left, const named_window* right) {
    return left->second.asked_sum > right->second.asked_sum;
  });
  std::vector<std::pair<std::uint64_t, token_usage>> report;
  report.reserve(busiest.size());
  for (const named_window* entry : busiest) {
    report.emplace_back(stable_hash(entry->first.value),
                        token_usage{entry->second.asked_sum, entry->second.served_sum});
  }
  return report;
}

void update_peer_usage(share_table& table, const router_address& peer,
                       std::map<std::uint64_t, token_usage> reported, instant valid_until) {
  table.peer_usage[peer] = {valid_until, std::move(reported)};
}

double capacity_under_limits(double tokens_per_second, std::size_t engine_count,
                             const std::vector<double>& limits, double mean_call_tokens) {
  if (engine_count == 0 || mean_call_tokens <= 0) {
    return tokens_per_second;
  }
  const double per_engine = tokens_per_second / static_cast<double>(engine_count);
  double capacity = tokens_per_second;
  for (const double limit : limits) {
    capacity -= std::max(0.0, per_engine - limit * mean_call_tokens);
  }
  return capacity;
}

double admission_growth_factor(std::size_t rounds_per_cycle) {
  return 1 + 1 / static_cast<double>(std::max<std::size_t>(1, rounds_per_cycle));
}

void update_fair_share(share_table& table, double tokens_per_second, std::size_t rounds_per_cycle,
                       instant now) {
  advance_window(table, now);
  // Drops organisations without usage in the window (less than half a token).
  std::erase_if(table.own, [](const std::pair<const organisation_name, token_usage_window>& entry) {
    return entry.second.asked_sum < 0.5 && entry.second.served_sum < 0.5;
  });
  std::erase_if(table.peer_usage, [now](const auto& entry) { return now > entry.second.first; });
  table.totals.clear();
  for (const std::pair<const organisation_name, token_usage_window>& entry : table.own) {
    token_usage& total = table.totals[stable_hash(entry.first.value)];
    total.asked += entry.second.asked_sum;
    total.served += entry.second.served_sum;
  }
  for (const auto& peer : table.peer_usage) {
    for (const std::pair<const std::uint64_t, token_usage>& entry : peer.second.second) {
      token_usage& total = table.totals[entry.first];
      total.asked += entry.second.asked;
      total.served += entry.second.served;
    }
  }
  std::vector<double> asked_per_organisation;
  double total_served = 0;
  for (const std::pair<const std::uint64_t, token_usage>& entry : table.totals) {
    asked_per_organisation.push_back(entry.second.asked);
    total_served += entry.second.served;
  }
  const double stated_capacity =
      tokens_per_second * std::chrono::duration<double>(window_length).count();
  table.fair_share_per_window = limit_or_zero(asked_per_organisation, stated_capacity);
  table.admission_level_per_window =
      stated_capacity <= 0
          ? 0
          : limit_or_zero(asked_per_organisation,
                          std::max(stated_capacity,
                                   admission_growth_factor(rounds_per_cycle) * total_served));
  update_surpluses(table, now);
}

double share_position(const share_table& table, const organisation_name& organisation) {
  return position(table, organisation, table.fair_share_per_window);
}

double level_position(const share_table& table, const organisation_name& organisation) {
  return position(table, organisation, level_of(table, stable_hash(organisation.value)));
}

double admitted_fraction(const share_table& table, const organisation_name& organisation) {
  auto found = table.totals.find(stable_hash(organisation.value));
  const double level = level_of(table, stable_hash(organisation.value));
  if (level <= 0 || found == table.totals.end() || found->second.asked <= level) {
    return 1;
  }
  // Less is served than was admitted where calls are refused for the engines' queues, and where
  // calls arrive in bursts, since the asked tokens count the last burst.
  const double correction =
      std::clamp(found->second.served / level, min_level_correction, max_level_correction);
  return std::min(1.0, level / (found->second.asked * correction));
}

double max_min_fair_share(std::vector<double> asked, double capacity) {
  std::sort(asked.begin(), asked.end());
  double remaining = capacity;
  for (std::size_t index = 0; index < asked.size(); ++index) {
    const double equal_share = remaining / static_cast<double>(asked.size() - index);
    if (asked[index] > equal_share) {
      return equal_share;
    }
    remaining -= asked[index];
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace peridot
