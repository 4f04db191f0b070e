#include "core/calls/call.h"

namespace peridot {

const char* to_text(refusal value) {
  switch (value) {
    case refusal::none:
      return "none";
    case refusal::no_configuration:
      return "no_configuration";
    case refusal::unknown_route:
      return "unknown_route";
    case refusal::unknown_key:
      return "unknown_key";
    case refusal::bad_call:
      return "bad_call";
    case refusal::stopping:
      return "stopping";
    case refusal::no_target:
      return "no_target";
    case refusal::unknown_stream:
      return "unknown_stream";
    case refusal::no_build:
      return "no_build";
    case refusal::target_limit:
      return "target_limit";
    case refusal::overloaded:
      return "overloaded";
    case refusal::instance_busy:
      return "instance_busy";
    case refusal::over_share:
      return "over_share";
    case refusal::deadline:
      return "deadline";
    case refusal::suspect:
      return "suspect";
    case refusal::retry_budget:
      return "retry_budget";
    case refusal::target_lost:
      return "target_lost";
    case refusal::target_malformed:
      return "target_malformed";
  }
  return "none";
}

}  // namespace peridot
