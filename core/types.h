// Vocabulary shared by all modules: names, time, cost, outcomes and refusals.
//
// Names of different kinds are different types, so that an organisation cannot
// be passed where a target is expected:
//
//   organisation_name org{"ashyq-esik/guides"};
//   target_name target{"engine-1"};
//
// Time is the monotonic clock of the process. Decision logic never reads a
// clock: every function takes `now`, so that tests run it under virtual time.
// An `instant` is meaningful in the process that made it and nowhere else.
//
// Thread safety: plain values.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace peridot {

using instant = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

// A name of one kind. `Tag` only tells the kinds apart.
template <class Tag>
struct name {
  std::string value;
  friend auto operator<=>(const name&, const name&) = default;
  friend bool operator==(const name&, const name&) = default;
};

using organisation_name = name<struct organisation_tag>;
using target_name = name<struct target_tag>;
using domain_name = name<struct domain_tag>;    // failure domain
using profile_name = name<struct profile_tag>;  // class of traffic
using pool_name = name<struct pool_tag>;        // interchangeable targets, e.g. one model

// IP number and port, "10.0.0.7:7400". Identifies a router for peers and voters.
using router_address = name<struct router_tag>;

// One run of one router process. The incarnation is random and never reused, so
// that a router which restarted empty is told apart from its earlier self.
struct router_identity {
  router_address address;
  std::uint64_t incarnation = 0;
  friend auto operator<=>(const router_identity&, const router_identity&) = default;
  friend bool operator==(const router_identity&, const router_identity&) = default;
};

// Scheduling class. Interactive calls have slots of their own on each target.
enum class traffic_class { interactive, standard, batch };

// Service in token equivalents. What an organisation is charged in.
using service_units = double;

// What became of a call, as told to its caller.
enum class outcome {
  done,              // the target answered, and the whole answer was passed on
  not_run,           // no target received any part of this call, ever
  failed_after_run,  // a target received it and failed; it may have had effects
  unknown,           // it may have run; it will not run from now on
};

// Why a call was refused or failed. Stable: part of the callers' interface.
enum class refusal {
  none,
  bad_request,           // malformed or oversized
  unknown_organisation,  // not in the published configuration
  unknown_profile,
  no_configuration,  // this router has not received a configuration yet
  key_required,      // the profile may not be repeated and no key was given
  key_invalid,       // not issued by this fleet
  key_expired,
  key_issuer_gone,  // the router that issued the key no longer runs
  key_issuer_unreachable,
  queue_full,     // the organisation's or the router's queue is full
  deadline,       // would not start, or did not start, before its deadline
  retry_budget,   // the organisation's retries are used up
  suspect,        // this request has crashed targets
  target_failed,  // the target failed after it had received the call
  target_lost,    // the connection to the target broke
  stopping,       // this router is shutting down
  caller_gone,
  overloaded,  // a resource budget of this router is exhausted
  internal,
};

// Text of each value, as used in JSON, logs and metrics, e.g. "not_run".
const char* to_text(outcome value);
const char* to_text(refusal value);

}  // namespace peridot

template <class Tag>
struct std::hash<peridot::name<Tag>> {
  std::size_t operator()(const peridot::name<Tag>& n) const noexcept {
    return std::hash<std::string>{}(n.value);
  }
};
