// Calls that must run alone on a target.
//
// One target at a time is emptied for them in each pool: it gets no new work,
// and when its last call has ended the lone call is granted; nothing else is
// until it ends. Others are served meanwhile if the pool has other targets, and
// wait if it has none; the wait is bounded by the run timeouts of two calls.
//
// Each organisation's lone calls belong to one shard of the pool, a pure function
// of its name and of the configuration, so that the owners of the pool do not
// all empty a target for the same call.
//
// A target is emptied only once the organisation's turn has come by its tag, so
// lone calls take no more than their organisation's share. The slots that stand
// empty meanwhile are charged to nobody.
#include <algorithm>

#include "core/check.h"
#include "core/scheduler_internal.h"

namespace peridot::scheduling {
namespace {

shard_key solo_shard(const scheduler_table& table, const pool_name& pool,
                     const organisation_name& organisation) {
  const std::vector<std::uint32_t>& indices = table.shards_with_targets.at(pool);
  const std::size_t chosen = stable_hash(organisation.value) % indices.size();
  return shard_key{pool, indices[chosen]};
}

// The first organisation in turn whose lone calls belong to a shard of `places`.
const std::pair<double, organisation_name>* next_solo(const scheduler_table& table,
                                                      const pool_name& pool_id,
                                                      const pool_row& pool,
                                                      const std::vector<grant_place>& places) {
  if (!table.shards_with_targets.contains(pool_id)) {
    return nullptr;
  }
  for (const std::pair<double, organisation_name>& entry : pool.solo) {
    const shard_key shard = solo_shard(table, pool_id, entry.second);
    const bool held = std::any_of(places.begin(), places.end(),
                                  [&](const grant_place& place) { return place.shard == shard; });
    if (held) {
      return &entry;
    }
  }
  return nullptr;
}

bool any_solo_running(const scheduler_table& table, const pool_name& pool) {
  for (const std::pair<const shard_key, shard_row>& shard : table.shards) {
    if (shard.first.pool != pool) {
      continue;
    }
    for (const std::pair<const target_name, target_row>& target : shard.second.targets) {
      if (target.second.solo_running) {
        return true;
      }
    }
  }
  return false;
}

std::uint32_t load_of(const target_row& target) {
  return target.in_flight + target.foreign_in_flight;
}

// The target to empty: the one that is being emptied already, else the one with
// the least running, among those of the shard.
const grant_place* target_to_empty(const std::vector<grant_place>& places, const shard_key& shard) {
  const grant_place* best = nullptr;
  for (const grant_place& place : places) {
    if (place.shard != shard) {
      continue;
    }
    if (place.target->solo_wanted) {
      return &place;
    }
    if (best == nullptr || load_of(*place.target) < load_of(*best->target)) {
      best = &place;
    }
  }
  return best;
}

std::optional<traffic_class> solo_class(const account& row) {
  for (std::size_t index = 0; index < traffic_classes; ++index) {
    if (row.classes[index].solo > 0) {
      return static_cast<traffic_class>(index);
    }
  }
  return std::nullopt;
}

}  // namespace

bool stop_emptying(scheduler_table& table, const pool_name& pool, const target_row* except) {
  bool any = false;
  for (std::pair<const shard_key, shard_row>& shard : table.shards) {
    if (shard.first.pool != pool) {
      continue;
    }
    for (std::pair<const target_name, target_row>& target : shard.second.targets) {
      any = any || target.second.solo_wanted;
      target.second.solo_wanted = target.second.solo_wanted && &target.second == except;
    }
  }
  return any;
}

void schedule_solo(scheduler_table& table, const pool_name& pool_id, pool_row& pool,
                   const std::vector<grant_place>& places, const scheduler_context& context,
                   instant now, outbox& out) {
  if (any_solo_running(table, pool_id)) {
    return;
  }
  const std::pair<double, organisation_name>* next = next_solo(table, pool_id, pool, places);
  if (next == nullptr) {
    stop_emptying(table, pool_id, nullptr);
    return;
  }
  const organisation_name chosen = next->second;
  const grant_place* place = target_to_empty(places, solo_shard(table, pool_id, chosen));
  const bool in_turn = next->first <= lowest_key(pool).value_or(next->first);
  const bool emptying = stop_emptying(table, pool_id, place->target);
  if (!in_turn && !emptying) {
    return;
  }
  place->target->solo_wanted = true;
  if (load_of(*place->target) > 0 || slots_of(*place->target).shared == 0) {
    return;
  }
  const std::optional<traffic_class> priority = solo_class(pool.accounts.at(chosen));
  PERIDOT_CHECK(priority.has_value(), "an organisation without lone calls was chosen");
  place->target->solo_wanted = false;
  make_grant(table, pool, chosen, *priority, true, *place, context, now, out);
}

}  // namespace peridot::scheduling
