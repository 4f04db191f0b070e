// Which version of a target's entry in the store counts.
//
// The store orders the versions of an entry by revision. A target orders what it says of itself
// by its start and, within one incarnation, by a sequence number. The orders differ where the store
// does a write late, up to max_write_delay after the target sent it: such a version has the highest
// revision, and is older than what was known before. An entry is outdated if
//
// - the store held an entry of a later start before it;
// - its incarnation has left since: a removal lies between an entry of the same start and this
//   one. The sequence number says nothing here, since the store rewrites an entry only if more than
//   its sequence number has changed. A removal that may be an expiry is none of these, unless the
//   sequence number is smaller than one seen before;
// - other routers report that its incarnation has ended (core/fleet/ended_incarnations.h), and it
//   has not expired in an outage that this router has seen; or
// - neither start is set, so that only address and sequence number tell, and they do not show that
//   the same incarnation goes on.
//
// What was known before an outdated entry counts instead. It is held back, not dropped: it is true
// if the target's clock went back as it started again, or if the target had only lost the store.
// A live target puts an entry right with its next heartbeat, and the entry of one that has ended
// expires, both within entry_lifetime. What stands for longer counts. No write is late by more than
// max_write_delay, so that an entry which comes later than that, and entry_lifetime, after what it
// contradicts counts at once. Time in which the store is unavailable counts for neither: no entry
// is put right then.
//
// A version of the same incarnation with a smaller sequence number is an older statement: it
// changes nothing, however long it stands.
//
//   add_version(history, {entry.revision, now, entry});
//   judged_entry judged = judge(history, ended, times, now);
//
// Invariant: the answer depends on the versions and when they were seen, not on the order in which
// they were added.
// Bounds: max_versions per target; a history is needed only for contradiction_time() after the
// newest version. Thread safety: none; for use from one event loop.
#pragma once

#include <optional>
#include <vector>

#include "core/base/types.h"
#include "core/fleet/ended_incarnations.h"
#include "core/fleet/removal_times.h"
#include "core/fleet/target_entry.h"

namespace peridot {

// The platform does a write this much later than it was sent, at most.
inline constexpr milliseconds max_write_delay{6'000};
inline constexpr std::size_t max_versions = 16;

struct entry_version {
  store_revision revision;
  instant seen_at{};                          // first, by this router
  std::optional<target_entry> entry;          // unset: removed, or rejected
  removal_cause cause = removal_cause::left;  // valid if there is no entry
  // There is no entry, and the time in which an expired one is used is over.
  bool is_over = false;
};

struct entry_history {
  std::vector<entry_version> versions;  // by revision
  bool holds_back = false;              // the newest version is an outdated entry
  // The newest entry was outdated and has stood for entry_lifetime: since when it counts, and its
  // incarnation.
  instant confirmed_at{};
  std::uint32_t confirmed_incarnation = 0;
};

struct entry_times {
  milliseconds entry_lifetime = removal_times{}.entry_lifetime;
  instant readable_since{};  // since when the store has been available
};

struct judged_entry {
  const entry_version* counts = nullptr;     // null: the target is gone
  const entry_version* held_back = nullptr;  // the newest version, if it is outdated
  const entry_version* removal = nullptr;    // above `counts`, if that may have expired
  bool leaving = false;                      // some version of the incarnation that counts says so
};

// The time after which a version contradicts no later one.
milliseconds contradiction_time(const entry_times& times);

// True if the newest version was seen so long ago that the history is needed no more.
bool is_settled(const entry_history& history, const entry_times& times, instant now);

// True if `later` is of the incarnation that `earlier` is of, as far as the two tell.
bool is_same_incarnation(const target_entry& earlier, const target_entry& later);

// Adds a version. One of a revision that is held already is ignored, except that a removal that was
// taken for a possible expiry may turn out to be final. Returns false if nothing has changed.
bool add_version(entry_history& history, entry_version version);

// The pointers in the result are valid until the history changes.
judged_entry judge(const entry_history& history, const ended_table& ended, const entry_times& times,
                   instant now);

// Records that the time is over in which an expired entry is used: the target is gone.
void end_expiry(entry_history& history);

// Records that the newest version, an entry, counts now though it was outdated: what contradicted
// it is forgotten.
void confirm_newest(entry_history& history, instant now);

}  // namespace peridot
