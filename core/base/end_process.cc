#include "core/base/end_process.h"

#include <cstdlib>

namespace peridot {

void end_process(int exit_status) {
  std::_Exit(exit_status);
}

}  // namespace peridot
