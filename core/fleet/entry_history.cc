#include "core/fleet/entry_history.h"

#include <algorithm>
#include <utility>

namespace peridot {
namespace {

enum class incarnation_order { earlier, same, later, unclear };

// How the incarnation of `entry` relates to that of `known`, which has the lower revision. A target
// that does not say its start counts as started before one that does.
incarnation_order order_of(const target_entry& entry, const target_entry& known) {
  if (entry.started_unix_ms != known.started_unix_ms) {
    return entry.started_unix_ms < known.started_unix_ms ? incarnation_order::earlier
                                                         : incarnation_order::later;
  }
  const bool goes_on = entry.started_unix_ms != 0 ||
                       (entry.address == known.address && entry.sequence >= known.sequence);
  return goes_on ? incarnation_order::same : incarnation_order::unclear;
}

bool may_return(const entry_version& removal) {
  return removal.cause == removal_cause::outage || removal.cause == removal_cause::unseen_outage;
}

// What the versions between two entries say of the first one.
struct entry_gap {
  bool may_be_expired = false;
  std::optional<instant> left_at;  // when the newest final removal was seen
};

// A removal before the store came back from an older copy says nothing of what is written since:
// targets write all again.
entry_gap gap_between(const entry_history& history, std::size_t first, std::size_t last) {
  entry_gap gap;
  for (std::size_t index = first + 1; index < last; ++index) {
    const entry_version& version = history.versions[index];
    if (version.entry.has_value() || version.cause == removal_cause::rejected ||
        version.revision.epoch < history.versions[last].revision.epoch) {
      continue;
    }
    if (may_return(version)) {
      gap.may_be_expired = true;
    } else {
      gap.left_at = std::max(version.seen_at, gap.left_at.value_or(version.seen_at));
    }
  }
  return gap;
}

// When what contradicts the entry at `last` was seen, if the entry at `first` shows it: the two
// cannot both be true.
std::optional<instant> contradicted_at(const entry_history& history, std::size_t first,
                                       std::size_t last) {
  const entry_version& known = history.versions[first];
  const target_entry& entry = *history.versions[last].entry;
  switch (order_of(entry, *known.entry)) {
    case incarnation_order::later:
      return std::nullopt;
    case incarnation_order::same: {
      const entry_gap gap = gap_between(history, first, last);
      const bool is_older = gap.may_be_expired && entry.sequence < known.entry->sequence;
      return !gap.left_at.has_value() && is_older ? known.seen_at : gap.left_at;
    }
    case incarnation_order::earlier:
    case incarnation_order::unclear:
      return known.seen_at;
  }
  return std::nullopt;
}

// True if the version was the newest for long enough to be true.
bool has_stood(const entry_history& history, std::size_t index, const entry_times& times,
               instant now) {
  const instant until =
      index + 1 < history.versions.size() ? history.versions[index + 1].seen_at : now;
  const instant since = std::max(history.versions[index].seen_at, times.readable_since);
  return until - since >= times.entry_lifetime;
}

// True if a version that was seen at `seen_at` may have been sent before `known_at`.
bool may_be_late(instant seen_at, instant known_at, const entry_times& times) {
  return seen_at - std::max(known_at, times.readable_since) < contradiction_time(times);
}

// True if this router knows that the entry may have expired in an outage, and is back. Peers that
// did not see the outage take that for its end.
bool may_have_returned(const entry_history& history, std::size_t index) {
  const target_entry& entry = *history.versions[index].entry;
  for (std::size_t earlier = 0; earlier < index; ++earlier) {
    const std::optional<target_entry>& known = history.versions[earlier].entry;
    const entry_gap gap = gap_between(history, earlier, index);
    if (known.has_value() && order_of(entry, *known) == incarnation_order::same &&
        gap.may_be_expired && !gap.left_at.has_value()) {
      return true;
    }
  }
  return false;
}

bool is_known_to_have_ended(const entry_history& history, std::size_t index,
                            const ended_table& ended, const entry_times& times) {
  const entry_version& version = history.versions[index];
  const std::uint32_t incarnation = incarnation_hash(*version.entry);
  const std::optional<instant> ended_at = find_ended(ended, incarnation);
  if (!ended_at.has_value() || may_have_returned(history, index)) {
    return false;
  }
  const bool is_confirmed =
      history.confirmed_incarnation == incarnation && *ended_at <= history.confirmed_at;
  return !is_confirmed && may_be_late(version.seen_at, *ended_at, times);
}

bool is_outdated(const entry_history& history, std::size_t index, const ended_table& ended,
                 const entry_times& times, instant now) {
  if (has_stood(history, index, times, now)) {
    return false;
  }
  const entry_version& version = history.versions[index];
  for (std::size_t earlier = 0; earlier < index; ++earlier) {
    const entry_version& known = history.versions[earlier];
    const std::optional<instant> at =
        known.entry.has_value() ? contradicted_at(history, earlier, index) : std::nullopt;
    if (at.has_value() && (may_be_late(version.seen_at, *at, times) ||
                           version.revision.epoch != known.revision.epoch)) {
      return true;
    }
  }
  return is_known_to_have_ended(history, index, ended, times);
}

// True if the same incarnation has said something later before, and was not removed since.
bool is_older_statement(const entry_history& history, std::size_t index) {
  const target_entry& entry = *history.versions[index].entry;
  for (std::size_t earlier = 0; earlier < index; ++earlier) {
    const std::optional<target_entry>& known = history.versions[earlier].entry;
    if (!known.has_value() || entry.started_unix_ms == 0 ||
        entry.started_unix_ms != known->started_unix_ms || entry.sequence >= known->sequence) {
      continue;
    }
    const entry_gap gap = gap_between(history, earlier, index);
    if (!gap.may_be_expired && !gap.left_at.has_value()) {
      return true;
    }
  }
  return false;
}

// True if any version of the entry's incarnation says that it leaves.
bool says_leaving(const entry_history& history, const target_entry& entry) {
  return std::any_of(history.versions.begin(), history.versions.end(),
                     [&entry](const entry_version& version) {
                       return version.entry.has_value() && version.entry->draining &&
                              version.entry->started_unix_ms == entry.started_unix_ms &&
                              (entry.started_unix_ms != 0 || version.revision == entry.revision);
                     });
}

}  // namespace

milliseconds contradiction_time(const entry_times& times) {
  return max_write_delay + times.entry_lifetime;
}

bool is_settled(const entry_history& history, const entry_times& times, instant now) {
  return !may_be_late(now, history.versions.back().seen_at, times);
}

bool is_same_incarnation(const target_entry& earlier, const target_entry& later) {
  return order_of(later, earlier) == incarnation_order::same;
}

bool add_version(entry_history& history, entry_version version) {
  auto position =
      std::lower_bound(history.versions.begin(), history.versions.end(), version.revision,
                       [](const entry_version& held, const store_revision& revision) {
                         return held.revision < revision;
                       });
  if (position != history.versions.end() && position->revision == version.revision) {
    const bool turns_final = !position->entry.has_value() && !version.entry.has_value() &&
                             position->cause != removal_cause::left &&
                             version.cause == removal_cause::left;
    if (turns_final) {
      position->cause = removal_cause::left;
    }
    return turns_final;
  }
  history.versions.insert(position, std::move(version));
  if (history.versions.size() > max_versions) {
    history.versions.erase(history.versions.begin());
  }
  return true;
}

judged_entry judge(const entry_history& history, const ended_table& ended, const entry_times& times,
                   instant now) {
  judged_entry result;
  for (std::size_t index = history.versions.size(); index-- > 0;) {
    const entry_version& version = history.versions[index];
    if (!version.entry.has_value()) {
      if (version.is_over || version.cause == removal_cause::left ||
          version.cause == removal_cause::unseen_outage ||
          version.cause == removal_cause::rejected) {
        return result;
      }
      result.removal = result.removal == nullptr ? &version : result.removal;
    } else if (is_outdated(history, index, ended, times, now)) {
      const bool is_newest = index + 1 == history.versions.size();
      result.held_back = is_newest ? &version : result.held_back;
    } else if (!is_older_statement(history, index)) {
      result.counts = &version;
      result.leaving = says_leaving(history, *version.entry);
      return result;
    }
  }
  return result;
}

void end_expiry(entry_history& history) {
  for (entry_version& version : history.versions) {
    version.is_over = !version.entry.has_value();
  }
}

void confirm_newest(entry_history& history, instant now) {
  history.versions.erase(history.versions.begin(), history.versions.end() - 1);
  history.holds_back = false;
  history.confirmed_at = now;
  history.confirmed_incarnation = incarnation_hash(*history.versions.back().entry);
}

}  // namespace peridot
