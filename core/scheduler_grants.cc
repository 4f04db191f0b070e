// Grants and their ends.
//
// Each pool is served in two steps. First the shared slots: the organisation
// with the lowest tag gets the emptiest target, for the most urgent class that
// it has queued. Then the slots that are left are the reserved ones: the
// organisation with the lowest tag among those with interactive calls gets
// them, unless it leads the lowest of all by `reserved_slot_lead` or more.
//
// So between organisations the tag alone decides who is served, and within one
// organisation the class decides what; a class never lets an organisation
// overtake another on shared slots.
//
// When the loop ends, no shared slot is free while any call is queued that may
// share a target, and no reserved slot is free while an interactive one of an
// organisation below the lead is queued.
#include <algorithm>
#include <queue>

#include "core/check.h"
#include "core/scheduler_internal.h"

namespace peridot {
namespace scheduling {
namespace {

// Drops demands that are too old to grant on: their grants would be void, or
// nearly so, when they arrive.
void drop_stale_demands(scheduler_table& table, pool_row& pool, const fleet_config& fleet,
                        instant now) {
  std::vector<router_address> stale;
  for (const std::pair<const router_address, entry_demand>& demand : pool.demands) {
    if (demand.second.received_at + fleet.grant_validity / 2 < now) {
      stale.push_back(demand.first);
    }
  }
  for (const router_address& entry : stale) {
    drop_demand(table, pool, entry, true);
  }
}

// The class to serve: the most urgent, or for first_come that of the oldest call.
traffic_class class_to_serve(const scheduler_table& table, const account& row, bool solo) {
  std::optional<traffic_class> chosen;
  instant oldest = instant::max();
  for (std::size_t index = 0; index < traffic_classes; ++index) {
    const class_backlog& backlog = row.classes[index];
    if ((solo ? backlog.solo : backlog.plain) == 0) {
      continue;
    }
    instant arrived = oldest;
    for (const std::pair<const router_address, queued_line>& line : backlog.lines) {
      if (!line.second.arrivals.empty()) {
        arrived = std::min(arrived, line.second.arrivals.front().at);
      }
    }
    const bool older = table.policy == share_policy::first_come && arrived < oldest;
    if (!chosen || older) {
      chosen = static_cast<traffic_class>(index);
      oldest = arrived;
    }
  }
  PERIDOT_CHECK(chosen.has_value(), "an organisation without queued calls was chosen");
  return *chosen;
}

// The next entry router in turn that has a call to give.
std::map<router_address, queued_line>::iterator next_line(class_backlog& backlog, bool solo) {
  auto line = backlog.lines.upper_bound(backlog.last_granted);
  for (std::size_t tried = 0; tried <= backlog.lines.size(); ++tried) {
    if (line == backlog.lines.end()) {
      line = backlog.lines.begin();
    }
    if ((solo ? line->second.solo : line->second.plain) > 0) {
      return line;
    }
    ++line;
  }
  PERIDOT_CHECK(false, "a class counts calls that no entry router has");
  return backlog.lines.end();
}

// Takes one call off the line; returns the estimate of its cost.
service_units take_call(class_backlog& backlog, bool solo, router_address& entry) {
  const auto line = next_line(backlog, solo);
  entry = line->first;
  backlog.last_granted = entry;
  const service_units estimated = line->second.estimated;
  --(solo ? line->second.solo : line->second.plain);
  --(solo ? backlog.solo : backlog.plain);
  if (!line->second.arrivals.empty() && --line->second.arrivals.front().calls == 0) {
    line->second.arrivals.pop_front();
  }
  if (line->second.plain + line->second.solo == 0) {
    backlog.lines.erase(line);
  }
  return estimated;
}

void send_grant(const outstanding_grant& grant, const entry_demand& demand, std::uint64_t fencing,
                const scheduler_context& context, outbox& out) {
  outgoing_message sent;
  sent.to = grant.entry.address;
  sent.to_incarnation = grant.entry.incarnation;
  wire::grant& message = *sent.message.mutable_grant();
  message.set_grant_id(grant.id);
  *message.mutable_shard() = to_wire(grant.shard);
  message.set_target(grant.target.value);
  message.set_organisation(grant.organisation.value);
  message.set_traffic_class(to_wire(grant.priority));
  message.set_solo(grant.solo);
  message.set_demand_sent_at_us(demand.sent_at_us);
  const std::chrono::microseconds validity = context.config.fleet.grant_validity;
  message.set_valid_for_us(static_cast<std::uint64_t>(validity.count()));
  message.set_config_version(context.config.version);
  message.set_estimated_cost(grant.estimated);
  message.set_fencing(fencing);
  out.push_back(std::move(sent));
}

// The emptiest target first; equal ones in order of their place.
struct candidate {
  std::uint32_t free = 0;
  std::size_t place = 0;
  friend bool operator<(const candidate& a, const candidate& b) {
    return std::tie(a.free, b.place) < std::tie(b.free, a.place);
  }
};

void grant_shared(scheduler_table& table, pool_row& pool, const std::vector<grant_place>& places,
                  const scheduler_context& context, instant now, outbox& out) {
  std::priority_queue<candidate> candidates;
  for (std::size_t place = 0; place < places.size(); ++place) {
    candidates.push({slots_of(*places[place].target).shared, place});
  }
  while (!candidates.empty() && candidates.top().free > 0 && !pool.plain.empty()) {
    const std::size_t place = candidates.top().place;
    candidates.pop();
    const organisation_name chosen = pool.plain.begin()->second;
    const account& row = pool.accounts.at(chosen);
    PERIDOT_CHECK(table.policy == share_policy::first_come || pool.plain.begin()->first == row.tag,
                  "the chosen organisation's tag is not the lowest");
    const traffic_class priority = class_to_serve(table, row, false);
    make_grant(table, pool, chosen, priority, false, places[place], context, now, out);
    candidates.push({slots_of(*places[place].target).shared, place});
  }
  PERIDOT_CHECK(candidates.empty() || candidates.top().free == 0 || pool.plain.empty(),
                "a shared slot is idle while calls wait");
}

void grant_reserved(scheduler_table& table, pool_row& pool, const std::vector<grant_place>& places,
                    const scheduler_context& context, instant now, outbox& out) {
  for (const grant_place& place : places) {
    while (slots_of(*place.target).any > 0 && !pool.interactive.empty()) {
      const std::pair<double, organisation_name> chosen = *pool.interactive.begin();
      const double lowest = lowest_key(pool).value_or(chosen.first);
      if (chosen.first - lowest >= reserved_slot_lead) {
        return;
      }
      make_grant(table, pool, chosen.second, traffic_class::interactive, false, place, context, now,
                 out);
    }
  }
}

// Ready targets of the shards whose lease lasts longer than any grant made now.
std::vector<grant_place> ready_places(scheduler_table& table, const pool_name& pool,
                                      const std::vector<shard_lease>& leases,
                                      const scheduler_context& context, instant now) {
  std::vector<grant_place> places;
  for (const shard_lease& lease : leases) {
    const auto shard = table.shards.find(lease.shard);
    const bool lasts = now + context.config.fleet.grant_validity <= lease.ends;
    if (lease.shard.pool != pool || shard == table.shards.end() || !lasts) {
      continue;
    }
    settle_reports(table, shard->second, now);
    for (std::pair<const target_name, target_row>& target : shard->second.targets) {
      if (is_ready(target.second, now)) {
        places.push_back({lease.shard, shard->second.fencing, &target.second});
      }
    }
  }
  return places;
}

void grant_pool(scheduler_table& table, const pool_name& name, pool_row& pool,
                const std::vector<shard_lease>& leases, const scheduler_context& context,
                instant now, outbox& out) {
  drop_stale_demands(table, pool, context.config.fleet, now);
  restore_withheld(table, pool);
  if (table.policy != share_policy::first_come) {
    pool.virtual_time = std::max(pool.virtual_time, lowest_key(pool).value_or(0));
  }
  if (!lowest_key(pool)) {
    stop_emptying(table, name, nullptr);
    return;
  }
  std::vector<grant_place> places = ready_places(table, name, leases, context, now);
  schedule_solo(table, name, pool, places, context, now, out);
  std::erase_if(places, [](const grant_place& place) {
    return place.target->solo_wanted || place.target->solo_running;
  });
  grant_shared(table, pool, places, context, now, out);
  grant_reserved(table, pool, places, context, now, out);
}

// What the call is to be charged beyond what was charged at its grant.
service_units correction(const outstanding_grant& grant, const wire::finish& message) {
  if (message.result() == wire::finish_returned) {
    return -grant.estimated;
  }
  return charged_cost(message.cost()) - grant.estimated;
}

}  // namespace

void make_grant(scheduler_table& table, pool_row& pool, const organisation_name& name,
                traffic_class priority, bool solo, const grant_place& place,
                const scheduler_context& context, instant now, outbox& out) {
  target_row& target = *place.target;
  const free_slots free = slots_of(target);
  const bool interactive = priority == traffic_class::interactive;
  PERIDOT_CHECK((interactive ? free.any : free.shared) > 0, "a target got more than it bears");
  PERIDOT_CHECK(target.in_flight == target.grants.size(),
                "a target's count differs from its grants");
  PERIDOT_CHECK(!solo || target.in_flight + target.foreign_in_flight == 0,
                "a call that must run alone met another");
  account& row = pool.accounts.at(name);
  class_backlog& backlog = row.classes[static_cast<std::size_t>(priority)];
  outstanding_grant grant;
  grant.estimated = take_call(backlog, solo, grant.entry.address);
  const entry_demand& demand = pool.demands.at(grant.entry.address);
  grant.entry = demand.entry;
  grant.id = table.next_grant++;
  grant.shard = place.shard;
  grant.target = target.name;
  grant.organisation = name;
  grant.priority = priority;
  grant.solo = solo;
  grant.granted_at = now;
  grant.use_before = demand.received_at + context.config.fleet.grant_validity;
  const std::chrono::microseconds validity = context.config.fleet.grant_validity;
  grant.void_at_us = demand.sent_at_us + static_cast<std::uint64_t>(validity.count());
  target.solo_running = solo;
  charge(table, pool, name, row, grant.estimated);
  update_backlog(table, pool, name, row, false);
  send_grant(grant, demand, place.fencing, context, out);
  hold_slot(table, target, std::move(grant));
}

}  // namespace scheduling

void grant_slots(scheduler_table& table, const std::vector<shard_lease>& leases,
                 const scheduler_context& context, instant now, outbox& out) {
  scheduling::refresh_published(table, context, now);
  for (std::pair<const pool_name, pool_row>& pool : table.pools) {
    scheduling::grant_pool(table, pool.first, pool.second, leases, context, now, out);
  }
}

void on_finish(scheduler_table& table, const router_identity& from, const wire::finish& message,
               instant now, const scheduler_context& context) {
  scheduling::refresh_published(table, context, now);
  const auto found = table.grants.find(message.grant_id());
  const shard_key shard = from_wire(message.shard());
  const target_name name{message.target()};
  const bool known = found != table.grants.end() && found->second.entry == from &&
                     found->second.shard == shard && found->second.target == name;
  target_row* target = scheduling::find_row(table, shard, name);
  if (target != nullptr) {
    scheduling::note_finish(*target, message, known, now);
  }
  if (!known) {
    // Doubled, of an earlier tenure, or rightly taken to have ended.
    if (target != nullptr) {
      target->reclaimed.erase(message.grant_id());
    }
    return;
  }
  const outstanding_grant grant = found->second;
  scheduling::release_grant(table, grant.id);
  scheduling::correct_reclaimed(table, *target, grant, now);
  pool_row& pool = table.pools.at(shard.pool);
  account& row = pool.accounts.at(grant.organisation);
  scheduling::charge(table, pool, grant.organisation, row, scheduling::correction(grant, message));
}

}  // namespace peridot
