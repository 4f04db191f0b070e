// A merged time line as operators read it.
//
// Thread safety: pure functions.
#pragma once

#include <string>
#include <vector>

#include "core/timeline.h"

namespace peridot {

// One line an event:
//   2026-12-03T21:18:51.123456Z router-a1#12 grant_received request=r1 after=router-b1#7
// The time is the wall clock of the process that recorded the event, in UTC.
std::string timeline_report(const std::vector<merged_event>& events);

}  // namespace peridot
