#include "core/routing/crash_suspects.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <string>
#include <utility>

#include "core/base/keep_first.h"
#include "core/base/stable_hash.h"

namespace peridot {
namespace {

// Without a change, events only expire.
constexpr milliseconds max_update_interval{1'000};

bool contains_all(const std::vector<std::uint64_t>& signatures,
                  const std::vector<std::uint64_t>& required) {
  return std::all_of(required.begin(), required.end(), [&signatures](std::uint64_t signature) {
    return std::find(signatures.begin(), signatures.end(), signature) != signatures.end();
  });
}

bool is_cleared(const crash_suspect_table& table, const crash_event& event,
                std::uint64_t signature) {
  const instant completed_at = last_completion(table, signature);
  return completed_at != instant{} && event.at <= completed_at + completion_protection;
}

void record_clearance(crash_suspect_table& table, std::uint64_t signature, instant now) {
  if (table.clearances.size() < max_clearances || table.clearances.contains(signature)) {
    table.clearances[signature] = now;
  }
}

// Takes the signatures out of the event that completions have cleared.
void clear_signatures(crash_suspect_table& table, crash_event& event, instant now) {
  std::erase_if(event.signatures, [&](const std::pair<const std::uint64_t, std::uint64_t>& entry) {
    const bool cleared = is_cleared(table, event, entry.first);
    if (cleared) {
      record_clearance(table, entry.first, now);
    }
    return cleared;
  });
}

void clear_all_signatures(crash_suspect_table& table, instant now) {
  table.event_signatures.clear();
  for (crash_event& event : table.events) {
    clear_signatures(table, event, now);
    for (const std::pair<const std::uint64_t, std::uint64_t>& entry : event.signatures) {
      table.event_signatures.insert(entry.first);
    }
  }
}

// Sums what `count` gives for each run of events at almost the same time.
template <class Count>
int sum_over_moments(const crash_suspect_table& table, const std::vector<std::size_t>& events,
                     Count count) {
  int sum = 0;
  for (auto from = events.begin(); from != events.end();) {
    const instant started_at = table.events[*from].at;
    const auto end = std::find_if(from, events.end(), [&](std::size_t index) {
      return table.events[index].at - started_at > simultaneous_crashes;
    });
    sum += count(std::vector<std::size_t>(from, end));
    from = end;
  }
  return sum;
}

// The number of events, of which those at almost the same time count once.
int count_separate(const crash_suspect_table& table, const std::vector<std::size_t>& events) {
  return sum_over_moments(table, events, [](const std::vector<std::size_t>&) { return 1; });
}

// The number of all events that are at most simultaneous_crashes later than `from`.
std::size_t count_simultaneous(const crash_suspect_table& table, instant from) {
  return static_cast<std::size_t>(
      std::count_if(table.events.begin(), table.events.end(), [from](const crash_event& event) {
        return event.at >= from && event.at - from <= simultaneous_crashes;
      }));
}

// The number of events that count for the signature, all of which have it. Those at almost the same
// time count once, unless it is a fingerprint and has nearly all crashes of that time.
int count_separate_of(const crash_suspect_table& table, const std::vector<std::size_t>& events,
                      std::uint64_t signature) {
  return sum_over_moments(table, events, [&](const std::vector<std::size_t>& moment) {
    const bool is_fingerprint = std::all_of(moment.begin(), moment.end(), [&](std::size_t index) {
      return table.events[index].signatures.at(signature) == signature;
    });
    const std::size_t all = count_simultaneous(table, table.events[moment.front()].at);
    const bool has_nearly_all = static_cast<double>(moment.size()) >=
                                min_own_simultaneous_fraction * static_cast<double>(all);
    return is_fingerprint && has_nearly_all ? static_cast<int>(moment.size()) : 1;
  });
}

// The number of different calls with the signature in the events. Those of one fingerprint are
// different calls.
int count_calls(const crash_suspect_table& table, const std::vector<std::size_t>& events,
                std::uint64_t signature) {
  std::set<std::uint64_t> fingerprints;
  int repeated = 0;
  for (std::size_t index : events) {
    const std::uint64_t fingerprint = table.events[index].signatures.at(signature);
    repeated += fingerprint == signature ? 1 : 0;
    fingerprints.insert(fingerprint);
  }
  return std::max(repeated, static_cast<int>(fingerprints.size()));
}

// What the events that are not yet explained hold against a signature.
struct accusation {
  std::uint64_t signature = 0;
  std::vector<std::size_t> events;  // by time
  int count = 0;
  instant completed_at{};
};

std::vector<accusation> accusations(const crash_suspect_table& table,
                                    const std::vector<bool>& explained) {
  std::unordered_map<std::uint64_t, accusation> by_signature;
  for (std::size_t index = 0; index < table.events.size(); ++index) {
    for (const std::pair<const std::uint64_t, std::uint64_t>& seen :
         table.events[index].signatures) {
      if (!explained[index]) {
        accusation& entry = by_signature[seen.first];
        entry.signature = seen.first;
        entry.completed_at = last_completion(table, seen.first);
        entry.events.push_back(index);
      }
    }
  }
  std::vector<accusation> result;
  for (std::pair<const std::uint64_t, accusation>& entry : by_signature) {
    entry.second.count = std::min(count_separate_of(table, entry.second.events, entry.first),
                                  count_calls(table, entry.second.events, entry.second.signature));
    result.push_back(std::move(entry.second));
  }
  return result;
}

// True if too few of the crashes between the first and the last event are those of the signature.
bool has_few_of_crashes(const crash_suspect_table& table, const accusation& entry) {
  std::vector<std::size_t> all_crashes(entry.events.back() - entry.events.front() + 1);
  std::iota(all_crashes.begin(), all_crashes.end(), entry.events.front());
  return entry.count < min_own_crash_fraction * count_separate(table, all_crashes);
}

bool is_sufficient(const crash_suspect_table& table, const accusation& entry) {
  const bool is_likely = entry.completed_at == instant{} && !has_few_of_crashes(table, entry);
  return entry.count >= (is_likely ? crashes_before_refusal : crashes_if_unlikely);
}

// True if `left` explains the crashes better than `right`.
bool is_stronger(const accusation& left, const accusation& right) {
  const bool left_completed = left.completed_at != instant{};
  const bool right_completed = right.completed_at != instant{};
  if (left_completed != right_completed) {
    return right_completed;
  }
  if (left.count != right.count) {
    return left.count > right.count;
  }
  if (left.events.size() != right.events.size()) {
    return left.events.size() > right.events.size();
  }
  if (left.completed_at != right.completed_at) {
    return left.completed_at < right.completed_at;
  }
  return left.signature < right.signature;
}

// The suspect of the strongest accusation, together with the signatures that cannot be told apart
// from it.
crash_suspect make_suspect(const crash_suspect_table& table, const std::vector<accusation>& all,
                           const accusation& strongest) {
  crash_suspect result;
  result.crashes = strongest.count;
  result.newest_crash_at = table.events[strongest.events.back()].at;
  for (const accusation& other : all) {
    if (other.events == strongest.events && other.completed_at == strongest.completed_at) {
      result.signatures.push_back(other.signature);
    }
  }
  std::sort(result.signatures.begin(), result.signatures.end());
  for (std::size_t index : strongest.events) {
    crash_event event = table.events[index];
    std::erase_if(event.signatures,
                  [&result](const std::pair<const std::uint64_t, std::uint64_t>& entry) {
                    return !contains_all(result.signatures, {entry.first});
                  });
    result.events.push_back(std::move(event));
  }
  return result;
}

void expire(crash_suspect_table& table, instant now) {
  std::erase_if(table.events, [now](const crash_event& event) {
    return now - event.at > (event.signatures.empty() ? cleared_event_ttl : crash_event_ttl);
  });
  std::erase_if(table.trials, [now](const std::pair<const std::uint64_t, instant>& trial) {
    return now - trial.second > trial_slot;
  });
  std::erase_if(table.clearances, [now](const std::pair<const std::uint64_t, instant>& clearance) {
    return now - clearance.second > cleared_event_ttl;
  });
}

// Drops the oldest event that shares no signature with another one; if all do, the oldest event.
void drop_least_useful_event(crash_suspect_table& table) {
  std::unordered_map<std::uint64_t, int> event_counts;
  for (const crash_event& event : table.events) {
    for (const std::pair<const std::uint64_t, std::uint64_t>& entry : event.signatures) {
      ++event_counts[entry.first];
    }
  }
  auto alone = std::find_if(
      table.events.begin(), table.events.end(), [&event_counts](const crash_event& event) {
        return std::all_of(
            event.signatures.begin(), event.signatures.end(),
            [&event_counts](const std::pair<const std::uint64_t, std::uint64_t>& entry) {
              return event_counts[entry.first] == 1;
            });
      });
  table.events.erase(alone == table.events.end() ? table.events.begin() : alone);
}

// The event of the same crash; a new one if it is not known.
crash_event& find_or_add_event(crash_suspect_table& table, std::uint32_t target, instant at) {
  auto same = std::find_if(table.events.begin(), table.events.end(), [&](const crash_event& known) {
    return known.target == target && known.at - at <= same_crash_window &&
           at - known.at <= same_crash_window;
  });
  if (same != table.events.end()) {
    return *same;
  }
  if (table.events.size() >= max_crash_events) {
    drop_least_useful_event(table);
  }
  auto later = std::find_if(table.events.begin(), table.events.end(),
                            [at](const crash_event& known) { return known.at > at; });
  return *table.events.insert(later, {target, at, {}, {}});
}

std::vector<crash_suspect> suspects_not_in(const std::vector<crash_suspect>& suspects,
                                           const std::vector<crash_suspect>& others) {
  std::vector<crash_suspect> result;
  std::copy_if(suspects.begin(), suspects.end(), std::back_inserter(result),
               [&others](const crash_suspect& suspect) {
                 return std::none_of(others.begin(), others.end(),
                                     [&suspect](const crash_suspect& other) {
                                       return other.signatures == suspect.signatures;
                                     });
               });
  return result;
}

// Crashes of a suspect that follow the one before after crash_wave_gap or more.
int later_waves(const crash_suspect& suspect) {
  int waves = 0;
  for (std::size_t position = 1; position < suspect.events.size(); ++position) {
    const duration gap = suspect.events[position].at - suspect.events[position - 1].at;
    waves += gap >= crash_wave_gap ? 1 : 0;
  }
  return waves;
}

std::uint64_t request_hash(const organisation_name& organisation, const request_subject& subject,
                           std::string_view target, std::string_view body,
                           const prompt* call_prompt) {
  std::uint64_t hash = stable_hash(organisation.value);
  for (const std::string_view text : {subject.method, subject.host, target, body}) {
    hash = stable_hash(text, hash);
  }
  if (call_prompt != nullptr && !call_prompt->prefixes.empty()) {
    hash = stable_hash(std::to_string(call_prompt->prefixes.back().hash), hash);
  }
  return hash;
}

}  // namespace

std::vector<std::uint64_t> call_signatures(const organisation_name& organisation,
                                           const request_subject& subject, std::string_view body,
                                           const prompt* call_prompt) {
  std::vector<std::uint64_t> signatures = {
      request_hash(organisation, subject, subject.request_target, body, call_prompt)};
  const std::size_t query_at = subject.request_target.find('?');
  if (query_at != std::string_view::npos) {
    const std::string_view path = subject.request_target.substr(0, query_at);
    signatures.push_back(request_hash(organisation, subject, path, body, call_prompt));
  }
  if (call_prompt != nullptr && !call_prompt->parts.empty()) {
    for (std::size_t index = 0; index + 1 < call_prompt->parts.size(); ++index) {
      signatures.push_back(call_prompt->parts[index]);
    }
  }
  return signatures;
}

void record_crash(crash_suspect_table& table, const crash_event& event, instant now) {
  crash_event seen = event;
  clear_signatures(table, seen, now);
  if (now - event.at > (seen.signatures.empty() ? cleared_event_ttl : crash_event_ttl)) {
    return;
  }
  crash_event& joined = find_or_add_event(table, event.target, event.at);
  for (const std::pair<const std::uint64_t, std::uint64_t>& entry : seen.signatures) {
    if (joined.signatures.size() < max_event_signatures) {
      table.changed = joined.signatures.insert(entry).second || table.changed;
    }
  }
  for (const router_address& reporter : event.reporters) {
    if (joined.reporters.size() < max_event_reporters) {
      joined.reporters.insert(reporter);
    }
  }
}

crash_event make_crash_event(const target_name& target, instant at,
                             const std::vector<std::uint64_t>& signatures,
                             const router_address& reporter) {
  crash_event event{static_cast<std::uint32_t>(stable_hash(target.value)), at, {}, {reporter}};
  for (std::uint64_t signature : signatures) {
    event.signatures.emplace(signature, signatures.front());
  }
  return event;
}

void record_completion(crash_suspect_table& table, const std::vector<std::uint64_t>& signatures,
                       instant completed_at) {
  for (std::uint64_t signature : signatures) {
    if (completed_at <= last_completion(table, signature)) {
      continue;
    }
    table.changed = table.changed || table.event_signatures.contains(signature);
    if (table.completions.size() >= max_completions && !table.completions.contains(signature)) {
      table.older_completions = std::move(table.completions);
      table.completions.clear();
    }
    table.completions[signature] = completed_at;
  }
}

instant last_completion(const crash_suspect_table& table, std::uint64_t signature) {
  auto newer = table.completions.find(signature);
  if (newer != table.completions.end()) {
    return newer->second;
  }
  auto older = table.older_completions.find(signature);
  return older == table.older_completions.end() ? instant{} : older->second;
}

suspect_changes update_suspects(crash_suspect_table& table, instant now) {
  if (!table.changed && now - table.updated_at < max_update_interval) {
    return {};
  }
  table.changed = false;
  table.updated_at = now;
  expire(table, now);
  clear_all_signatures(table, now);
  const std::vector<crash_suspect> before = std::exchange(table.suspects, {});
  std::vector<bool> explained(table.events.size(), false);
  while (true) {
    std::vector<accusation> all = accusations(table, explained);
    std::erase_if(all, [&table](const accusation& entry) { return !is_sufficient(table, entry); });
    auto strongest = std::min_element(all.begin(), all.end(), is_stronger);
    if (strongest == all.end()) {
      break;
    }
    table.suspects.push_back(make_suspect(table, all, *strongest));
    for (std::size_t index : strongest->events) {
      explained[index] = true;
    }
  }
  return {suspects_not_in(table.suspects, before), suspects_not_in(before, table.suspects)};
}

const crash_suspect* find_suspect(const crash_suspect_table& table,
                                  const std::vector<std::uint64_t>& signatures) {
  auto found = std::find_if(table.suspects.begin(), table.suspects.end(),
                            [&signatures](const crash_suspect& suspect) {
                              return contains_all(signatures, suspect.signatures);
                            });
  return found == table.suspects.end() ? nullptr : &*found;
}

int crash_count(const crash_suspect_table& table, const std::vector<std::uint64_t>& signatures) {
  int highest = 0;
  for (std::uint64_t signature : signatures) {
    std::vector<std::size_t> events;
    for (std::size_t index = 0; index < table.events.size(); ++index) {
      if (table.events[index].signatures.contains(signature)) {
        events.push_back(index);
      }
    }
    highest = std::max(highest, count_separate_of(table, events, signature));
  }
  return highest;
}

std::vector<crash_event> events_to_report(const crash_suspect_table& table,
                                          const router_address& self, std::size_t max_signatures,
                                          instant since, bool relay) {
  std::vector<crash_event> result;
  std::size_t signatures_left = max_signatures;
  const std::function<void(crash_event)> add = [&](crash_event event) {
    if (event.signatures.size() <= signatures_left) {
      signatures_left -= event.signatures.size();
      result.push_back(std::move(event));
    }
  };
  for (const crash_suspect& suspect : table.suspects) {
    const std::size_t count = std::min(suspect.events.size(), max_reported_events_per_suspect);
    std::for_each(suspect.events.end() - static_cast<std::ptrdiff_t>(count), suspect.events.end(),
                  add);
  }
  for (std::size_t index = table.events.size(); index-- > 0 && table.events[index].at >= since;) {
    if (relay || table.events[index].reporters.contains(self)) {
      add(table.events[index]);
    }
  }
  return result;
}

std::vector<std::pair<std::uint64_t, instant>> completions_to_report(
    const crash_suspect_table& table, std::size_t max_count, instant since) {
  std::set<std::uint64_t> signatures;
  for (const std::pair<const std::uint64_t, instant>& clearance : table.clearances) {
    if (clearance.second >= since) {
      signatures.insert(clearance.first);
    }
  }
  for (const crash_event& event : table.events) {
    for (const std::pair<const std::uint64_t, std::uint64_t>& entry : event.signatures) {
      if (event.at >= since) {
        signatures.insert(entry.first);
      }
    }
  }
  std::vector<std::pair<std::uint64_t, instant>> result;
  for (std::uint64_t signature : signatures) {
    const instant completed_at = last_completion(table, signature);
    if (completed_at != instant{}) {
      result.emplace_back(signature, completed_at);
    }
  }
  keep_first(
      result, max_count,
      [](const std::pair<std::uint64_t, instant>& left,
         const std::pair<std::uint64_t, instant>& right) { return left.second > right.second; });
  return result;
}

bool is_trial_due(const crash_suspect_table& table, const crash_suspect& suspect, std::size_t rank,
                  instant now) {
  if (table.trials.contains(suspect.signatures.front())) {
    return false;
  }
  const int doublings = std::min(later_waves(suspect), max_trial_delay_doublings);
  return now - suspect.newest_crash_at >=
         trial_delay * (1 << doublings) + trial_slot * static_cast<std::int64_t>(rank);
}

void record_trial(crash_suspect_table& table, const crash_suspect& suspect, instant now) {
  table.trials[suspect.signatures.front()] = now;
}

}  // namespace peridot
