#include "core/testing/lease_fleet.h"

namespace peridot::testing {
namespace {

using std::chrono::milliseconds;

constexpr true_time step_length{5'000};
constexpr true_time tick_length{20'000};

bool chance(lease_fleet& fleet, double probability) {
  return std::uniform_real_distribution<double>{0, 1}(fleet.random) < probability;
}

std::uint64_t pick(lease_fleet& fleet, std::uint64_t below) {
  return fleet.random() % below;
}

true_time between(lease_fleet& fleet, milliseconds low, milliseconds high) {
  const true_time span = high - low;
  return true_time{low} + true_time{static_cast<std::int64_t>(
                              pick(fleet, static_cast<std::uint64_t>(span.count())))};
}

true_time delay(lease_fleet& fleet) {
  const milliseconds slowest = std::chrono::duration_cast<milliseconds>(fleet.slowest);
  return chance(fleet, fleet.slow) ? between(fleet, milliseconds{20}, slowest)
                                   : between(fleet, milliseconds{1}, milliseconds{6});
}

void send(lease_fleet& fleet, const process& who, outbox& out) {
  for (outgoing_message& message : out) {
    fleet.bytes_sent += message.message.ByteSizeLong();
    ++fleet.messages_sent;
    const int copies = chance(fleet, fleet.doubled) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (!chance(fleet, fleet.loss)) {
        fleet.in_flight.emplace(fleet.now + delay(fleet), packet{who.self, message});
      }
    }
  }
  out.clear();
}

lease_context context_of(const lease_fleet& fleet, const process& who) {
  lease_context context{who.members, who.list.get(), fleet.fleet, who.config_version, who.stopping};
  if (fleet.numbers_from_clock) {
    context.fencing_floor = static_cast<std::uint64_t>(fleet.now.count()) / 1'000;
  }
  return context;
}

void deliver(lease_fleet& fleet, process& who, packet& arrived) {
  const instant now = clock_of(fleet, who);
  const lease_context context = context_of(fleet, who);
  wire::peer_message& message = arrived.content.message;
  outbox out;
  if (message.has_heartbeat()) {
    on_heartbeat(who.members, arrived.from, message.heartbeat(), now);
  } else if (message.has_lease_request()) {
    on_lease_request(who.votes, context, arrived.from, message.lease_request(), now, out);
  } else if (message.has_lease_reply()) {
    if (fleet.change == mutation::counted_from_reply) {
      message.mutable_lease_reply()->set_sent_at_us(to_wire(now));
    }
    on_lease_reply(who.claims, context, arrived.from, message.lease_reply(), now);
  }
  send(fleet, who, out);
}

void deliver_due(lease_fleet& fleet) {
  while (!fleet.in_flight.empty() && fleet.in_flight.begin()->first <= fleet.now) {
    packet arrived = std::move(fleet.in_flight.begin()->second);
    fleet.in_flight.erase(fleet.in_flight.begin());
    int sender_side = 0;
    process* to = nullptr;
    for (process& candidate : fleet.processes) {
      sender_side = candidate.self.address == arrived.from.address ? candidate.side : sender_side;
      to = candidate.self.address == arrived.content.to ? &candidate : to;
    }
    const std::uint64_t meant_for = arrived.content.to_incarnation;
    if (to == nullptr || to->side != sender_side ||
        (meant_for != 0 && meant_for != to->self.incarnation)) {
      continue;
    }
    if (to->paused_until > fleet.now) {
      fleet.in_flight.emplace(to->paused_until + true_time{pick(fleet, 40'000)},
                              std::move(arrived));
      continue;
    }
    deliver(fleet, *to, arrived);
  }
}

void tick(lease_fleet& fleet, process& who) {
  const instant now = clock_of(fleet, who);
  const lease_context context = context_of(fleet, who);
  outbox out;
  local_status local;
  local.config_version = who.config_version;
  local.list_version = who.list ? who.list->version : 0;
  local.owned = held_shards(who.claims, context, now);
  membership_tick(who.members, fleet.fleet, who.list.get(), local, now, out);
  for (const lease_event& event :
       lease_tick(who.claims, who.votes, fleet.shards, context, now, out)) {
    if (event.what == lease_event::kind::acquired) {
      const std::uint64_t number = who.claims.claims.at(event.shard).fencing;
      std::uint64_t& newest = fleet.newest_fencing[event.shard];
      fleet.stale_numbers += number <= newest ? 1 : 0;
      newest = std::max(newest, number);
    }
  }
  send(fleet, who, out);
}

void inject_fault(lease_fleet& fleet) {
  process& victim = fleet.processes[pick(fleet, fleet.processes.size())];
  switch (pick(fleet, 8)) {
    case 0:
      victim.paused_until = fleet.now + between(fleet, milliseconds{100}, milliseconds{5'000});
      break;
    case 1:
      restart(fleet, victim);
      break;
    case 2:
      for (process& who : fleet.processes) {
        who.side = chance(fleet, 0.3) ? 1 : 0;
      }
      break;
    case 3:
      for (process& who : fleet.processes) {
        who.side = 0;
      }
      break;
    case 4:
      fleet.loss = chance(fleet, 0.5) ? 0.0 : 0.3;
      break;
    case 5:
      fleet.slow = chance(fleet, 0.5) ? 0.03 : 0.7;
      break;
    case 6:
      for (process& who : fleet.processes) {
        if (chance(fleet, 0.7)) {
          restart(fleet, who);
        }
      }
      break;
    default:
      give_list(fleet, victim, static_cast<std::uint64_t>(fleet.now.count()),
                {pick(fleet, fleet.processes.size())});
  }
}

}  // namespace

lease_fleet make_fleet(std::size_t routers, std::size_t shards, std::uint64_t seed,
                       mutation change) {
  lease_fleet fleet;
  fleet.random.seed(seed);
  fleet.change = change;
  fleet.fleet.suspect_after = milliseconds{700};  // eager successors
  for (std::size_t i = 0; i < shards; ++i) {
    fleet.shards.push_back({pool_name{"explain"}, static_cast<std::uint32_t>(i)});
  }
  for (std::size_t i = 0; i < routers; ++i) {
    fleet.seeds.push_back({"10.0.0." + std::to_string(i + 1) + ":7400"});
  }
  const double drift = change == mutation::drift_above_margin ? 0.1 : 0.01;
  for (const router_address& address : fleet.seeds) {
    process who;
    who.self.address = address;
    who.rate = chance(fleet, 0.5) ? 1 - drift : 1 + drift;
    who.offset = between(fleet, milliseconds{1'000'000}, milliseconds{9'000'000});
    who.next_tick = between(fleet, milliseconds{0}, milliseconds{20});
    restart(fleet, who);
    fleet.processes.push_back(std::move(who));
  }
  return fleet;
}

instant clock_of(const lease_fleet& fleet, const process& who) {
  const double elapsed = static_cast<double>(fleet.now.count()) * who.rate;
  return instant{who.offset + true_time{static_cast<std::int64_t>(elapsed)}};
}

void restart(lease_fleet& fleet, process& who) {
  who.self.incarnation = fleet.next_incarnation++;
  who.stopping = false;
  who.paused_until = true_time{0};
  who.list = nullptr;
  who.claims = claim_table{};
  who.votes = voter_table{};
  who.votes.started = clock_of(fleet, who);
  if (fleet.change == mutation::no_abstention) {
    who.votes.started -= std::chrono::hours{1};
  }
  who.members = make_membership(who.self, domain_name{"north"}, "10.0.0.1:8080", fleet.seeds,
                                clock_of(fleet, who));
}

void give_list(lease_fleet& fleet, process& who, std::uint64_t version,
               const std::vector<std::size_t>& left_out) {
  std::shared_ptr<instance_list> list = std::make_shared<instance_list>();
  list->version = version;
  for (std::size_t i = 0; i < fleet.seeds.size(); ++i) {
    if (std::find(left_out.begin(), left_out.end(), i) == left_out.end()) {
      list->routers.push_back(
          {fleet.seeds[i], "10.0.0.1:8080", domain_name{"north"}, instance_state::live});
    }
  }
  who.list = list;
}

void run(lease_fleet& fleet, true_time length) {
  const true_time end = fleet.now + length;
  while (fleet.now < end) {
    fleet.now += step_length;
    deliver_due(fleet);
    for (process& who : fleet.processes) {
      if (who.paused_until <= fleet.now && who.next_tick <= fleet.now) {
        who.next_tick = fleet.now + tick_length;
        tick(fleet, who);
      }
    }
    std::map<shard_key, std::size_t> held;
    for (const process& who : fleet.processes) {
      for (const shard_key& shard :
           held_shards(who.claims, context_of(fleet, who), clock_of(fleet, who))) {
        ++held[shard];
      }
    }
    for (const shard_key& shard : fleet.shards) {
      const std::size_t count = held[shard];
      fleet.double_holds += count > 1 ? 1 : 0;
      fleet.unheld[shard] += count == 0 ? step_length : true_time{0};
    }
  }
}

void run_faults(lease_fleet& fleet, true_time length) {
  const true_time end = fleet.now + length;
  fleet.doubled = 0.1;
  while (fleet.now < end) {
    inject_fault(fleet);
    run(fleet, between(fleet, milliseconds{20}, milliseconds{800}));
  }
  fleet.slow = 0;
  fleet.doubled = 0;
  fleet.loss = 0;
  for (process& who : fleet.processes) {
    who.side = 0;
    who.paused_until = true_time{0};
    give_list(fleet, who, static_cast<std::uint64_t>(end.count()) * 2, {});
  }
}

void run_list_changes(lease_fleet& fleet, true_time length, true_time lag) {
  const true_time end = fleet.now + length;
  const milliseconds longest = std::chrono::duration_cast<milliseconds>(lag);
  std::vector<true_time> adopts(fleet.processes.size(), true_time{-1});
  std::vector<std::size_t> left_out;
  std::uint64_t version = 1;
  true_time next_list = fleet.now;
  while (fleet.now < end) {
    if (fleet.now >= next_list) {
      ++version;
      next_list = fleet.now + lag + between(fleet, milliseconds{0}, milliseconds{4'000});
      left_out.clear();
      for (std::size_t i = 0; i < fleet.processes.size() / 2; ++i) {
        left_out.push_back(pick(fleet, fleet.processes.size()));
      }
      for (true_time& at : adopts) {
        at = fleet.now + between(fleet, milliseconds{0}, longest);
      }
    }
    for (std::size_t i = 0; i < adopts.size(); ++i) {
      process& who = fleet.processes[i];
      if (fleet.now >= adopts[i] && who.list->version < version) {
        give_list(fleet, who, version, left_out);
      }
      who.side = chance(fleet, 0.95) ? who.side : static_cast<int>(pick(fleet, 4)) / 3;
    }
    run(fleet, milliseconds{100});
  }
}

std::size_t holders(const lease_fleet& fleet, const shard_key& shard) {
  std::size_t count = 0;
  for (const process& who : fleet.processes) {
    count += holds(who.claims, context_of(fleet, who), shard, clock_of(fleet, who)) ? 1 : 0;
  }
  return count;
}

bool all_held_once(const lease_fleet& fleet) {
  for (const shard_key& shard : fleet.shards) {
    if (holders(fleet, shard) != 1) {
      return false;
    }
  }
  return true;
}

}  // namespace peridot::testing
