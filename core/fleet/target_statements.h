// What targets say of themselves in their responses.
//
// - A limit: the calls per second that a target in need takes from all routers together. It holds
//   until a response omits it.
// - That it leaves. Final for its incarnation, as a draining entry of the store.
// - For how long it takes no calls from the router that it tells. Other routers are told
//   by the target.
//
// Routers learn statements from the responses that they get, and limits and leaving from each
// other:
//
//   record_statements(table, target.entry, statements, sent_at, now);  // each response
//   merge_limit(table, target.entry, reported, now);                   // each peer's report
//   record_leaving(table, target.entry, now);                          // likewise
//   std::optional<double> limit = rate_limit(table, target.entry);
//
// Which goes first: a statement is one incarnation's, told apart by name and start. A target that
// restarts under its name, or another one at its address, has said nothing yet. Leaving, said by
// the target or by its entry, is never taken back, also if the entry disappears and an older copy
// of the store brings it back within leaving_retention. Of limits the newest counts, by its age. A
// response without a limit ends the limit only if its call was sent after the newest response that
// named one: it may have been made before that one otherwise. Of several times without calls the
// longest counts.
//
// Invariant: one statement per target at most; forget_targets() drops those of unknown targets.
// Thread safety: none; for use from one event loop.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "core/base/types.h"
#include "core/fleet/config_and_targets.h"
#include "core/fleet/report_times.h"

namespace peridot {

// Limits below this are raised to it, so that responses tell when a target takes calls again.
inline constexpr double min_rate_limit = 0.25;  // calls per second
// No pool of routers sends more; larger limits are lowered to it.
inline constexpr double max_rate_limit = 1e6;
// Limits are rounded to whole steps, so that routers report exact values to each other.
inline constexpr double limit_steps_per_call = 1'000;
// How long routers report the end of a limit to each other.
inline constexpr milliseconds ended_limit_report_time{10'000};
// A limit that has not changed lately is reported once per interval.
inline constexpr milliseconds limit_report_interval{2'000};

// How long a target that said that it leaves is remembered after its entry is gone.
inline constexpr milliseconds leaving_retention{60'000};

// What a target says of its load.
struct reported_load {
  int running = 0;  // calls
  int waiting = 0;
  int slots = 0;
  double slowdown = 1;  // how long work takes there now; 1: as usual
};

// What one response says.
struct response_statements {
  bool leaving = false;
  std::optional<milliseconds> refuses_for;  // takes no calls from this router for so long
  std::optional<double> rate_limit;         // calls per second from all routers; not below 0
  bool limit_unreadable = false;  // a limit is named that cannot be read; `rate_limit` is unset
  std::optional<reported_load> load;
};

struct target_statement {
  std::int64_t started_unix_ms = 0;  // of the incarnation that made it
  std::optional<double> rate_limit;  // in force; unset: none is, or it has ended
  instant stated_at{};               // of the newest response that names or ends the limit
  instant changed_at{};              // when `rate_limit` changed last at this router
  instant heard_at{};                // of the newest limit that this router got itself
  bool leaving = false;
  instant leaving_since{};  // when this router learned it
  instant refuses_until{};  // takes no calls from this router until then
};

struct statement_table {
  std::unordered_map<target_name, target_statement> targets;
  std::size_t limited_count = 0;  // targets with a limit in force
  instant refused_until{};        // no target refuses calls after it
};

// A limit or its end, as routers report it to each other.
struct reported_limit {
  std::uint32_t incarnation = 0;     // incarnation_hash() of the target
  std::optional<double> rate_limit;  // unset: it has ended
  instant stated_at{};
};

// The limit in force, at least min_rate_limit; unset: none.
std::optional<double> rate_limit(const statement_table& table, const target_entry& target);

// Time until the target takes calls from this router again; 0: it does.
duration time_until_accepted(const statement_table& table, const target_entry& target, instant now);

// What a response has changed.
struct statement_changes {
  bool limit = false;     // the limit in force
  bool leaving = false;   // the target leaves
  bool refusing = false;  // it takes no calls for a while, and did before
};

// Applies what a response of the target says. `sent_at`: of its call.
statement_changes record_statements(statement_table& table, const target_entry& target,
                                    const response_statements& statements, instant sent_at,
                                    instant now);

// The target leaves. Returns true if that was not known.
bool record_leaving(statement_table& table, const target_entry& target, instant now);

// Records what entries in the store say of leaving, so that it holds for their incarnations also
// once the store has older entries, and routers that read only these are told.
void record_leaving_entries(statement_table& table, const target_table& targets, instant now);

// Marks the targets as leaving that have said so.
void mark_leaving_targets(const statement_table& table, target_table& targets);

// Incarnations to report as leaving in this round: those that this router learned of lately, or
// all.
std::vector<std::uint32_t> leaving_to_report(const statement_table& table,
                                             const target_table& targets, bool all, instant now);

// Applies a peer's report about the target. Returns true if the limit in force has changed.
bool merge_limit(statement_table& table, const target_entry& target, const reported_limit& reported,
                 instant now);

// Which limits a report holds beside those that have changed lately.
enum class limit_selection {
  changed,  // none
  heard,    // those that this router heard from the targets in the last interval
  all,
};

std::vector<reported_limit> limits_to_report(const statement_table& table,
                                             const target_table& targets, limit_selection selection,
                                             instant now);

// Drops statements of targets, and of incarnations, that are not in `targets`; those of leaving
// ones after leaving_retention.
void forget_targets(statement_table& table, const target_table& targets, instant now);

}  // namespace peridot
