// Vocabulary shared by all modules: names and time.
//
// Names of different kinds are different types, so that an organisation cannot
// be passed where a target is expected:
//
//   organisation_name org{"ashyq-esik"};
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
using milliseconds = std::chrono::milliseconds;

// A name of one kind. `Tag` only tells the kinds apart.
template <class Tag>
struct name {
  std::string value;
  friend auto operator<=>(const name&, const name&) = default;
  friend bool operator==(const name&, const name&) = default;
};

using organisation_name = name<struct organisation_tag>;
using target_name = name<struct target_tag>;  // one start of a target, in most cases
using domain_name = name<struct domain_tag>;  // failure domain
using pool_name = name<struct pool_tag>;      // interchangeable targets
using route_name = name<struct route_tag>;

// IP number and port of a router's mesh socket, "10.0.0.7:7400".
using router_address = name<struct router_tag>;

// One run of one router process. The incarnation is random and never reused, so
// that a router which restarted empty is told apart from its earlier self.
struct router_identity {
  router_address address;
  std::uint64_t incarnation = 0;
  friend auto operator<=>(const router_identity&, const router_identity&) = default;
  friend bool operator==(const router_identity&, const router_identity&) = default;
};

// Milliseconds of a duration, for logs and estimates.
inline double to_ms(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

inline duration from_ms(double time) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(time));
}

inline duration scaled(duration time, double factor) {
  return std::chrono::duration_cast<duration>(time * factor);
}

}  // namespace peridot

template <class Tag>
struct std::hash<peridot::name<Tag>> {
  std::size_t operator()(const peridot::name<Tag>& n) const noexcept {
    return std::hash<std::string>{}(n.value);
  }
};
