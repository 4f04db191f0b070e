// Private parts of the entry table, shared by its units:
//   entry_queues.cc  queues, their limits, admission, deadlines
//   entry_runs.cc    grants, ends of runs, retries, costs
//   entry_demand.cc  what owners are told, and the tick
//   suspects.cc      requests that crashed targets
//
// Callers include core/entry.h only.
// Thread safety: none; one loop owns the table.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/entry.h"

namespace peridot {

// Queues (entry_queues.cc).

enum class queue_end { front, back };

queue_key queue_of(const request_row& row);

// Precondition: the request is neither queued nor running.
void push_queued(entry_table& table, request_row& row, queue_end end, instant now);

// Precondition: the request is queued.
void remove_queued(entry_table& table, request_row& row, instant now);

// First request of the queue that may start now, or null. On the way, requests
// that became suspects since they were queued are moved to the solo queue, or
// made to expire if they crashed too many targets. Expired ones are passed over.
request_row* first_startable(entry_table& table, const queue_key& key, instant now);

// Counts one grant for the rate of the queue.
void count_grant(entry_table& table, const queue_key& key, instant now);

// Removes the request and says what becomes of it. Precondition: not queued.
decision give_up(entry_table& table, std::uint64_t request, outcome how, refusal why,
                 std::chrono::milliseconds retry_after);

// Removes queued requests whose start_before has passed.
void refuse_expired(entry_table& table, instant now, std::vector<decision>& decisions);

// `base` lengthened by up to a half, by the hash of the request id, so that
// callers that were refused together do not come back together.
std::chrono::milliseconds with_jitter(std::chrono::milliseconds base, std::uint64_t request);

inline constexpr std::chrono::milliseconds default_retry_after{1'000};

// Aborts if the counts, the queues and the deadlines disagree. Cost: linear in
// all that is queued; for tests and after rare events.
void check_entry_table(const entry_table& table);

// Runs (entry_runs.cc).

// All that the fate of a request after a run depends on.
struct run_end {
  wire::finish_result result = wire::finish_ok;
  bool repeatable = false;
  bool answer_begun = false;
  std::uint32_t crashes = 0;  // of its fingerprint, this run's included
  bool retries_left = false;  // by the profile
  bool budget_left = false;   // of the organisation
};

struct run_verdict {
  decision::kind what = decision::kind::none;
  outcome how = outcome::done;
  refusal why = refusal::none;
  bool nothing_ran = false;  // the dispatch does not count
  friend bool operator==(const run_verdict&, const run_verdict&) = default;
};

run_verdict judge_run(const run_end& end);

// Expected cost of a request before it runs.
service_units expected_cost(const entry_table& table, const cost_key& key, service_units hint);

// Drops remembered grants that can no longer be valid.
void forget_old_grants(grant_memory& memory, instant now);

// Demand (entry_demand.cc).

// The pool's owners need a new demand.
void mark_demand(entry_table& table, const pool_name& pool);

// Suspects (suspects.cc).

// Crashes of the fingerprint over all routers that told of it.
std::uint32_t crashes_of(const suspect_table& table, const organisation_name& organisation,
                         std::uint64_t fingerprint, instant now);

// Instant from which on the fingerprint is no suspect.
instant suspect_until(const suspect_table& table, const organisation_name& organisation,
                      std::uint64_t fingerprint, instant now);

// This router saw a target crash under the request.
void record_crash(suspect_table& table, const router_address& self,
                  const organisation_name& organisation, std::uint64_t fingerprint,
                  std::chrono::milliseconds life, instant now);

// The request ran alone and ended well: what this router saw is taken back.
void clear_own_crashes(suspect_table& table, const router_address& self,
                       const organisation_name& organisation, std::uint64_t fingerprint);

void drop_old_suspects(suspect_table& table, instant now);

}  // namespace peridot
