// One call of a caller, in the project's words.
//
// Thread safety: plain values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/base/types.h"

namespace peridot {

// A prompt up to and with one of its parts.
struct prompt_prefix {
  std::uint64_t hash = 0;  // of the model and all parts up to here
  double tokens = 0;       // of all parts up to here
};

struct prompt {
  std::string model;
  double prompt_tokens = 0;
  double max_output_tokens = 0;         // most that may be generated
  double expected_output_tokens = 0;    // the caller's estimate; often far off
  std::vector<prompt_prefix> prefixes;  // shortest first; the last is the whole prompt
};

struct call_request {
  std::string id;  // of this attempt, set by the caller
  std::string host;
  std::optional<milliseconds> caller_timeout;  // how long the caller waits
  std::string api_key;                         // of the caller's organisation; empty: none was sent
  std::optional<prompt> call_prompt;
  std::optional<std::uint64_t> last_event_id;  // a stream is to go on after it
};

// Why a call was refused or failed without a target's answer. Stable: part of the
// logs and metrics.
enum class refusal {
  none,
  no_configuration,  // this router does not know any yet
  unknown_route,
  unknown_key,
  bad_call,          // a header that cannot be understood
  stopping,          // this router is shutting down
  no_target,         // none of the pool is usable
  overloaded,        // no target can begin it in time
  instance_busy,     // this router is behind; another one is not
  over_share,        // its organisation has had its share
  deadline,          // the caller's time or the route's is over
  suspect,           // this request has crashed targets
  retry_budget,      // it did not run, and the further sends are used up
  target_lost,       // the connection to the target broke
  target_malformed,  // what the target sent is no answer
};

const char* to_text(refusal value);

}  // namespace peridot
