#include "core/peer_messages.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace peridot {
namespace {

TEST_CASE("shards and rendezvous scores are the same everywhere") {
  const pool_name pool{"explain"};

  SUBCASE("a target's shard depends on its name only") {
    const shard_key first = shard_of(pool, target_name{"engine-1"}, 4);
    const shard_key second = shard_of(pool, target_name{"engine-1"}, 4);
    CHECK(first == second);
    CHECK(first.index < 4);
  }

  SUBCASE("owners of many shards are spread over the routers") {
    std::map<std::string, int> owned;
    for (std::uint32_t index = 0; index < 900; ++index) {
      std::string best;
      std::uint64_t best_score = 0;
      for (int router = 0; router < 9; ++router) {
        const router_address address{"127.0.0.1:" + std::to_string(7400 + router)};
        const std::uint64_t score = rendezvous_score(address, shard_key{pool, index});
        if (score > best_score) {
          best_score = score;
          best = address.value;
        }
      }
      ++owned[best];
    }
    CHECK(owned.size() == 9);
    for (const std::pair<const std::string, int>& entry : owned) {
      CHECK(entry.second > 60);
      CHECK(entry.second < 140);
    }
  }

  SUBCASE("a shard survives the wire") {
    const shard_key shard{pool, 3};
    CHECK(from_wire(to_wire(shard)) == shard);
  }
}

}  // namespace
}  // namespace peridot
