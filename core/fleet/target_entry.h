// What the platform's store says of one target.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "core/base/types.h"

namespace peridot {

// A revision of the platform's store. When the store comes back from an older copy, it starts a
// new epoch and gives revision numbers out again, so that numbers compare within one epoch only.
struct store_revision {
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;  // 0: none

  // NOLINTNEXTLINE(modernize-use-nullptr): as in core/base/types.h
  friend std::strong_ordering operator<=>(const store_revision&, const store_revision&) = default;
};

// "EPOCH:NUMBER", for logs.
std::string to_text(const store_revision& revision);

// The platform's description of one target.
struct target_entry {
  target_name name;
  pool_name pool;
  std::string address;  // "10.0.0.9:8000"
  failure_domain_name domain;
  std::string build;  // version of its software, not of its weights; no order; empty: unknown
  int slots = 1;      // placement measures the target's running calls against it
  bool draining = false;
  milliseconds cold_remaining{0};
  std::uint64_t sequence = 0;        // increases with what this incarnation says of itself
  std::int64_t started_unix_ms = 0;  // of this incarnation, by the target's clock; 0: not set
  store_revision revision;           // of the entry
};

// Identifies a build within its pool, the same on all routers. What targets of two builds write
// does not fit together. A target of unknown build has one of its own.
using build_id = std::uint32_t;

build_id build_of(const target_entry& target);

// Identifies one incarnation of a target in reports between routers.
std::uint32_t incarnation_hash(const target_entry& target);

}  // namespace peridot
