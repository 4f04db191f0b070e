#include "net/metrics.h"

#include <doctest/doctest.h>

#include <string>

using namespace peridot;

namespace {

std::size_t count_of(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

TEST_CASE("metrics page: usage by organisation") {
  metrics values;
  values.organisations["small"] = {10, 10, {}};
  values.organisations["large"] = {5'000, 1'200, {{"over_share", 7}, {"instance_busy", 2}}};
  const std::string page = to_exposition(values, {{"peridot_calls", "Calls in progress.", 3}});
  CHECK(page.find("peridot_organisation_asked_tokens_total{organisation=\"large\"} 5000\n") !=
        std::string::npos);
  CHECK(page.find("peridot_organisation_served_tokens_total{organisation=\"large\"} 1200\n") !=
        std::string::npos);
  CHECK(page.find("peridot_organisation_refused_total{organisation=\"large\",reason="
                  "\"over_share\"} 7\n") != std::string::npos);
  SUBCASE("the busiest organisation comes first") {
    CHECK(page.find("organisation=\"large\"") < page.find("organisation=\"small\""));
  }
  SUBCASE("no histogram comes before a counter or gauge") {
    // Failure: a reader that cuts pages off got histogram buckets only (incident inc1).
    CHECK(page.rfind("# TYPE peridot_calls gauge") < page.find(" histogram\n"));
    CHECK(page.rfind(" counter\n") < page.find(" histogram\n"));
  }
  SUBCASE("the page has a bounded number of organisations") {
    for (int number = 0; number < 1'000; ++number) {
      values.organisations["org-" + std::to_string(number)].asked_tokens = number;
    }
    const std::string bounded_page = to_exposition(values, {});
    CHECK(count_of(bounded_page, "_asked_tokens_total{") == max_exposed_organisations);
  }
}

TEST_CASE("metrics page: responses of targets by framing and end") {
  metrics values;
  record_target_response(values, "until_close", "cut");
  record_target_response(values, "until_close", "cut");
  record_target_response(values, "chunked", "complete");
  const std::string page = to_exposition(values, {});
  CHECK(page.find("peridot_target_responses_total{framing=\"until_close\",end=\"cut\"} "
                  "2\n") != std::string::npos);
  CHECK(page.find("peridot_target_responses_total{framing=\"chunked\",end=\"complete\"} 1\n") !=
        std::string::npos);
}
