// Peer messages: each kind goes to the table that it concerns.

#include <utility>

#include "core/check.h"
#include "core/message_checks.h"
#include "core/router_internal.h"

namespace peridot {
namespace {

// Rounds of messages to self that may follow from one event. A demand leads to
// grants, a grant to a finish, a finish to grants: each round uses up queued
// requests or slots, so the rounds end; the bound only guards against a defect.
constexpr int max_self_rounds = 10'000;

void handle_heartbeat(router_core& core, const router_identity& from,
                      const wire::peer_message& message, instant now, effects& todo) {
  const bool known = core.members.members.contains(from.address);
  if (!known && core.members.members.size() >= max_members) {
    return;
  }
  const heartbeat_effect effect = on_heartbeat(core.members, from, message.heartbeat(), now);
  on_suspects(core.entry, from.address, message.heartbeat().suspects(), now);
  if (effect == heartbeat_effect::known) {
    return;
  }
  const bool restarted = effect == heartbeat_effect::restarted;
  note_caused(core,
              {.kind = restarted ? event_kind::peer_restarted : event_kind::peer_alive,
               .peer = from.address.value},
              message, now);
  if (restarted) {
    on_peer_gone(core.scheduler, from.address, now);
  }
  send_heartbeats(core.members, fleet_of(core), make_local_status(core, now), now, todo.messages);
}

void handle_grant(router_core& core, const router_identity& from, const wire::peer_message& message,
                  instant now, effects& todo) {
  const wire::grant& offer = message.grant();
  const std::optional<dispatch> started =
      on_grant(core.entry, from, offer, make_entry_context(core), now, todo.messages);
  timeline_event event;
  event.kind = started ? event_kind::request_dispatched : event_kind::grant_returned;
  event.organisation = organisation_name{offer.organisation()};
  event.target = target_name{offer.target()};
  event.peer = from.address.value;
  if (started) {
    event.request = request_text(core, started->request);
    todo.dispatches.push_back(*started);
  }
  note_caused(core, std::move(event), message, now);
}

void handle_document_request(const router_core& core, const router_identity& from,
                             const wire::document_request& message, effects& todo) {
  outgoing_message reply;
  reply.to = from.address;
  wire::document* document = reply.message.mutable_document();
  document->set_kind(message.kind());
  if (message.kind() == wire::document_configuration && core.config != nullptr) {
    document->set_version(core.config->version);
    document->set_text(core.config->text);
  } else if (message.kind() == wire::document_instance_list && core.list != nullptr) {
    document->set_version(core.list->version);
    document->set_text(core.list->text);
  } else {
    return;
  }
  todo.messages.push_back(std::move(reply));
}

void handle_scheduling(router_core& core, const router_identity& from,
                       const wire::peer_message& message, instant now, effects& todo) {
  const scheduler_context context = make_scheduler_context(core);
  if (message.has_demand()) {
    on_demand(core.scheduler, from, message.demand(), now, context);
  } else if (message.has_finish()) {
    on_finish(core.scheduler, from, message.finish(), now, context);
  } else if (message.has_running_report()) {
    on_running_report(core.scheduler, from, message.running_report(), now, context);
  } else {
    on_service_totals(core.scheduler, from, message.service_totals(), context);
    return;
  }
  schedule(core, now, todo);
}

}  // namespace

void handle_message(router_core& core, const router_identity& from,
                    const wire::peer_message& message, instant now, effects& todo) {
  switch (message.body_case()) {
    case wire::peer_message::kHeartbeat:
      handle_heartbeat(core, from, message, now, todo);
      return;
    case wire::peer_message::kDocumentRequest:
      handle_document_request(core, from, message.document_request(), todo);
      return;
    case wire::peer_message::kDocument:
      router_on_document(core, message.document().kind(), message.document().text(),
                         from.address.value, now, todo);
      return;
    default:
      break;
  }
  if (core.config == nullptr) {
    return;  // everything else needs a configuration; the sender will send again
  }
  switch (message.body_case()) {
    case wire::peer_message::kLeaseRequest:
      on_lease_request(core.votes, make_lease_context(core), from, message.lease_request(), now,
                       todo.messages);
      return;
    case wire::peer_message::kLeaseReply:
      on_lease_reply(core.claims, make_lease_context(core), from, message.lease_reply(), now);
      return;
    case wire::peer_message::kGrant:
      handle_grant(core, from, message, now, todo);
      return;
    case wire::peer_message::kDemand:
    case wire::peer_message::kFinish:
    case wire::peer_message::kRunningReport:
    case wire::peer_message::kServiceTotals:
      handle_scheduling(core, from, message, now, todo);
      return;
    default:
      return;  // a body that this version does not know
  }
}

void deliver_to_self(router_core& core, instant now, effects& todo) {
  for (int round = 0; round < max_self_rounds; ++round) {
    outbox to_self;
    outbox to_others;
    for (outgoing_message& message : todo.messages) {
      const bool own = message.to == core.options.self.address;
      (own ? to_self : to_others).push_back(std::move(message));
    }
    todo.messages = std::move(to_others);
    if (to_self.empty()) {
      return;
    }
    for (const outgoing_message& message : to_self) {
      handle_message(core, core.options.self, message.message, now, todo);
    }
  }
  PERIDOT_CHECK(false, "messages to self do not end");
}

void router_on_message(router_core& core, const router_identity& from,
                       const wire::peer_message& message, instant now, effects& todo) {
  if (message_problem(message, from, core.options.self.address)) {
    ++core.malformed_messages;
    return;
  }
  handle_message(core, from, message, now, todo);
  deliver_to_self(core, now, todo);
}

}  // namespace peridot
