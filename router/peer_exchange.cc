// Exchanges gossip with other routers, and sends store items to routers whose revisions are
// behind.

#include <algorithm>
#include <utility>

#include "core/base/stable_hash.h"
#include "core/fleet/peer_messages.h"
#include "net/log.h"
#include "router/call_internal.h"

namespace peridot {
namespace {

// How long a peer's store revisions must be ahead before its items are requested: this
// router's own watch usually returns the change sooner. A quarter of the time in which the
// platform requires changes to take effect. Also the shortest time between two requests to
// any peers.
constexpr milliseconds items_request_delay{500};
constexpr std::size_t max_reported_signatures = 96;
constexpr std::size_t max_reported_completions = 48;
constexpr std::size_t max_reported_organisations = 256;

std::uint32_t target_hash(const target_name& target) {
  return static_cast<std::uint32_t>(stable_hash(target.value));
}

void update_target_index(router_state& router) {
  if (router.target_by_hash_generation == router.store.targets.generation) {
    return;
  }
  router.target_by_hash_generation = router.store.targets.generation;
  router.target_by_hash.clear();
  for (const std::pair<const target_name, target_state>& entry : router.store.targets.targets) {
    router.target_by_hash[target_hash(entry.first)] = entry.first;
  }
}

std::set<router_address> known_peers(const membership_table& membership) {
  std::set<router_address> result;
  for (const std::pair<const router_address, peer_state>& peer : membership.peers) {
    result.insert(peer.first);
  }
  return result;
}

void add_target_loads(const router_state& router, wire::gossip& gossip) {
  for (const std::pair<const target_name, target_load>& entry : router.loads.targets) {
    const target_load& load = entry.second;
    if (load.running_calls == 0 && load.current_prefill_report.tokens < 1 &&
        load.current_prefill_report.prefixes.empty()) {
      continue;
    }
    wire::target_use& usage = *gossip.add_targets();
    usage.set_target(target_hash(entry.first));
    usage.set_running(static_cast<std::uint32_t>(load.running_calls));
    usage.set_unread_tokens(static_cast<std::uint32_t>(load.pending_prefill_tokens));
    usage.set_memory_tokens(static_cast<std::uint32_t>(load.kv_used_tokens));
    usage.set_tokens_read(static_cast<std::uint32_t>(load.current_prefill_report.tokens));
    for (std::uint32_t prefix : load.current_prefill_report.prefixes) {
      usage.add_read_prefixes(prefix);
    }
  }
}

void add_organisation_usage(const router_state& router, wire::gossip& gossip) {
  for (const std::pair<std::uint64_t, token_usage>& entry :
       usage_report(router.shares, max_reported_organisations)) {
    wire::organisation_use& usage = *gossip.add_organisations();
    usage.set_organisation(entry.first);
    usage.set_asked_tokens(static_cast<std::uint32_t>(std::max(0.0, entry.second.asked)));
    usage.set_served_tokens(static_cast<std::uint32_t>(std::max(0.0, entry.second.served)));
  }
}

std::uint32_t age_ms(instant at, instant now) {
  return static_cast<std::uint32_t>(std::max(0.0, to_ms(now - at)));
}

// Adds crash events, and the completions that clear signatures of such events.
void add_crash_reports(const router_state& router, wire::gossip& gossip, instant now) {
  for (const crash_event& event :
       events_to_report(router.crash_suspects, router.self.address, max_reported_signatures,
                        now - router.membership.report_ttl)) {
    wire::crash_event& report = *gossip.add_crash_events();
    report.set_target(event.target);
    report.set_age_ms(age_ms(event.at, now));
    for (const std::pair<const std::uint64_t, std::uint64_t>& entry : event.signatures) {
      report.add_signatures(entry.first);
      report.add_fingerprints(entry.second);
    }
    for (const router_address& reporter : event.reporters) {
      report.add_reporters(reporter.value);
    }
  }
  for (const std::pair<std::uint64_t, instant>& completion : completions_to_report(
           router.crash_suspects, max_reported_completions, now - router.membership.report_ttl)) {
    wire::completed_call& report = *gossip.add_completions();
    report.set_signature(completion.first);
    report.set_age_ms(age_ms(completion.second, now));
  }
}

// The suspects are computed with the next tick. Completions come first, so that what they clear is
// not added.
void apply_crash_reports(router_state& router, const wire::gossip& gossip, instant now) {
  for (const wire::completed_call& report : gossip.completions()) {
    record_completion(router.crash_suspects, {report.signature()},
                      now - milliseconds{report.age_ms()});
  }
  for (const wire::crash_event& report : gossip.crash_events()) {
    crash_event event;
    event.target = report.target();
    event.at = now - milliseconds{report.age_ms()};
    const int count = std::min(report.signatures_size(), report.fingerprints_size());
    for (int index = 0; index < count; ++index) {
      event.signatures.emplace(report.signatures(index), report.fingerprints(index));
    }
    for (const std::string& reporter : report.reporters()) {
      event.reporters.insert(router_address{reporter});
    }
    record_crash(router.crash_suspects, event, now);
  }
}

void apply_peer_loads(router_state& router, const router_address& from, const wire::gossip& gossip,
                      instant now) {
  update_target_index(router);
  reported_targets reported;
  reported.valid_until = now + router.membership.report_ttl;
  for (const wire::target_use& usage : gossip.targets()) {
    auto found = router.target_by_hash.find(usage.target());
    if (found == router.target_by_hash.end()) {
      continue;
    }
    const std::vector<std::uint32_t> prefixes(usage.read_prefixes().begin(),
                                              usage.read_prefixes().end());
    const peer_load load{static_cast<int>(usage.running()),
                         static_cast<double>(usage.unread_tokens()),
                         static_cast<double>(usage.memory_tokens()), reported.valid_until};
    update_peer_load(router.loads, from, found->second, load, prefixes, usage.tokens_read());
    reported.targets.push_back(found->second);
  }
  complete_peer_report(router.loads, from, std::move(reported));
}

// Requests items from a peer whose store revisions have been ahead for items_request_delay,
// or at once while this router has no configuration or targets. Requests to any peers are at
// least items_request_delay apart.
void request_items_if_behind(router_state& router, const router_address& peer,
                             const wire::gossip& gossip, instant now) {
  const platform::store_state& store = router.store;
  const store_revision operator_revision{gossip.store_epoch(), gossip.operator_revision()};
  const store_revision target_revision{gossip.store_epoch(), gossip.target_revision()};
  const bool behind = operator_revision > store.newest_operator_revision ||
                      target_revision > store.newest_target_revision;
  if (!behind) {
    router.peer_ahead_since.erase(peer);
    return;
  }
  const bool has_config = platform::has_config_and_targets(store);
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
  const store_revision known =
      std::min(store.newest_operator_revision, store.newest_target_revision);
  message.message.mutable_items_request()->set_after_revision(known.number);
  message.message.mutable_items_request()->set_after_epoch(known.epoch);
  send_message(*router.peer_mesh, message);
}

// When a peer reports that its store has become unavailable or has recovered, this router
// checks the store itself.
void update_peer_store_state(router_state& router, const router_address& peer, bool unavailable,
                             instant now) {
  auto found = router.membership.peers.find(peer);
  if (found == router.membership.peers.end() ||
      std::exchange(found->second.store_unavailable, unavailable) == unavailable) {
    return;
  }
  if (unavailable) {
    platform::shorten_watches(router.store_client, now);
  } else {
    platform::retry_now(router.store_client);
  }
}

void on_gossip(router_state& router, const router_identity& from, const wire::gossip& gossip) {
  const instant now = current_time();
  std::vector<router_address> reported_peers;
  for (const std::string& address : gossip.peers()) {
    reported_peers.push_back(router_address{address});
  }
  if (on_peer_gossip(router.membership, from, reported_peers, gossip.leaving(),
                     failure_domain_name{gossip.domain()}, now)) {
    log_line(log_part::mesh, log_level::info,
             "Peer joined, returned or restarted. peer=" + from.address.value +
                 " domain=" + gossip.domain() + " incarnation=" + std::to_string(from.incarnation));
  }
  apply_peer_loads(router, from.address, gossip, now);
  std::map<std::uint64_t, token_usage> reported_usage;
  for (const wire::organisation_use& usage : gossip.organisations()) {
    reported_usage[usage.organisation()] = {static_cast<double>(usage.asked_tokens()),
                                            static_cast<double>(usage.served_tokens())};
  }
  update_peer_usage(router.shares, from.address, std::move(reported_usage),
                    now + router.membership.report_ttl);
  apply_crash_reports(router, gossip, now);
  update_peer_store_state(router, from.address, gossip.store_disturbed(), now);
  auto sender = router.membership.peers.find(from.address);
  if (sender != router.membership.peers.end()) {
    sender->second.overloaded = gossip.overloaded();
  }
  request_items_if_behind(router, from.address, gossip, now);
}

void on_items_request(router_state& router, const router_identity& from,
                      const wire::items_request& request) {
  bool complete = false;
  const std::vector<platform::store_item> items = platform::items_after(
      router.store, {request.after_epoch(), request.after_revision()}, complete);
  complete = complete && router.store.loaded_prefixes.contains(platform::operator_prefix) &&
             router.store.loaded_prefixes.contains(platform::target_prefix);
  outgoing_message message;
  message.to = from.address;
  message.to_incarnation = from.incarnation;
  wire::items_reply& reply = *message.message.mutable_items_reply();
  const store_revision as_of =
      std::min(router.store.newest_operator_revision, router.store.newest_target_revision);
  reply.set_as_of(as_of.number);
  reply.set_as_of_epoch(as_of.epoch);
  reply.set_store_disturbed(
      platform::was_unavailable_within(router.store, router.settings.store_touch, current_time()));
  reply.set_complete(complete);
  for (const platform::store_item& item : items) {
    wire::stored_item& stored_item = *reply.add_items();
    stored_item.set_key(item.key);
    stored_item.set_value(item.value);
    stored_item.set_revision(item.revision.number);
    stored_item.set_epoch(item.revision.epoch);
    stored_item.set_removed(item.removed);
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
  std::set<std::string> present_keys;
  for (const wire::stored_item& item : reply.items()) {
    items.push_back({item.key(), item.value(), {item.epoch(), item.revision()}, item.removed()});
    present_keys.insert(item.key());
  }
  log_line(log_part::config, log_level::info,
           "Items from a peer. peer=" + from.address.value +
               " items=" + std::to_string(items.size()) + " as_of=" + to_text(as_of) +
               " complete=" + (reply.complete() ? "1" : "0"));
  platform::apply_items(router.store, items, source, now);
  if (reply.complete()) {
    for (const char* prefix : {platform::operator_prefix, platform::target_prefix}) {
      platform::remove_missing_items(router.store, prefix, present_keys, as_of, source, now);
    }
  }
  if (router.store_client.on_change) {
    router.store_client.on_change();
  }
}

void set_gossip_peers(wire::gossip& gossip, const std::vector<router_address>& peers) {
  gossip.clear_peers();
  for (const router_address& peer : peers) {
    gossip.add_peers(peer.value);
  }
}

// Sends the round's message, with the full list of live peers, to a peer that does not
// have the list yet.
void send_full_peer_list(router_state& router, wire::peer_message& message,
                         const router_address& peer, instant now) {
  set_gossip_peers(*message.mutable_gossip(),
                   sample_live_peers(router.membership, max_full_peer_list, router.random, now));
  send_to_peers(*router.peer_mesh, {peer}, message);
  mark_full_peer_list_sent(router.membership, peer, now);
}

}  // namespace

void send_gossip(router_state& router) {
  const instant now = current_time();
  expire_peers(router.membership, now);
  wire::peer_message message;
  wire::gossip& gossip = *message.mutable_gossip();
  gossip.set_domain(router.settings.domain.value);
  gossip.set_leaving(router.stopping);
  gossip.set_store_disturbed(router.store.unavailable);
  gossip.set_overloaded(router.overload.shedding);
  const store_revision& operator_revision = router.store.newest_operator_revision;
  const store_revision& target_revision = router.store.newest_target_revision;
  const std::uint64_t epoch = std::max(operator_revision.epoch, target_revision.epoch);
  gossip.set_store_epoch(epoch);
  gossip.set_operator_revision(operator_revision.epoch == epoch ? operator_revision.number : 0);
  gossip.set_target_revision(target_revision.epoch == epoch ? target_revision.number : 0);
  const gossip_round round = next_gossip_round(router.membership, now);
  if (round.starts_cycle) {
    rotate_prefill_reports(router.loads);
    disconnect_peers_except(*router.peer_mesh, known_peers(router.membership));
  }
  add_target_loads(router, gossip);
  add_organisation_usage(router, gossip);
  add_crash_reports(router, gossip, now);
  std::vector<router_address> peers_with_full_list;
  for (const router_address& peer : round.peers) {
    if (needs_full_peer_list(router.membership, peer)) {
      send_full_peer_list(router, message, peer, now);
    } else {
      peers_with_full_list.push_back(peer);
    }
  }
  set_gossip_peers(
      gossip, sample_live_peers(router.membership, partial_peer_list_size, router.random, now));
  send_to_peers(*router.peer_mesh, peers_with_full_list, message);
}

void on_peer_message(router_state& router, const router_identity& from,
                     const wire::peer_message& message) {
  switch (message.body_case()) {
    case wire::peer_message::kGossip:
      on_gossip(router, from, message.gossip());
      break;
    case wire::peer_message::kItemsRequest:
      on_items_request(router, from, message.items_request());
      break;
    case wire::peer_message::kItemsReply:
      on_items_reply(router, from, message.items_reply());
      break;
    case wire::peer_message::BODY_NOT_SET:
      break;
  }
}

}  // namespace peridot
