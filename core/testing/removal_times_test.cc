// How long targets are used whose entries were removed.
#include "core/fleet/removal_times.h"

#include <doctest/doctest.h>

using namespace peridot;
using std::chrono::milliseconds;

// Guards against review/8 (DRAIN): times that were set one by one exceeded the limit together.
TEST_CASE("a target that leaves is dropped in time, whatever the platform's limits") {
  for (const milliseconds heartbeat :
       {milliseconds{200}, milliseconds{1'200}, milliseconds{5'000}}) {
    for (const milliseconds limit :
         {milliseconds{100}, milliseconds{500}, milliseconds{2'000}, milliseconds{60'000}}) {
      for (const milliseconds touch :
           {milliseconds{100}, milliseconds{3'000}, milliseconds{60'000}}) {
        const removal_times times = make_removal_times(heartbeat, limit, touch);
        CHECK(times.removal_grace <= limit / 2);
        CHECK(times.recovery_read_time <= touch);
        // An entry expires after three intervals: none may expire in a shorter failure.
        CHECK(times.min_outage < heartbeat);
        CHECK(times.min_outage > milliseconds{0});
      }
    }
  }
}
