#include "core/keys.h"

#include <doctest/doctest.h>

#include <optional>
#include <random>
#include <set>
#include <string>

namespace peridot {
namespace {

constexpr instant start{std::chrono::hours{5}};

key_table make_table(std::uint64_t incarnation) {
  key_table table;
  table.self = router_identity{router_address{"127.0.0.1:7400"}, incarnation};
  table.self_http = "127.0.0.1:8080";
  table.fleet_key = "a fleet key of some length";
  table.life = std::chrono::minutes{10};
  table.max_used = 4;
  table.max_answer_bytes = 8;
  table.max_answers_total_bytes = 12;
  return table;
}

begin_result::kind begin(key_table& table, const std::string& text, std::uint64_t fingerprint,
                         instant now) {
  const std::optional<parsed_key> key = parse_key(text, table.fleet_key);
  REQUIRE(key.has_value());
  return begin_call(table, *key, fingerprint, now).what;
}

TEST_CASE("a key lets its call start once") {
  key_table table = make_table(7);
  const std::string text = issue_key(table, start);

  SUBCASE("the first use starts, repeats join, and later repeats get the answer") {
    CHECK(begin(table, text, 1, start) == begin_result::kind::start);
    CHECK(begin(table, text, 1, start) == begin_result::kind::join);
    complete_call(table, 1, {.status = 200, .body = "booked"});
    const begin_result replay = begin_call(table, *parse_key(text, table.fleet_key), 1, start);
    CHECK(replay.what == begin_result::kind::replay);
    CHECK(replay.answer->body == "booked");
  }

  SUBCASE("another body under the same key is a conflict") {
    CHECK(begin(table, text, 1, start) == begin_result::kind::start);
    CHECK(begin(table, text, 2, start) == begin_result::kind::conflict);
  }

  SUBCASE("a call that provably did not run may start again") {
    CHECK(begin(table, text, 1, start) == begin_result::kind::start);
    withdraw_call(table, 1);
    CHECK(begin(table, text, 1, start) == begin_result::kind::start);
  }

  SUBCASE("a restarted issuer does not start what its earlier self may have started") {
    key_table restarted = make_table(8);
    CHECK(begin(restarted, text, 1, start) == begin_result::kind::not_mine);
  }

  SUBCASE("an expired key never starts a call, whether it was used or forgotten") {
    CHECK(begin(table, text, 1, start) == begin_result::kind::start);
    const instant late = start + std::chrono::minutes{11};
    expire_keys(table, late);
    CHECK(table.used.empty());
    CHECK(begin(table, text, 1, late) == begin_result::kind::expired);
  }

  SUBCASE("nobody without the fleet key can make or alter a key") {
    std::string altered = text;
    altered[altered.find('~') + 1] = '9';
    CHECK_FALSE(parse_key(altered, table.fleet_key).has_value());
    CHECK_FALSE(parse_key(text, "another fleet key").has_value());
    CHECK_FALSE(parse_key("", table.fleet_key).has_value());
    CHECK_FALSE(parse_key(std::string(10'000, '~'), table.fleet_key).has_value());
  }
}

TEST_CASE("budgets refuse before a call runs, or say that an answer was not kept") {
  key_table table = make_table(7);

  SUBCASE("more used keys than the budget are refused") {
    for (int index = 0; index < 4; ++index) {
      CHECK(begin(table, issue_key(table, start), 1, start) == begin_result::kind::start);
    }
    CHECK(begin(table, issue_key(table, start), 1, start) == begin_result::kind::full);
  }

  SUBCASE("an answer over the budget is dropped, and its call stays done") {
    const std::string text = issue_key(table, start);
    CHECK(begin(table, text, 1, start) == begin_result::kind::start);
    complete_call(table, 1, {.status = 200, .body = "longer than eight"});
    const begin_result replay = begin_call(table, *parse_key(text, table.fleet_key), 1, start);
    CHECK(replay.what == begin_result::kind::replay);
    CHECK_FALSE(replay.answer->body_kept);
  }
}

TEST_CASE("over random histories no key starts twice without a proof that it did not run") {
  std::mt19937_64 random(20'261'203);
  for (int history = 0; history < 300; ++history) {
    key_table table = make_table(random());
    table.max_used = 1'000;
    instant now = start;
    std::vector<std::string> texts;
    std::set<std::uint64_t> running;
    std::set<std::uint64_t> may_have_run;
    for (int step = 0; step < 200; ++step) {
      now += std::chrono::seconds{random() % 20};
      expire_keys(table, now);
      if (texts.empty() || random() % 4 == 0) {
        texts.push_back(issue_key(table, now));
        continue;
      }
      const std::size_t index = random() % texts.size();
      const std::uint64_t sequence = index + 1;
      const parsed_key key = *parse_key(texts[index], table.fleet_key);
      const begin_result result = begin_call(table, key, sequence, now);
      if (result.what == begin_result::kind::start) {
        CHECK_FALSE(may_have_run.contains(sequence));
        running.insert(sequence);
        may_have_run.insert(sequence);
      } else if (running.contains(sequence)) {
        running.erase(sequence);
        if (random() % 3 == 0 && table.used.contains(sequence)) {
          withdraw_call(table, sequence);
          may_have_run.erase(sequence);
        } else {
          complete_call(table, sequence, {.status = 200, .body = "x"});
        }
      }
    }
  }
}

}  // namespace
}  // namespace peridot
