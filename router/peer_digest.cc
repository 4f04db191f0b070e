// Digests: how delegates pass on what routers report to them. core/fleet/delegates.h says who
// sends them to whom.

#include <algorithm>
#include <utility>

#include "core/base/stable_hash.h"
#include "core/fleet/delegates.h"
#include "core/fleet/peer_messages.h"
#include "net/log.h"
#include "router/peer_internal.h"

namespace peridot {
namespace {

constexpr std::size_t max_sent_reports = 32;     // 6 s at the default interval
constexpr std::size_t max_digest_prefixes = 96;  // of one engine, in one digest
constexpr std::size_t max_digest_organisations = 512;
constexpr std::uint32_t leaving_flag = 1;
constexpr std::uint32_t overloaded_flag = 2;
constexpr std::uint32_t store_unavailable_flag = 4;

// Rows of the load and usage tables that hold sums instead of one peer's report. No address of a
// router looks like these.
const router_address fleet_row{"fleet"};
constexpr std::string_view domain_row_prefix = "domain:";

router_address domain_row(const failure_domain_name& domain) {
  return router_address{std::string(domain_row_prefix) + domain.value};
}

bool is_sum_row(const router_address& row) {
  return row == fleet_row || row.value.starts_with(domain_row_prefix);
}

peer_load own_load(const target_load& load) {
  return {load.running_calls, load.pending_prefill_tokens, load.kv_used_tokens, {}};
}

void add_to(peer_load& sum, const peer_load& load, int sign) {
  sum.running_calls += sign * load.running_calls;
  sum.pending_prefill_tokens += sign * load.pending_prefill_tokens;
  sum.kv_used_tokens += sign * load.kv_used_tokens;
}

// Load at the target: of this router and of those that report to it, or of all.
peer_load load_sum(const target_load& load, bool of_domain) {
  peer_load sum = own_load(load);
  add_to(sum, load.peer_total, 1);
  if (of_domain) {
    for (const std::pair<const router_address, peer_load>& row : load.peer_loads) {
      if (is_sum_row(row.first)) {
        add_to(sum, row.second, -1);
      }
    }
  }
  return sum;
}

void add_prefill_fields(const prefill_sums& sums, std::uint32_t target, wire::target_use& usage) {
  auto found = sums.find(target);
  if (found == sums.end()) {
    return;
  }
  usage.set_tokens_read(usage.tokens_read() + to_whole_tokens(found->second.tokens));
  for (std::uint32_t prefix : found->second.prefixes) {
    if (static_cast<std::size_t>(usage.read_prefixes_size()) < max_digest_prefixes) {
      usage.add_read_prefixes(prefix);
    }
  }
}

void add_target_sums(const router_state& router, bool of_domain, instant now,
                     wire::digest& digest) {
  for (const std::pair<const target_name, target_load>& entry : router.loads.targets) {
    const peer_load sum = load_sum(entry.second, of_domain);
    wire::target_use usage;
    const std::uint32_t hash = target_hash(entry.first);
    add_prefill_fields(router.digests.domain_prefills, hash, usage);
    if (!of_domain) {
      add_prefill_fields(router.digests.foreign_prefills, hash, usage);
    }
    add_speed(entry.second.speed, now, usage);
    if (sum.running_calls <= 0 && usage.tokens_read() == 0 && usage.read_prefixes_size() == 0 &&
        usage.slow_percent() == 0) {
      continue;
    }
    usage.set_target(hash);
    usage.set_running(static_cast<std::uint32_t>(std::max(0, sum.running_calls)));
    usage.set_unread_tokens(to_whole_tokens(sum.pending_prefill_tokens));
    usage.set_memory_tokens(to_whole_tokens(sum.kv_used_tokens));
    *digest.add_targets() = std::move(usage);
  }
}

void add_organisation_sums(const router_state& router, bool of_domain, wire::digest& digest) {
  std::map<std::uint64_t, token_usage> sums;
  for (const std::pair<std::uint64_t, token_usage>& own :
       usage_report(router.shares, max_digest_organisations)) {
    sums[own.first] = own.second;
  }
  for (const auto& row : router.shares.peer_usage) {
    if (of_domain && is_sum_row(row.first)) {
      continue;
    }
    for (const std::pair<const std::uint64_t, token_usage>& entry : row.second.second) {
      sums[entry.first].asked += entry.second.asked;
      sums[entry.first].served += entry.second.served;
    }
  }
  for (const std::pair<const std::uint64_t, token_usage>& entry : sums) {
    wire::organisation_use& usage = *digest.add_organisations();
    usage.set_organisation(entry.first);
    usage.set_asked_tokens(to_whole_tokens(entry.second.asked));
    usage.set_served_tokens(to_whole_tokens(entry.second.served));
  }
}

// The reports in the sums that are not empty, so that each sender can take its own one off.
void add_included_reports(const router_state& router, instant now, wire::digest& digest) {
  instant oldest = now;
  for (const std::pair<const router_address, reported_targets>& row : router.loads.peer_reports) {
    auto peer = router.membership.peers.find(row.first);
    if (peer == router.membership.peers.end()) {
      continue;
    }
    oldest = std::min(oldest, peer->second.last_report);
    auto usage = router.shares.peer_usage.find(row.first);
    const bool has_usage = usage != router.shares.peer_usage.end() && !usage->second.second.empty();
    if (!row.second.targets.empty() || has_usage) {
      wire::included_report& included = *digest.add_included();
      included.set_router(router_hash(row.first));
      included.set_round(peer->second.report_round);
    }
  }
  if (router.digests.foreign_view_at != instant{} && !digest.of_domain()) {
    oldest = std::min(oldest, router.digests.foreign_view_at);
  }
  digest.set_age_ms(age_ms(oldest, now));
}

listed_router listed_self(const router_state& router) {
  return {router.self,
          router.settings.domain,
          router.stopping,
          router.overload.shedding,
          router.store_client.reading && router.store.unavailable,
          router.membership.processor_percent};
}

std::uint64_t list_hash(const std::vector<listed_router>& list) {
  std::uint64_t hash = 0;
  for (const listed_router& entry : list) {
    const std::uint64_t flags = (entry.leaving ? leaving_flag : 0) |
                                (entry.overloaded ? overloaded_flag : 0) |
                                (entry.store_unavailable ? store_unavailable_flag : 0);
    hash ^= stable_hash(entry.identity.address.value, entry.identity.incarnation ^ flags);
  }
  return hash;
}

void add_members(const std::vector<listed_router>& list, wire::digest& digest) {
  std::map<failure_domain_name, std::uint32_t> domain_indexes;
  digest.set_has_members(true);
  for (const listed_router& entry : list) {
    auto index = domain_indexes.try_emplace(entry.domain, domain_indexes.size());
    if (index.second) {
      digest.add_domains(entry.domain.value);
    }
    wire::member& member = *digest.add_members();
    member.set_address(entry.identity.address.value);
    member.set_incarnation(entry.identity.incarnation);
    member.set_domain(index.first->second);
    member.set_flags((entry.leaving ? leaving_flag : 0) | (entry.overloaded ? overloaded_flag : 0) |
                     (entry.store_unavailable ? store_unavailable_flag : 0));
    member.set_processor_percent(static_cast<std::uint32_t>(entry.processor_percent));
  }
}

// Adds the list of members if it changed or is due.
void add_members_if_due(router_state& router, sent_list& sent, instant now, wire::digest& digest) {
  std::vector<listed_router> list = member_list(router.membership, digest.of_domain(), now);
  list.push_back(listed_self(router));
  const std::uint64_t hash = list_hash(list);
  if (hash != sent.hash || now - sent.at >= member_list_interval) {
    sent = {hash, now};
    add_members(list, digest);
  }
}

wire::peer_message make_digest(const router_state& router, bool of_domain) {
  wire::peer_message message;
  wire::digest& digest = *message.mutable_digest();
  digest.set_domain(router.settings.domain.value);
  digest.set_of_domain(of_domain);
  digest.set_store_disturbed(router.store.unavailable);
  if (!of_domain) {  // for routers that rely on this one
    const instant now = current_time();
    digest.set_confirmed_age_ms(age_ms(confirmed_at(router.view, router.membership, now), now));
  }
  set_revisions(router, digest);
  return message;
}

void add_loads(const router_state& router, instant now, wire::digest& digest) {
  digest.set_has_loads(true);
  add_target_sums(router, digest.of_domain(), now, digest);
  add_organisation_sums(router, digest.of_domain(), digest);
  add_included_reports(router, now, digest);
  add_crash_reports(router, true, now, digest);
  add_statements(router, limits_of_round(router, limit_selection::all), now, digest);
}

const sent_report* find_sent_report(const router_state& router, std::uint32_t round) {
  for (const sent_report& report : router.digests.sent_reports) {
    if (report.round == round) {
      return &report;
    }
  }
  return nullptr;
}

// The own report that the digest includes, or null. Sets `prefilled` to the prefills of the reports
// that it includes and earlier digests did not.
const sent_report* own_report_in(router_state& router, const wire::digest& digest,
                                 std::unordered_map<std::uint32_t, double>& prefilled) {
  const std::uint32_t own_hash = router_hash(router.self.address);
  for (const wire::included_report& included : digest.included()) {
    if (included.router() != own_hash) {
      continue;
    }
    for (const sent_report& report : router.digests.sent_reports) {
      if (report.round > router.digests.last_included_round && report.round <= included.round()) {
        for (const std::pair<const std::uint32_t, sent_target_use>& entry : report.targets) {
          prefilled[entry.first] += entry.second.prefilled_tokens;
        }
      }
    }
    router.digests.last_included_round = included.round();
    return find_sent_report(router, included.round());
  }
  return nullptr;
}

std::uint32_t less(std::uint32_t sum, double part) {
  return to_whole_tokens(std::max(0.0, static_cast<double>(sum) - part));
}

// The digest's loads without what this router reported itself.
std::vector<wire::target_use> loads_of_others(
    const wire::digest& digest, const sent_report* own,
    const std::unordered_map<std::uint32_t, double>& prefilled) {
  std::vector<wire::target_use> targets(digest.targets().begin(), digest.targets().end());
  for (wire::target_use& usage : targets) {
    auto own_prefill = prefilled.find(usage.target());
    if (own_prefill != prefilled.end()) {
      usage.set_tokens_read(less(usage.tokens_read(), own_prefill->second));
    }
    if (own == nullptr) {
      continue;
    }
    auto own_use = own->targets.find(usage.target());
    if (own_use != own->targets.end()) {
      usage.set_running(less(usage.running(), own_use->second.load.running_calls));
      usage.set_unread_tokens(
          less(usage.unread_tokens(), own_use->second.load.pending_prefill_tokens));
      usage.set_memory_tokens(less(usage.memory_tokens(), own_use->second.load.kv_used_tokens));
    }
  }
  return targets;
}

std::map<std::uint64_t, token_usage> usage_of_others(const wire::digest& digest,
                                                     const sent_report* own) {
  std::map<std::uint64_t, token_usage> usage;
  for (const wire::organisation_use& entry : digest.organisations()) {
    token_usage& sum = usage[entry.organisation()];
    sum = {static_cast<double>(entry.asked_tokens()), static_cast<double>(entry.served_tokens())};
    if (own == nullptr) {
      continue;
    }
    auto own_usage = own->organisations.find(entry.organisation());
    if (own_usage != own->organisations.end()) {
      sum.asked = std::max(0.0, sum.asked - own_usage->second.asked);
      sum.served = std::max(0.0, sum.served - own_usage->second.served);
    }
  }
  return usage;
}

void drop_domain_rows(router_state& router, instant now) {
  std::vector<router_address> rows;
  for (const std::pair<const router_address, reported_targets>& row : router.loads.peer_reports) {
    if (row.first.value.starts_with(domain_row_prefix)) {
      rows.push_back(row.first);
    }
  }
  for (const router_address& row : rows) {
    drop_load_row(router, row, now);
  }
}

void apply_fleet_loads(router_state& router, const wire::digest& digest, instant now) {
  std::unordered_map<std::uint32_t, double> prefilled;
  const sent_report* own = own_report_in(router, digest, prefilled);
  drop_domain_rows(router, now);
  apply_load_row(router, fleet_row, loads_of_others(digest, own, prefilled),
                 usage_of_others(digest, own), now);
  router.digests.view_at = now - milliseconds{digest.age_ms()};
}

void apply_domain_loads(router_state& router, const wire::digest& digest, instant now) {
  drop_load_row(router, fleet_row, now);
  for (const wire::target_use& usage : digest.targets()) {
    add_prefills(router.digests.foreign_prefills, usage.target(), usage);
  }
  apply_load_row(router, domain_row(failure_domain_name{digest.domain()}),
                 {digest.targets().begin(), digest.targets().end()},
                 usage_of_others(digest, nullptr), now);
  router.digests.foreign_view_at = now - milliseconds{digest.age_ms()};
  router.digests.view_at = router.digests.foreign_view_at;
}

void apply_members(router_state& router, const router_identity& from, const wire::digest& digest,
                   instant now) {
  std::vector<listed_router> listed;
  for (const wire::member& member : digest.members()) {
    if (member.domain() >= static_cast<std::uint32_t>(digest.domains_size())) {
      continue;  // malformed
    }
    listed.push_back({{router_address{member.address()}, member.incarnation()},
                      failure_domain_name{digest.domains(static_cast<int>(member.domain()))},
                      (member.flags() & leaving_flag) != 0,
                      (member.flags() & overloaded_flag) != 0,
                      (member.flags() & store_unavailable_flag) != 0,
                      static_cast<int>(member.processor_percent())});
  }
  const std::size_t joined =
      on_member_list(router.membership, from.address, failure_domain_name{digest.domain()},
                     digest.of_domain(), listed, now);
  refresh_peer_counts(router.membership, now);
  if (joined > 0) {
    log_line(log_part::mesh, log_level::info,
             "Routers listed by a delegate. delegate=" + from.address.value + " new=" +
                 std::to_string(joined) + " live=" + std::to_string(router.membership.counts.live));
  }
}

}  // namespace

void record_sent_report(router_state& router, const wire::gossip& report) {
  sent_report sent;
  sent.round = router.membership.round;
  for (const wire::target_use& usage : report.targets()) {
    sent.targets[usage.target()] = {{static_cast<int>(usage.running()),
                                     static_cast<double>(usage.unread_tokens()),
                                     static_cast<double>(usage.memory_tokens()),
                                     {}},
                                    static_cast<double>(usage.tokens_read())};
  }
  for (const wire::organisation_use& usage : report.organisations()) {
    sent.organisations[usage.organisation()] = {static_cast<double>(usage.asked_tokens()),
                                                static_cast<double>(usage.served_tokens())};
  }
  router.digests.sent_reports.push_back(std::move(sent));
  if (router.digests.sent_reports.size() > max_sent_reports) {
    router.digests.sent_reports.pop_front();
  }
}

void add_prefills(prefill_sums& sums, std::uint32_t target, const wire::target_use& usage) {
  if (usage.tokens_read() == 0 && usage.read_prefixes_size() == 0) {
    return;
  }
  prefill_sum& sum = sums[target];
  sum.tokens += usage.tokens_read();
  sum.prefixes.insert(usage.read_prefixes().begin(), usage.read_prefixes().end());
}

void send_digests(router_state& router, instant now) {
  const exchange_plan& plan = router.digests.plan;
  if (!plan.newcomers.empty()) {
    wire::peer_message message = make_digest(router, false);
    std::vector<listed_router> list = member_list(router.membership, false, now);
    list.push_back(listed_self(router));
    add_members(list, *message.mutable_digest());
    send_to_peers(*router.peer_mesh, plan.newcomers, message);
  }
  if (!plan.subscribers.empty()) {
    wire::peer_message message = make_digest(router, false);
    add_members_if_due(router, router.digests.fleet_list, now, *message.mutable_digest());
    add_loads(router, now, *message.mutable_digest());
    send_to_peers(*router.peer_mesh, plan.subscribers, message);
  }
  if (!plan.other_domains.empty()) {
    wire::peer_message message = make_digest(router, true);
    add_members_if_due(router, router.digests.domain_list, now, *message.mutable_digest());
    add_loads(router, now, *message.mutable_digest());
    send_to_peers(*router.peer_mesh, plan.other_domains, message);
  }
  router.digests.domain_prefills.clear();
  router.digests.foreign_prefills.clear();
}

void on_digest(router_state& router, const router_identity& from, const wire::digest& digest) {
  const instant now = current_time();
  on_digest_received(router.membership, from.address, digest.of_domain(), now);
  if (digest.has_members()) {
    apply_members(router, from, digest, now);
  }
  const bool relies_on_sender = from.address == router.membership.primary;
  if (digest.has_loads()) {
    if (!digest.of_domain() && relies_on_sender) {
      apply_fleet_loads(router, digest, now);
    } else if (digest.of_domain() && router.membership.primary.value.empty() &&
               digest.domain() != router.settings.domain.value) {
      apply_domain_loads(router, digest, now);
    }
    apply_crash_reports(router, digest, now);
    apply_statements(router, from.address, digest, now);
  }
  if (relies_on_sender && !router.store_client.reading &&
      digest.store_disturbed() != router.store.unavailable) {
    if (digest.store_disturbed()) {
      platform::record_store_failure(router.store, now, now);
    } else {
      platform::record_store_success(router.store, now);
    }
  }
  note_heard_revision(router, digest);
  if (relies_on_sender && !digest.of_domain()) {
    router.view.delegate_confirmed_at = now - milliseconds{digest.confirmed_age_ms()};
  }
  request_items_if_behind(router, from.address,
                          {{digest.store_epoch(), digest.operator_revision()},
                           {digest.store_epoch(), digest.target_revision()}},
                          now);
  apply_settled_removals(router, {digest.store_epoch(), digest.settled_revision()}, now);
}

}  // namespace peridot
