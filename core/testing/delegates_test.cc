// Delegates, in fleets of up to 640 routers under virtual time. The messages between the routers
// carry member lists, and the count of the routers whose load they include.
#include "core/fleet/delegates.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

using namespace peridot;

namespace {

constexpr instant start{std::chrono::seconds{1'000}};
constexpr milliseconds round_interval{200};

struct simulated_router {
  membership_table members;
  bool running = true;
  exchange_plan plan;
  // Routers whose load this router knows: from reports, and as of the newest digests.
  std::map<router_address, instant> reported;
  std::map<failure_domain_name, std::pair<instant, std::set<router_address>>> known_by_domain;
  std::set<router_address> known_fleet;
  instant fleet_digest_at{};
};

struct simulated_fleet {
  std::vector<simulated_router> routers;
  std::map<router_address, std::size_t> index_by_address;
  std::vector<failure_domain_name> domains;
  std::set<std::pair<failure_domain_name, failure_domain_name>> cuts;  // one way each
  std::set<router_address> cut_off;                                    // from all others
  instant now = start;
  std::minstd_rand random{1};
  std::size_t messages = 0;  // of the last round
};

router_address address_of(std::size_t index) {
  return router_address{"10." + std::to_string(index / 250) + ".0." + std::to_string(index % 250) +
                        ":7400"};
}

void restart(simulated_fleet& fleet, std::size_t index) {
  simulated_router& router = fleet.routers[index];
  const std::uint64_t incarnation = router.members.self.incarnation + 1;
  router = {};
  router.members =
      make_membership({address_of(index), incarnation},
                      {address_of(0), address_of(1), address_of(2)}, round_interval, fleet.now);
  router.members.domain = fleet.domains[index % fleet.domains.size()];
  router.members.processor_percent = index % 3 == 0 ? 50 : 12;
}

simulated_fleet make_fleet(std::size_t size, std::size_t domain_count) {
  simulated_fleet fleet;
  for (std::size_t domain = 0; domain < domain_count; ++domain) {
    fleet.domains.push_back(failure_domain_name{std::string(1, static_cast<char>('a' + domain))});
  }
  fleet.routers.resize(size);
  for (std::size_t index = 0; index < size; ++index) {
    fleet.index_by_address[address_of(index)] = index;
    restart(fleet, index);
  }
  return fleet;
}

simulated_router* find(simulated_fleet& fleet, const router_address& address) {
  auto found = fleet.index_by_address.find(address);
  if (found != fleet.index_by_address.end()) {
    return &fleet.routers[found->second];
  }
  return nullptr;
}

// TCP needs both ways, so a cut of one way stops the messages of both.
bool can_reach(const simulated_fleet& fleet, const simulated_router& from,
               const simulated_router& to) {
  return from.running && to.running && !fleet.cut_off.contains(from.members.self.address) &&
         !fleet.cut_off.contains(to.members.self.address) &&
         !fleet.cuts.contains({from.members.domain, to.members.domain}) &&
         !fleet.cuts.contains({to.members.domain, from.members.domain});
}

void deliver_report(simulated_fleet& fleet, simulated_router& from, const router_address& to) {
  simulated_router* receiver = find(fleet, to);
  ++fleet.messages;
  if (receiver == nullptr || !can_reach(fleet, from, *receiver)) {
    return;
  }
  const std::vector<router_address> listed = from.members.uses_delegates
                                                 ? std::vector<router_address>{}
                                                 : live_peers(from.members, fleet.now);
  on_peer_gossip(receiver->members, from.members.self, listed, false, from.members.domain,
                 fleet.now);
  receiver->members.peers.at(from.members.self.address).processor_percent =
      from.members.processor_percent;
  on_report_received(receiver->members, from.members.self.address,
                     {from.members.round, to == from.members.primary, !from.members.uses_delegates},
                     fleet.now);
  receiver->reported[from.members.self.address] = fleet.now;
}

// The routers whose load the sender's digest includes.
std::set<router_address> included(const simulated_fleet& fleet, const simulated_router& from,
                                  bool of_domain) {
  std::set<router_address> result{from.members.self.address};
  for (const std::pair<const router_address, instant>& entry : from.reported) {
    if (fleet.now - entry.second <= min_report_ttl) {
      result.insert(entry.first);
    }
  }
  if (!of_domain) {
    for (const auto& domain : from.known_by_domain) {
      if (fleet.now - domain.second.first <= min_report_ttl) {
        result.insert(domain.second.second.begin(), domain.second.second.end());
      }
    }
  }
  return result;
}

void deliver_digest(simulated_fleet& fleet, simulated_router& from, const router_address& to,
                    bool of_domain, bool has_loads) {
  simulated_router* receiver = find(fleet, to);
  ++fleet.messages;
  if (receiver == nullptr || !can_reach(fleet, from, *receiver)) {
    return;
  }
  on_digest_received(receiver->members, from.members.self.address, of_domain, fleet.now);
  std::vector<listed_router> list = member_list(from.members, of_domain, fleet.now);
  list.push_back({from.members.self, from.members.domain, false, false, false,
                  from.members.processor_percent});
  on_member_list(receiver->members, from.members.self.address, from.members.domain, of_domain, list,
                 fleet.now);
  if (!has_loads) {
    return;
  }
  if (of_domain && receiver->members.primary.value.empty()) {
    receiver->known_by_domain[from.members.domain] = {fleet.now, included(fleet, from, true)};
  } else if (!of_domain && receiver->members.primary == from.members.self.address) {
    receiver->known_fleet = included(fleet, from, false);
    receiver->fleet_digest_at = fleet.now;
  }
}

void send_direct(simulated_fleet& fleet, simulated_router& router) {
  for (const router_address& peer : next_gossip_round(router.members, fleet.now).peers) {
    deliver_report(fleet, router, peer);
  }
}

void send_delegated(simulated_fleet& fleet, simulated_router& router) {
  router.plan = plan_exchange(router.members, fleet.random, fleet.now);
  for (const std::vector<router_address>* receivers :
       {&router.plan.reports_to, &router.plan.silent}) {
    for (const router_address& peer : *receivers) {
      deliver_report(fleet, router, peer);
    }
  }
  for (const router_address& peer : router.plan.newcomers) {
    deliver_digest(fleet, router, peer, false, false);
  }
  for (const router_address& peer : router.plan.subscribers) {
    deliver_digest(fleet, router, peer, false, true);
  }
  for (const router_address& peer : router.plan.other_domains) {
    deliver_digest(fleet, router, peer, true, true);
  }
}

void run_rounds(simulated_fleet& fleet, int rounds) {
  for (int round = 0; round < rounds; ++round) {
    fleet.now += round_interval;
    fleet.messages = 0;
    for (simulated_router& router : fleet.routers) {
      if (!router.running) {
        continue;
      }
      expire_peers(router.members, fleet.now);
      refresh_peer_counts(router.members, fleet.now);
      update_exchange_mode(router.members);
      if (router.members.uses_delegates) {
        send_delegated(fleet, router);
      } else {
        send_direct(fleet, router);
      }
    }
  }
}

// The running routers whose load the router knows, by whatever way.
std::size_t known_loads(const simulated_fleet& fleet, const simulated_router& router) {
  const bool is_member = !router.members.primary.value.empty();
  if (is_member && fleet.now - router.fleet_digest_at > min_report_ttl) {
    return 1;
  }
  std::set<router_address> known = is_member ? router.known_fleet : included(fleet, router, false);
  known.insert(router.members.self.address);
  return known.size();
}

std::size_t running_count(const simulated_fleet& fleet) {
  return static_cast<std::size_t>(
      std::count_if(fleet.routers.begin(), fleet.routers.end(),
                    [](const simulated_router& router) { return router.running; }));
}

// True if each running router knows the load of all others and takes them for alive.
bool all_know_all(const simulated_fleet& fleet) {
  const std::size_t running = running_count(fleet);
  return std::all_of(
      fleet.routers.begin(), fleet.routers.end(), [&](const simulated_router& router) {
        return !router.running || (live_peer_count(router.members, fleet.now) + 1 == running &&
                                   known_loads(fleet, router) >= running);
      });
}

std::size_t reader_count(const simulated_fleet& fleet) {
  return static_cast<std::size_t>(std::count_if(
      fleet.routers.begin(), fleet.routers.end(), [&fleet](const simulated_router& router) {
        return router.running && reads_store(router.members, fleet.now);
      }));
}

void kill(simulated_fleet& fleet, const router_address& address) {
  find(fleet, address)->running = false;
}

constexpr int rounds_to_converge = 15;  // 3 s from the start of all routers at once

}  // namespace

TEST_CASE("routers that start all at once know each other's load within 3 s") {
  for (const std::size_t size : {std::size_t{17}, std::size_t{70}, std::size_t{295}}) {
    CAPTURE(size);
    simulated_fleet fleet = make_fleet(size, 5);
    run_rounds(fleet, rounds_to_converge);
    CHECK(all_know_all(fleet));
  }
}

TEST_CASE("the messages of a router do not grow with the fleet") {
  std::map<std::size_t, double> messages_per_router;
  for (const std::size_t size : {std::size_t{96}, std::size_t{295}, std::size_t{640}}) {
    simulated_fleet fleet = make_fleet(size, 6);
    run_rounds(fleet, rounds_to_converge);
    REQUIRE(all_know_all(fleet));
    messages_per_router[size] = static_cast<double>(fleet.messages) / static_cast<double>(size);
    // Two reports, one digest to each member; delegates send a few more.
    CHECK(messages_per_router[size] <= 4);
    CHECK(reader_count(fleet) == fleet.domains.size() * store_readers_per_domain);
  }
  CHECK(messages_per_router[640] <= messages_per_router[96]);
}

TEST_CASE("a small fleet exchanges reports directly, and all of its routers read the store") {
  simulated_fleet fleet = make_fleet(9, 3);
  run_rounds(fleet, rounds_to_converge);
  CHECK(std::none_of(fleet.routers.begin(), fleet.routers.end(),
                     [](const simulated_router& router) { return router.members.uses_delegates; }));
  CHECK(reader_count(fleet) == 9);
}

TEST_CASE("delegates fail") {
  simulated_fleet fleet = make_fleet(100, 5);
  run_rounds(fleet, rounds_to_converge);
  REQUIRE(all_know_all(fleet));
  const failure_domain_name domain = fleet.domains[1];
  const std::vector<router_address> ranking =
      delegate_ranking(fleet.routers[1].members, domain, fleet.now);
  // The detection of a failure takes min_report_ttl, its announcement some rounds.
  const int rounds_to_notice = 15;
  SUBCASE("the first of a domain is killed: the others know all others' load within a second") {
    kill(fleet, ranking[0]);
    run_rounds(fleet, 5);
    CHECK(std::all_of(fleet.routers.begin(), fleet.routers.end(),
                      [&fleet](const simulated_router& router) {
                        return !router.running || known_loads(fleet, router) >= 99;
                      }));
    run_rounds(fleet, rounds_to_notice);
    CHECK(all_know_all(fleet));
    CHECK(reader_count(fleet) == 10);
    SUBCASE("it restarts with empty state") {
      const std::size_t index =
          static_cast<std::size_t>(find(fleet, ranking[0]) - fleet.routers.data());
      restart(fleet, index);
      run_rounds(fleet, rounds_to_notice);
      CHECK(all_know_all(fleet));
      CHECK(reader_count(fleet) == 10);
    }
  }
  SUBCASE("all that a domain could choose first are killed at once") {
    kill(fleet, ranking[0]);
    kill(fleet, ranking[1]);
    kill(fleet, ranking[2]);
    run_rounds(fleet, 2 * rounds_to_notice);
    CHECK(all_know_all(fleet));
    CHECK(reader_count(fleet) == 10);
  }
  SUBCASE("half of the fleet is killed") {
    for (std::size_t index = 0; index < fleet.routers.size(); index += 2) {
      fleet.routers[index].running = false;
    }
    run_rounds(fleet, 3 * rounds_to_notice);
    CHECK(all_know_all(fleet));
    SUBCASE("and starts again") {
      for (std::size_t index = 0; index < fleet.routers.size(); index += 2) {
        restart(fleet, index);
      }
      run_rounds(fleet, 2 * rounds_to_notice);
      CHECK(all_know_all(fleet));
    }
  }
  SUBCASE("all routers restart at once") {
    for (std::size_t index = 0; index < fleet.routers.size(); ++index) {
      restart(fleet, index);
    }
    run_rounds(fleet, rounds_to_converge);
    CHECK(all_know_all(fleet));
  }
  SUBCASE("the last router alive serves by its own view and reads the store") {
    for (std::size_t index = 0; index < fleet.routers.size(); ++index) {
      fleet.routers[index].running = index == 57;
    }
    run_rounds(fleet, 3 * rounds_to_notice);
    CHECK(live_peer_count(fleet.routers[57].members, fleet.now) == 0);
    CHECK(reads_store(fleet.routers[57].members, fleet.now));
  }
}

TEST_CASE("parts of the network are cut") {
  simulated_fleet fleet = make_fleet(100, 5);
  run_rounds(fleet, rounds_to_converge);
  REQUIRE(all_know_all(fleet));
  const int rounds_of_a_cut = 40;
  SUBCASE("one way between two domains: the three others know all") {
    fleet.cuts.insert({fleet.domains[1], fleet.domains[3]});
    run_rounds(fleet, rounds_of_a_cut);
    for (const simulated_router& router : fleet.routers) {
      const bool at_the_cut =
          router.members.domain == fleet.domains[1] || router.members.domain == fleet.domains[3];
      CHECK(known_loads(fleet, router) == (at_the_cut ? 80 : 100));
    }
    SUBCASE("after the cut, all know all again") {
      fleet.cuts.clear();
      run_rounds(fleet, rounds_of_a_cut);
      CHECK(all_know_all(fleet));
    }
  }
  SUBCASE("a domain is parted from all others: each part knows its own") {
    for (std::size_t other = 1; other < fleet.domains.size(); ++other) {
      fleet.cuts.insert({fleet.domains[0], fleet.domains[other]});
    }
    run_rounds(fleet, rounds_of_a_cut);
    for (const simulated_router& router : fleet.routers) {
      CHECK(known_loads(fleet, router) == (router.members.domain == fleet.domains[0] ? 20 : 80));
    }
    SUBCASE("and comes back") {
      fleet.cuts.clear();
      run_rounds(fleet, rounds_of_a_cut);
      CHECK(all_know_all(fleet));
    }
  }
  SUBCASE("a single router: it reads the store itself, and is found again") {
    const router_address single = fleet.routers[57].members.self.address;
    fleet.cut_off.insert(single);
    run_rounds(fleet, rounds_of_a_cut);
    CHECK(reads_store(fleet.routers[57].members, fleet.now));
    CHECK(known_loads(fleet, fleet.routers[57]) == 1);
    fleet.cut_off.clear();
    run_rounds(fleet, rounds_of_a_cut);
    CHECK(all_know_all(fleet));
  }
}

TEST_CASE("a store that turns its readers away is read by others of the domain") {
  simulated_fleet fleet = make_fleet(100, 5);
  run_rounds(fleet, rounds_to_converge);
  const failure_domain_name domain = fleet.domains[2];
  const std::vector<router_address> ranking =
      delegate_ranking(fleet.routers[2].members, domain, fleet.now);
  for (simulated_router& router : fleet.routers) {
    for (std::size_t rank : {std::size_t{0}, std::size_t{1}}) {
      auto peer = router.members.peers.find(ranking[rank]);
      if (peer != router.members.peers.end()) {
        peer->second.store_unavailable = true;
      }
    }
  }
  SUBCASE("the next two in the ranking read it, and the first two keep trying") {
    for (std::size_t rank = 0; rank < 5; ++rank) {
      CHECK(reads_store(find(fleet, ranking[rank])->members, fleet.now) == (rank < 4));
    }
  }
  SUBCASE("if all are turned away, max_store_readers of the domain try") {
    for (simulated_router& router : fleet.routers) {
      for (std::pair<const router_address, peer_state>& peer : router.members.peers) {
        peer.second.store_unavailable = true;
      }
    }
    CHECK(reader_count(fleet) == 5 * max_store_readers);
  }
}
