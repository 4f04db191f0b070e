// Running reports of entry routers.
//
// A finish may be lost, and its slot would stay counted until load reports show a
// shortage; these give numbers, not names, so which grant has ended is a guess. An
// entry router therefore names the grants that it uses from time to time. A grant
// that it does not name, and that was void on its clock when it sent the report, is
// not in use and cannot come into use: its slot is free. A grant that it names runs,
// whatever was guessed before.
#include <set>
#include <utility>
#include <vector>

#include "core/scheduler_internal.h"

namespace peridot {
namespace scheduling {
namespace {

// Grants of the entry router that ended without a word. Clears the mark of those
// that run at a router which was taken to be gone.
std::vector<std::uint64_t> find_ended(scheduler_table& table, const router_identity& from,
                                      const std::set<std::uint64_t>& running,
                                      std::uint64_t sent_at_us, instant now) {
  std::vector<std::uint64_t> ended;
  for (std::pair<const std::uint64_t, outstanding_grant>& entry : table.grants) {
    outstanding_grant& grant = entry.second;
    if (grant.entry != from) {
      continue;
    }
    target_row* target = find_row(table, grant.shard, grant.target);
    if (running.contains(entry.first)) {
      target->entry_gone -= grant.entry_gone ? 1 : 0;
      grant.entry_gone = false;
      grant.last_named = now;
    } else if (grant.void_at_us <= sent_at_us) {
      ended.push_back(entry.first);
    }
  }
  return ended;
}

// Counts grants again that were taken to have ended, and forgets the others.
void restore_running(scheduler_table& table, target_row& target, const router_identity& from,
                     const std::set<std::uint64_t>& running, instant now) {
  for (auto row = target.reclaimed.begin(); row != target.reclaimed.end();) {
    if (row->second.entry != from) {
      ++row;
      continue;
    }
    outstanding_grant grant = row->second;
    row = target.reclaimed.erase(row);
    if (running.contains(grant.id)) {
      grant.entry_gone = false;
      grant.last_named = now;
      target.solo_running = target.solo_running || grant.solo;
      hold_slot(table, target, std::move(grant));
    }
  }
}

}  // namespace
}  // namespace scheduling

void on_running_report(scheduler_table& table, const router_identity& from,
                       const wire::running_report& message, instant now,
                       const scheduler_context& context) {
  scheduling::refresh_published(table, context, now);
  const std::set<std::uint64_t> running(message.grant_ids().begin(), message.grant_ids().end());
  const std::vector<std::uint64_t> ended =
      scheduling::find_ended(table, from, running, message.sent_at_us(), now);
  for (std::uint64_t id : ended) {
    const outstanding_grant grant = table.grants.at(id);
    scheduling::release_grant(table, id);
    target_row* target = scheduling::find_row(table, grant.shard, grant.target);
    scheduling::correct_reclaimed(table, *target, grant, now);
  }
  for (std::pair<const shard_key, shard_row>& shard : table.shards) {
    for (std::pair<const target_name, target_row>& target : shard.second.targets) {
      scheduling::restore_running(table, target.second, from, running, now);
    }
  }
}

}  // namespace peridot
