// Composition: passes what happened to the tables, and their answers on.

#include "core/router.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "core/check.h"
#include "core/router_internal.h"

namespace peridot {

lease_context make_lease_context(const router_core& core) {
  PERIDOT_CHECK(core.config != nullptr, "leases need a configuration");
  lease_context context{core.members, core.list.get(), core.config->fleet, core.config->version,
                        core.stopping};
  context.fencing_floor = core.options.fencing_floor;
  return context;
}

scheduler_context make_scheduler_context(const router_core& core) {
  PERIDOT_CHECK(core.config != nullptr, "scheduling needs a configuration");
  return scheduler_context{*core.config, core.list.get(), core.options.policy};
}

entry_context make_entry_context(const router_core& core) {
  PERIDOT_CHECK(core.config != nullptr, "queues need a configuration");
  return entry_context{*core.config, core.members, core.own_shards, core.list.get()};
}

local_status make_local_status(const router_core& core, instant now) {
  local_status status;
  if (core.config != nullptr) {
    status.config_version = core.config->version;
    status.config_digest = core.config->digest;
  }
  if (core.list != nullptr) {
    status.list_version = core.list->version;
  }
  status.owned = core.own_shards;
  status.shards = core.shards;
  status.suspects = own_suspects(core.entry, core.options.self.address, now);
  return status;
}

const fleet_config& fleet_of(const router_core& core) {
  static const fleet_config defaults;
  return core.config == nullptr ? defaults : core.config->fleet;
}

std::uint64_t note(router_core& core, timeline_event event, instant now) {
  return record(core.events, std::move(event), now, std::chrono::system_clock::now());
}

std::uint64_t note_caused(router_core& core, timeline_event event,
                          const wire::peer_message& message, instant now) {
  event.cause_process = message.from_name();
  event.cause_sequence = message.event_sequence();
  return note(core, std::move(event), now);
}

std::string request_text(const router_core& core, std::uint64_t request) {
  std::ostringstream text;
  text << core.options.name << "-" << std::hex << core.options.self.incarnation << std::dec << "-"
       << request;
  return text.str();
}

router_core make_router(const router_options& options, instant now) {
  router_core core;
  core.options = options;
  core.members =
      make_membership(options.self, options.domain, options.http_address, options.seeds, now);
  core.votes.started = now;
  core.entry.max_queued = options.max_queued;
  core.keys.self = options.self;
  core.keys.self_http = options.http_address;
  core.keys.fleet_key = options.fleet_key;
  core.keys.life = options.key_life;
  core.keys.max_used = options.max_keys;
  core.keys.max_answer_bytes = options.key_result_bytes;
  core.keys.max_answers_total_bytes = options.key_results_total_bytes;
  core.events = make_timeline(options.name, options.timeline_events);
  core.events.next_sequence = options.first_event;
  note(core, {.kind = event_kind::process_started, .detail = options.self.address.value}, now);
  return core;
}

submit_result router_submit(router_core& core, const new_request& request, instant now,
                            effects& todo) {
  if (core.config == nullptr) {
    return {false, 0, refusal::no_configuration, no_configuration_retry};
  }
  if (core.stopping) {
    return {false, 0, refusal::stopping, stopping_retry};
  }
  const entry_context context = make_entry_context(core);
  const submit_result result = submit(core.entry, request, context, now);
  timeline_event event;
  event.kind = result.accepted ? event_kind::request_queued : event_kind::request_refused;
  event.request = request_text(core, result.id);
  event.organisation = request.organisation;
  event.detail = result.accepted ? "profile=" + request.profile.value : to_text(result.why);
  note(core, std::move(event), now);
  send_changed_demands(core.entry, context, now, todo.messages);
  deliver_to_self(core, now, todo);
  return result;
}

decision router_on_target_done(router_core& core, std::uint64_t request,
                               const target_result& result, instant now, effects& todo) {
  const std::map<std::uint64_t, request_row>::iterator row = core.entry.requests.find(request);
  timeline_event event;
  event.request = request_text(core, request);
  if (row != core.entry.requests.end()) {
    event.organisation = row->second.organisation;
    if (row->second.running) {
      event.target = row->second.running->target;
    }
  }
  const decision what =
      on_target_done(core.entry, request, result, make_entry_context(core), now, todo.messages);
  if (what.what == decision::kind::queued_again) {
    // Its profile may have been withdrawn while it ran.
    const std::optional<decision> refused =
        refuse_if_unpublished(core.entry, request, make_entry_context(core), now);
    if (refused) {
      todo.decisions.push_back(*refused);
    }
  }
  event.kind = what.what == decision::kind::queued_again ? event_kind::request_retried
                                                         : event_kind::request_finished;
  event.detail = wire::finish_result_Name(result.result);
  note(core, std::move(event), now);
  if (result.result == wire::finish_lost) {
    send_heartbeats(core.members, fleet_of(core), make_local_status(core, now), now, todo.messages);
  }
  send_changed_demands(core.entry, make_entry_context(core), now, todo.messages);
  deliver_to_self(core, now, todo);
  return what;
}

void router_cancel(router_core& core, std::uint64_t request, service_units cost, instant now,
                   effects& todo) {
  cancel(core.entry, request, cost, make_entry_context(core), now, todo.messages);
  timeline_event event;
  event.kind = event_kind::request_finished;
  event.request = request_text(core, request);
  event.detail = "caller_gone";
  note(core, std::move(event), now);
  deliver_to_self(core, now, todo);
}

void router_on_load_report(router_core& core, const load_report& report, instant now,
                           effects& todo) {
  if (core.config == nullptr) {
    return;
  }
  on_load_report(core.scheduler, report, now, make_scheduler_context(core));
  schedule(core, now, todo);
  deliver_to_self(core, now, todo);
}

bool wants_watch(const router_core& core) {
  const bool uninformed = core.config == nullptr || core.list == nullptr;
  return uninformed || should_watch_service(core.members);
}

void router_stop(router_core& core, instant now, effects& todo) {
  if (core.stopping) {
    return;
  }
  core.stopping = true;
  core.members.leaving = true;
  core.entry.stopping = true;
  note(core, {.kind = event_kind::process_stopping}, now);
  for (const decision& refused : refuse_queued(core.entry, refusal::stopping, now)) {
    todo.decisions.push_back(refused);
  }
  send_heartbeats(core.members, fleet_of(core), make_local_status(core, now), now, todo.messages);
}

bool is_drained(const router_core& core) {
  if (!core.stopping || !core.entry.requests.empty()) {
    return false;
  }
  return !release_pending(core.claims);
}

bool is_ready(const router_core& core) {
  if (core.config == nullptr || core.stopping) {
    return false;
  }
  return std::all_of(core.shards.begin(), core.shards.end(), [&core](const shard_key& shard) {
    return known_owner(core.members, shard, core.own_shards).has_value();
  });
}

}  // namespace peridot
