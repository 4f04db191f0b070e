// A caller's request, decoded from its HTTP headers, and the reasons for refusing it.
//
// Thread safety: plain values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/base/types.h"

namespace peridot {

// A prefix of a prompt, up to the end of one of its segments.
struct prompt_prefix {
  std::uint64_t hash = 0;  // of the model and all segments of the prefix
  double tokens = 0;       // of all segments of the prefix
};

struct prompt {
  std::string model;
  double prompt_tokens = 0;
  double max_output_tokens = 0;
  double expected_output_tokens = 0;    // the caller's estimate; often far off
  std::vector<prompt_prefix> prefixes;  // shortest first; the last is the whole prompt
  std::vector<std::uint64_t> parts;     // ids of the segments, in the order of the prompt
};

struct call_request {
  std::string id;  // of this attempt, set by the caller
  std::string host;
  std::optional<milliseconds> caller_timeout;  // how long the caller waits
  std::string api_key;                         // of its organisation; empty: none was sent
  std::optional<prompt> call_prompt;           // unset: its headers describe no prompt
  std::optional<std::uint64_t> last_event_id;  // a resumed stream continues after it
  std::string resumes;  // id of the call that brought the resumed stream's first event, or empty
};

// Why a call was refused or failed without a valid response from a target. The names are
// stable: logs and metrics contain them.
enum class refusal {
  none,
  no_configuration,  // this router has no configuration yet
  unknown_route,
  unknown_key,
  bad_call,          // a header cannot be parsed
  stopping,          // this router is shutting down
  no_target,         // no target of the pool is usable
  unknown_stream,    // a stream is taken up, and the build that began it is not known
  no_build,          // no usable target runs the build that began the stream
  overloaded,        // no target can start the call in time
  target_limit,      // targets take no further call now: cold, limited, or by their own word
  instance_busy,     // this router instance is overloaded
  over_share,        // its organisation has reached its fair share
  deadline,          // the caller's or the route's timeout has passed
  suspect,           // this request has crashed targets
  retry_budget,      // the call did not run, and no retry is left
  target_lost,       // the connection to the target broke
  target_malformed,  // the target's response is not valid
};

const char* to_text(refusal value);

}  // namespace peridot
