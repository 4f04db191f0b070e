#include "standins/published_values.h"

#include <doctest/doctest.h>

namespace peridot::standins {
namespace {

using namespace std::chrono_literals;

TEST_CASE("a document's version stands before its first table") {
  CHECK(document_version("# fleet\nversion = 12\n[fleet]\n") == 12);
  CHECK_FALSE(document_version("[fleet]\nversion = 12\n"));
  CHECK_FALSE(document_version(""));
}

TEST_CASE("a value is served after its lag") {
  published_value value;
  value.lag = 100ms;
  instant now{};
  CHECK(served_document(value, now) == nullptr);
  CHECK_FALSE(publish(value, "no version", now));
  REQUIRE(publish(value, "version = 1\n", now));
  CHECK(served_document(value, now + 99ms) == nullptr);
  now += 100ms;
  CHECK(served_document(value, now)->version == 1);

  SUBCASE("while later ones lag, the older one is served") {
    for (int version = 2; version < 20; ++version) {
      REQUIRE(publish(value, "version = " + std::to_string(version) + "\n", now));
    }
    CHECK(served_document(value, now + 99ms)->version == 1);
    CHECK(served_document(value, now + 100ms)->version == 19);
  }
  SUBCASE("a stale value stays as it was when the fault began") {
    set_stale(value, true, now);
    REQUIRE(publish(value, "version = 2\n", now));
    CHECK(served_document(value, now + 1h)->version == 1);

    SUBCASE("until the fault ends") {
      set_stale(value, false, now);
      CHECK(served_document(value, now + 1h)->version == 2);
    }
  }
}

}  // namespace
}  // namespace peridot::standins
