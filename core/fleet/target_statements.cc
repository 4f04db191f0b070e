#include "core/fleet/target_statements.h"

#include <algorithm>
#include <cmath>

namespace peridot {
namespace {

// The statement of the entry's incarnation; null if it has made none.
const target_statement* find_statement(const statement_table& table, const target_entry& target) {
  auto found = table.targets.find(target.name);
  return found == table.targets.end() || found->second.started_unix_ms != target.started_unix_ms
             ? nullptr
             : &found->second;
}

// True if the target's present incarnation has said that it leaves. Where it does not say its
// start, what was said before it was first seen is of another one.
bool has_said_leaving(const target_state& target, const target_statement& statement) {
  return statement.leaving && target.entry.started_unix_ms == statement.started_unix_ms &&
         (statement.started_unix_ms != 0 || statement.leaving_since >= target.incarnation_seen_at);
}

target_statement& statement_of(statement_table& table, const target_entry& target) {
  target_statement& statement = table.targets[target.name];
  if (statement.started_unix_ms != target.started_unix_ms) {
    table.limited_count -= statement.rate_limit.has_value() ? 1 : 0;
    statement = {};
    statement.started_unix_ms = target.started_unix_ms;
  }
  return statement;
}

double rounded_limit(double limit) {
  return std::round(std::min(limit, max_rate_limit) * limit_steps_per_call) / limit_steps_per_call;
}

bool set_limit(statement_table& table, target_statement& statement, std::optional<double> limit,
               instant stated_at, instant now) {
  statement.stated_at = stated_at;
  if (statement.rate_limit == limit) {
    return false;
  }
  table.limited_count -= statement.rate_limit.has_value() ? 1 : 0;
  table.limited_count += limit.has_value() ? 1 : 0;
  statement.rate_limit = limit;
  statement.changed_at = now;
  return true;
}

bool record_limit(statement_table& table, const target_entry& target,
                  const response_statements& statements, instant sent_at, instant now) {
  if (statements.rate_limit.has_value()) {
    target_statement& statement = statement_of(table, target);
    statement.heard_at = now;
    return set_limit(table, statement, rounded_limit(*statements.rate_limit), now, now);
  }
  const target_statement* known = find_statement(table, target);
  if (statements.limit_unreadable || known == nullptr || !known->rate_limit.has_value() ||
      sent_at <= known->stated_at) {
    return false;
  }
  return set_limit(table, statement_of(table, target), std::nullopt, now, now);
}

}  // namespace

std::optional<double> rate_limit(const statement_table& table, const target_entry& target) {
  if (table.limited_count == 0) {
    return std::nullopt;
  }
  const target_statement* statement = find_statement(table, target);
  if (statement == nullptr || !statement->rate_limit.has_value()) {
    return std::nullopt;
  }
  return std::max(min_rate_limit, *statement->rate_limit);
}

duration time_until_accepted(const statement_table& table, const target_entry& target,
                             instant now) {
  if (now >= table.refused_until) {
    return duration{0};
  }
  const target_statement* statement = find_statement(table, target);
  return statement == nullptr ? duration{0}
                              : std::max<duration>(duration{0}, statement->refuses_until - now);
}

statement_changes record_statements(statement_table& table, const target_entry& target,
                                    const response_statements& statements, instant sent_at,
                                    instant now) {
  statement_changes changes;
  changes.limit = record_limit(table, target, statements, sent_at, now);
  changes.leaving = statements.leaving && record_leaving(table, target, now);
  if (statements.refuses_for.has_value() && *statements.refuses_for > milliseconds{0}) {
    target_statement& statement = statement_of(table, target);
    changes.refusing = statement.refuses_until <= now;
    statement.refuses_until =
        std::max<instant>(statement.refuses_until, now + *statements.refuses_for);
    table.refused_until = std::max(table.refused_until, statement.refuses_until);
  }
  return changes;
}

bool record_leaving(statement_table& table, const target_entry& target, instant now) {
  target_statement& statement = statement_of(table, target);
  if (statement.leaving) {
    return false;
  }
  statement.leaving = true;
  statement.leaving_since = now;
  return true;
}

void record_leaving_entries(statement_table& table, const target_table& targets, instant now) {
  for (const std::pair<const target_name, target_state>& target : targets.targets) {
    if (target.second.leaving) {
      record_leaving(table, target.second.entry, now);
    }
  }
}

void mark_leaving_targets(const statement_table& table, target_table& targets) {
  for (const std::pair<const target_name, target_statement>& entry : table.targets) {
    auto target = targets.targets.find(entry.first);
    if (target != targets.targets.end() && has_said_leaving(target->second, entry.second)) {
      mark_leaving(targets, target->second);
    }
  }
}

std::vector<std::uint32_t> leaving_to_report(const statement_table& table,
                                             const target_table& targets, bool all, instant now) {
  std::vector<std::uint32_t> result;
  for (const std::pair<const target_name, target_statement>& entry : table.targets) {
    auto target = targets.targets.find(entry.first);
    if (target != targets.targets.end() && has_said_leaving(target->second, entry.second) &&
        (all || now - entry.second.leaving_since < changed_report_time)) {
      result.push_back(incarnation_hash(target->second.entry));
    }
  }
  return result;
}

bool merge_limit(statement_table& table, const target_entry& target, const reported_limit& reported,
                 instant now) {
  const target_statement* known = find_statement(table, target);
  if (known == nullptr && !reported.rate_limit.has_value()) {
    return false;  // the end of a limit that is not known here
  }
  if (known != nullptr) {
    const bool is_same = known->rate_limit == reported.rate_limit;
    if (reported.stated_at <= known->stated_at + (is_same ? echo_time : milliseconds{0})) {
      return false;
    }
  }
  return set_limit(table, statement_of(table, target), reported.rate_limit, reported.stated_at,
                   now);
}

std::vector<reported_limit> limits_to_report(const statement_table& table,
                                             const target_table& targets, limit_selection selection,
                                             instant now) {
  std::vector<reported_limit> result;
  for (const std::pair<const target_name, target_statement>& entry : table.targets) {
    const target_statement& statement = entry.second;
    auto target = targets.targets.find(entry.first);
    const bool is_new = now - statement.changed_at < changed_report_time;
    const bool is_selected =
        selection == limit_selection::all ||
        (selection == limit_selection::heard && now - statement.heard_at < limit_report_interval);
    const bool is_due = is_selected && (statement.rate_limit.has_value() ||
                                        now - statement.changed_at < ended_limit_report_time);
    if (target != targets.targets.end() &&
        target->second.entry.started_unix_ms == statement.started_unix_ms && (is_new || is_due)) {
      result.push_back(
          {incarnation_hash(target->second.entry), statement.rate_limit, statement.stated_at});
    }
  }
  return result;
}

void forget_targets(statement_table& table, const target_table& targets, instant now) {
  std::erase_if(table.targets, [&](const std::pair<const target_name, target_statement>& entry) {
    auto target = targets.targets.find(entry.first);
    const bool is_kept =
        entry.second.leaving && now - entry.second.leaving_since < leaving_retention;
    const bool is_of_other_incarnation =
        target != targets.targets.end() &&
        (target->second.entry.started_unix_ms != entry.second.started_unix_ms ||
         (entry.second.leaving && !has_said_leaving(target->second, entry.second)));
    const bool is_stale = target == targets.targets.end() ? !is_kept : is_of_other_incarnation;
    table.limited_count -= is_stale && entry.second.rate_limit.has_value() ? 1 : 0;
    return is_stale;
  });
}

}  // namespace peridot
