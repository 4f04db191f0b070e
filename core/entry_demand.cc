// Demand: what the owners of a pool's shards are told, and the tick.
//
// A demand is complete: it lists all that is queued for the pool, so a lost or
// reordered message costs at most demand_refresh. Each distinct known owner of
// the pool's shards gets one, this router included (its caller delivers that one
// locally). An owner that was told of demand and is none any more, or whose
// demand ended, gets an empty one, once.
//
// Rows of `demands` exist only for pools with something queued or with owners
// still to be told that nothing is. So the cost follows what is queued.
#include <algorithm>

#include "core/check.h"
#include "core/entry_internal.h"

namespace peridot {
namespace {

// First queue of the pool; the pool's queues are adjacent.
std::map<queue_key, std::deque<std::uint64_t>>::const_iterator first_queue(const entry_table& table,
                                                                           const pool_name& pool) {
  return table.queues.lower_bound(
      queue_key{pool, organisation_name{}, traffic_class::interactive, false});
}

bool has_queued(const entry_table& table, const pool_name& pool) {
  auto queue = first_queue(table, pool);
  return queue != table.queues.end() && queue->first.pool == pool;
}

bool same_line(const queue_key& one, const queue_key& two) {
  return one.organisation == two.organisation && one.priority == two.priority;
}

// The two queues of an organisation and class (ordinary, then solo) make one line.
wire::demand make_demand(const entry_table& table, const pool_name& pool, instant now) {
  wire::demand message;
  message.set_pool(pool.value);
  message.set_sent_at_us(to_wire(now));
  std::optional<queue_key> last;
  for (auto queue = first_queue(table, pool);
       queue != table.queues.end() && queue->first.pool == pool; ++queue) {
    if (!last || !same_line(*last, queue->first)) {
      const request_row& head = table.requests.at(queue->second.front());
      wire::demand_line* line = message.add_lines();
      line->set_organisation(queue->first.organisation.value);
      line->set_traffic_class(to_wire(queue->first.priority));
      line->set_estimated_cost(head.estimated);
      line->set_profile(head.profile.value);
    }
    wire::demand_line* line = message.mutable_lines(message.lines_size() - 1);
    const std::uint32_t size = static_cast<std::uint32_t>(queue->second.size());
    line->set_queued(line->queued() + size);
    if (queue->first.solo) {
      line->set_solo(size);
    }
    last = queue->first;
  }
  return message;
}

// Distinct known owners of the pool's shards, sorted.
std::vector<router_address> owners_of(const pool_name& pool, const entry_context& context) {
  std::vector<router_address> owners;
  for (std::uint32_t index = 0; index < context.config.fleet.shards_per_pool; ++index) {
    const std::optional<router_address> owner =
        known_owner(context.members, shard_key{pool, index}, context.own_shards);
    if (owner) {
      owners.push_back(*owner);
    }
  }
  std::sort(owners.begin(), owners.end());
  owners.erase(std::unique(owners.begin(), owners.end()), owners.end());
  return owners;
}

void send_demand(const router_address& to, const wire::demand& message, outbox& out) {
  outgoing_message outgoing;
  outgoing.to = to;
  *outgoing.message.mutable_demand() = message;
  out.push_back(std::move(outgoing));
}

void send_pool_demand(entry_table& table, const pool_name& pool, pool_demand& demand,
                      const entry_context& context, instant now, outbox& out) {
  const wire::demand message = make_demand(table, pool, now);
  std::vector<router_address> owners;
  if (message.lines_size() > 0) {
    owners = owners_of(pool, context);
    table.first_demand = table.first_demand.value_or(now);
  }
  for (const router_address& owner : owners) {
    send_demand(owner, message, out);
  }
  wire::demand empty;
  empty.set_pool(pool.value);
  empty.set_sent_at_us(to_wire(now));
  for (const router_address& told : demand.told) {
    if (!std::binary_search(owners.begin(), owners.end(), told)) {
      send_demand(told, empty, out);
    }
  }
  demand.told = std::move(owners);
  demand.changed = false;
  demand.last_sent = now;
}

// Sends what is due of all pools; `refresh` also repeats what did not change.
void send_due_demands(entry_table& table, const entry_context& context, bool refresh, instant now,
                      outbox& out) {
  for (auto row = table.demands.begin(); row != table.demands.end();) {
    pool_demand& demand = row->second;
    const duration age = now - demand.last_sent;
    const bool spaced = demand.last_sent == instant{} || age >= demand_spacing;
    const bool old = refresh && age >= demand_refresh;
    if ((demand.changed && spaced) || old) {
      send_pool_demand(table, row->first, demand, context, now, out);
    }
    const bool settled = !demand.changed && demand.told.empty();
    if (settled && now - demand.last_sent >= demand_spacing && !has_queued(table, row->first)) {
      row = table.demands.erase(row);
    } else {
      ++row;
    }
  }
}

}  // namespace

void mark_demand(entry_table& table, const pool_name& pool) {
  table.demands[pool].changed = true;
}

void send_changed_demands(entry_table& table, const entry_context& context, instant now,
                          outbox& out) {
  send_due_demands(table, context, false, now, out);
}

std::vector<decision> entry_tick(entry_table& table, const entry_context& context, instant now,
                                 outbox& out) {
  send_running_reports(table, context, now, out);
  std::vector<decision> decisions;
  refuse_expired(table, now, decisions);
  forget_old_grants(table.grants, now);
  drop_old_suspects(table.suspects, now);
  send_due_demands(table, context, true, now, out);
  return decisions;
}

}  // namespace peridot
