// Internal invariants.
//
// PERIDOT_CHECK asserts a condition that must hold whatever input the peers, the
// callers or the platform send. A violation is a defect in this program: the expression,
// its source location and a short explanation are printed, and the process aborts.
// Invalid input must be reported by a typed error instead.
//
//   PERIDOT_CHECK(in_flight <= limit, "target holds more than its limit");
//
// Checks stay enabled in release builds. Each costs a comparison and a branch.
// Thread safety: safe from any thread.
#pragma once

namespace peridot {

// Prints one line to standard error and aborts.
[[noreturn]] void check_failed(const char* expression, const char* file, int line,
                               const char* explanation);

}  // namespace peridot

#define PERIDOT_CHECK(condition, explanation)                                 \
  do {                                                                        \
    if (!(condition)) {                                                       \
      ::peridot::check_failed(#condition, __FILE__, __LINE__, (explanation)); \
    }                                                                         \
  } while (false)
