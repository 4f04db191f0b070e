// Internal invariants.
//
// PERIDOT_CHECK states what must hold whatever the peers, the callers or the
// platform send. A violated check is a defect in this program: it prints the
// expression, the place and a short explanation, and aborts. Bad input is never
// reported this way; it gets a typed error.
//
//   PERIDOT_CHECK(in_flight <= limit, "target holds more than its limit");
//
// Checks stay on in release builds. Their cost is a compare and a branch.
// Thread safety: safe from any thread.
#pragma once

namespace peridot {

// Prints one line to the standard error and aborts. Never returns.
[[noreturn]] void check_failed(const char* expression, const char* file, int line,
                               const char* explanation);

}  // namespace peridot

#define PERIDOT_CHECK(condition, explanation)                                 \
  do {                                                                        \
    if (!(condition)) {                                                       \
      ::peridot::check_failed(#condition, __FILE__, __LINE__, (explanation)); \
    }                                                                         \
  } while (false)
