#include <doctest/doctest.h>

#include <set>

#include "standins/answer_check.h"
#include "standins/load_mix.h"
#include "standins/load_summary.h"

namespace peridot::standins {
namespace {

using namespace std::chrono_literals;

answer_check check_of(std::uint64_t total) {
  answer_check check;
  check.body_hash = "00ff";
  check.total_tokens = total;
  return check;
}

TEST_CASE("an answer is checked as it arrives") {
  answer_check check = check_of(3);
  CHECK(read_answer(check, "token-0.00ff tok") == 1);
  CHECK(read_answer(check, "en-1.00ff ") == 1);

  SUBCASE("it is cut if it ends early") {
    CHECK(verdict_of(check) == answer_verdict::cut);
    read_answer(check, "token-2.00f");
    CHECK(verdict_of(check) == answer_verdict::cut);
  }
  SUBCASE("it is whole with all tokens") {
    read_answer(check, "token-2.00ff ");
    CHECK(verdict_of(check) == answer_verdict::whole);

    SUBCASE("and wrong with one more") {
      read_answer(check, "token-3.00ff ");
      CHECK(verdict_of(check) == answer_verdict::wrong);
    }
  }
  SUBCASE("it is wrong if a token is repeated, skipped or of another request") {
    for (const char* token : {"token-1.00ff ", "token-3.00ff ", "token-2.00fe "}) {
      answer_check other = check;
      read_answer(other, token);
      CHECK(verdict_of(other) == answer_verdict::wrong);
    }
  }
  SUBCASE("it is not shown to be whole if its length is not known") {
    read_answer(check, "token-2.00ff ");
    check.total_tokens.reset();
    CHECK(verdict_of(check) == answer_verdict::cut);
  }
}

TEST_CASE("a record is checked at its end") {
  answer_check check;
  check.body_hash = "00ff";
  check.plain = true;
  read_answer(check, "{\"recorded\":1,\"body_hash\":\"00ff\"");
  CHECK(verdict_of(check) == answer_verdict::cut);
  read_answer(check, "}\n");
  CHECK(verdict_of(check) == answer_verdict::whole);
  check.body_hash = "00fe";
  CHECK(verdict_of(check) == answer_verdict::wrong);
}

TEST_CASE("a mix names its callers") {
  const mix_result mix = parse_mix(
      "# two callers\norganisation=a profile=explain rate=2.5 weight=2\n"
      "organisation=b profile=reserve keyed=1 plain=1 queue_deadline_ms=900; ");
  REQUIRE(mix.problem == "");
  REQUIRE(mix.callers.size() == 2);
  CHECK(mix.callers[0].rate == 2.5);
  CHECK(mix.callers[0].retries == 0);
  CHECK(mix.callers[1].retries == 3);
  CHECK(mix.callers[1].queue_deadline == 900ms);

  SUBCASE("and refuses what it does not understand") {
    for (const char* text :
         {"", "organisation=a", "organisation=a profile=b rate=0",
          "organisation=a profile=b speed=1", "organisation=a profile=b keyed=yes",
          "organisation=a profile=b rate=2x"}) {
      CHECK(parse_mix(text).problem != "");
    }
  }
  SUBCASE("an organisation that uses few routers uses the same ones") {
    caller_config caller = mix.callers[0];
    caller.entry_routers = 2;
    std::mt19937_64 random(1);
    std::set<std::size_t> used;
    for (int i = 0; i < 100; ++i) {
      used.insert(choose_router(caller, 9, no_router, random));
      CHECK(choose_router(caller, 9, 4, random) != 4);
    }
    CHECK(used.size() == 2);
  }
}

TEST_CASE("percentiles are those of a sorted list") {
  std::vector<double> samples = {5, 1, 4, 2, 3};
  CHECK(percentile(samples, 0.5) == 3);
  CHECK(percentile(samples, 1) == 5);
  std::vector<double> none;
  CHECK(percentile(none, 0.5) == 0);
}

}  // namespace
}  // namespace peridot::standins
