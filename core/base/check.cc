#include "core/base/check.h"

#include <cstdio>
#include <cstdlib>

namespace peridot {

void check_failed(const char* expression, const char* file, int line, const char* explanation) {
  std::fprintf(stderr, "CHECK failed: %s (%s) at %s:%d\n", explanation, expression, file, line);
  std::abort();
}

}  // namespace peridot
