// Exchanges reports with other routers: directly in a small fleet, through delegates in a large
// one.

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "core/base/stable_hash.h"
#include "core/fleet/delegates.h"
#include "core/fleet/peer_messages.h"
#include "net/log.h"
#include "router/call_internal.h"
#include "router/peer_internal.h"

namespace peridot {
namespace {

constexpr std::size_t max_reported_signatures = 96;
constexpr std::size_t max_reported_completions = 48;
constexpr std::size_t max_reported_organisations = 256;
// Connections to former delegates are closed after this time.
constexpr milliseconds max_peer_idle{10'000};
// Older statements of a target's speed say little of now; others have heard newer ones.
constexpr milliseconds max_reported_speed_age{1'000};

std::set<router_address> known_peers(const membership_table& membership) {
  std::set<router_address> result;
  for (const std::pair<const router_address, peer_state>& peer : membership.peers) {
    result.insert(peer.first);
  }
  return result;
}

void add_target_loads(const router_state& router, instant now, wire::gossip& gossip) {
  for (const std::pair<const target_name, target_load>& entry : router.loads.targets) {
    const target_load& load = entry.second;
    wire::target_use usage;
    add_speed(load.speed, now, usage);
    if (load.running_calls == 0 && load.current_prefill_report.tokens < 1 &&
        load.current_prefill_report.prefixes.empty() && usage.slow_percent() == 0) {
      continue;
    }
    usage.set_target(target_hash(entry.first));
    usage.set_running(static_cast<std::uint32_t>(load.running_calls));
    usage.set_unread_tokens(to_whole_tokens(load.pending_prefill_tokens));
    usage.set_memory_tokens(to_whole_tokens(load.kv_used_tokens));
    usage.set_tokens_read(to_whole_tokens(load.current_prefill_report.tokens));
    for (std::uint32_t prefix : load.current_prefill_report.prefixes) {
      usage.add_read_prefixes(prefix);
    }
    *gossip.add_targets() = std::move(usage);
  }
}

void add_organisation_usage(const router_state& router, wire::gossip& gossip) {
  for (const std::pair<std::uint64_t, token_usage>& entry :
       usage_report(router.shares, max_reported_organisations)) {
    wire::organisation_use& usage = *gossip.add_organisations();
    usage.set_organisation(entry.first);
    usage.set_asked_tokens(to_whole_tokens(entry.second.asked));
    usage.set_served_tokens(to_whole_tokens(entry.second.served));
  }
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
    router.newcomer_heard = true;
    log_line(log_part::mesh, log_level::info,
             "Peer joined, returned or restarted. peer=" + from.address.value +
                 " domain=" + gossip.domain() + " incarnation=" + std::to_string(from.incarnation));
  }
  on_report_received(router.membership, from.address,
                     {gossip.round(), gossip.wants_digest(), gossip.is_direct()}, now);
  std::map<std::uint64_t, token_usage> reported_usage;
  for (const wire::organisation_use& usage : gossip.organisations()) {
    reported_usage[usage.organisation()] = {static_cast<double>(usage.asked_tokens()),
                                            static_cast<double>(usage.served_tokens())};
  }
  // A router that relies on digests counts only those that rely on it: the digests hold the others.
  if (!router.membership.primary.value.empty() && !gossip.wants_digest()) {
    drop_load_row(router, from.address, now);
  } else {
    apply_load_row(router, from.address, {gossip.targets().begin(), gossip.targets().end()},
                   std::move(reported_usage), now);
  }
  if (router.membership.uses_delegates) {
    for (const wire::target_use& usage : gossip.targets()) {
      add_prefills(router.digests.domain_prefills, usage.target(), usage);
    }
  }
  apply_crash_reports(router, gossip, now);
  apply_statements(router, from.address, gossip, now);
  update_peer_store_state(router, from.address, gossip.store_disturbed(), now);
  auto sender = router.membership.peers.find(from.address);
  if (sender != router.membership.peers.end()) {
    sender->second.overloaded = gossip.overloaded();
    sender->second.processor_percent = static_cast<int>(gossip.processor_percent());
  }
  note_heard_revision(router, gossip);
  request_items_if_behind(router, from.address,
                          {{gossip.store_epoch(), gossip.operator_revision()},
                           {gossip.store_epoch(), gossip.target_revision()}},
                          now);
  apply_settled_removals(router, {gossip.store_epoch(), gossip.settled_revision()}, now);
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

// A report without load: who this router is and what it knows of the store.
wire::peer_message make_report(const router_state& router) {
  wire::peer_message message;
  wire::gossip& gossip = *message.mutable_gossip();
  gossip.set_domain(router.settings.domain.value);
  gossip.set_leaving(router.stopping);
  gossip.set_store_disturbed(router.store_client.reading && router.store.unavailable);
  gossip.set_overloaded(router.overload.shedding);
  gossip.set_processor_percent(static_cast<std::uint32_t>(router.membership.processor_percent));
  gossip.set_round(router.membership.round);
  gossip.set_is_direct(!router.membership.uses_delegates);
  set_revisions(router, gossip);
  return message;
}

// A round of a small fleet, or of a router that does not know its fleet yet.
void send_direct_round(router_state& router, instant now) {
  const gossip_round round = next_gossip_round(router.membership, now);
  if (round.starts_cycle) {
    rotate_prefill_reports(router.loads);
    disconnect_peers_except(*router.peer_mesh, known_peers(router.membership));
  }
  wire::peer_message message = make_report(router);
  wire::gossip& gossip = *message.mutable_gossip();
  add_target_loads(router, now, gossip);
  add_organisation_usage(router, gossip);
  add_crash_reports(router, false, now, gossip);
  add_statements(router, limits_of_round(router, limit_selection::all), now, gossip);
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

void send_delegated_round(router_state& router, instant now) {
  rotate_prefill_reports(router.loads);
  router.digests.plan = plan_exchange(router.membership, router.random, now);
  const exchange_plan& plan = router.digests.plan;
  send_to_peers(*router.peer_mesh, plan.silent, make_report(router));
  wire::peer_message message = make_report(router);
  wire::gossip& gossip = *message.mutable_gossip();
  add_target_loads(router, now, gossip);
  add_organisation_usage(router, gossip);
  add_crash_reports(router, false, now, gossip);
  add_statements(router, limits_of_round(router, limit_selection::heard), now, gossip);
  record_sent_report(router, gossip);
  for (const wire::target_use& usage : gossip.targets()) {
    add_prefills(router.digests.domain_prefills, usage.target(), usage);
  }
  for (const router_address& delegate : plan.reports_to) {
    gossip.set_wants_digest(delegate == router.membership.primary);
    send_to_peers(*router.peer_mesh, {delegate}, message);
  }
  send_digests(router, now);
  disconnect_idle_peers(*router.peer_mesh, max_peer_idle, now);
}

}  // namespace

std::uint32_t target_hash(const target_name& target) {
  return static_cast<std::uint32_t>(stable_hash(target.value));
}

std::uint32_t router_hash(const router_address& router) {
  return static_cast<std::uint32_t>(stable_hash(router.value));
}

void update_target_index(router_state& router) {
  if (router.target_by_hash_generation == router.store.targets.generation) {
    return;
  }
  router.target_by_hash_generation = router.store.targets.generation;
  router.target_by_hash.clear();
  router.target_by_incarnation.clear();
  for (const std::pair<const target_name, target_state>& entry : router.store.targets.targets) {
    router.target_by_hash[target_hash(entry.first)] = entry.first;
    router.target_by_incarnation[incarnation_hash(entry.second.entry)] = entry.first;
  }
}

std::uint32_t age_ms(instant at, instant now) {
  return static_cast<std::uint32_t>(std::clamp(
      to_ms(now - at), 0.0, static_cast<double>(std::numeric_limits<std::uint32_t>::max())));
}

void add_speed(const target_speed& speed, instant now, wire::target_use& usage) {
  if (speed.stated_at != instant{} && now - speed.stated_at < max_reported_speed_age) {
    usage.set_slow_percent(static_cast<std::uint32_t>(std::lround(100 * speed.latest)));
    usage.set_slow_age_ms(age_ms(speed.stated_at, now));
  }
}

std::uint32_t to_whole_tokens(double tokens) {
  return static_cast<std::uint32_t>(
      std::clamp(tokens, 0.0, static_cast<double>(std::numeric_limits<std::uint32_t>::max())));
}

// Adds crash events, and the completions that clear signatures of such events.
template <class Message>
void add_crash_reports(const router_state& router, bool relay, instant now, Message& message) {
  for (const crash_event& event :
       events_to_report(router.crash_suspects, router.self.address, max_reported_signatures,
                        now - router.membership.report_ttl, relay)) {
    wire::crash_event& report = *message.add_crash_events();
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
    wire::completed_call& report = *message.add_completions();
    report.set_signature(completion.first);
    report.set_age_ms(age_ms(completion.second, now));
  }
}

// The suspects are computed with the next tick. Completions come first, so that what they clear is
// not added.
template <class Message>
void apply_crash_reports(router_state& router, const Message& message, instant now) {
  for (const wire::completed_call& report : message.completions()) {
    record_completion(router.crash_suspects, {report.signature()},
                      now - milliseconds{report.age_ms()});
  }
  for (const wire::crash_event& report : message.crash_events()) {
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

template <class Message>
void add_statements(const router_state& router, limit_selection selection, instant now,
                    Message& message) {
  const bool all = selection != limit_selection::changed;
  for (const std::uint32_t incarnation :
       leaving_to_report(router.statements, router.store.targets, all, now)) {
    message.add_leaving_targets(incarnation);
  }
  for (const ended_report& ended : ended_to_report(router.store.targets.ended, all, now)) {
    wire::ended_target& report = *message.add_ended_targets();
    report.set_incarnation(ended.incarnation);
    report.set_age_ms(age_ms(ended.ended_at, now));
  }
  for (const reported_limit& limit :
       limits_to_report(router.statements, router.store.targets, selection, now)) {
    wire::target_limit& report = *message.add_limits();
    report.set_incarnation(limit.incarnation);
    report.set_age_ms(age_ms(limit.stated_at, now));
    report.set_ended(!limit.rate_limit.has_value());
    report.set_steps(static_cast<std::uint32_t>(
        std::lround(limit.rate_limit.value_or(0) * limit_steps_per_call)));
  }
}

// A peer reports that an incarnation has ended. Its entry may have come late.
void apply_ended(router_state& router, const router_address& from, const ended_report& report,
                 instant now) {
  if (!merge_ended(router.store.targets.ended, report, now)) {
    return;
  }
  auto found = router.target_by_incarnation.find(report.incarnation);
  if (found != router.target_by_incarnation.end() &&
      review_entry(router.store.targets, router.store.config.get(), found->second, now)) {
    log_line(log_part::target, log_level::warn,
             "Outdated target entry held back, as another router reports. target=" +
                 found->second.value + " source=" + from.value);
  }
}

template <class Message>
void apply_statements(router_state& router, const router_address& from, const Message& message,
                      instant now) {
  if (message.limits_size() == 0 && message.leaving_targets_size() == 0 &&
      message.ended_targets_size() == 0) {
    return;
  }
  update_target_index(router);
  for (const wire::ended_target& report : message.ended_targets()) {
    apply_ended(router, from, {report.incarnation(), now - milliseconds{report.age_ms()}}, now);
  }
  update_target_index(router);
  for (const std::uint32_t incarnation : message.leaving_targets()) {
    auto found = router.target_by_incarnation.find(incarnation);
    if (found != router.target_by_incarnation.end()) {
      target_state& target = router.store.targets.targets.at(found->second);
      if (record_leaving(router.statements, target.entry, now)) {
        apply_leaving(router, target, from.value);
      }
    }
  }
  for (const wire::target_limit& report : message.limits()) {
    auto found = router.target_by_incarnation.find(report.incarnation());
    if (found == router.target_by_incarnation.end()) {
      continue;
    }
    const target_entry& target = router.store.targets.targets.at(found->second).entry;
    reported_limit limit{report.incarnation(), std::nullopt, now - milliseconds{report.age_ms()}};
    if (!report.ended()) {
      limit.rate_limit = report.steps() / limit_steps_per_call;
    }
    if (merge_limit(router.statements, target, limit, now)) {
      log_limit_change(router, target, from.value);
    }
  }
}

limit_selection limits_of_round(const router_state& router, limit_selection full) {
  const std::int64_t rounds =
      std::max<std::int64_t>(1, limit_report_interval / router.settings.gossip_interval);
  return router.newcomer_heard || router.membership.round % rounds == 0 ? full
                                                                        : limit_selection::changed;
}

template void add_statements(const router_state&, limit_selection, instant, wire::gossip&);
template void add_statements(const router_state&, limit_selection, instant, wire::digest&);
template void apply_statements(router_state&, const router_address&, const wire::gossip&, instant);
template void apply_statements(router_state&, const router_address&, const wire::digest&, instant);
template void add_crash_reports(const router_state&, bool, instant, wire::gossip&);
template void add_crash_reports(const router_state&, bool, instant, wire::digest&);
template void apply_crash_reports(router_state&, const wire::gossip&, instant);
template void apply_crash_reports(router_state&, const wire::digest&, instant);

void apply_load_row(router_state& router, const router_address& row,
                    const std::vector<wire::target_use>& targets,
                    std::map<std::uint64_t, token_usage> usage, instant now) {
  update_target_index(router);
  reported_targets reported;
  reported.valid_until = now + router.membership.report_ttl;
  for (const wire::target_use& entry : targets) {
    auto found = router.target_by_hash.find(entry.target());
    if (found == router.target_by_hash.end()) {
      continue;
    }
    const std::vector<std::uint32_t> prefixes(entry.read_prefixes().begin(),
                                              entry.read_prefixes().end());
    const peer_load load{static_cast<int>(entry.running()),
                         static_cast<double>(entry.unread_tokens()),
                         static_cast<double>(entry.memory_tokens()), reported.valid_until};
    update_peer_load(router.loads, row, found->second, load, prefixes, entry.tokens_read());
    reported.targets.push_back(found->second);
    if (entry.slow_percent() > 0) {
      record_slowdown(router.loads.targets[found->second].speed, entry.slow_percent() / 100.0,
                      now - milliseconds{entry.slow_age_ms()});
    }
  }
  complete_peer_report(router.loads, row, std::move(reported));
  update_peer_usage(router.shares, row, std::move(usage), now + router.membership.report_ttl);
}

void drop_load_row(router_state& router, const router_address& row, instant now) {
  if (router.loads.peer_reports.contains(row)) {
    apply_load_row(router, row, {}, {}, now);
    router.loads.peer_reports.erase(row);
  }
  router.shares.peer_usage.erase(row);
}

void send_gossip(router_state& router) {
  const instant now = current_time();
  expire_peers(router.membership, now);
  refresh_peer_counts(router.membership, now);
  update_exchange_mode(router.membership);
  update_store_reading(router, now);
  if (router.membership.uses_delegates) {
    send_delegated_round(router, now);
  } else {
    send_direct_round(router, now);
  }
  update_spillovers(router, now);
  router.newcomer_heard = false;
}

void on_peer_message(router_state& router, const router_identity& from,
                     const wire::peer_message& message) {
  switch (message.body_case()) {
    case wire::peer_message::kGossip:
      on_gossip(router, from, message.gossip());
      break;
    case wire::peer_message::kDigest:
      on_digest(router, from, message.digest());
      break;
    case wire::peer_message::kItemsRequest:
      on_items_request(router, from, message.items_request());
      break;
    case wire::peer_message::kItemsReply:
      on_items_reply(router, from, message.items_reply());
      break;
    case wire::peer_message::kBegunStreams:
      on_begun_streams(router, message.begun_streams());
      break;
    case wire::peer_message::kStreamQuery:
      on_stream_query(router, from, message.stream_query());
      break;
    case wire::peer_message::kStreamReply:
      on_stream_reply(router, message.stream_reply());
      break;
    case wire::peer_message::BODY_NOT_SET:
      break;
  }
}

}  // namespace peridot
