#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "core/testing/entry_bench.h"

namespace peridot {
namespace {

using namespace entry_bench;
using std::chrono::milliseconds;

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
    SUBCASE("for a withdrawn target") {
      bad = make_grant(b, guides, false, "engine-3");
    }
    SUBCASE("for an unknown target") {
      bad.set_target("engine-9");
    }
    SUBCASE("by the owner of another shard") {
      bad.mutable_shard()->set_index(99);
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

  SUBCASE("its caller leaves: the owner is told that nothing is queued") {
    b.now += milliseconds{3};
    CHECK_FALSE(cancel(b.table, queued.id, 0, context_of(b), b.now, b.out));
    CHECK_FALSE(deliver(b, grant));
    send_changed_demands(b.table, context_of(b), b.now, b.out);
    CHECK(demands_to(b.out, owner_address).back().lines_size() == 0);
  }
  check_entry_table(b.table);
}

TEST_CASE("a request that may not be repeated") {
  bench b;
  const std::uint64_t id = submit_one(b, guides, "reserve").id;
  REQUIRE(deliver(b, make_grant(b, guides)));

  SUBCASE("is queued again after a true refusal, since it did not run") {
    CHECK(finish_as(b, id, wire::finish_refused).what == decision::kind::queued_again);
    SUBCASE("and may run") {
      REQUIRE(deliver(b, make_grant(b, guides)));
      target_result late;
      late.run = 1;
      CHECK(finish_run(b, id, late).what == decision::kind::none);
      CHECK(finish_as(b, id, wire::finish_lost).how == outcome::unknown);
    }
    SUBCASE("or is refused as not run when this router stops") {
      CHECK(refuse_queued(b.table, refusal::stopping, b.now).at(0).how == outcome::not_run);
    }
  }
  SUBCASE("may have had effects after a failure") {
    CHECK(finish_as(b, id, wire::finish_failed).how == outcome::failed_after_run);
  }
}

TEST_CASE("a flood fills only its own part of the queue") {
  bench b;
  b.table.max_queued = 100;
  std::set<milliseconds> waits;
  std::size_t accepted = 0;
  for (int i = 0; i < 200; ++i) {
    const submit_result result = submit_one(b, guides, "ask");
    accepted += result.accepted ? 1 : 0;
    if (!result.accepted) {
      CHECK(result.why == refusal::queue_full);
      CHECK(result.retry_after >= milliseconds{1'000});
      waits.insert(result.retry_after);
    }
  }
  CHECK(accepted == 50);
  CHECK(waits.size() > 50);
  CHECK(submit_one(b, schools, "ask").accepted);
  b.config.organisations[1].max_queued = 3;
  submit_one(b, schools, "ask");
  CHECK(submit_one(b, schools, "ask").accepted);
  CHECK(submit_one(b, schools, "ask").why == refusal::queue_full);
  check_entry_table(b.table);
}

TEST_CASE("a request that would wait too long is refused at once") {
  bench b;
  for (int i = 0; i < 100; ++i) {
    submit_one(b, guides, "ask");
  }
  b.config.profiles[0].queue_deadline = milliseconds{500};
  CHECK(submit_one(b, guides, "ask").accepted);  // right after the start nothing is known
  for (int i = 0; i < 50; ++i) {
    b.now += milliseconds{100};
    REQUIRE(deliver(b, make_grant(b, guides)));
  }
  const submit_result late = submit_one(b, guides, "ask");
  CHECK(late.why == refusal::deadline);
  CHECK(late.retry_after >= milliseconds{4'000});
  CHECK(late.retry_after <= milliseconds{8'000});
  CHECK(submit_one(b, schools, "ask").accepted);  // its queue is empty

  SUBCASE("a pause is not taken for a slow queue") {
    b.now += std::chrono::hours{1};
    entry_tick(b.table, context_of(b), b.now, b.out);
    for (int i = 0; i < 4; ++i) {
      CHECK(submit_one(b, guides, "ask").accepted);
    }
  }
}

TEST_CASE("owners are told of demand") {
  bench b;
  submit_one(b, guides, "ask");
  submit_one(b, schools, "ask");
  CHECK(demands_to(b.out, owner_address).size() == 1);  // spaced
  b.now += demand_spacing;
  send_changed_demands(b.table, context_of(b), b.now, b.out);
  REQUIRE(demands_to(b.out, owner_address).size() == 2);
  CHECK(demands_to(b.out, owner_address).back().lines_size() == 2);

  SUBCASE("again after a while, since messages get lost") {
    b.now += demand_refresh;
    entry_tick(b.table, context_of(b), b.now, b.out);
    CHECK(demands_to(b.out, owner_address).size() == 3);
  }
  SUBCASE("a former owner is told that it is none, once; this router is told like others") {
    b.members.members.at(owner_address).owned.clear();
    b.own_shards = {shard_key{pool, 0}, shard_key{pool, 1}};
    for (int i = 0; i < 2; ++i) {
      b.now += demand_refresh;
      entry_tick(b.table, context_of(b), b.now, b.out);
    }
    CHECK(demands_to(b.out, owner_address).size() == 3);
    CHECK(demands_to(b.out, owner_address).back().lines_size() == 0);
    CHECK(demands_to(b.out, self_address).size() == 2);
  }
  SUBCASE("its end, after which nothing is kept of the pool") {
    b.now += std::chrono::seconds{20};
    entry_tick(b.table, context_of(b), b.now, b.out);
    CHECK(demands_to(b.out, owner_address).back().lines_size() == 0);
    b.now += demand_spacing;
    entry_tick(b.table, context_of(b), b.now, b.out);
    CHECK(b.table.demands.empty());
  }
}

}  // namespace
}  // namespace peridot
