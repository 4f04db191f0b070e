// Whether what a router knows of the targets is current.
//
// A router learns of targets from the store or from other routers. When these are silent, nothing
// tells it that it is behind: a watch on the store may wait for many seconds. So what it knows
// counts as current only
//
// - while no other router has named a newer revision of the targets. Each report and digest names
//   the newest one that its sender knows and the newest that the sender has heard of; and
// - if it was confirmed within confirm_rounds: by a response of the store, or by reports of most
//   routers. In large fleets a delegate is confirmed by the digests of other domains, and says in
//   its own digests when that was.
//
// A router that uses what others may not know yet waits for announce_rounds first. By then each
// router has heard of the change, or its view is not confirmed.
//
//   on_revision_heard(view, revision);          // with each report and digest
//   view.store_answered_at = now;               // with each response about targets
//   bool current = is_current(view, known_revision, members, now);
//
// Not covered: several domains of a large fleet, or most routers of a small one, cut off together,
// from the store too, for less time than a call to the store takes to fail.
// Thread safety: none; for use from one event loop.
#pragma once

#include "core/fleet/config_and_targets.h"
#include "core/fleet/membership.h"

namespace peridot {

// In rounds of the exchange between routers; one may be lost.
inline constexpr int confirm_rounds = 4;
// A revision takes two rounds to the delegates of other domains; a third one may be lost.
inline constexpr int announce_rounds = confirm_rounds + 3;

struct target_view {
  store_revision newest_heard;      // of the targets, that any router has named
  instant store_answered_at{};      // newest response of the store about targets
  instant delegate_confirmed_at{};  // when the view of the delegate relied on was confirmed
};

void on_revision_heard(target_view& view, const store_revision& revision);

// True if a router has named a newer revision of the targets than `known`.
bool is_behind(const target_view& view, const store_revision& known);

// When the view was confirmed last; instant{}: never. A router that knows no others confirms its
// own.
instant confirmed_at(const target_view& view, const membership_table& members, instant now);

// True if that was within confirm_rounds.
bool is_confirmed(const target_view& view, const membership_table& members, instant now);

// Neither behind nor unconfirmed.
bool is_current(const target_view& view, const store_revision& known,
                const membership_table& members, instant now);

// How long a change is known here before each router has heard of it, or is unconfirmed.
duration announce_time(const membership_table& members);

}  // namespace peridot
