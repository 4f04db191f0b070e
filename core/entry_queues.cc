// Queues of the entry side: limits, admission, order and deadlines.
//
// One first-in first-out queue per pool, organisation, class and solo flag. A
// retry goes to the front: it has waited before. `deadlines` orders all queued
// requests by start_before, so that a tick costs what is due and no more.
//
// Limits. An organisation may queue max_queued of its configuration, and no more
// than `share * room`, where `room` is what is left of the router's max_queued
// and `share` is its weight over the largest weight (dynamic thresholds, Choudhury
// and Hahne, 1998). One flooding organisation therefore stops at half of the
// router's queue, n of equal weight at 1/(n+1) each: some room is always left for
// an organisation that has nothing queued, without reserving it for each.
//
// Admission. Each queue counts its grants over the time during which it had
// requests waiting, both with exponential decay. Length over rate is the expected
// wait. A request is refused only if that clearly outlasts its deadline, and never
// into an empty queue or with too little experience (rate_grants, rate_history): a wrong
// refusal costs a caller an answer, a wrong admission costs it a late true refusal.
//
// Invariants: a request is in exactly one queue, or runs; a queue in the map is
// not empty; counts per organisation and in all equal the queues.
#include <algorithm>
#include <cmath>

#include "core/check.h"
#include "core/entry_internal.h"

namespace peridot {
namespace {

using seconds = std::chrono::duration<double>;

constexpr double rate_decay_seconds = 10;                      // of backlogged time
constexpr double rate_grants = 3;                              // before a rate is believed,
constexpr seconds rate_history{8};                             // or without any grant for so long
constexpr std::chrono::milliseconds longest_rate_step{1'000};  // a pause is not backlog
constexpr double clearly_longer = 1.5;                         // expected wait over the deadline
constexpr std::size_t least_queue_limit = 4;
constexpr std::chrono::milliseconds shortest_retry_after{100};
constexpr std::chrono::milliseconds longest_retry_after{15'000};

// Counts the time since the last update as backlogged. Called before each change
// of a queue that is not empty.
void add_backlog(queue_rate& rate, instant now) {
  const duration step = std::min<duration>(now - rate.updated, longest_rate_step);
  const double elapsed = seconds{step}.count();
  const double kept = std::exp(-elapsed / rate_decay_seconds);
  rate.grants *= kept;
  rate.backlogged_seconds = rate.backlogged_seconds * kept + elapsed;
  rate.updated = now;
}

// Removes the rate that was not updated for longest. Linear; reached only after
// the configuration has named max_queue_rates queues.
void drop_oldest_rate(std::map<queue_key, queue_rate>& rates) {
  using entry = std::map<queue_key, queue_rate>::value_type;
  auto oldest = std::min_element(
      rates.begin(), rates.end(),
      [](const entry& one, const entry& two) { return one.second.updated < two.second.updated; });
  rates.erase(oldest);
}

// The queue's rate, brought up to date.
queue_rate& current_rate(entry_table& table, const queue_key& key, instant now) {
  auto found = table.rates.find(key);
  if (found == table.rates.end()) {
    if (table.rates.size() >= max_queue_rates) {
      drop_oldest_rate(table.rates);
    }
    found = table.rates.emplace(key, queue_rate{0, 0, now}).first;
  }
  if (table.queues.contains(key)) {
    add_backlog(found->second, now);
  } else {
    found->second.updated = now;
  }
  return found->second;
}

// Expected wait of a request that joins the queue now. Zero if unknown.
seconds expected_wait(entry_table& table, const queue_key& key, instant now) {
  auto queue = table.queues.find(key);
  if (queue == table.queues.end()) {
    return seconds{0};
  }
  const queue_rate& rate = current_rate(table, key, now);
  if (rate.grants < rate_grants && rate.backlogged_seconds < rate_history.count()) {
    return seconds{0};
  }
  const double position = static_cast<double>(queue->second.size() + 1);
  const double per_second = std::max(rate.grants, 1e-3) / rate.backlogged_seconds;
  return seconds{position / per_second};
}

std::chrono::milliseconds bounded_retry_after(seconds wait) {
  const double longest = seconds{longest_retry_after}.count();
  const seconds bounded{std::min(wait.count(), longest)};
  return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(bounded),
                  shortest_retry_after);
}

double largest_weight(const published_config& config) {
  double largest = 0;
  for (const organisation_config& organisation : config.organisations) {
    largest = std::max(largest, organisation.weight);
  }
  return largest;
}

// Requests that the organisation may have queued now.
std::size_t queue_limit(const entry_table& table, const organisation_config& organisation,
                        const published_config& config) {
  if (table.queued >= table.max_queued) {
    return 0;
  }
  const double share = organisation.weight / largest_weight(config);
  const double room = static_cast<double>(table.max_queued - table.queued);
  const std::size_t threshold = static_cast<std::size_t>(share * room);
  return std::min<std::size_t>(organisation.max_queued, std::max(threshold, least_queue_limit));
}

std::size_t queued_of(const entry_table& table, const organisation_name& organisation) {
  auto row = table.organisations.find(organisation);
  return row == table.organisations.end() ? 0 : row->second.queued;
}

submit_result refuse(std::uint64_t id, refusal why, std::chrono::milliseconds retry_after) {
  submit_result result;
  result.id = id;
  result.why = why;
  result.retry_after = with_jitter(retry_after, id);
  return result;
}

// The row of a request, before any limit has been looked at.
request_row make_row(entry_table& table, const new_request& request, const profile_config& profile,
                     std::uint32_t crashes, instant now) {
  request_row row;
  row.id = table.next_id++;
  row.organisation = request.organisation;
  row.profile = profile.name;
  row.pool = profile.pool;
  row.priority = profile.priority;
  row.fingerprint = request.fingerprint;
  row.repeatable = profile.repeatable;
  row.solo = crashes > 0;
  row.max_retries = profile.max_retries;
  row.longest_wait =
      std::min(profile.queue_deadline, request.queue_deadline.value_or(profile.queue_deadline));
  row.run_timeout = profile.run_timeout;
  row.arrived = now;
  row.start_before = now + row.longest_wait;
  row.estimated = expected_cost(table, cost_key{row.organisation, row.profile}, profile.cost_hint);
  return row;
}

// Cheap form of check_entry_table for one queue.
void check_counts(const entry_table& table, const organisation_row& organisation,
                  std::size_t queue_size) {
  PERIDOT_CHECK(queue_size <= organisation.queued, "a queue is longer than its organisation's");
  PERIDOT_CHECK(organisation.queued <= table.queued, "an organisation has more than all queued");
  PERIDOT_CHECK(table.deadlines.size() == table.queued, "a queued request has no deadline");
}

// Whether a queued request may start, given what is known of its crashes now.
enum class startable { yes, not_now, moved };

startable recheck_suspect(entry_table& table, request_row& row, instant now) {
  const std::uint32_t crashes = crashes_of(table.suspects, row.organisation, row.fingerprint, now);
  if (crashes >= max_crashes) {
    table.deadlines.erase(queue_deadline{row.start_before, row.id});
    row.start_before = now;
    row.expires_as = refusal::suspect;
    table.deadlines.insert(queue_deadline{row.start_before, row.id});
    return startable::not_now;
  }
  if (crashes > 0 && !row.solo) {
    remove_queued(table, row, now);
    row.solo = true;
    push_queued(table, row, queue_end::back, now);
    return startable::moved;
  }
  return startable::yes;
}

}  // namespace

queue_key queue_of(const request_row& row) {
  return queue_key{row.pool, row.organisation, row.priority, row.solo};
}

void push_queued(entry_table& table, request_row& row, queue_end end, instant now) {
  PERIDOT_CHECK(!row.running, "a running request is queued");
  const queue_key key = queue_of(row);
  current_rate(table, key, now);
  std::deque<std::uint64_t>& queue = table.queues[key];
  if (end == queue_end::front) {
    queue.push_front(row.id);
  } else {
    queue.push_back(row.id);
  }
  row.queued = now;
  const bool added = table.deadlines.insert(queue_deadline{row.start_before, row.id}).second;
  PERIDOT_CHECK(added, "a request is queued twice");
  organisation_row& organisation = table.organisations[row.organisation];
  ++organisation.queued;
  ++table.queued;
  check_counts(table, organisation, queue.size());
  mark_demand(table, row.pool);
}

void remove_queued(entry_table& table, request_row& row, instant now) {
  const queue_key key = queue_of(row);
  auto queue = table.queues.find(key);
  PERIDOT_CHECK(queue != table.queues.end(), "a queued request has no queue");
  current_rate(table, key, now);
  auto place = std::find(queue->second.begin(), queue->second.end(), row.id);
  PERIDOT_CHECK(place != queue->second.end(), "a queued request is not in its queue");
  queue->second.erase(place);
  const std::size_t left = queue->second.size();
  if (left == 0) {
    table.queues.erase(queue);
  }
  table.deadlines.erase(queue_deadline{row.start_before, row.id});
  organisation_row& organisation = table.organisations.at(row.organisation);
  PERIDOT_CHECK(organisation.queued > 0 && table.queued > 0, "more left the queues than entered");
  --organisation.queued;
  --table.queued;
  check_counts(table, organisation, left);
  mark_demand(table, row.pool);
}

request_row* first_startable(entry_table& table, const queue_key& key, instant now) {
  std::size_t place = 0;
  auto queue = table.queues.find(key);
  while (queue != table.queues.end() && place < queue->second.size()) {
    request_row& row = table.requests.at(queue->second[place]);
    if (row.start_before <= now) {
      ++place;
      continue;
    }
    switch (recheck_suspect(table, row, now)) {
      case startable::yes:
        return &row;
      case startable::not_now:
        ++place;
        break;
      case startable::moved:
        queue = table.queues.find(key);
        break;
    }
  }
  return nullptr;
}

void count_grant(entry_table& table, const queue_key& key, instant now) {
  current_rate(table, key, now).grants += 1;
}

std::chrono::milliseconds with_jitter(std::chrono::milliseconds base, std::uint64_t request) {
  constexpr std::uint64_t steps = 1024;
  const std::uint64_t step = stable_hash("retry-after", request) % steps;
  return base + base * static_cast<std::int64_t>(step) / static_cast<std::int64_t>(2 * steps);
}

submit_result submit(entry_table& table, const new_request& request, const entry_context& context,
                     instant now) {
  const organisation_config* organisation = find_organisation(context.config, request.organisation);
  const profile_config* profile = find_profile(context.config, request.profile);
  if (table.stopping) {
    return refuse(table.next_id++, refusal::stopping, default_retry_after);
  }
  if (organisation == nullptr) {
    return refuse(table.next_id++, refusal::unknown_organisation, std::chrono::milliseconds{0});
  }
  if (profile == nullptr) {
    return refuse(table.next_id++, refusal::unknown_profile, std::chrono::milliseconds{0});
  }
  const std::uint32_t crashes =
      crashes_of(table.suspects, request.organisation, request.fingerprint, now);
  request_row row = make_row(table, request, *profile, crashes, now);
  if (crashes >= max_crashes) {
    const instant until =
        suspect_until(table.suspects, request.organisation, request.fingerprint, now);
    return refuse(row.id, refusal::suspect,
                  std::chrono::ceil<std::chrono::milliseconds>(until - now));
  }
  const seconds wait = expected_wait(table, queue_of(row), now);
  if (queued_of(table, row.organisation) >= queue_limit(table, *organisation, context.config)) {
    const seconds half = std::max<seconds>(wait / 2, default_retry_after);
    return refuse(row.id, refusal::queue_full, bounded_retry_after(half));
  }
  if (wait > clearly_longer * seconds{row.longest_wait}) {
    return refuse(row.id, refusal::deadline, bounded_retry_after(wait - row.longest_wait));
  }
  submit_result result;
  result.accepted = true;
  result.id = row.id;
  request_row& kept = table.requests.emplace(row.id, row).first->second;
  push_queued(table, kept, queue_end::back, now);
  return result;
}

decision give_up(entry_table& table, std::uint64_t request, outcome how, refusal why,
                 std::chrono::milliseconds retry_after) {
  auto row = table.requests.find(request);
  PERIDOT_CHECK(row != table.requests.end(), "an unknown request is given up");
  PERIDOT_CHECK(how != outcome::not_run || row->second.dispatches == 0,
                "not_run is told of a request that a target may have received");
  table.requests.erase(row);
  decision result;
  result.what = decision::kind::give_up;
  result.request = request;
  result.how = how;
  result.why = why;
  result.retry_after = with_jitter(retry_after, request);
  return result;
}

void refuse_expired(entry_table& table, instant now, std::vector<decision>& decisions) {
  while (!table.deadlines.empty() && table.deadlines.begin()->at <= now) {
    request_row& row = table.requests.at(table.deadlines.begin()->request);
    std::chrono::milliseconds retry_after = default_retry_after;
    if (row.expires_as == refusal::suspect) {
      const instant until = suspect_until(table.suspects, row.organisation, row.fingerprint, now);
      retry_after = std::chrono::ceil<std::chrono::milliseconds>(until - now);
    }
    remove_queued(table, row, now);
    decisions.push_back(give_up(table, row.id, row.earlier_runs, row.expires_as, retry_after));
  }
}

std::vector<decision> refuse_queued(entry_table& table, refusal why, instant now) {
  std::vector<decision> decisions;
  while (!table.queues.empty()) {
    request_row& row = table.requests.at(table.queues.begin()->second.front());
    remove_queued(table, row, now);
    decisions.push_back(give_up(table, row.id, row.earlier_runs, why, default_retry_after));
  }
  check_entry_table(table);
  return decisions;
}

std::optional<decision> refuse_if_unpublished(entry_table& table, std::uint64_t request,
                                              const entry_context& context, instant now) {
  const auto found = table.requests.find(request);
  if (found == table.requests.end() || found->second.running) {
    return std::nullopt;
  }
  request_row& row = found->second;
  const profile_config* profile = find_profile(context.config, row.profile);
  const bool has_profile = profile != nullptr && profile->pool == row.pool;
  if (has_profile && find_organisation(context.config, row.organisation) != nullptr) {
    return std::nullopt;
  }
  const refusal why = has_profile ? refusal::unknown_organisation : refusal::unknown_profile;
  remove_queued(table, row, now);
  return give_up(table, request, row.earlier_runs, why, std::chrono::milliseconds{0});
}

std::vector<decision> refuse_unpublished(entry_table& table, const entry_context& context,
                                         instant now) {
  std::vector<std::uint64_t> ids;
  for (const std::pair<const std::uint64_t, request_row>& entry : table.requests) {
    ids.push_back(entry.first);
  }
  std::vector<decision> decisions;
  for (std::uint64_t id : ids) {
    const std::optional<decision> refused = refuse_if_unpublished(table, id, context, now);
    if (refused) {
      decisions.push_back(*refused);
    }
  }
  check_entry_table(table);
  return decisions;
}

void check_entry_table(const entry_table& table) {
  std::map<organisation_name, std::size_t> counted;
  std::size_t total = 0;
  for (const std::pair<const queue_key, std::deque<std::uint64_t>>& queue : table.queues) {
    PERIDOT_CHECK(!queue.second.empty(), "an empty queue was kept");
    total += queue.second.size();
    counted[queue.first.organisation] += queue.second.size();
    for (std::uint64_t id : queue.second) {
      const request_row& row = table.requests.at(id);
      PERIDOT_CHECK(queue_of(row) == queue.first, "a request is in another's queue");
      PERIDOT_CHECK(!row.running, "a running request is queued");
      PERIDOT_CHECK(table.deadlines.contains(queue_deadline{row.start_before, id}),
                    "a queued request has no deadline");
    }
  }
  PERIDOT_CHECK(total == table.queued, "the total disagrees with the queues");
  PERIDOT_CHECK(total == table.deadlines.size(), "a deadline has no queued request");
  PERIDOT_CHECK(total + table.running.size() == table.requests.size(),
                "a request is neither queued nor running");
  for (const std::pair<const organisation_name, organisation_row>& row : table.organisations) {
    PERIDOT_CHECK(row.second.queued == counted[row.first], "an organisation's count is wrong");
  }
}

}  // namespace peridot
