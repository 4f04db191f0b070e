// What a target bears, and what runs on it.
//
// A slot is counted from the grant until its end is known. Three sources say
// what runs on a target: own grants (exact, but an entry router may vanish and
// never report), load reports (whole, but late), and responses (boot ids).
//
// Earlier owners. `foreign_in_flight` starts as the whole load of the first
// report that counts, when no own grant can be on the target, so it is an upper
// bound. Nobody else starts calls on the target from then on, so it only falls:
// to the load of any later report at once, and to what a window of reports shows
// beyond the own calls.
//
// Settling. A report is compared with own grants `network_slack` after its
// sample: those that were sent that long before the sample and have not ended by
// now were running when it was taken. Over a window of `report_window` reports
// the largest rest beyond own calls is foreign, and the smallest shortage of own
// calls has ended without a word. So many overdue grants, oldest first, give up
// their slot. Overdue means that the entry router is gone, or silent for
// `reclaim_after`.
//
// Which of several overdue grants has ended is a guess: reports give numbers, not
// names. If a grant that could have been meant ends by word after all, its entry
// router having only slept, the guess was wrong, and one that was given up takes
// the slot back.
//
// Recounts. Calls that are shorter than the slack are never compared, and can
// hide for ever that a foreign call or a lost grant has ended. So a target that
// stays unclear gets no new work until a window has made it clear: at most for
// `max_recount_windows`, one target of a shard at a time, and each target at most
// once in `recount_interval`. A call that ends right after a sample hides one
// lost grant from it, so the first window alone may not be enough.
#include <algorithm>

#include "core/check.h"
#include "core/scheduler_internal.h"

namespace peridot {
namespace scheduling {
namespace {

constexpr std::size_t max_past_boot_ids = 4;
constexpr std::size_t max_reclaimed = 256;  // grants remembered for each target

void start_window(target_row& target) {
  target.unsettled.reset();
  target.settled = 0;
  target.most_beyond = 0;
  target.least_shortage = 0;
}

void make_cold(target_row& target) {
  target.completed = 0;
  target.finished_here = 0;
  target.reported_completed = 0;
}

bool is_past_boot(const target_row& target, const std::string& boot_id) {
  return std::find(target.past_boot_ids.begin(), target.past_boot_ids.end(), boot_id) !=
         target.past_boot_ids.end();
}

void set_boot(target_row& target, const std::string& boot_id) {
  if (!target.boot_id.empty()) {
    target.past_boot_ids.push_back(target.boot_id);
    if (target.past_boot_ids.size() > max_past_boot_ids) {
      target.past_boot_ids.erase(target.past_boot_ids.begin());
    }
    make_cold(target);
    target.reclaimed.clear();
  }
  target.boot_id = boot_id;
  start_window(target);
}

void note_boot_of_response(target_row& target, const std::string& boot_id) {
  if (!boot_id.empty() && boot_id != target.boot_id && !is_past_boot(target, boot_id)) {
    set_boot(target, boot_id);
  }
}

void count_completed(target_row& target) {
  // Both are lower bounds of what was completed since the start.
  target.completed = std::max({target.completed, target.finished_here, target.reported_completed});
}

bool is_overdue(const outstanding_grant& grant, instant at) {
  const instant last_sign = std::max(grant.use_before, grant.last_named);
  return grant.entry_gone || last_sign + reclaim_after <= at;
}

void remember_reclaimed(target_row& target, const outstanding_grant& grant) {
  if (target.reclaimed.size() >= max_reclaimed) {
    target.reclaimed.erase(target.reclaimed.begin());
  }
  target.reclaimed.emplace(grant.id, grant);
}

// Takes back the slots of overdue grants, as many as ended without a word.
void reclaim(scheduler_table& table, target_row& target, instant sampled_at) {
  std::uint32_t left = target.least_shortage;
  const std::set<std::uint64_t> grants = target.grants;  // releasing one changes the set
  for (std::uint64_t id : grants) {
    const outstanding_grant& grant = table.grants.at(id);
    const bool void_by_now = grant.use_before + network_slack <= sampled_at;
    if (left > 0 && void_by_now && is_overdue(grant, sampled_at)) {
      remember_reclaimed(target, grant);
      release_grant(table, id);
      --left;
    }
  }
}

bool is_unclear(const target_row& target) {
  return target.foreign_in_flight + target.entry_gone + target.overrun > 0;
}

void end_window(scheduler_table& table, target_row& target, instant sampled_at, instant now) {
  target.foreign_in_flight = std::min(target.foreign_in_flight, target.most_beyond);
  reclaim(table, target, sampled_at);
  start_window(target);
  ++target.recount_windows;
  const bool enough = !is_unclear(target) || target.recount_windows >= max_recount_windows;
  if (target.recounting && enough) {
    target.recounting = false;
    target.next_recount = now + recount_interval;
  }
}

// Longest that a call of the pool may run; a day if no profile uses the pool.
duration longest_run_of(const scheduler_table& table, const pool_name& pool) {
  const auto longest = table.longest_run.find(pool);
  return longest == table.longest_run.end() ? std::chrono::hours{24} : longest->second;
}

void settle_report(scheduler_table& table, target_row& target, instant now) {
  if (!target.unsettled || now < target.unsettled->sampled_at + network_slack) {
    return;
  }
  const unsettled_report report = *target.unsettled;
  target.unsettled.reset();
  const duration longest_run = longest_run_of(table, target.settings.pool);
  std::uint32_t own = 0;
  target.overrun = 0;
  for (std::uint64_t id : target.grants) {
    const instant granted_at = table.grants.at(id).granted_at;
    own += granted_at + network_slack <= report.sampled_at ? 1 : 0;
    target.overrun += granted_at + longest_run + reclaim_after <= now ? 1 : 0;
  }
  const std::uint32_t beyond = report.load - std::min(report.load, own);
  const std::uint32_t shortage = own - std::min(own, report.load);
  target.most_beyond = std::max(target.most_beyond, beyond);
  target.least_shortage =
      target.settled == 0 ? shortage : std::min(target.least_shortage, shortage);
  ++target.settled;
  if (target.settled >= report_window) {
    end_window(table, target, report.sampled_at, now);
  }
}

void start_recount(shard_row& row, instant now) {
  target_row* chosen = nullptr;
  for (std::pair<const target_name, target_row>& entry : row.targets) {
    target_row& target = entry.second;
    if (target.recounting) {
      return;
    }
    if (chosen == nullptr && target.usable && is_unclear(target) && now >= target.next_recount) {
      chosen = &target;
    }
  }
  if (chosen != nullptr) {
    chosen->recounting = true;
    chosen->recount_windows = 0;
    chosen->recount_from = now + network_slack;
    start_window(*chosen);
  }
}

// True if the report shows a start that was not known.
bool shows_new_start(const target_row& target, const load_report& report) {
  const bool known = !target.boot_id.empty() && !report.boot_id.empty();
  const bool other_boot = known && report.boot_id != target.boot_id;
  const bool counter_fell = report.completed < target.reported_completed;
  return other_boot || counter_fell;
}

void note_new_start(scheduler_table& table, target_row& target, const load_report& report) {
  // What was running when the last report was sampled ended with the old start.
  const std::set<std::uint64_t> grants = target.grants;  // releasing one changes the set
  for (std::uint64_t id : grants) {
    if (table.grants.at(id).use_before + network_slack <= target.last_report) {
      release_grant(table, id);
    }
  }
  if (!report.boot_id.empty() && report.boot_id != target.boot_id) {
    set_boot(target, report.boot_id);
  }
  make_cold(target);
  start_window(target);
  target.foreign_in_flight = std::min(target.foreign_in_flight, report.running + report.waiting);
}

}  // namespace

free_slots slots_of(const target_row& target) {
  const std::uint32_t limit = current_limit(target.settings, target.completed);
  const std::uint32_t reserved =
      limit > target.settings.reserved_slots ? target.settings.reserved_slots : 0;
  const std::uint32_t shared_limit = limit - reserved;
  const std::uint32_t used = target.in_flight + target.foreign_in_flight;
  // Calls of earlier owners are of unknown class: they count as not interactive.
  const std::uint32_t used_shared = used - target.interactive_in_flight;
  free_slots free;
  free.any = limit - std::min(limit, used);
  free.shared = std::min(free.any, shared_limit - std::min(shared_limit, used_shared));
  return free;
}

bool is_ready(const target_row& target, instant now) {
  const bool open = target.configured && !target.withdrawn;
  return open && target.usable && !target.recounting && target.blocked_until <= now;
}

target_row* find_row(scheduler_table& table, const shard_key& shard, const target_name& target) {
  const auto row = table.shards.find(shard);
  if (row == table.shards.end()) {
    return nullptr;
  }
  const auto found = row->second.targets.find(target);
  return found == row->second.targets.end() ? nullptr : &found->second;
}

void release_grant(scheduler_table& table, std::uint64_t id) {
  const auto grant = table.grants.find(id);
  PERIDOT_CHECK(grant != table.grants.end(), "a grant was released twice");
  const outstanding_grant& row = grant->second;
  target_row* target = find_row(table, row.shard, row.target);
  PERIDOT_CHECK(target != nullptr, "a grant outlived its target's row");
  PERIDOT_CHECK(target->in_flight > 0, "fewer slots are counted than grants");
  target->grants.erase(id);
  --target->in_flight;
  if (row.priority == traffic_class::interactive) {
    PERIDOT_CHECK(target->interactive_in_flight > 0, "fewer slots are counted than grants");
    --target->interactive_in_flight;
  }
  if (row.solo) {
    target->solo_running = false;
  }
  if (row.entry_gone) {
    PERIDOT_CHECK(target->entry_gone > 0, "fewer grants are counted than are gone");
    --target->entry_gone;
  }
  account& owner = table.pools.at(row.shard.pool).accounts.at(row.organisation);
  PERIDOT_CHECK(owner.in_flight > 0, "an account counts fewer grants than it has");
  --owner.in_flight;
  table.grants.erase(grant);
}

void hold_slot(scheduler_table& table, target_row& target, outstanding_grant grant) {
  account& owner = open_account(table, table.pools.at(grant.shard.pool), grant.organisation);
  target.grants.insert(grant.id);
  ++target.in_flight;
  target.interactive_in_flight += grant.priority == traffic_class::interactive ? 1 : 0;
  target.entry_gone += grant.entry_gone ? 1 : 0;
  ++owner.in_flight;
  const std::uint64_t id = grant.id;
  table.grants.emplace(id, std::move(grant));
}

void correct_reclaimed(scheduler_table& table, target_row& target, const outstanding_grant& ended,
                       instant now) {
  if (target.reclaimed.empty() || !is_overdue(ended, now)) {
    return;
  }
  outstanding_grant mistaken = target.reclaimed.begin()->second;
  target.reclaimed.erase(target.reclaimed.begin());
  target.solo_running = target.solo_running || mistaken.solo;
  hold_slot(table, target, std::move(mistaken));
}

void settle_reports(scheduler_table& table, shard_row& row, instant now) {
  for (std::pair<const target_name, target_row>& target : row.targets) {
    settle_report(table, target.second, now);
  }
  start_recount(row, now);
}

void note_finish(target_row& target, const wire::finish& message, bool counted, instant now) {
  note_boot_of_response(target, message.boot_id());
  switch (message.result()) {
    case wire::finish_lost:
      make_cold(target);
      target.cold_until = now + cold_distrust;
      break;
    case wire::finish_refused: {
      make_cold(target);
      target.cold_until = now + cold_distrust;
      const duration pause = refused_backoff * (1U << std::min(target.refusals, 8U));
      target.blocked_until = now + std::min<duration>(pause, refused_backoff_limit);
      ++target.refusals;
      break;
    }
    case wire::finish_ok:
      target.refusals = 0;
      if (counted && !is_past_boot(target, message.boot_id())) {
        ++target.finished_here;
        count_completed(target);
      }
      break;
    default:
      break;
  }
}

}  // namespace scheduling

void on_load_report(scheduler_table& table, const load_report& report, instant now,
                    const scheduler_context& context) {
  scheduling::refresh_published(table, context, now);
  for (std::pair<const shard_key, shard_row>& shard : table.shards) {
    const auto found = shard.second.targets.find(report.target);
    if (found == shard.second.targets.end()) {
      continue;
    }
    target_row& target = found->second;
    const bool late = report.sampled_at < target.usable_after ||
                      (target.usable && report.sampled_at <= target.last_report);
    if (late || scheduling::is_past_boot(target, report.boot_id)) {
      continue;
    }
    scheduling::settle_report(table, target, now);
    const std::uint32_t load = report.running + report.waiting;
    if (!target.usable) {
      PERIDOT_CHECK(target.in_flight == 0, "a target was granted before it was usable");
      target.usable = true;
      target.foreign_in_flight = load;
      target.next_recount = now + first_recount_delay;
    } else if (scheduling::shows_new_start(target, report)) {
      scheduling::note_new_start(table, target, report);
    } else if (!target.unsettled &&
               (!target.recounting || report.sampled_at >= target.recount_from)) {
      target.unsettled = unsettled_report{load, report.sampled_at};
    }
    target.foreign_in_flight = std::min(target.foreign_in_flight, load);
    if (target.boot_id.empty()) {
      target.boot_id = report.boot_id;
    }
    target.last_report = report.sampled_at;
    if (report.sampled_at >= target.cold_until) {
      target.reported_completed = report.completed;
      scheduling::count_completed(target);
    }
  }
}

}  // namespace peridot
