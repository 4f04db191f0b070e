// Exchanges the store's items: routers that read the store pass changes on to those that rely on
// them, and a router that is behind requests what it lacks.

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "core/base/stable_hash.h"
#include "core/fleet/delegates.h"
#include "core/fleet/peer_messages.h"
#include "net/log.h"
#include "router/peer_internal.h"

namespace peridot {
namespace {

// How long a peer's store revisions must be ahead before its items are requested: this
// router's own watch, or an update, usually brings the change sooner. A quarter of the time in
// which the platform requires changes to take effect. Also the shortest time between two requests
// to any peers.
constexpr milliseconds items_request_delay{500};

// A router that learns of a store restored from an older copy reads it itself for this long: what
// the copy brought back can only be told from what the store says.
constexpr std::chrono::seconds restored_store_read_time{30};

bool knows_all_from_store(const router_state& router) {
  return router.store_client.reading &&
         (platform::is_complete(router.store_client) || !router.membership.uses_delegates);
}

void add_items(const router_state& router, const std::vector<platform::store_item>& items,
               wire::items_reply& reply) {
  for (const platform::store_item& item : items) {
    wire::stored_item& stored_item = *reply.add_items();
    stored_item.set_key(item.key);
    stored_item.set_value(platform::value_to_pass_on(router.store, item));
    stored_item.set_revision(item.revision.number);
    stored_item.set_epoch(item.revision.epoch);
    stored_item.set_removed(item.removed);
    stored_item.set_may_be_expired(platform::is_possible_expiry(router.store, item));
  }
}

void set_reply_state(const router_state& router, const known_revisions& known,
                     wire::items_reply& reply) {
  const instant now = current_time();
  const store_revision as_of = std::min(known.operator_items, known.target_items);
  reply.set_as_of(as_of.number);
  reply.set_as_of_epoch(as_of.epoch);
  reply.set_store_disturbed(
      platform::was_unavailable_within(router.store, router.settings.store_touch, now) ||
      platform::may_have_missed_outage(router.store, now));
  const std::uint64_t epoch = std::max(known.operator_items.epoch, known.target_items.epoch);
  reply.set_to_epoch(epoch);
  reply.set_to_operator_revision(known.operator_items.epoch == epoch ? known.operator_items.number
                                                                     : 0);
  reply.set_to_target_revision(known.target_items.epoch == epoch ? known.target_items.number : 0);
}

// The changes between two states of this router, for routers that rely on it.
wire::peer_message make_update(const router_state& router, const known_revisions& from,
                               const known_revisions& to) {
  wire::peer_message message;
  wire::items_reply& update = *message.mutable_items_reply();
  bool complete = false;
  std::vector<platform::store_item> items = platform::items_after(
      router.store, std::min(from.operator_items, from.target_items), complete);
  std::erase_if(items, [&from](const platform::store_item& item) {
    const bool is_operator_item = item.key.starts_with(platform::operator_prefix);
    return item.revision <= (is_operator_item ? from.operator_items : from.target_items);
  });
  add_items(router, items, update);
  set_reply_state(router, to, update);
  update.set_is_update(true);
  // What was removed before the newest snapshot may be missing here.
  const store_revision& snapshot = router.store.snapshot_revision;
  const bool same_epoch = snapshot.epoch == to.target_items.epoch;
  const std::uint64_t lowest = same_epoch ? snapshot.number : 0;
  update.set_from_operator_revision(std::max(from.operator_items.number, lowest));
  update.set_from_target_revision(std::max(from.target_items.number, lowest));
  return message;
}

// Adds the keys held here that the reply lists by their hashes.
void add_listed_keys(const router_state& router, const wire::items_reply& reply,
                     std::set<std::string>& keys) {
  if (reply.present_keys_size() == 0) {
    return;
  }
  const std::unordered_set<std::uint64_t> hashes(reply.present_keys().begin(),
                                                 reply.present_keys().end());
  for (const std::pair<const std::string, platform::store_item>& entry : router.store.items) {
    if (hashes.contains(stable_hash(entry.first))) {
      keys.insert(entry.first);
    }
  }
}

// True if the reply leaves no gap after what this router knows.
bool continues_known(const router_state& router, const wire::items_reply& reply) {
  if (!reply.is_update()) {
    return true;  // an answer to a request goes on from what was known then
  }
  const known_revisions known = revisions_known(router);
  return store_revision{reply.to_epoch(), reply.from_operator_revision()} <= known.operator_items &&
         store_revision{reply.to_epoch(), reply.from_target_revision()} <= known.target_items;
}

}  // namespace

known_revisions revisions_known(const router_state& router) {
  return {router.store.read_operator_revision, router.store.read_target_revision};
}

known_revisions newest_changes(const router_state& router) {
  const known_revisions known = revisions_known(router);
  return {std::min(router.store.newest_operator_revision, known.operator_items),
          std::min(router.store.newest_target_revision, known.target_items)};
}

store_revision settled_removals_known(const router_state& router) {
  return knows_all_from_store(router)
             ? std::max(router.items.settled_target,
                        platform::settled_removals(router.store, current_time()))
             : router.items.settled_target;
}

void apply_settled_removals(router_state& router, const store_revision& revision, instant now) {
  router.items.settled_target = std::max(router.items.settled_target, revision);
  platform::settle_removals(router.store, router.items.settled_target, now);
}

void request_items_if_behind(router_state& router, const router_address& peer,
                             const known_revisions& announced, instant now) {
  const known_revisions own = revisions_known(router);
  const bool behind =
      announced.operator_items > own.operator_items || announced.target_items > own.target_items;
  if (!behind) {
    router.peer_ahead_since.erase(peer);
    return;
  }
  const std::uint64_t own_epoch = std::max(own.operator_items.epoch, own.target_items.epoch);
  if (announced.operator_items.epoch > own_epoch && own_epoch > 0) {
    router.items.read_store_until = now + restored_store_read_time;
    update_store_reading(router, now);
  }
  const bool has_config = platform::has_config_and_targets(router.store);
  const instant ahead_since = router.peer_ahead_since.try_emplace(peer, now).first->second;
  if (has_config && now - ahead_since >= items_request_delay) {
    platform::shorten_watches(router.store_client, now);  // this router's own watch is overdue
  }
  if (now - router.store_items_requested_at < items_request_delay ||
      (has_config && now - ahead_since < items_request_delay)) {
    // Not behind for long enough, or a request was sent within items_request_delay: a reply
    // may hold all items.
    return;
  }
  router.store_items_requested_at = now;
  router.peer_ahead_since[peer] = now;
  outgoing_message message;
  message.to = peer;
  const store_revision known = std::min(own.operator_items, own.target_items);
  message.message.mutable_items_request()->set_after_revision(known.number);
  message.message.mutable_items_request()->set_after_epoch(known.epoch);
  log_line(log_part::config, log_level::info,
           "Items requested from a peer. peer=" + peer.value + " known_operator=" +
               to_text(own.operator_items) + " known_target=" + to_text(own.target_items) +
               " announced_operator=" + to_text(announced.operator_items) +
               " announced_target=" + to_text(announced.target_items));
  send_message(*router.peer_mesh, message);
}

void on_items_request(router_state& router, const router_identity& from,
                      const wire::items_request& request) {
  const store_revision after{request.after_epoch(), request.after_revision()};
  bool is_snapshot = false;
  const std::vector<platform::store_item> items =
      platform::items_after(router.store, after, is_snapshot);
  const bool is_loaded = router.store.loaded_prefixes.contains(platform::operator_prefix) &&
                         router.store.loaded_prefixes.contains(platform::target_prefix);
  const bool lists_keys =
      is_loaded && !is_snapshot && platform::may_lack_removals_after(router.store, after);
  outgoing_message message;
  message.to = from.address;
  message.to_incarnation = from.incarnation;
  wire::items_reply& reply = *message.message.mutable_items_reply();
  set_reply_state(router, revisions_known(router), reply);
  reply.set_complete(is_loaded && (is_snapshot || lists_keys));
  add_items(router, items, reply);
  if (lists_keys) {
    for (const std::uint64_t hash : platform::live_key_hashes(router.store)) {
      reply.add_present_keys(hash);
    }
  }
  send_message(*router.peer_mesh, message);
}

void on_items_reply(router_state& router, const router_identity& from,
                    const wire::items_reply& reply) {
  const instant now = current_time();
  const platform::item_source source = reply.store_disturbed()
                                           ? platform::item_source::peer_without_store
                                           : platform::item_source::peer;
  const store_revision as_of{reply.as_of_epoch(), reply.as_of()};
  std::vector<platform::store_item> items;
  std::vector<platform::store_item> possible_expiries;
  std::set<std::string> present_keys;
  for (const wire::stored_item& item : reply.items()) {
    (item.may_be_expired() ? possible_expiries : items)
        .push_back({item.key(), item.value(), {item.epoch(), item.revision()}, item.removed()});
    present_keys.insert(item.key());
  }
  add_listed_keys(router, reply, present_keys);
  const bool continues = continues_known(router, reply);
  log_line(log_part::config, log_level::info,
           "Items from a peer. peer=" + from.address.value +
               " items=" + std::to_string(reply.items_size()) + " as_of=" + to_text(as_of) +
               " update=" + (reply.is_update() ? "1" : "0") + " gap=" + (continues ? "0" : "1") +
               " complete=" + (reply.complete() ? "1" : "0"));
  platform::apply_items(router.store, items, platform::item_source::peer, now);
  platform::apply_items(router.store, possible_expiries, platform::item_source::peer_without_store,
                        now);
  if (reply.complete()) {
    for (const char* prefix : {platform::operator_prefix, platform::target_prefix}) {
      platform::remove_missing_items(router.store, prefix, present_keys, as_of, source, now);
    }
  }
  if (continues) {
    platform::record_read(router.store, platform::operator_prefix,
                          {reply.to_epoch(), reply.to_operator_revision()});
    platform::record_read(router.store, platform::target_prefix,
                          {reply.to_epoch(), reply.to_target_revision()});
  }
  if (router.store_client.on_change) {
    router.store_client.on_change();
  }
}

void pass_on_items(router_state& router) {
  if (!router.membership.uses_delegates) {
    return;
  }
  const known_revisions from{router.items.passed_operator, router.items.passed_target};
  const known_revisions to = newest_changes(router);
  if (to.operator_items <= from.operator_items && to.target_items <= from.target_items) {
    return;
  }
  router.items.passed_operator = to.operator_items;
  router.items.passed_target = to.target_items;
  std::vector<router_address> receivers = router.digests.plan.subscribers;
  if (knows_all_from_store(router)) {
    receivers.insert(receivers.end(), router.digests.plan.reports_to.begin(),
                     router.digests.plan.reports_to.end());
  }
  const bool same_epoch = from.operator_items.epoch == to.operator_items.epoch &&
                          from.target_items.epoch == to.target_items.epoch &&
                          to.operator_items.epoch == to.target_items.epoch;
  if (same_epoch && from.operator_items.number > 0 && !receivers.empty()) {
    send_to_peers(*router.peer_mesh, receivers, make_update(router, from, to));
  }
}

void update_store_reading(router_state& router, instant now) {
  const bool reads = now < router.items.read_store_until || reads_store(router.membership, now);
  if (reads != router.store_client.reading) {
    platform::set_reading(router.store_client, reads);
  }
}

}  // namespace peridot
