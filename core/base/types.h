// Types shared by all modules: names and time.
//
// Names of different kinds are different types, so that the name of an organisation cannot
// be passed where the name of a target is expected:
//
//   organisation_name org{"ashyq-esik"};
//   target_name target{"engine-1"};
//
// Times are read from the monotonic clock of the process. Decision logic never reads a
// clock: its functions take the current time as `now`, so that tests can use virtual time.
// An `instant` is meaningful only in the process that created it.
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

// A name of one kind. `Tag` only distinguishes the types.
template <class Tag>
struct name {
  std::string value;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a comparison for a pointer
  friend auto operator<=>(const name&, const name&) = default;
  friend bool operator==(const name&, const name&) = default;
};

using organisation_name = name<struct organisation_tag>;
using target_name = name<struct target_tag>;  // usually changes when the target restarts
using failure_domain_name = name<struct failure_domain_tag>;  // failure domain
using pool_name = name<struct pool_tag>;                      // of interchangeable targets
using route_name = name<struct route_tag>;

// IP address and port of a router's mesh socket, "10.0.0.7:7400".
using router_address = name<struct router_tag>;

// One run of a router process. The incarnation is random and not reused, so that peers can
// distinguish a restarted router, which has lost its state, from its previous run.
struct router_identity {
  router_address address;
  std::uint64_t incarnation = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): as above
  friend auto operator<=>(const router_identity&, const router_identity&) = default;
  friend bool operator==(const router_identity&, const router_identity&) = default;
};

// Conversions from and to fractional milliseconds, for logs and estimates.
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
