// How long a target stays in use after its entry was removed from the store.
//
// The store removes the entry of a target that has left, and one that was not renewed in time. It
// does not say which. Targets renew their entries every heartbeat interval, and an entry expires
// after three intervals without a renewal. So an entry expires by a failure of the store only if
// the failure is about as long as an interval; anything shorter, such as a watch that is cut or a
// single error, lets none expire. A router cannot measure such a failure exactly: its own calls may
// have begun to fail later than those of the targets.
//
//   an outage (min_outage or longer)  a removal read within recovery_read_time after it may be an
//                                     expiry: the target is used until expiry_grace after the end
//                                     of the outage, in which entries reappear
//   a shorter failure                 the same is unlikely: the target is used for removal_grace
//                                     after the removal, whatever fails meanwhile
//   none                              the target has left
//
// Invariants, for all settings: removal_grace <= leaving_limit / 2, which leaves the other half for
// the removal to be read; recovery_read_time <= store_touch, so that a removal that the platform
// acknowledges after it counts the store as stable again is final.
// Thread safety: no shared state.
#pragma once

#include <chrono>

namespace peridot {

// The platform states that entries reappear within about 2 s of the end of an outage.
inline constexpr std::chrono::milliseconds expiry_grace{2'200};

// Why an entry is gone.
enum class removal_cause {
  left,           // the target has left
  short_failure,  // as far as is known; a call to the store had just failed
  outage,         // it may have expired in an outage of the store, as this router or the peer that
                  // reported the removal has seen it
  unseen_outage,  // the same, in an outage from before this router read the store: the target is
                  // dropped at once, and its entry counts if it reappears
  rejected,       // another writer has replaced it; says nothing of the target
};

struct removal_times {
  std::chrono::milliseconds min_outage{600};
  std::chrono::milliseconds recovery_read_time{1'000};  // both prefixes are read again within it
  std::chrono::milliseconds removal_grace{1'000};
  // An entry that expired in an outage is back this long after it, and has been read.
  std::chrono::milliseconds return_time{3'000};
  // An entry that is not renewed is gone, and this router has read that: the three intervals
  // until it expires, and one more.
  std::chrono::milliseconds entry_lifetime{4'800};
};

// `leaving_limit`: the platform's limit, from the acknowledgement of a removal to the last call to
// the target. `store_touch`: after a failure the platform counts the store as stable this much
// later.
removal_times make_removal_times(std::chrono::milliseconds heartbeat_interval,
                                 std::chrono::milliseconds leaving_limit,
                                 std::chrono::milliseconds store_touch);

}  // namespace peridot
