// What a router makes of digests: load and usage of all others, its own reports counted once. The
// router has no sockets here.
#include <doctest/doctest.h>

#include "router/peer_internal.h"

using namespace peridot;

namespace {

const router_identity self{router_address{"10.0.0.1:7400"}, 11};
const router_identity delegate{router_address{"10.0.0.2:7400"}, 22};
const target_name engine{"i-1"};
const failure_domain_name own_domain{"a"};
constexpr std::uint64_t caller_hash = 77;

// A member of a large fleet that relies on `delegate`.
void start_member(router_state& router) {
  const instant now = current_time();
  router.self = self;
  router.settings.domain = own_domain;
  router.membership =
      make_membership(self, {delegate.address}, router.settings.gossip_interval, now);
  router.membership.domain = router.settings.domain;
  router.membership.uses_delegates = true;
  on_peer_gossip(router.membership, delegate, {}, false, router.settings.domain, now);
  router.membership.primary = delegate.address;
  target_state target;
  target.entry.name = engine;
  router.store.targets.targets[engine] = target;
  ++router.store.targets.generation;
}

wire::gossip own_report(std::uint32_t running, std::uint32_t unread, std::uint32_t asked) {
  wire::gossip report;
  wire::target_use& use = *report.add_targets();
  use.set_target(target_hash(engine));
  use.set_running(running);
  use.set_unread_tokens(unread);
  use.set_tokens_read(unread);
  wire::organisation_use& usage = *report.add_organisations();
  usage.set_organisation(caller_hash);
  usage.set_asked_tokens(asked);
  return report;
}

wire::digest fleet_digest(std::uint32_t running, std::uint32_t unread, std::uint32_t asked) {
  wire::digest digest;
  digest.set_domain(own_domain.value);
  digest.set_has_loads(true);
  const wire::gossip sums = own_report(running, unread, asked);
  digest.mutable_targets()->CopyFrom(sums.targets());
  digest.mutable_organisations()->CopyFrom(sums.organisations());
  return digest;
}

void include(wire::digest& digest, std::uint32_t round) {
  wire::included_report& included = *digest.add_included();
  included.set_router(router_hash(self.address));
  included.set_round(round);
}

}  // namespace

TEST_CASE("a member takes its own reports off the digests that include them") {
  router_state router;
  start_member(router);
  router.membership.round = 5;
  record_sent_report(router, own_report(3, 1'000, 400));
  router.membership.round = 6;
  record_sent_report(router, own_report(4, 1'500, 600));
  wire::digest digest = fleet_digest(10, 9'000, 5'000);
  SUBCASE("the newest report of this router that the digest includes is taken off") {
    include(digest, 6);
    on_digest(router, delegate, digest);
    CHECK(total_running_calls(router.loads.targets.at(engine)) == 6);
    CHECK(total_pending_prefill_tokens(router.loads.targets.at(engine)) == 7'500);
    CHECK(router.shares.peer_usage.begin()->second.second.at(caller_hash).asked == 4'400);
    SUBCASE("its prefills once, however many reports the digest includes") {
      // 9,000 prefilled tokens of all, 2,500 of these by the two own reports.
      CHECK(router.loads.targets.at(engine).prefilled_tokens == 6'500);
      on_digest(router, delegate, digest);
      CHECK(router.loads.targets.at(engine).prefilled_tokens == 6'500 + 9'000);
    }
  }
  SUBCASE("an older report, if the digest includes that one") {
    include(digest, 5);
    on_digest(router, delegate, digest);
    CHECK(total_running_calls(router.loads.targets.at(engine)) == 7);
  }
  SUBCASE("nothing, if it includes none") {
    on_digest(router, delegate, digest);
    CHECK(total_running_calls(router.loads.targets.at(engine)) == 10);
  }
}

TEST_CASE("a digest replaces the one before, and counts only from the delegate relied on") {
  router_state router;
  start_member(router);
  on_digest(router, delegate, fleet_digest(10, 9'000, 5'000));
  on_digest(router, delegate, fleet_digest(2, 100, 50));
  CHECK(total_running_calls(router.loads.targets.at(engine)) == 2);
  SUBCASE("from another router it changes no load") {
    const router_identity other{router_address{"10.0.0.3:7400"}, 33};
    on_digest(router, other, fleet_digest(50, 50, 50));
    CHECK(total_running_calls(router.loads.targets.at(engine)) == 2);
  }
  SUBCASE("a digest of another domain changes no load at a member") {
    wire::digest digest = fleet_digest(50, 50, 50);
    digest.set_domain("b");
    digest.set_of_domain(true);
    on_digest(router, delegate, digest);
    CHECK(total_running_calls(router.loads.targets.at(engine)) == 2);
  }
  SUBCASE("at a delegate, digests of other domains add up") {
    router.membership.primary.value.clear();
    for (const std::string& domain : {std::string("b"), std::string("c")}) {
      wire::digest digest = fleet_digest(50, 50, 50);
      digest.set_domain(domain);
      digest.set_of_domain(true);
      on_digest(router, delegate, digest);
    }
    CHECK(total_running_calls(router.loads.targets.at(engine)) == 100);
    SUBCASE("once it relies on another delegate again, that one's digest replaces them") {
      router.membership.primary = delegate.address;
      on_digest(router, delegate, fleet_digest(7, 0, 0));
      CHECK(total_running_calls(router.loads.targets.at(engine)) == 7);
    }
  }
  SUBCASE("a list with a domain that it does not name is ignored in that entry") {
    wire::digest digest;
    digest.set_domain(own_domain.value);
    digest.set_has_members(true);
    digest.add_domains(own_domain.value);
    wire::member& good = *digest.add_members();
    good.set_address("10.0.0.9:7400");
    good.set_incarnation(9);
    wire::member& bad = *digest.add_members();
    bad.set_address("10.0.0.8:7400");
    bad.set_incarnation(8);
    bad.set_domain(4'000'000'000);
    on_digest(router, delegate, digest);
    CHECK(router.membership.peers.contains(router_address{"10.0.0.9:7400"}));
    CHECK_FALSE(router.membership.peers.contains(router_address{"10.0.0.8:7400"}));
  }
}

// Load pattern: the store turns some routers away, among them the delegate through which this
// router gets the items that another one reads.
TEST_CASE("a removal reaches routers through one that the store turns away") {
  router_state router;
  start_member(router);
  REQUIRE(router.store.targets.targets.contains(engine));
  wire::items_reply update;
  update.set_store_disturbed(true);
  update.set_is_update(true);
  wire::stored_item& removal = *update.add_items();
  removal.set_key("servers/i-1");
  removal.set_revision(12);
  removal.set_removed(true);
  SUBCASE("the reader is sure: the target gets no calls any more") {
    on_items_reply(router, delegate, update);
    auto found = router.store.targets.targets.find(engine);
    CHECK((found == router.store.targets.targets.end() ||
           !is_usable(router.store.targets, found->second)));
  }
  SUBCASE("the entry may have expired: the target is used until the store has served for a while") {
    removal.set_may_be_expired(true);
    on_items_reply(router, delegate, update);
    REQUIRE(router.store.targets.targets.contains(engine));
    CHECK(is_usable(router.store.targets, router.store.targets.targets.at(engine)));
  }
}

// Load pattern: the store turns all routers of one domain away, so that they take a removal for a
// possible expiry, while routers of other domains read that the target was removed.
TEST_CASE("a domain that the store turns away learns from another one that a removal is final") {
  router_state router;
  start_member(router);
  wire::items_reply update;
  update.set_is_update(true);
  wire::stored_item& removal = *update.add_items();
  removal.set_key("servers/i-1");
  removal.set_revision(12);
  removal.set_epoch(1);
  removal.set_removed(true);
  removal.set_may_be_expired(true);
  on_items_reply(router, delegate, update);
  REQUIRE(is_usable(router.store.targets, router.store.targets.targets.at(engine)));
  platform::record_read(router.store, platform::operator_prefix, {1, 12});
  platform::record_read(router.store, platform::target_prefix, {1, 12});
  wire::digest digest;
  digest.set_domain("b");
  digest.set_store_epoch(1);
  SUBCASE("by a digest: the target gets no calls any more") {
    digest.set_settled_revision(12);
    on_digest(router, delegate, digest);
    CHECK_FALSE(router.store.targets.targets.contains(engine));
    SUBCASE("and it passes that on") {
      wire::gossip own;
      set_revisions(router, own);
      CHECK(own.settled_revision() == 12);
    }
  }
  SUBCASE("what was final before the removal says nothing of it") {
    digest.set_settled_revision(11);
    on_digest(router, delegate, digest);
    CHECK(router.store.targets.targets.contains(engine));
  }
  SUBCASE("an entry that was set again is in use, also if its removal was final") {
    router.store.targets.targets.at(engine).entry_expired = false;
    digest.set_settled_revision(13);
    on_digest(router, delegate, digest);
    CHECK(router.store.targets.targets.contains(engine));
  }
}

TEST_CASE("a target's limit reaches routers that the target has not told") {
  const instant now = current_time();
  router_state teller;
  start_member(teller);
  const target_entry& target = teller.store.targets.targets.at(engine).entry;
  response_statements statements;
  statements.rate_limit = 4.6;
  record_statements(teller.statements, target, statements, now, now);
  wire::gossip report;
  add_statements(teller, limit_selection::changed, now, report);
  REQUIRE(report.limits_size() == 1);

  router_state router;
  start_member(router);
  SUBCASE("by a report") {
    apply_statements(router, delegate.address, report, now);
    CHECK(rate_limit(router.statements, target) == 4.6);
    SUBCASE("and its end too") {
      record_statements(teller.statements, target, {}, now + milliseconds{1},
                        now + milliseconds{2});
      report.clear_limits();
      add_statements(teller, limit_selection::changed, now + milliseconds{3}, report);
      apply_statements(router, delegate.address, report, now + milliseconds{4});
      CHECK(rate_limit(router.statements, target) == std::nullopt);
    }
    SUBCASE("a router passes on what it was told, not as its own") {
      wire::gossip own;
      add_statements(router, limit_selection::heard, now + changed_report_time, own);
      CHECK(own.limits_size() == 0);
      wire::digest digest;
      add_statements(router, limit_selection::all, now + changed_report_time, digest);
      CHECK(digest.limits_size() == 1);
    }
  }
  SUBCASE("by a digest, from any delegate") {
    wire::digest digest = fleet_digest(0, 0, 0);
    *digest.add_limits() = report.limits(0);
    on_digest(router, {router_address{"10.0.0.3:7400"}, 33}, digest);
    CHECK(rate_limit(router.statements, target) == 4.6);
  }
  SUBCASE("that it leaves, too, and then it gets no calls") {
    record_leaving(teller.statements, target, now);
    wire::gossip other;
    add_statements(teller, limit_selection::changed, now, other);
    apply_statements(router, delegate.address, other, now);
    CHECK(router.store.targets.targets.at(engine).leaving);
  }
  SUBCASE("a target that has restarted under its name has named none") {
    router.store.targets.targets.at(engine).entry.started_unix_ms = 5;
    ++router.store.targets.generation;
    apply_statements(router, delegate.address, report, now);
    CHECK(router.statements.limited_count == 0);
  }
}
