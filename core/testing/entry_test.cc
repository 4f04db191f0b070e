#include "core/entry.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

#include "core/entry_internal.h"

namespace peridot {

// Until membership is merged.
std::optional<router_address> known_owner(const membership_table& table, const shard_key& shard,
                                          const std::vector<shard_key>& own_shards) {
  if (std::count(own_shards.begin(), own_shards.end(), shard) > 0) {
    return table.self.address;
  }
  for (const std::pair<const router_address, member>& peer : table.members) {
    if (std::count(peer.second.owned.begin(), peer.second.owned.end(), shard) > 0) {
      return peer.first;
    }
  }
  return std::nullopt;
}

namespace {

using std::chrono::milliseconds;

const instant start = instant{} + std::chrono::hours{1};
const router_address self_address{"127.0.0.1:7400"};
const router_address owner_address{"127.0.0.1:7401"};
const organisation_name guides{"guides"};
const organisation_name schools{"schools"};
const pool_name pool{"explain"};

published_config make_config() {
  published_config config;
  config.version = 3;
  config.organisations = {{guides, 1, 256}, {schools, 1, 256}};
  profile_config ask;
  ask.name = profile_name{"ask"};
  ask.pool = pool;
  profile_config reserve = ask;
  reserve.name = profile_name{"reserve"};
  reserve.repeatable = false;
  config.profiles = {ask, reserve};
  for (const char* name : {"engine-1", "engine-2", "engine-3"}) {
    target_config target;
    target.name = target_name{name};
    target.pool = pool;
    config.targets.push_back(target);
  }
  config.targets[2].drained = true;
  return config;
}

// One entry router and the owner of all shards, which is played by the test.
struct bench {
  published_config config = make_config();
  membership_table members;
  std::vector<shard_key> own_shards;
  entry_table table;
  outbox out;
  instant now = start;
  router_identity owner{owner_address, 77};
  std::uint64_t next_grant = 1;

  bench() {
    members.self = router_identity{self_address, 5};
    member peer;
    peer.identity = owner;
    peer.state = member_state::alive;
    peer.last_heard = start;
    for (std::uint32_t index = 0; index < config.fleet.shards_per_pool; ++index) {
      peer.owned.push_back(shard_key{pool, index});
    }
    members.members[owner_address] = peer;
  }
};

entry_context context_of(const bench& b) {
  return entry_context{b.config, b.members, b.own_shards};
}

submit_result submit_one(bench& b, const organisation_name& organisation, const char* profile,
                         std::uint64_t fingerprint = 0) {
  new_request request;
  request.organisation = organisation;
  request.profile = profile_name{profile};
  request.fingerprint = fingerprint != 0 ? fingerprint : 1'000'000 + b.table.next_id;
  const submit_result result = submit(b.table, request, context_of(b), b.now);
  send_changed_demands(b.table, context_of(b), b.now, b.out);
  return result;
}

wire::grant make_grant(bench& b, const organisation_name& organisation, bool solo = false,
                       const char* target = "engine-1") {
  wire::grant grant;
  grant.set_grant_id(b.next_grant++);
  *grant.mutable_shard() =
      to_wire(shard_of(pool, target_name{target}, b.config.fleet.shards_per_pool));
  grant.set_target(target);
  grant.set_organisation(organisation.value);
  grant.set_traffic_class(wire::class_standard);
  grant.set_solo(solo);
  grant.set_demand_sent_at_us(to_wire(b.now));
  grant.set_valid_for_us(400'000);
  grant.set_config_version(b.config.version);
  grant.set_estimated_cost(100);
  return grant;
}

std::optional<dispatch> deliver(bench& b, const wire::grant& grant) {
  return on_grant(b.table, b.owner, grant, context_of(b), b.now, b.out);
}

decision finish_run(bench& b, std::uint64_t request, const target_result& result) {
  return on_target_done(b.table, request, result, context_of(b), b.now, b.out);
}

decision finish_as(bench& b, std::uint64_t request, wire::finish_result how) {
  target_result result;
  result.result = how;
  result.cost = 50;
  return finish_run(b, request, result);
}

// Ends of grants that the owner was told, newest last.
std::vector<wire::finish_result> finishes(const outbox& out) {
  std::vector<wire::finish_result> result;
  for (const outgoing_message& message : out) {
    if (message.message.has_finish()) {
      result.push_back(message.message.finish().result());
    }
  }
  return result;
}

std::vector<wire::demand> demands_to(const outbox& out, const router_address& to) {
  std::vector<wire::demand> result;
  for (const outgoing_message& message : out) {
    if (message.message.has_demand() && message.to == to) {
      result.push_back(message.message.demand());
    }
  }
  return result;
}

TEST_CASE("a request is queued, granted and answered") {
  bench b;
  const submit_result queued = submit_one(b, guides, "ask");
  REQUIRE(queued.accepted);
  const std::vector<wire::demand> told = demands_to(b.out, owner_address);
  REQUIRE(told.size() == 1);
  REQUIRE(told[0].lines_size() == 1);
  CHECK(told[0].lines(0).queued() == 1);
  CHECK(told[0].lines(0).estimated_cost() == 100);
  const wire::grant grant = make_grant(b, guides);

  SUBCASE("the grant starts it once, also when its message comes twice") {
    const std::optional<dispatch> run = deliver(b, grant);
    REQUIRE(run);
    CHECK(run->request == queued.id);
    submit_one(b, guides, "ask");
    CHECK_FALSE(deliver(b, grant));
    CHECK(finishes(b.out).empty());
    CHECK(finish_as(b, queued.id, wire::finish_ok).what == decision::kind::answered);
    CHECK_FALSE(deliver(b, grant));
    CHECK(finishes(b.out) == std::vector{wire::finish_ok});

    SUBCASE("long after it has run, a copy is returned and not used") {
      b.now += milliseconds{500};
      entry_tick(b.table, context_of(b), b.now, b.out);
      CHECK_FALSE(deliver(b, grant));
      CHECK(finishes(b.out).back() == wire::finish_returned);
    }
    SUBCASE("a doubled report changes nothing") {
      CHECK(finish_as(b, queued.id, wire::finish_lost).what == decision::kind::none);
    }
    SUBCASE("its cost is the estimate of the next one") {
      b.now += milliseconds{5};
      submit_one(b, schools, "ask");
      CHECK(submit_one(b, guides, "ask").accepted);
      CHECK(b.table.requests.rbegin()->second.estimated == 50);
    }
  }

  SUBCASE("a copy that comes while a long run goes on is ignored") {
    REQUIRE(deliver(b, grant));
    b.now += std::chrono::seconds{30};
    CHECK_FALSE(deliver(b, grant));
    CHECK(finishes(b.out).empty());
  }

  SUBCASE("grants that may not be used are returned") {
    wire::grant bad = grant;
    SUBCASE("too late, by a pause of this router") {
      b.now += milliseconds{400};
    }
    SUBCASE("of an older configuration") {
      bad.set_config_version(2);
    }
    SUBCASE("for a withdrawn target") {
      bad = make_grant(b, guides, false, "engine-3");
    }
    SUBCASE("for an unknown target") {
      bad.set_target("engine-9");
    }
    SUBCASE("by the owner of another shard") {
      bad.mutable_shard()->set_index(99);
    }
    SUBCASE("for solo requests") {
      bad.set_solo(true);
    }
    SUBCASE("for an organisation without requests") {
      bad.set_organisation("schools");
    }
    SUBCASE("echoing a demand of an earlier self") {
      bad.set_demand_sent_at_us(to_wire(start) - 1);
    }
    SUBCASE("whose request has run out of time") {
      b.now += milliseconds{9'900};
      bad = make_grant(b, guides);
      b.now += milliseconds{100};
    }
    CHECK_FALSE(deliver(b, bad));
    CHECK(finishes(b.out) == std::vector{wire::finish_returned});
  }

  SUBCASE("a grant from ahead of the own clock is dropped") {
    wire::grant ahead = grant;
    ahead.set_demand_sent_at_us(to_wire(b.now) + 1);
    CHECK_FALSE(deliver(b, ahead));
    CHECK(finishes(b.out).empty());
  }

  SUBCASE("of two grants the first wins, and the second owner learns that none is queued") {
    REQUIRE(deliver(b, grant));
    b.now += milliseconds{3};
    const router_identity other{router_address{"127.0.0.1:7409"}, 8};
    CHECK_FALSE(on_grant(b.table, other, make_grant(b, guides), context_of(b), b.now, b.out));
    CHECK(finishes(b.out) == std::vector{wire::finish_returned});
    send_changed_demands(b.table, context_of(b), b.now, b.out);
    CHECK(demands_to(b.out, other.address).back().lines_size() == 0);
    CHECK(demands_to(b.out, owner_address).back().lines_size() == 0);
  }

  SUBCASE("its caller leaves while it is queued: it never runs, and owners are told") {
    b.now += milliseconds{3};
    CHECK_FALSE(cancel(b.table, queued.id, 0, context_of(b), b.now, b.out));
    CHECK_FALSE(deliver(b, grant));
    send_changed_demands(b.table, context_of(b), b.now, b.out);
    CHECK(demands_to(b.out, owner_address).back().lines_size() == 0);
  }

  SUBCASE("its caller leaves while it runs: the owner is told what ran") {
    REQUIRE(deliver(b, grant));
    CHECK(cancel(b.table, queued.id, 30, context_of(b), b.now, b.out));
    CHECK(finishes(b.out) == std::vector{wire::finish_cancelled});
    CHECK(finish_as(b, queued.id, wire::finish_ok).what == decision::kind::none);
  }

  SUBCASE("nobody grants: it is refused at its deadline, and it is true that it did not run") {
    b.now += std::chrono::seconds{10};
    const std::vector<decision> decisions = entry_tick(b.table, context_of(b), b.now, b.out);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].how == outcome::not_run);
    CHECK(decisions[0].why == refusal::deadline);
  }
  check_entry_table(b.table);
}

}  // namespace
}  // namespace peridot
