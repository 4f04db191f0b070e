// Ledger of the runs of calls with side effects, as an outside observer sees it.
//
// A run counts from its begin: one that was broken off had effects too. The
// ledger outlives the stand-in's crashes.
//
// Thread safety: none; functions over a plain table.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace peridot::standins {

struct run_ledger {
  std::map<std::string, std::uint64_t> by_key;   // idempotency key, or the body's hash without one
  std::map<std::string, std::uint64_t> by_body;  // hash of the body, for calls with a key
  std::uint64_t runs = 0;
};

struct run_totals {
  std::uint64_t runs = 0;
  std::uint64_t keys = 0;
  std::uint64_t double_runs = 0;    // keys that ran more than once
  std::uint64_t double_bodies = 0;  // bodies that ran more than once, under any key
};

// Records one run and returns its number in the ledger. `key` may be empty.
std::uint64_t record_run(run_ledger& ledger, const std::string& key, const std::string& body);

run_totals totals(const run_ledger& ledger);

}  // namespace peridot::standins
