#include "core/types.h"

namespace peridot {

const char* to_text(outcome value) {
  switch (value) {
    case outcome::done:
      return "done";
    case outcome::not_run:
      return "not_run";
    case outcome::failed_after_run:
      return "failed_after_run";
    case outcome::unknown:
      return "unknown";
  }
  return "unknown";
}

const char* to_text(refusal value) {
  switch (value) {
    case refusal::none:
      return "none";
    case refusal::bad_request:
      return "bad_request";
    case refusal::unknown_organisation:
      return "unknown_organisation";
    case refusal::unknown_profile:
      return "unknown_profile";
    case refusal::no_configuration:
      return "no_configuration";
    case refusal::key_required:
      return "key_required";
    case refusal::key_invalid:
      return "key_invalid";
    case refusal::key_expired:
      return "key_expired";
    case refusal::key_issuer_gone:
      return "key_issuer_gone";
    case refusal::key_issuer_unreachable:
      return "key_issuer_unreachable";
    case refusal::queue_full:
      return "queue_full";
    case refusal::deadline:
      return "deadline";
    case refusal::retry_budget:
      return "retry_budget";
    case refusal::suspect:
      return "suspect";
    case refusal::target_failed:
      return "target_failed";
    case refusal::target_lost:
      return "target_lost";
    case refusal::stopping:
      return "stopping";
    case refusal::caller_gone:
      return "caller_gone";
    case refusal::overloaded:
      return "overloaded";
    case refusal::internal:
      return "internal";
  }
  return "internal";
}

}  // namespace peridot
