// Internal to router/peer_*.cc: parts of the messages between routers.
//
//   peer_exchange.cc  reports, and which messages a round sends
//   peer_digest.cc    digests, by which delegates pass reports on (core/fleet/delegates.h)
//   peer_items.cc     the store's items, for routers that do not read it or are behind
// Thread safety: none; for use from one event loop.
#pragma once

#include <algorithm>
#include <utility>

#include "router/router_state.h"

namespace peridot {

// Low half of the name's hash, as in messages.
std::uint32_t target_hash(const target_name& target);
std::uint32_t router_hash(const router_address& router);

// Rebuilds router.target_by_hash if the table of targets has changed.
void update_target_index(router_state& router);

std::uint32_t age_ms(instant at, instant now);
std::uint32_t to_whole_tokens(double tokens);

// Crash events and the completions that clear signatures of such events. With `relay` also the
// events that this router learned from others.
template <class Message>
void add_crash_reports(const router_state& router, bool relay, instant now, Message& message);
template <class Message>
void apply_crash_reports(router_state& router, const Message& message, instant now);

// What targets have said: limits, and that they leave.
template <class Message>
void add_statements(const router_state& router, limit_selection selection, instant now,
                    Message& message);
template <class Message>
void apply_statements(router_state& router, const router_address& from, const Message& message,
                      instant now);

// Which limits the messages of this round hold: `full` once per limit_report_interval and after a
// peer has joined.
limit_selection limits_of_round(const router_state& router, limit_selection full);

// Adds what the target said last of its speed, unless that is too old.
void add_speed(const target_speed& speed, instant now, wire::target_use& usage);

// Stores the load and the usage that a message reports as those of `row`, in place of earlier ones.
void apply_load_row(router_state& router, const router_address& row,
                    const std::vector<wire::target_use>& targets,
                    std::map<std::uint64_t, token_usage> usage, instant now);

// Forgets what the row added.
void drop_load_row(router_state& router, const router_address& row, instant now);

// peer_digest.cc
// Notes what the report of this round holds, so that it can be taken off digests that include it.
void record_sent_report(router_state& router, const wire::gossip& report);
// Adds a report's prefills to the next digest.
void add_prefills(prefill_sums& sums, std::uint32_t target, const wire::target_use& usage);
void send_digests(router_state& router, instant now);
void on_digest(router_state& router, const router_identity& from, const wire::digest& digest);

// peer_items.cc
struct known_revisions {
  store_revision operator_items;
  store_revision target_items;
};
// The revisions up to which this router knows all changes, removals included.
known_revisions revisions_known(const router_state& router);
// The newest changes among these, as other routers are told. Lower, since removals from before a
// router started leave no item in it: a router is behind if the newest change of another is above
// revisions_known().
known_revisions newest_changes(const router_state& router);
// Up to where removals of targets are known to be final, by this router or another one.
store_revision settled_removals_known(const router_state& router);
// A peer knows that removals of targets up to the revision are final.
void apply_settled_removals(router_state& router, const store_revision& revision, instant now);
// Sets what a report or digest says of the store's items.
template <class Message>
void set_revisions(const router_state& router, Message& message) {
  const known_revisions newest = newest_changes(router);
  const std::uint64_t epoch = std::max(newest.operator_items.epoch, newest.target_items.epoch);
  message.set_store_epoch(epoch);
  message.set_operator_revision(newest.operator_items.epoch == epoch ? newest.operator_items.number
                                                                     : 0);
  message.set_target_revision(newest.target_items.epoch == epoch ? newest.target_items.number : 0);
  const store_revision settled = settled_removals_known(router);
  message.set_settled_revision(settled.epoch == epoch ? settled.number : 0);
  const store_revision& heard = router.view.newest_heard;
  if (heard.epoch == epoch && is_behind(router.view, revisions_known(router).target_items)) {
    message.set_heard_target_revision(heard.number);
  }
}
// Notes the newest revision of targets that the peer has heard of.
template <class Message>
void note_heard_revision(router_state& router, const Message& message) {
  on_revision_heard(router.view, {message.store_epoch(), std::max(message.heard_target_revision(),
                                                                  message.target_revision())});
}
// Requests items from a peer whose store revisions have been ahead for a while, or at once while
// this router has no configuration or targets.
void request_items_if_behind(router_state& router, const router_address& peer,
                             const known_revisions& announced, instant now);
void on_items_request(router_state& router, const router_identity& from,
                      const wire::items_request& request);
void on_items_reply(router_state& router, const router_identity& from,
                    const wire::items_reply& reply);
// Starts or stops reading the store.
void update_store_reading(router_state& router, instant now);

}  // namespace peridot
