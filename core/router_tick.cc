// Periodic work of a router, and the grants it makes as an owner.

#include <algorithm>
#include <utility>

#include "core/check.h"
#include "core/router_internal.h"

namespace peridot {
namespace {

const char* lease_detail(lease_event::kind what) {
  switch (what) {
    case lease_event::kind::acquired:
      return "acquired";
    case lease_event::kind::lost:
      return "lost";
    case lease_event::kind::released:
      return "released";
  }
  return "";
}

event_kind lease_event_kind(lease_event::kind what) {
  switch (what) {
    case lease_event::kind::acquired:
      return event_kind::lease_acquired;
    case lease_event::kind::lost:
      return event_kind::lease_lost;
    case lease_event::kind::released:
      return event_kind::lease_released;
  }
  return event_kind::lease_lost;
}

void apply_lease_event(router_core& core, const lease_event& change, instant now) {
  timeline_event event;
  event.kind = lease_event_kind(change.what);
  event.detail = "pool=" + change.shard.pool.value +
                 " shard=" + std::to_string(change.shard.index) + " " + lease_detail(change.what);
  note(core, std::move(event), now);
  if (change.what == lease_event::kind::acquired) {
    const std::uint64_t fencing = core.claims.claims.at(change.shard).fencing;
    add_shard(core.scheduler, change.shard, fencing, now, make_scheduler_context(core));
  } else {
    remove_shard(core.scheduler, change.shard);
  }
}

// Routers that hold a shard of a pool of which this router holds one too.
std::vector<router_address> other_owners(const router_core& core) {
  std::vector<router_address> owners;
  for (const std::pair<const router_address, member>& entry : core.members.members) {
    const member& peer = entry.second;
    const bool shares_pool =
        std::any_of(peer.owned.begin(), peer.owned.end(), [&core](const shard_key& theirs) {
          return std::any_of(core.own_shards.begin(), core.own_shards.end(),
                             [&theirs](const shard_key& ours) { return ours.pool == theirs.pool; });
        });
    if (peer.state == member_state::alive && shares_pool) {
      owners.push_back(entry.first);
    }
  }
  return owners;
}

// Walks the targets of the shards held, as the scheduler keeps them, so that the
// cost of a tick does not follow the size of the configuration.
void poll_owned_targets(router_core& core, instant now, effects& todo) {
  for (const shard_key& shard : core.own_shards) {
    const std::map<shard_key, shard_row>::const_iterator row = core.scheduler.shards.find(shard);
    if (row == core.scheduler.shards.end()) {
      continue;
    }
    for (const std::pair<const target_name, target_row>& entry : row->second.targets) {
      if (!entry.second.configured) {
        continue;
      }
      instant& due = core.next_load_poll[entry.first];
      if (now >= due) {
        due = now + core.options.load_poll;
        todo.load_polls.push_back(entry.second.settings);
      }
    }
  }
}

bool is_running(const member& peer) {
  return peer.state == member_state::alive || peer.state == member_state::leaving;
}

// Running peers that have been silent for so long that a tick may end them. Few
// or none in most ticks, so nothing is copied for the others.
std::vector<router_address> silent_peers(const router_core& core, instant now) {
  std::vector<router_address> silent;
  for (const std::pair<const router_address, member>& entry : core.members.members) {
    if (is_running(entry.second) && now >= entry.second.last_heard + fleet_of(core).suspect_after) {
      silent.push_back(entry.first);
    }
  }
  return silent;
}

void note_gone_peers(router_core& core, const std::vector<router_address>& silent, instant now) {
  for (const router_address& address : silent) {
    const std::map<router_address, member>::const_iterator peer =
        core.members.members.find(address);
    if (peer == core.members.members.end() || !is_running(peer->second)) {
      note(core, {.kind = event_kind::peer_gone, .peer = address.value}, now);
      on_peer_gone(core.scheduler, address, now);
    }
  }
}

void ask_for_newer_documents(router_core& core, instant now, effects& todo) {
  const std::uint64_t have_config = core.config == nullptr ? 0 : core.config->version;
  const std::uint64_t have_digest = core.config == nullptr ? 0 : core.config->digest;
  const std::uint64_t have_list = core.list == nullptr ? 0 : core.list->version;
  for (const std::pair<const router_address, member>& entry : core.members.members) {
    const member& peer = entry.second;
    const bool newer_config =
        std::pair(peer.config_version, peer.config_digest) > std::pair(have_config, have_digest);
    const bool newer_list = peer.list_version > have_list;
    if (peer.state != member_state::alive || (!newer_config && !newer_list)) {
      continue;
    }
    instant& asked = core.asked_document[entry.first];
    if (now - asked < document_request_interval) {
      continue;
    }
    asked = now;
    outgoing_message message;
    message.to = entry.first;
    wire::document_request* request = message.message.mutable_document_request();
    request->set_kind(newer_config ? wire::document_configuration : wire::document_instance_list);
    request->set_have_version(newer_config ? have_config : have_list);
    todo.messages.push_back(std::move(message));
    return;  // one peer at a time is enough
  }
}

void note_grants(router_core& core, const outbox& messages, std::size_t first, instant now) {
  for (std::size_t index = first; index < messages.size(); ++index) {
    const wire::grant& grant = messages[index].message.grant();
    timeline_event event;
    event.kind = event_kind::grant_sent;
    event.organisation = organisation_name{grant.organisation()};
    event.target = target_name{grant.target()};
    event.peer = messages[index].to.value;
    note(core, std::move(event), now);
  }
}

}  // namespace

void schedule(router_core& core, instant now, effects& todo) {
  const lease_context leases = make_lease_context(core);
  std::vector<shard_lease> usable;
  for (const shard_key& shard : core.own_shards) {
    if (holds(core.claims, leases, shard, now)) {
      usable.push_back({shard, held_until(core.claims, leases, shard)});
    }
  }
  const std::size_t before = todo.messages.size();
  grant_slots(core.scheduler, usable, make_scheduler_context(core), now, todo.messages);
  note_grants(core, todo.messages, before, now);
}

void router_tick(router_core& core, instant now, effects& todo) {
  const std::vector<router_address> silent = silent_peers(core, now);
  const bool heartbeat_due = now >= core.members.next_heartbeat;
  const local_status local = heartbeat_due ? make_local_status(core, now) : local_status{};
  membership_tick(core.members, fleet_of(core), core.list.get(), local, now, todo.messages);
  note_gone_peers(core, silent, now);
  expire_keys(core.keys, now);
  ask_for_newer_documents(core, now, todo);
  if (core.config == nullptr) {
    return;
  }
  const std::vector<lease_event> changes = lease_tick(core.claims, core.votes, core.shards,
                                                      make_lease_context(core), now, todo.messages);
  for (const lease_event& change : changes) {
    apply_lease_event(core, change, now);
  }
  core.own_shards = held_shards(core.claims, make_lease_context(core), now);
  if (!changes.empty()) {
    send_heartbeats(core.members, fleet_of(core), make_local_status(core, now), now, todo.messages);
  }
  poll_owned_targets(core, now, todo);
  const std::vector<decision> expired =
      entry_tick(core.entry, make_entry_context(core), now, todo.messages);
  todo.decisions.insert(todo.decisions.end(), expired.begin(), expired.end());
  if (core.stopping) {
    // A run that ended may have been queued again.
    const std::vector<decision> refused = refuse_queued(core.entry, refusal::stopping, now);
    todo.decisions.insert(todo.decisions.end(), refused.begin(), refused.end());
  }
  schedule(core, now, todo);
  send_totals(core.scheduler, other_owners(core), make_scheduler_context(core), now, todo.messages);
  deliver_to_self(core, now, todo);
}

}  // namespace peridot
