// The model of a router's processor and of the load balancer.
#include "experiment/router_processor.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace peridot::experiment;

namespace {

const instant start = instant{} + std::chrono::hours{1};

}  // namespace

TEST_CASE("processor: tasks are worked on one after the other") {
  router_processor processor{0.1, {}};
  CHECK(spend(processor, milliseconds{2}, start) == start + milliseconds{20});
  CHECK(spend(processor, milliseconds{1}, start) == start + milliseconds{30});
  CHECK(backlog(processor, start + milliseconds{10}) == milliseconds{20});
  CHECK(backlog(processor, start + milliseconds{40}) == milliseconds{0});
  SUBCASE("an idle processor starts at once") {
    const instant later = start + milliseconds{100};
    CHECK(spend(processor, milliseconds{1}, later) == later + milliseconds{10});
  }
  SUBCASE("without cores, tasks take no time") {
    router_processor unlimited;
    CHECK(spend(unlimited, milliseconds{5}, start) == start);
    CHECK(backlog(unlimited, start) == milliseconds{0});
  }
}

TEST_CASE("load balancer: a client stays with its router while that is in rotation") {
  std::vector<balanced_router> routers(8);
  const std::uint64_t client = 42;
  const std::size_t first = choose_router(routers, client);
  CHECK(choose_router(routers, client) == first);
  SUBCASE("one missed check is tolerated, two are not") {
    record_check(routers[first], false);
    CHECK(choose_router(routers, client) == first);
    record_check(routers[first], false);
    const std::size_t second = choose_router(routers, client);
    CHECK(second != first);
    SUBCASE("one passed check brings the client back") {
      record_check(routers[first], true);
      CHECK(choose_router(routers, client) == first);
    }
  }
  SUBCASE("all are used while fewer than half are in rotation") {
    for (std::size_t index = 0; index < 5; ++index) {
      record_check(routers[index], false);
      record_check(routers[index], false);
    }
    CHECK(choose_router(routers, client) == first);
  }
}
