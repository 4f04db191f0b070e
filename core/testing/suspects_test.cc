#include <doctest/doctest.h>

#include "core/testing/entry_bench.h"

namespace peridot {
namespace {

using namespace entry_bench;
using std::chrono::milliseconds;

constexpr std::uint64_t body = 4711;

// A peer's heartbeat says that it saw `crashes`.
void hear(bench& b, const router_address& from, std::uint32_t crashes,
          const organisation_name& organisation = guides, std::uint64_t fingerprint = body,
          std::chrono::microseconds life = std::chrono::seconds{60}) {
  google::protobuf::RepeatedPtrField<wire::suspect> told;
  wire::suspect* suspect = told.Add();
  suspect->set_fingerprint(fingerprint);
  suspect->set_organisation(organisation.value);
  suspect->set_crashes(crashes);
  suspect->set_expires_in_us(static_cast<std::uint64_t>(life.count()));
  on_suspects(b.table, from, told, b.now);
}

std::uint32_t crashes_now(const bench& b, const organisation_name& organisation = guides) {
  return crashes_of(b.table.suspects, organisation, body, b.now);
}

TEST_CASE("a request that crashed two targets is refused, also under a new key") {
  bench b;
  const std::uint64_t id = submit_one(b, guides, "ask", body).id;
  REQUIRE(deliver(b, make_grant(b, guides)));
  REQUIRE(finish_as(b, id, wire::finish_lost).what == decision::kind::queued_again);
  CHECK(own_suspects(b.table, self_address, b.now).size() == 1);
  REQUIRE(deliver(b, make_grant(b, guides, true)));

  CHECK(finish_as(b, id, wire::finish_lost).why == refusal::suspect);
  CHECK(submit_one(b, guides, "reserve", body).why == refusal::suspect);
  CHECK(submit_one(b, schools, "ask", body).accepted);  // another organisation's is another
  b.now += b.config.fleet.suspect_request_life;
  CHECK(submit_one(b, guides, "reserve", body).accepted);
}

TEST_CASE("routers share what they saw") {
  bench b;
  const router_address first{"127.0.0.1:7411"};
  const router_address second{"127.0.0.1:7412"};

  SUBCASE("a router's word replaces its earlier one") {
    hear(b, first, 1);
    hear(b, first, 1);
    CHECK(crashes_now(b) == 1);
    CHECK(own_suspects(b.table, self_address, b.now).empty());
    SUBCASE("and the words of several add up") {
      hear(b, second, 1);
      CHECK(crashes_now(b) == 2);
    }
  }

  SUBCASE("each word lives as long as its router says: an echo does not keep it alive") {
    record_crash(b.table.suspects, self_address, guides, body, std::chrono::seconds{10}, b.now);
    hear(b, first, 1, guides, body, std::chrono::seconds{60});
    b.now += std::chrono::seconds{9};
    CHECK(own_suspects(b.table, self_address, b.now).at(0).expires_in_us() == 1'000'000);
    b.now += std::chrono::seconds{1};
    CHECK(crashes_now(b) == 1);
    CHECK(own_suspects(b.table, self_address, b.now).empty());
    b.now += std::chrono::seconds{50};
    CHECK(crashes_now(b) == 0);
    drop_old_suspects(b.table.suspects, b.now);
    CHECK(b.table.suspects.rows.empty());
    CHECK(b.table.suspects.deadlines.empty());
  }
}

TEST_CASE("a flood of crashing requests costs the flooder its own rows only") {
  bench b;
  const router_address peer{"127.0.0.1:7411"};
  hear(b, peer, 1, schools);
  for (std::uint64_t i = 0; i < 1'000; ++i) {
    b.now += milliseconds{1};
    hear(b, peer, 1, guides, 10'000 + i);
  }
  CHECK(b.table.suspects.rows.at(guides).size() == max_suspects_per_organisation);
  CHECK(b.table.suspects.rows.at(guides).contains(10'999));
  CHECK(crashes_now(b, schools) == 1);

  SUBCASE("also when many organisations flood at once, and the table is full") {
    for (std::uint64_t i = 0; i < 100 * max_suspects_per_organisation; ++i) {
      hear(b, peer, 1, organisation_name{"flood-" + std::to_string(i % 100)}, 20'000 + i);
    }
    CHECK(b.table.suspects.deadlines.size() == max_suspects);
    CHECK(crashes_now(b, schools) == 1);
    hear(b, peer, 1, organisation_name{"newcomer"}, body);
    CHECK(crashes_now(b, organisation_name{"newcomer"}) == 1);
    CHECK(b.table.suspects.deadlines.size() == max_suspects);
  }
}

}  // namespace
}  // namespace peridot
