// Requests that crashed targets.
//
// A row holds, for one fingerprint of one organisation, the crashes that each
// router saw. A router's word replaces its earlier word; the sum over routers is
// what counts. Only what a router saw itself goes into its heartbeats, with the
// life that is left, so that two routers cannot keep a suspect alive by telling
// each other.
//
// Bounds. An organisation holds at most max_suspects_per_organisation rows; a
// further one drops its own oldest. At max_suspects in all, the organisation with
// the most rows drops its oldest: an organisation loses rows to others only while
// it holds more than any of them, so a flood costs the flooder its own.
#include <algorithm>

#include "core/check.h"
#include "core/entry_internal.h"

namespace peridot {
namespace {

using organisation_suspects = std::map<std::uint64_t, suspect_row>;
using suspect_entry = organisation_suspects::value_type;
using group_entry = std::map<organisation_name, organisation_suspects>::value_type;

void remove_row(suspect_table& table, const organisation_name& organisation,
                std::uint64_t fingerprint) {
  auto group = table.rows.find(organisation);
  PERIDOT_CHECK(group != table.rows.end(), "suspect of an organisation without suspects");
  auto row = group->second.find(fingerprint);
  PERIDOT_CHECK(row != group->second.end(), "suspect is not in its table");
  table.deadlines.erase(suspect_deadline{row->second.expires, organisation, fingerprint});
  group->second.erase(row);
  if (group->second.empty()) {
    table.rows.erase(group);
  }
}

void remove_oldest_of(suspect_table& table, const organisation_name& organisation) {
  const organisation_suspects& group = table.rows.at(organisation);
  auto oldest = std::min_element(group.begin(), group.end(),
                                 [](const suspect_entry& one, const suspect_entry& two) {
                                   return one.second.expires < two.second.expires;
                                 });
  remove_row(table, organisation, oldest->first);
}

// Linear in the organisations with suspects; reached only when the table is full.
organisation_name organisation_with_most(const suspect_table& table) {
  auto most = std::max_element(table.rows.begin(), table.rows.end(),
                               [](const group_entry& one, const group_entry& two) {
                                 return one.second.size() < two.second.size();
                               });
  return most->first;
}

void make_room(suspect_table& table, const organisation_name& organisation) {
  auto group = table.rows.find(organisation);
  if (group != table.rows.end() && group->second.size() >= max_suspects_per_organisation) {
    remove_oldest_of(table, organisation);
  } else if (table.deadlines.size() >= max_suspects) {
    remove_oldest_of(table, organisation_with_most(table));
  }
}

// Recomputes the row's expiry from its counts, and removes it without any.
void update_expiry(suspect_table& table, const organisation_name& organisation,
                   std::uint64_t fingerprint) {
  suspect_row& row = table.rows.at(organisation).at(fingerprint);
  if (row.seen_by.empty()) {
    remove_row(table, organisation, fingerprint);
    return;
  }
  table.deadlines.erase(suspect_deadline{row.expires, organisation, fingerprint});
  row.expires = instant::min();
  for (const std::pair<const router_address, crash_count>& seen : row.seen_by) {
    row.expires = std::max(row.expires, seen.second.expires);
  }
  table.deadlines.insert(suspect_deadline{row.expires, organisation, fingerprint});
}

void set_count(suspect_table& table, const router_address& router,
               const organisation_name& organisation, std::uint64_t fingerprint,
               const crash_count& count) {
  auto group = table.rows.find(organisation);
  if (group == table.rows.end() || !group->second.contains(fingerprint)) {
    make_room(table, organisation);
  }
  table.rows[organisation][fingerprint].seen_by[router] = count;
  update_expiry(table, organisation, fingerprint);
  PERIDOT_CHECK(table.deadlines.size() <= max_suspects, "more suspects than the table may hold");
}

const suspect_row* find_row(const suspect_table& table, const organisation_name& organisation,
                            std::uint64_t fingerprint) {
  auto group = table.rows.find(organisation);
  if (group == table.rows.end()) {
    return nullptr;
  }
  auto row = group->second.find(fingerprint);
  return row == group->second.end() ? nullptr : &row->second;
}

}  // namespace

std::uint32_t crashes_of(const suspect_table& table, const organisation_name& organisation,
                         std::uint64_t fingerprint, instant now) {
  const suspect_row* row = find_row(table, organisation, fingerprint);
  if (row == nullptr) {
    return 0;
  }
  std::uint32_t crashes = 0;
  for (const std::pair<const router_address, crash_count>& seen : row->seen_by) {
    if (seen.second.expires > now) {
      crashes += seen.second.crashes;
    }
  }
  return crashes;
}

instant suspect_until(const suspect_table& table, const organisation_name& organisation,
                      std::uint64_t fingerprint, instant now) {
  const suspect_row* row = find_row(table, organisation, fingerprint);
  return row == nullptr ? now : std::max(now, row->expires);
}

void record_crash(suspect_table& table, const router_address& self,
                  const organisation_name& organisation, std::uint64_t fingerprint,
                  std::chrono::milliseconds life, instant now) {
  std::uint32_t earlier = 0;
  const suspect_row* row = find_row(table, organisation, fingerprint);
  if (row != nullptr) {
    auto own = row->seen_by.find(self);
    const bool counts = own != row->seen_by.end() && own->second.expires > now;
    earlier = counts ? own->second.crashes : 0;
  }
  const std::uint32_t crashes = std::min(earlier + 1, max_crashes);
  set_count(table, self, organisation, fingerprint, crash_count{crashes, now + life});
}

void clear_own_crashes(suspect_table& table, const router_address& self,
                       const organisation_name& organisation, std::uint64_t fingerprint) {
  auto group = table.rows.find(organisation);
  if (group == table.rows.end()) {
    return;
  }
  auto row = group->second.find(fingerprint);
  if (row == group->second.end() || row->second.seen_by.erase(self) == 0) {
    return;
  }
  update_expiry(table, organisation, fingerprint);
}

void drop_old_suspects(suspect_table& table, instant now) {
  while (!table.deadlines.empty() && table.deadlines.begin()->at <= now) {
    const suspect_deadline due = *table.deadlines.begin();
    remove_row(table, due.organisation, due.fingerprint);
  }
}

std::vector<wire::suspect> own_suspects(const entry_table& table, const router_address& self,
                                        instant now) {
  std::vector<wire::suspect> result;
  const std::set<suspect_deadline>& deadlines = table.suspects.deadlines;
  for (auto due = deadlines.rbegin(); due != deadlines.rend(); ++due) {
    if (result.size() >= max_suspects_per_heartbeat) {
      break;
    }
    const suspect_row& row = table.suspects.rows.at(due->organisation).at(due->fingerprint);
    auto own = row.seen_by.find(self);
    if (own == row.seen_by.end() || own->second.expires <= now) {
      continue;
    }
    const duration left = own->second.expires - now;
    wire::suspect told;
    told.set_organisation(due->organisation.value);
    told.set_fingerprint(due->fingerprint);
    told.set_crashes(own->second.crashes);
    told.set_expires_in_us(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(left).count()));
    result.push_back(told);
  }
  return result;
}

void on_suspects(entry_table& table, const router_address& from,
                 const google::protobuf::RepeatedPtrField<wire::suspect>& suspects, instant now) {
  constexpr std::chrono::microseconds longest_life = longest_suspect_life;
  for (const wire::suspect& told : suspects) {
    if (told.crashes() == 0 || told.expires_in_us() == 0) {
      continue;
    }
    const std::uint64_t left =
        std::min(told.expires_in_us(), static_cast<std::uint64_t>(longest_life.count()));
    crash_count count;
    count.crashes = std::min(told.crashes(), max_crashes);
    count.expires = now + std::chrono::microseconds{static_cast<std::int64_t>(left)};
    set_count(table.suspects, from, organisation_name{told.organisation()}, told.fingerprint(),
              count);
  }
}

}  // namespace peridot
