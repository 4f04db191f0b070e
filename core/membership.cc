#include "core/membership.h"

#include <algorithm>
#include <set>

#include "core/check.h"

namespace peridot {
namespace {

// A peer that is neither listed nor a seed is forgotten after this many times
// `suspect_after` without a heartbeat.
constexpr int forget_after_suspicions = 10;

bool is_seed(const membership_table& table, const router_address& address) {
  return std::find(table.seeds.begin(), table.seeds.end(), address) != table.seeds.end();
}

bool is_live(const member& row) {
  return row.state == member_state::alive && !row.list_leaving;
}

void set_state(membership_table& table, member& row, member_state state) {
  if (row.state == state) {
    return;
  }
  row.state = state;
  ++table.generation;
}

// Marks who is listed. Rows of peers that left the list stay until forgotten.
void take_list(membership_table& table, const instance_list& list) {
  if (table.has_list && table.list_version == list.version) {
    return;
  }
  table.has_list = true;
  table.list_version = list.version;
  table.next_scan = instant{};
  ++table.generation;
  for (std::pair<const router_address, member>& entry : table.members) {
    entry.second.listed = false;
    entry.second.list_leaving = false;
  }
  for (const listed_router& listed : list.routers) {
    if (listed.address == table.self.address) {
      continue;
    }
    member& row = table.members[listed.address];
    row.identity.address = listed.address;
    row.listed = true;
    row.list_leaving = listed.state == instance_state::leaving;
    if (row.state == member_state::unknown) {
      row.domain = listed.domain;
      row.http_address = listed.http_address;
    }
  }
}

// Marks silent peers gone and forgets those that nothing points to any more.
// Runs only when a peer can have become due since the last run.
void scan_silent(membership_table& table, const fleet_config& fleet, instant now) {
  if (now < table.next_scan) {
    return;
  }
  instant next = now + fleet.suspect_after;
  for (auto it = table.members.begin(); it != table.members.end();) {
    member& row = it->second;
    const bool never_heard = row.identity.incarnation == 0;
    const bool heard = row.state == member_state::alive || row.state == member_state::leaving;
    if (heard && now >= row.last_heard + fleet.suspect_after) {
      set_state(table, row, member_state::gone);
    } else if (heard) {
      next = std::min<instant>(next, row.last_heard + fleet.suspect_after);
    }
    const bool silent = row.state == member_state::gone || row.state == member_state::unknown;
    const bool long_ago = now >= row.last_heard + forget_after_suspicions * fleet.suspect_after;
    if (silent && !row.listed && !is_seed(table, it->first) && (never_heard || long_ago)) {
      it = table.members.erase(it);
      ++table.generation;
    } else {
      ++it;
    }
  }
  table.next_scan = next;
}

wire::heartbeat own_heartbeat(const membership_table& table, const local_status& local,
                              instant now) {
  wire::heartbeat message;
  message.set_domain(table.domain.value);
  message.set_http_address(table.http_address);
  message.set_state(table.leaving ? wire::member_leaving : wire::member_alive);
  message.set_config_version(local.config_version);
  message.set_config_digest(local.config_digest);
  message.set_list_version(local.list_version);
  for (const shard_key& shard : local.owned) {
    *message.add_owned() = to_wire(shard);
  }
  for (const wire::suspect& suspect : local.suspects) {
    *message.add_suspects() = suspect;
  }
  message.set_sent_at_us(to_wire(now));
  message.set_watches_service(should_watch_service(table));
  return message;
}

// This router's clock when it sent the newest heartbeat that the sender had
// seen; the epoch if it had seen none of this run. Proof that the sender ran later.
instant echoed_time(const membership_table& table, const wire::heartbeat& message, instant now) {
  const instant echoed = from_wire(message.echo_sent_at_us());
  const bool of_this_run = message.echo_incarnation() == table.self.incarnation;
  return of_this_run && echoed <= now ? echoed : instant{};
}

// True if the incarnation may speak for the address. Another one than the known
// one must prove that it ran later, so that a late heartbeat of an earlier run
// does not displace the present one; a restarted peer can with its second one.
bool accept_incarnation(member& row, std::uint64_t incarnation, instant echoed) {
  if (row.identity.incarnation == incarnation) {
    return true;
  }
  if (row.identity.incarnation != 0 && echoed <= row.confirmed_until) {
    return false;
  }
  row.identity.incarnation = incarnation;
  row.newest_sent_at_us = 0;
  row.confirmed_until = instant{};
  return true;
}

// Copies what the heartbeat says. Returns true if a choice may change by it.
bool take_heartbeat(member& row, const wire::heartbeat& message) {
  std::vector<shard_key> owned;
  owned.reserve(static_cast<std::size_t>(message.owned_size()));
  for (const wire::shard_id& id : message.owned()) {
    owned.push_back(from_wire(id));
  }
  const bool changed = owned != row.owned || row.config_version != message.config_version() ||
                       (row.list_version == 0) != (message.list_version() == 0) ||
                       row.domain.value != message.domain();
  row.owned = std::move(owned);
  row.domain.value = message.domain();
  row.http_address = message.http_address();
  row.newest_sent_at_us = message.sent_at_us();
  row.config_version = message.config_version();
  row.config_digest = message.config_digest();
  row.list_version = message.list_version();
  row.watches_service = message.watches_service();
  return changed;
}

}  // namespace

membership_table make_membership(const router_identity& self, const domain_name& domain,
                                 const std::string& http_address,
                                 const std::vector<router_address>& seeds, instant now) {
  PERIDOT_CHECK(self.incarnation != 0, "a router needs an incarnation");
  membership_table table;
  table.self = self;
  table.domain = domain;
  table.http_address = http_address;
  table.seeds = seeds;
  table.next_heartbeat = now;
  for (const router_address& seed : seeds) {
    if (seed != self.address) {
      table.members[seed].identity.address = seed;
    }
  }
  return table;
}

void membership_tick(membership_table& table, const fleet_config& fleet, const instance_list* list,
                     const local_status& local, instant now, outbox& out) {
  if (list != nullptr) {
    take_list(table, *list);
  }
  scan_silent(table, fleet, now);
  if (now >= table.next_heartbeat) {
    send_heartbeats(table, fleet, local, now, out);
  }
}

void send_heartbeats(membership_table& table, const fleet_config& fleet, const local_status& local,
                     instant now, outbox& out) {
  const wire::heartbeat common = own_heartbeat(table, local, now);
  for (const router_address& target : heartbeat_targets(table, fleet, local)) {
    const member& row = table.members.at(target);
    outgoing_message next;
    next.to = target;
    *next.message.mutable_heartbeat() = common;
    next.message.mutable_heartbeat()->set_echo_sent_at_us(row.newest_sent_at_us);
    next.message.mutable_heartbeat()->set_echo_incarnation(row.identity.incarnation);
    out.push_back(std::move(next));
  }
  ++table.heartbeat_round;
  table.next_heartbeat = now + fleet.heartbeat_interval;
}

heartbeat_effect on_heartbeat(membership_table& table, const router_identity& from,
                              const wire::heartbeat& message, instant now) {
  if (from.address == table.self.address || from.incarnation == 0) {
    return heartbeat_effect::known;
  }
  member& row = table.members[from.address];
  row.identity.address = from.address;
  const std::uint64_t before = row.identity.incarnation;
  const instant echoed = echoed_time(table, message, now);
  if (!accept_incarnation(row, from.incarnation, echoed)) {
    return heartbeat_effect::known;
  }
  if (message.sent_at_us() <= row.newest_sent_at_us && before == from.incarnation) {
    return heartbeat_effect::known;
  }
  const bool changed = take_heartbeat(row, message);
  row.last_heard = now;
  row.confirmed_until = std::max(row.confirmed_until, echoed);
  const bool leaves = message.state() == wire::member_leaving;
  set_state(table, row, leaves ? member_state::leaving : member_state::alive);
  if (changed || before != from.incarnation) {
    ++table.generation;
  }
  if (before == from.incarnation) {
    return heartbeat_effect::known;
  }
  return before == 0 ? heartbeat_effect::first_contact : heartbeat_effect::restarted;
}

std::vector<router_address> live_routers(const membership_table& table) {
  std::vector<router_address> live;
  for (const std::pair<const router_address, member>& entry : table.members) {
    if (is_live(entry.second)) {
      live.push_back(entry.first);
    }
  }
  if (!table.leaving) {
    live.push_back(table.self.address);
  }
  std::sort(live.begin(), live.end());
  return live;
}

}  // namespace peridot
