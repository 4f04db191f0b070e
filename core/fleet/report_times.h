// Times of what routers report to each other.
#pragma once

#include "core/base/types.h"

namespace peridot {

// What has changed is reported in every round for this time.
inline constexpr milliseconds changed_report_time{2'000};
// Reports of something known already arrive this much later at most, through delegates too. They
// don't make it newer.
inline constexpr milliseconds echo_time{1'000};

}  // namespace peridot
