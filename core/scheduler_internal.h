// Private parts of the scheduler, shared by its units:
//
//   scheduler.cc           shards, published facts, peers that are gone
//   scheduler_accounts.cc  demand, tags, and the indexes of backlogged organisations
//   scheduler_totals.cc    exchange of service totals between owners
//   scheduler_targets.cc   limits, load reports, cold targets, lost grants
//   scheduler_grants.cc    grants and their ends
//   scheduler_solo.cc      calls that must run alone
//
// Nothing outside these units and their tests includes this header.
// Thread safety: none; one loop owns the table.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/scheduler.h"

namespace peridot::scheduling {

// Renews the copies of what was published, if it changed, and the clock. Every
// public function that has a context calls this first.
void refresh_published(scheduler_table& table, const scheduler_context& context, instant now);

// The account, opened at the lowest tag of the backlogged if there was none.
account& open_account(scheduler_table& table, pool_row& pool, const organisation_name& name);

// Puts the account into the indexes where it belongs, under its present key.
// Called after each change of its tag or of its backlog.
void reindex(const scheduler_table& table, pool_row& pool, const organisation_name& name,
             account& row);

// Notes that an account has become backlogged or has ceased to be, and reindexes
// it. `lapsed`: its demand went stale, so that it keeps its place for a while.
void update_backlog(const scheduler_table& table, pool_row& pool, const organisation_name& name,
                    account& row, bool lapsed);

// Adds service to an account, or takes some back if `units` is negative.
void charge(const scheduler_table& table, pool_row& pool, const organisation_name& name,
            account& row, service_units units);

// Lets calls count that were withheld for grants on their way.
void restore_withheld(const scheduler_table& table, pool_row& pool);

// Drops the demand of one entry router.
void drop_demand(const scheduler_table& table, pool_row& pool, const router_address& entry,
                 bool lapsed);

// Lowest key among organisations with queued calls; none if nothing is queued.
std::optional<double> lowest_key(const pool_row& pool);

// Forgets accounts that were idle for `account_life`.
void prune_accounts(scheduler_table& table, pool_row& pool);

// A call's cost as it is charged: finite and between min_call_cost and max_call_cost.
service_units charged_cost(service_units reported);

// Slots of a target. `shared` may be used by any class, `any` by interactive calls.
struct free_slots {
  std::uint32_t any = 0;
  std::uint32_t shared = 0;
};
free_slots slots_of(const target_row& target);

// True if the target may get new work, whatever its load.
bool is_ready(const target_row& target, instant now);

// The row of a target of a held shard; null if there is none.
target_row* find_row(scheduler_table& table, const shard_key& shard, const target_name& target);

// Applies the report that has waited long enough, if there is one, and starts a
// recount if what runs on a target of the shard stays unclear.
void settle_reports(scheduler_table& table, shard_row& row, instant now);

// What the end of a call says about its target. `counted`: the call was an
// outstanding grant of this tenure.
void note_finish(target_row& target, const wire::finish& message, bool counted, instant now);

// Counts a slot of the target for the grant. Precondition: it is not counted.
void hold_slot(scheduler_table& table, target_row& target, outstanding_grant grant);

// After the end of `ended` was told: if it is one of those that could have been
// meant when slots were taken back, one of these is counted again.
void correct_reclaimed(scheduler_table& table, target_row& target, const outstanding_grant& ended,
                       instant now);

// Removes a grant and its place on the target; the charge stays as it is.
void release_grant(scheduler_table& table, std::uint64_t id);

// One target that may be granted, with its shard.
struct grant_place {
  shard_key shard;
  std::uint64_t fencing = 0;
  target_row* target = nullptr;
};

// Grants one queued call of the account's class on the target, and charges it.
// Preconditions: the class has a plain (or solo) call queued and the target bears it.
void make_grant(scheduler_table& table, pool_row& pool, const organisation_name& name,
                traffic_class priority, bool solo, const grant_place& place,
                const scheduler_context& context, instant now, outbox& out);

// Lets targets of the pool that are being emptied serve all again, but for
// `except`. Tells whether any was being emptied.
bool stop_emptying(scheduler_table& table, const pool_name& pool, const target_row* except);

// Empties a target for the next call that must run alone, and grants it when
// the target is empty. `places` are the ready targets of held shards of the pool.
void schedule_solo(scheduler_table& table, const pool_name& pool_id, pool_row& pool,
                   const std::vector<grant_place>& places, const scheduler_context& context,
                   instant now, outbox& out);

}  // namespace peridot::scheduling
