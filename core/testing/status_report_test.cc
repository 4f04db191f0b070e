#include "core/status_report.h"

#include <doctest/doctest.h>

namespace peridot {
namespace {

TEST_CASE("status pages become one table for each kind of line") {
  SUBCASE("lines of one kind of several routers stand together, in aligned columns") {
    const std::string tables = status_tables({{"a:1", "shard pool=model index=0\nqueue waits=3\n"},
                                              {"b:10", "shard pool=m index=12\n"}});
    CHECK(tables ==
          "shard\nrouter  pool   index\na:1     model  0\nb:10    m      12\n\n"
          "queue\nrouter  waits\na:1     3\n");
  }
  SUBCASE("a value may hold several words") {
    const std::string tables =
        status_tables({{"a:1", "refused_document problem=f:4: weight: must be from 0\n"}});
    CHECK(tables == "refused_document\nrouter  problem\na:1     f:4: weight: must be from 0\n");
  }
}

}  // namespace
}  // namespace peridot
