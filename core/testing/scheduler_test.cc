#include "core/scheduler.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "core/scheduler_internal.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;

const pool_name pool{"explain"};
const shard_key shard{pool, 0};
const router_identity entry_a{router_address{"127.0.0.1:7401"}, 11};
const router_identity entry_b{router_address{"127.0.0.1:7402"}, 12};
const router_identity other_owner{router_address{"127.0.0.1:7403"}, 13};

target_config target_named(const std::string& name) {
  target_config target;
  target.name = target_name{name};
  target.pool = pool;
  target.warm_limit = 6;
  target.cold_limit = 2;
  target.ramp_calls = 2;
  target.reserved_slots = 0;
  return target;
}

published_config make_config(const std::vector<std::string>& targets) {
  published_config config;
  config.version = 1;
  config.fleet.shards_per_pool = 1;
  for (const std::string& target : targets) {
    config.targets.push_back(target_named(target));
  }
  for (const char* name : {"guides", "bank", "schools"}) {
    organisation_config organisation;
    organisation.name = organisation_name{name};
    config.organisations.push_back(organisation);
  }
  return config;
}

wire::demand_line line(const std::string& organisation, std::uint32_t queued,
                       wire::traffic_class priority = wire::class_standard,
                       std::uint32_t solo = 0) {
  wire::demand_line result;
  result.set_organisation(organisation);
  result.set_traffic_class(priority);
  result.set_queued(queued);
  result.set_estimated_cost(100);
  result.set_solo(solo);
  return result;
}

// One owner with its surroundings under virtual time.
struct owner_fixture {
  published_config config;
  scheduler_table table;
  instant now = instant{} + std::chrono::seconds{1000};
  std::uint64_t entry_clock = 5'000'000;
  outbox out;

  explicit owner_fixture(const std::vector<std::string>& targets) : config(make_config(targets)) {
    add_shard(table, shard, 7, now, context());
  }
  scheduler_context context() const {
    return {.config = config, .list = nullptr};
  }

  void report(const std::string& target, std::uint32_t running, std::uint64_t completed,
              const std::string& boot = "boot-1") {
    on_load_report(table, {target_name{target}, boot, running, 0, completed, now}, now, context());
  }
  // Lets a new owner wait until reports count, and reports every target idle.
  void warm_up(std::uint64_t completed) {
    now += config.fleet.grant_validity + network_slack;
    for (const target_config& target : config.targets) {
      report(target.name.value, 0, completed);
    }
  }
  void demand(const router_identity& entry, const std::vector<wire::demand_line>& lines) {
    wire::demand message;
    message.set_pool(pool.value);
    message.set_sent_at_us(++entry_clock);
    for (const wire::demand_line& added : lines) {
      *message.add_lines() = added;
    }
    on_demand(table, entry, message, now, context());
  }
  std::vector<wire::grant> grants() {
    out.clear();
    grant_slots(table, {{shard, now + config.fleet.lease}}, context(), now, out);
    std::vector<wire::grant> result;
    for (const outgoing_message& sent : out) {
      result.push_back(sent.message.grant());
    }
    return result;
  }
  void finish(const wire::grant& grant, wire::finish_result result, double cost = 100,
              const std::string& boot = "boot-1", const router_identity& entry = entry_a) {
    wire::finish message;
    message.set_grant_id(grant.grant_id());
    *message.mutable_shard() = grant.shard();
    message.set_target(grant.target());
    message.set_organisation(grant.organisation());
    message.set_result(result);
    message.set_cost(cost);
    message.set_estimated_cost(grant.estimated_cost());
    message.set_boot_id(boot);
    on_finish(table, entry, message, now, context());
  }
  // What `entry` uses, sent `later` on its clock after its newest demand.
  void running_report(const std::vector<std::uint64_t>& ids, std::chrono::microseconds later,
                      const router_identity& entry = entry_a) {
    wire::running_report message;
    message.set_sent_at_us(entry_clock + static_cast<std::uint64_t>(later.count()));
    for (std::uint64_t id : ids) {
      message.add_grant_ids(id);
    }
    on_running_report(table, entry, message, now, context());
  }
  target_row& target(const std::string& name) {
    return table.shards.at(shard).targets.at(target_name{name});
  }
  const account& account_of(const std::string& name) {
    return table.pools.at(pool).accounts.at(organisation_name{name});
  }
};

std::map<std::string, int> by_organisation(const std::vector<wire::grant>& grants) {
  std::map<std::string, int> result;
  for (const wire::grant& grant : grants) {
    ++result[grant.organisation()];
  }
  return result;
}

TEST_CASE("a new owner learns what earlier owners left before it grants") {
  owner_fixture owner({"engine-1"});
  owner.demand(entry_a, {line("guides", 20)});
  CHECK(owner.grants().empty());

  SUBCASE("a report from before its tenure could see all does not count") {
    owner.now += milliseconds{100};
    owner.report("engine-1", 0, 50);
    owner.demand(entry_a, {line("guides", 20)});
    CHECK(owner.grants().empty());
  }

  SUBCASE("calls that still run take their slots, until later reports show their end") {
    owner.now += owner.config.fleet.grant_validity + network_slack;
    owner.report("engine-1", 4, 50);
    owner.demand(entry_a, {line("guides", 20)});
    const std::vector<wire::grant> first = owner.grants();
    CHECK(first.size() == 2);
    CHECK(first[0].fencing() == 7);

    SUBCASE("a report may not be read as if own fresh grants were among its calls") {
      owner.now += milliseconds{50};
      owner.report("engine-1", 4, 50);
      owner.now += network_slack;
      owner.demand(entry_a, {line("guides", 20)});
      CHECK(owner.grants().empty());
    }
    SUBCASE("when own calls must have been there, the rest is foreign") {
      for (std::uint32_t count = 0; count < report_window; ++count) {
        owner.now += 2 * network_slack;
        owner.report("engine-1", 3, 53);
      }
      CHECK(owner.target("engine-1").foreign_in_flight == 3);
      owner.now += network_slack;
      owner.demand(entry_a, {line("guides", 20)});
      CHECK(owner.grants().size() == 3);
    }
  }
}

TEST_CASE("an entry router names the grants that it uses") {
  owner_fixture owner({"engine-1"});
  owner.warm_up(1'000);
  owner.demand(entry_a, {line("guides", 2)});
  const std::vector<wire::grant> sent = owner.grants();
  REQUIRE(sent.size() == 2);
  const std::uint64_t kept = sent[0].grant_id();
  const std::chrono::microseconds validity = owner.config.fleet.grant_validity;

  SUBCASE("a grant that it does not name has ended, once it is void on its clock") {
    owner.running_report({kept}, validity - std::chrono::microseconds{1});
    CHECK(owner.target("engine-1").in_flight == 2);
    owner.running_report({kept}, validity);
    CHECK(owner.target("engine-1").in_flight == 1);
  }

  SUBCASE("another router, or another run of this one, ends nothing") {
    owner.running_report({}, validity, router_identity{entry_a.address, 999});
    CHECK(owner.target("engine-1").in_flight == 2);
  }

  SUBCASE("one that only slept gets the slots back that were taken to be free") {
    on_peer_gone(owner.table, entry_a.address, owner.now);
    CHECK(owner.target("engine-1").entry_gone == 2);
    owner.running_report({kept, sent[1].grant_id()}, validity);
    CHECK(owner.target("engine-1").entry_gone == 0);
    CHECK(owner.target("engine-1").in_flight == 2);
  }
}

TEST_CASE("a target gets what it bears") {
  owner_fixture owner({"engine-1"});
  owner.warm_up(0);
  owner.demand(entry_a, {line("guides", 50)});
  std::vector<wire::grant> running = owner.grants();
  CHECK(running.size() == 2);

  SUBCASE("completed calls raise the limit") {
    for (int round = 0; round < 4; ++round) {
      for (const wire::grant& grant : running) {
        owner.finish(grant, wire::finish_ok);
      }
      owner.demand(entry_a, {line("guides", 50)});
      running = owner.grants();
    }
    CHECK(owner.target("engine-1").in_flight == 6);
    CHECK(owner.target("engine-1").completed >= 8);

    SUBCASE("a new boot id in a response makes it cold; an old one does not return") {
      owner.finish(running[0], wire::finish_ok, 100, "boot-2");
      CHECK(owner.target("engine-1").completed == 1);
      owner.now += milliseconds{10};
      owner.report("engine-1", 0, 500, "boot-1");
      owner.demand(entry_a, {line("guides", 50)});
      CHECK(owner.grants().empty());
    }
    SUBCASE("a report of a new start ends what ran before, and counts the rest as running") {
      owner.now += milliseconds{600};
      owner.report("engine-1", 6, 20);
      owner.now += milliseconds{100};
      owner.report("engine-1", 0, 0, "boot-2");
      CHECK(owner.target("engine-1").in_flight == 0);
      owner.demand(entry_a, {line("guides", 50)});
      CHECK(owner.grants().size() == 2);
    }
    SUBCASE("a counter that fell back is a new start") {
      owner.now += milliseconds{100};
      owner.report("engine-1", 6, 20);
      owner.now += milliseconds{100};
      owner.report("engine-1", 1, 3);
      CHECK(owner.target("engine-1").completed == 3);
    }
    SUBCASE("a lost connection makes it cold at once, and late reports do not warm it") {
      owner.finish(running[0], wire::finish_lost);
      CHECK(owner.target("engine-1").completed == 0);
      owner.now += milliseconds{20};
      owner.report("engine-1", 5, 900);
      CHECK(owner.target("engine-1").completed == 0);
    }
    SUBCASE("a refused connection also blocks it for a while") {
      for (const wire::grant& grant : running) {
        owner.finish(grant, wire::finish_refused, 0);
      }
      owner.demand(entry_a, {line("guides", 50)});
      CHECK(owner.grants().empty());
      owner.now += refused_backoff_limit;
      owner.demand(entry_a, {line("guides", 50)});
      CHECK(owner.grants().size() == 2);
    }
  }

  SUBCASE("idle reports never free the slots of own grants that may be running") {
    owner.now += milliseconds{20};
    owner.report("engine-1", 0, 0);
    owner.demand(entry_a, {line("guides", 50)});
    CHECK(owner.grants().empty());
  }

  SUBCASE("the slots of an entry router that vanished come back, but only by several reports") {
    on_peer_gone(owner.table, entry_a.address, owner.now);
    owner.now += milliseconds{600};
    std::size_t rounds = 0;
    while (owner.target("engine-1").in_flight > 0 && rounds < 20) {
      ++rounds;
      owner.report("engine-1", 0, 0);
      owner.now += network_slack;
      owner.demand(entry_b, {line("guides", 50)});
      owner.grants();
      for (const std::pair<const std::uint64_t, outstanding_grant>& grant : owner.table.grants) {
        CHECK((rounds >= report_window || grant.second.entry == entry_a));
      }
      if (rounds == report_window) {
        break;
      }
    }
    CHECK(rounds == report_window);
    for (const std::pair<const std::uint64_t, outstanding_grant>& grant : owner.table.grants) {
      CHECK(grant.second.entry == entry_b);
    }
  }

  SUBCASE("a withdrawn target gets no new work, its running work ends") {
    owner.config.targets[0].drained = true;
    ++owner.config.version;
    owner.finish(running[0], wire::finish_ok);
    owner.demand(entry_a, {line("guides", 50)});
    CHECK(owner.grants().empty());
    CHECK(owner.target("engine-1").in_flight == 1);
  }
}

TEST_CASE("grants follow demand") {
  owner_fixture owner({"engine-1"});
  owner.warm_up(100);

  SUBCASE("old demand is not granted on") {
    owner.demand(entry_a, {line("guides", 9)});
    owner.now += owner.config.fleet.grant_validity / 2 + milliseconds{1};
    CHECK(owner.grants().empty());
  }
  SUBCASE("no grant outlasts the lease") {
    owner.demand(entry_a, {line("guides", 9)});
    const instant ends = owner.now + owner.config.fleet.grant_validity - milliseconds{1};
    grant_slots(owner.table, {{shard, ends}}, owner.context(), owner.now, owner.out);
    CHECK(owner.out.empty());
  }
  SUBCASE("what was granted is not granted again on demand that had not seen it") {
    owner.demand(entry_a, {line("guides", 2)});
    CHECK(owner.grants().size() == 2);
    owner.demand(entry_a, {line("guides", 2)});
    CHECK(owner.grants().empty());

    SUBCASE("but it counts one round trip later, if the entry router sends nothing newer") {
      owner.now += grant_round_trip;
      CHECK(owner.grants().size() == 2);
    }
    SUBCASE("and newer demand replaces it") {
      owner.now += grant_round_trip;
      owner.demand(entry_a, {line("guides", 1)});
      CHECK(owner.grants().size() == 1);
    }
  }
  SUBCASE("a grant names the demand that it answers, and an unused one is undone") {
    owner.demand(entry_a, {line("guides", 1)});
    const double before = owner.account_of("guides").tag;
    const std::vector<wire::grant> granted = owner.grants();
    REQUIRE(granted.size() == 1);
    CHECK(granted[0].demand_sent_at_us() == owner.entry_clock);
    CHECK(owner.account_of("guides").tag == before + 100);
    owner.finish(granted[0], wire::finish_returned);
    owner.finish(granted[0], wire::finish_returned);
    CHECK(owner.account_of("guides").tag == before);
    CHECK(owner.target("engine-1").in_flight == 0);
  }
  SUBCASE("entry routers take turns") {
    owner.demand(entry_a, {line("guides", 50)});
    owner.demand(entry_b, {line("guides", 50)});
    int from_a = 0;
    owner.grants();
    for (const outgoing_message& sent : owner.out) {
      from_a += sent.to == entry_a.address ? 1 : 0;
    }
    CHECK(from_a == 3);
  }
}

TEST_CASE("organisations share by weight, classes within an organisation by urgency") {
  owner_fixture owner({"engine-1", "engine-2"});
  owner.config.organisations[1].weight = 3;
  ++owner.config.version;
  owner.warm_up(100);

  SUBCASE("service follows the weights") {
    owner.demand(entry_a, {line("guides", 90), line("bank", 90)});
    const std::map<std::string, int> share = by_organisation(owner.grants());
    CHECK(share.at("guides") == 3);
    CHECK(share.at("bank") == 9);
  }
  SUBCASE("true costs replace the estimates, so a dear organisation waits") {
    owner.demand(entry_a, {line("guides", 90), line("schools", 90)});
    for (const wire::grant& grant : owner.grants()) {
      owner.finish(grant, wire::finish_ok, grant.organisation() == "guides" ? 1000 : 100);
    }
    owner.now += grant_round_trip;
    owner.demand(entry_a, {line("guides", 90), line("schools", 90)});
    CHECK(by_organisation(owner.grants()).at("schools") == 12);
  }
  SUBCASE("idle time earns no credit") {
    owner.demand(entry_a, {line("guides", 90)});
    for (int round = 0; round < 20; ++round) {
      for (const wire::grant& grant : owner.grants()) {
        owner.finish(grant, wire::finish_ok);
      }
      owner.now += grant_round_trip;
      owner.demand(entry_a, {line("guides", 90)});
    }
    owner.demand(entry_a, {line("guides", 90), line("schools", 90)});
    const std::map<std::string, int> share = by_organisation(owner.grants());
    CHECK(share.at("guides") >= 5);
    CHECK(share.at("schools") >= 5);
  }
  SUBCASE("interactive calls go first within an organisation") {
    owner.demand(entry_a, {line("guides", 9, wire::class_batch), line("guides", 9),
                           line("guides", 9, wire::class_interactive)});
    const std::vector<wire::grant> granted = owner.grants();
    CHECK(granted[0].traffic_class() == wire::class_interactive);
    CHECK(granted[11].traffic_class() == wire::class_standard);
  }
  SUBCASE("reserved slots keep interactive calls from waiting behind long ones") {
    for (target_config& target : owner.config.targets) {
      target.reserved_slots = 2;
    }
    ++owner.config.version;
    owner.demand(entry_a, {line("bank", 90, wire::class_batch)});
    CHECK(owner.grants().size() == 8);
    owner.demand(entry_a, {line("bank", 90, wire::class_batch),
                           line("schools", 3, wire::class_interactive)});
    CHECK(by_organisation(owner.grants()) == std::map<std::string, int>{{"schools", 3}});
  }
}

TEST_CASE("reserved slots take no organisation further ahead than their lead") {
  owner_fixture owner({"engine-1"});
  owner.config.targets[0].reserved_slots = 5;  // of 6: far above a third
  ++owner.config.version;
  owner.warm_up(100);
  bool lead_was_used = false;
  for (int round = 0; round < 300; ++round) {
    owner.now += grant_round_trip;
    owner.demand(entry_a,
                 {line("schools", 9, wire::class_interactive), line("bank", 9), line("guides", 9)});
    for (const wire::grant& grant : owner.grants()) {
      owner.finish(grant, wire::finish_ok, 400);
    }
    const double lead = widest_lead(owner.table, pool);
    lead_was_used = lead_was_used || lead > reserved_slot_lead / 2;
    REQUIRE(lead < reserved_slot_lead + 6 * 400);
  }
  CHECK(lead_was_used);
}

TEST_CASE("a call that must run alone runs alone") {
  owner_fixture owner({"engine-1", "engine-2"});
  owner.warm_up(100);
  owner.demand(entry_a, {line("bank", 90)});
  std::vector<wire::grant> running = owner.grants();
  CHECK(running.size() == 12);
  owner.demand(entry_a, {line("bank", 90), line("guides", 1, wire::class_standard, 1)});
  owner.grants();
  int emptied = 0;
  for (const char* name : {"engine-1", "engine-2"}) {
    emptied += owner.target(name).solo_wanted ? 1 : 0;
  }
  CHECK(emptied == 1);

  SUBCASE("one target is emptied, the other goes on, then nothing joins the lone call") {
    const std::string lone = owner.target("engine-1").solo_wanted ? "engine-1" : "engine-2";
    std::vector<wire::grant> later;
    for (const wire::grant& grant : running) {
      owner.finish(grant, wire::finish_ok);
      owner.now += grant_round_trip;
      owner.demand(entry_a, {line("bank", 90), line("guides", 1, wire::class_standard, 1)});
      for (const wire::grant& added : owner.grants()) {
        CHECK((added.solo() ? added.target() == lone : added.target() != lone));
        later.push_back(added);
      }
    }
    REQUIRE(owner.target(lone).solo_running);
    CHECK(owner.target(lone).in_flight == 1);
    CHECK(later.size() == 7);

    SUBCASE("and when it ends the target serves all again") {
      for (const wire::grant& grant : later) {
        owner.finish(grant, wire::finish_ok);
      }
      owner.now += grant_round_trip;
      owner.demand(entry_a, {line("bank", 90)});
      CHECK(owner.grants().size() == 12);
    }
  }
  SUBCASE("if it is withdrawn meanwhile, the target serves again") {
    owner.demand(entry_a, {line("bank", 90)});
    owner.grants();
    CHECK_FALSE(owner.target("engine-1").solo_wanted);
    CHECK_FALSE(owner.target("engine-2").solo_wanted);
  }
}

TEST_CASE("owners learn what other owners charged") {
  owner_fixture owner({"engine-1"});
  owner.warm_up(100);
  owner.demand(entry_a, {line("guides", 1), line("bank", 1)});
  const auto totals = [&](std::uint64_t incarnation, std::uint64_t sent_at, std::uint64_t opened,
                          double total, double refunded = 0) {
    wire::service_totals message;
    message.set_pool(pool.value);
    message.set_sent_at_us(sent_at);
    wire::organisation_total& added = *message.add_totals();
    added.set_organisation("guides");
    added.set_total(total);
    added.set_refunded(refunded);
    added.set_opened_us(opened);
    on_service_totals(owner.table, {other_owner.address, incarnation}, message, owner.context());
  };
  const double before = owner.account_of("guides").tag;

  SUBCASE("history from before the first contact is a baseline, growth counts once") {
    totals(13, 1000, 10, 5000);
    CHECK(owner.account_of("guides").tag == before);
    totals(13, 2000, 10, 5300);
    totals(13, 2000, 10, 5300);
    totals(13, 1500, 10, 5200);
    CHECK(owner.account_of("guides").tag == before + 300);

    SUBCASE("what the sender took back is taken off, once") {
      totals(13, 3000, 10, 5400, 80);
      totals(13, 3000, 10, 5400, 80);
      totals(13, 2500, 10, 5300, 0);
      CHECK(owner.account_of("guides").tag == before + 320);
    }
    SUBCASE("an account that was opened since counts from zero") {
      totals(13, 3000, 2500, 70);
      CHECK(owner.account_of("guides").tag == before + 370);
    }
    SUBCASE("so does all of a sender that restarted") {
      totals(99, 5, 1, 40);
      CHECK(owner.account_of("guides").tag == before + 340);
    }
  }
  SUBCASE("charges and refunds are told once per change, and neither shrinks") {
    const std::vector<wire::grant> granted = owner.grants();
    owner.out.clear();
    send_totals(owner.table, {other_owner.address}, owner.context(), owner.now, owner.out);
    REQUIRE(owner.out.size() == 1);
    CHECK(owner.out[0].message.service_totals().totals_size() == 2);
    for (const wire::grant& grant : granted) {
      owner.finish(grant, wire::finish_ok, 10);
    }
    owner.now += owner.config.fleet.totals_interval;
    owner.out.clear();
    send_totals(owner.table, {other_owner.address}, owner.context(), owner.now, owner.out);
    REQUIRE(owner.out.size() == 1);
    REQUIRE(owner.out[0].message.service_totals().totals_size() == 2);
    for (const wire::organisation_total& told : owner.out[0].message.service_totals().totals()) {
      CHECK(told.total() == 100);
      CHECK(told.refunded() == 90);
    }
    owner.now += owner.config.fleet.totals_interval;
    owner.out.clear();
    send_totals(owner.table, {other_owner.address}, owner.context(), owner.now, owner.out);
    CHECK(owner.out.empty());
    CHECK(owner.account_of("guides").charged == 100);
    CHECK(owner.account_of("guides").refunds == 90);
  }
  SUBCASE("accounts that were idle for minutes are forgotten") {
    owner.demand(entry_a, {});
    owner.now += account_life * 2;
    send_totals(owner.table, {}, owner.context(), owner.now, owner.out);
    CHECK(owner.table.pools.at(pool).accounts.empty());
  }
}

}  // namespace
}  // namespace peridot
