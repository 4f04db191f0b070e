// Demand, tags, and the indexes of backlogged organisations.
//
// A tag is service charged divided by weight. The indexes hold exactly the
// organisations with queued calls, ordered by tag, so that a grant costs
// O(log(backlogged organisations)) and idle organisations cost nothing.
//
// Invariants:
//   - an organisation is in `plain` iff it has a call that may share a target, in
//     `interactive` iff one of these is interactive, in `solo` iff one must run alone;
//   - its index key is its present tag (or its oldest arrival, for first_come);
//   - `charged` never shrinks; nor does `refunds`; their difference is what was charged in truth.
#include <algorithm>
#include <cmath>

#include "core/check.h"
#include "core/scheduler_internal.h"

namespace peridot {
namespace scheduling {
namespace {

constexpr traffic_class class_order[] = {traffic_class::interactive, traffic_class::standard,
                                         traffic_class::batch};

class_backlog& backlog_of(account& row, traffic_class priority) {
  return row.classes[static_cast<std::size_t>(priority)];
}

// Seconds on this router's clock at which the organisation's oldest call arrived.
double oldest_arrival(const account& row) {
  instant oldest = instant::max();
  for (const class_backlog& backlog : row.classes) {
    for (const std::pair<const router_address, queued_line>& line : backlog.lines) {
      if (!line.second.arrivals.empty()) {
        oldest = std::min(oldest, line.second.arrivals.front().at);
      }
    }
  }
  return std::chrono::duration<double>(oldest.time_since_epoch()).count();
}

// Moves an organisation in one index from its old key to its new one, or into it
// or out of it. `present` tells whether it is in the index.
void place(backlog_index& index, const organisation_name& name, double old_key, double new_key,
           bool& present, bool wanted) {
  if (present && (!wanted || old_key != new_key)) {
    index.erase({old_key, name});
    present = false;
  }
  if (wanted && !present) {
    index.emplace(new_key, name);
    present = true;
  }
}

// Keeps the arrival times of a line in step with its length. Calls that left
// were the oldest, since entry routers serve each queue in order.
void update_arrivals(queued_line& line, std::uint32_t calls, instant now) {
  std::uint32_t known = 0;
  for (const arrival& batch : line.arrivals) {
    known += batch.calls;
  }
  if (calls > known) {
    line.arrivals.push_back({now, calls - known});
  }
  while (known > calls) {
    arrival& front = line.arrivals.front();
    const std::uint32_t taken = std::min(front.calls, known - calls);
    front.calls -= taken;
    known -= taken;
    if (front.calls == 0) {
      line.arrivals.pop_front();
    }
  }
}

// Sets what one entry router has queued. Both counts zero removes the line.
void set_line(const scheduler_table& table, account& row, traffic_class priority,
              const router_address& entry, const queued_line& wanted) {
  class_backlog& backlog = backlog_of(row, priority);
  queued_line& line = backlog.lines[entry];
  backlog.plain += wanted.plain - line.plain;
  backlog.solo += wanted.solo - line.solo;
  line.plain = wanted.plain;
  line.solo = wanted.solo;
  line.estimated = wanted.estimated;
  if (line.plain + line.solo == 0) {
    backlog.lines.erase(entry);
  } else if (table.policy == share_policy::first_come) {
    update_arrivals(line, line.plain + line.solo, table.latest);
  }
}

void add_to_line(const scheduler_table& table, account& row, const withheld_calls& calls,
                 const router_address& entry) {
  queued_line wanted = backlog_of(row, calls.key.priority).lines[entry];
  wanted.plain += calls.plain;
  wanted.solo += calls.solo;
  wanted.estimated = std::max(wanted.estimated, calls.estimated);
  set_line(table, row, calls.key.priority, entry, wanted);
}

bool same_line(const line_key& a, const line_key& b) {
  return a.organisation == b.organisation && a.priority == b.priority;
}

bool line_before(const line_key& a, const line_key& b) {
  return std::tie(a.organisation, a.priority) < std::tie(b.organisation, b.priority);
}

// Grants to this entry router that it may not have seen when it sent the demand
// that arrives now: those sent within the last round trip. Grants are in order
// of time, so only these are visited.
std::vector<withheld_calls> count_unseen(const scheduler_table& table, const pool_name& pool,
                                         const router_identity& entry, instant now) {
  std::map<std::pair<organisation_name, traffic_class>, withheld_calls> unseen;
  for (auto grant = table.grants.rbegin(); grant != table.grants.rend(); ++grant) {
    const outstanding_grant& row = grant->second;
    if (row.granted_at + grant_round_trip <= now) {
      break;
    }
    if (row.entry == entry && row.shard.pool == pool) {
      withheld_calls& calls = unseen[{row.organisation, row.priority}];
      calls.key = line_key{row.organisation, row.priority};
      calls.until = std::max(calls.until, row.granted_at + grant_round_trip);
      ++(row.solo ? calls.solo : calls.plain);
    }
  }
  std::vector<withheld_calls> result;
  result.reserve(unseen.size());
  for (const std::pair<const std::pair<organisation_name, traffic_class>, withheld_calls>& calls :
       unseen) {
    result.push_back(calls.second);
  }
  return result;
}

// Lines of a demand, sorted, each key once; organisations that are not published
// are left out, so that state is bounded by the configuration.
std::vector<std::pair<line_key, queued_line>> read_lines(const scheduler_table& table,
                                                         const wire::demand& message) {
  std::vector<std::pair<line_key, queued_line>> lines;
  for (const wire::demand_line& line : message.lines()) {
    const line_key key{organisation_name{line.organisation()}, from_wire(line.traffic_class())};
    if (!table.weights.contains(key.organisation)) {
      continue;
    }
    const std::uint32_t solo = std::min(line.solo(), line.queued());
    const queued_line wanted{.plain = line.queued() - solo,
                             .solo = solo,
                             .estimated = charged_cost(line.estimated_cost()),
                             .arrivals = {}};
    lines.emplace_back(key, wanted);
  }
  std::sort(lines.begin(), lines.end(),
            [](const auto& a, const auto& b) { return line_before(a.first, b.first); });
  const auto doubled = std::unique(lines.begin(), lines.end(), [](const auto& a, const auto& b) {
    return same_line(a.first, b.first);
  });
  lines.erase(doubled, lines.end());
  return lines;
}

// Takes the withheld calls off the lines that have them, and notes how many.
void withhold(std::vector<std::pair<line_key, queued_line>>& lines,
              std::vector<withheld_calls>& withheld) {
  for (withheld_calls& calls : withheld) {
    const auto line = std::lower_bound(
        lines.begin(), lines.end(), calls.key,
        [](const auto& entry, const line_key& key) { return line_before(entry.first, key); });
    const bool found = line != lines.end() && same_line(line->first, calls.key);
    calls.estimated = found ? line->second.estimated : 0;
    calls.plain = found ? std::min(calls.plain, line->second.plain) : 0;
    calls.solo = found ? std::min(calls.solo, line->second.solo) : 0;
    if (found) {
      line->second.plain -= calls.plain;
      line->second.solo -= calls.solo;
    }
  }
}

// An organisation that becomes backlogged has no claim on service from before.
void lift_tag(pool_row& pool, account& row) {
  row.tag = std::max(row.tag, lowest_key(pool).value_or(pool.virtual_time));
}

}  // namespace

service_units charged_cost(service_units reported) {
  if (!std::isfinite(reported)) {
    return max_call_cost;
  }
  return std::clamp(reported, min_call_cost, max_call_cost);
}

std::optional<double> lowest_key(const pool_row& pool) {
  std::optional<double> lowest;
  for (const backlog_index* index : {&pool.plain, &pool.solo}) {
    if (!index->empty()) {
      lowest = std::min(lowest.value_or(index->begin()->first), index->begin()->first);
    }
  }
  return lowest;
}

account& open_account(scheduler_table& table, pool_row& pool, const organisation_name& name) {
  const auto found = pool.accounts.find(name);
  if (found != pool.accounts.end()) {
    return found->second;
  }
  account row;
  const auto weight = table.weights.find(name);
  row.weight = weight == table.weights.end() ? 1 : weight->second;
  row.opened = table.latest;
  row.last_active = table.latest;
  if (table.policy != share_policy::first_come) {
    lift_tag(pool, row);
  }
  return pool.accounts.emplace(name, std::move(row)).first->second;
}

void reindex(const scheduler_table& table, pool_row& pool, const organisation_name& name,
             account& row) {
  std::uint32_t plain = 0;
  std::uint32_t solo = 0;
  for (const class_backlog& backlog : row.classes) {
    plain += backlog.plain;
    solo += backlog.solo;
  }
  const bool interactive = backlog_of(row, traffic_class::interactive).plain > 0;
  double key = row.tag;
  if (table.policy == share_policy::first_come) {
    key = row.backlogged ? oldest_arrival(row) : 0;
  }
  place(pool.plain, name, row.index_key, key, row.in_plain, row.backlogged && plain > 0);
  place(pool.interactive, name, row.index_key, key, row.in_interactive,
        row.backlogged && interactive);
  place(pool.solo, name, row.index_key, key, row.in_solo, row.backlogged && solo > 0);
  row.index_key = key;
}

void update_backlog(const scheduler_table& table, pool_row& pool, const organisation_name& name,
                    account& row, bool lapsed) {
  bool queued = false;
  for (traffic_class priority : class_order) {
    const class_backlog& backlog = backlog_of(row, priority);
    queued = queued || backlog.plain + backlog.solo > 0;
  }
  const instant now = table.latest;
  if (queued && !row.backlogged && now > row.keeps_place_until &&
      table.policy != share_policy::first_come) {
    lift_tag(pool, row);
  }
  if (!queued && row.backlogged) {
    row.keeps_place_until = lapsed ? now + backlog_grace : instant{};
  }
  row.backlogged = queued;
  reindex(table, pool, name, row);
}

void charge(const scheduler_table& table, pool_row& pool, const organisation_name& name,
            account& row, service_units units) {
  row.tag += units / row.weight;
  row.last_active = table.latest;
  if (units < 0) {
    row.refunds -= units;
  } else {
    row.charged += units;
  }
  PERIDOT_CHECK(row.charged >= row.told, "a service total has shrunk");
  pool.untold.insert(name);
  reindex(table, pool, name, row);
}

void restore_withheld(const scheduler_table& table, pool_row& pool) {
  for (std::pair<const router_address, entry_demand>& demand : pool.demands) {
    std::vector<withheld_calls>& withheld = demand.second.withheld;
    std::erase_if(withheld, [&](const withheld_calls& calls) {
      if (calls.until > table.latest) {
        return false;
      }
      const auto row = pool.accounts.find(calls.key.organisation);
      if (row != pool.accounts.end() && calls.plain + calls.solo > 0) {
        add_to_line(table, row->second, calls, demand.first);
        update_backlog(table, pool, calls.key.organisation, row->second, false);
      }
      return true;
    });
  }
}

void drop_demand(const scheduler_table& table, pool_row& pool, const router_address& entry,
                 bool lapsed) {
  const auto demand = pool.demands.find(entry);
  if (demand == pool.demands.end()) {
    return;
  }
  for (const line_key& key : demand->second.lines) {
    const auto row = pool.accounts.find(key.organisation);
    if (row != pool.accounts.end()) {
      set_line(table, row->second, key.priority, entry, queued_line{});
      update_backlog(table, pool, key.organisation, row->second, lapsed);
    }
  }
  pool.demands.erase(demand);
}

void prune_accounts(scheduler_table& table, pool_row& pool) {
  if (table.latest < pool.next_prune) {
    return;
  }
  pool.next_prune = table.latest + account_life / 4;
  std::erase_if(pool.accounts, [&](const std::pair<const organisation_name, account>& row) {
    const bool idle = !row.second.backlogged && row.second.in_flight == 0;
    const bool forget = idle && row.second.last_active + account_life < table.latest;
    if (forget) {
      pool.untold.erase(row.first);
    }
    return forget;
  });
  // What was heard is forgotten long after the sender must have forgotten the
  // account, so a total that comes back belongs to one that was opened anew.
  for (std::pair<const router_address, heard_owner>& owner : pool.heard_totals) {
    std::erase_if(owner.second.accounts,
                  [&](const std::pair<const organisation_name, heard_account>& row) {
                    return !pool.accounts.contains(row.first) &&
                           row.second.changed + 3 * account_life < table.latest;
                  });
  }
}

}  // namespace scheduling

void on_demand(scheduler_table& table, const router_identity& from, const wire::demand& message,
               instant now, const scheduler_context& context) {
  scheduling::refresh_published(table, context, now);
  const auto pool = table.pools.find(pool_name{message.pool()});
  if (pool == table.pools.end()) {
    return;
  }
  entry_demand& demand = pool->second.demands[from.address];
  if (demand.entry == from && message.sent_at_us() <= demand.sent_at_us) {
    return;  // doubled, or overtaken by a newer one
  }
  const std::vector<line_key> before = std::move(demand.lines);
  demand.entry = from;
  demand.sent_at_us = message.sent_at_us();
  demand.received_at = now;
  demand.lines.clear();
  std::vector<std::pair<line_key, queued_line>> lines = scheduling::read_lines(table, message);
  demand.withheld = scheduling::count_unseen(table, pool->first, from, now);
  scheduling::withhold(lines, demand.withheld);
  for (const std::pair<line_key, queued_line>& line : lines) {
    account& row = scheduling::open_account(table, pool->second, line.first.organisation);
    row.last_active = now;
    scheduling::set_line(table, row, line.first.priority, from.address, line.second);
    scheduling::update_backlog(table, pool->second, line.first.organisation, row, false);
    demand.lines.push_back(line.first);
  }
  for (const line_key& key : before) {
    const auto row = pool->second.accounts.find(key.organisation);
    const bool still =
        std::binary_search(demand.lines.begin(), demand.lines.end(), key, scheduling::line_before);
    if (!still && row != pool->second.accounts.end()) {
      scheduling::set_line(table, row->second, key.priority, from.address, queued_line{});
      scheduling::update_backlog(table, pool->second, key.organisation, row->second, false);
    }
  }
}

}  // namespace peridot
