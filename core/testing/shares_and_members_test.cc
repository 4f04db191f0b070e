#include <doctest/doctest.h>

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <string>

#include "core/base/stable_hash.h"
#include "core/fleet/membership.h"
#include "core/routing/admission.h"
#include "core/routing/fair_share.h"

using namespace peridot;

namespace {

const instant start = instant{} + std::chrono::hours{1};
const duration interval = milliseconds{200};

router_identity router(int number, std::uint64_t incarnation = 1) {
  return {router_address{"10.0.0." + std::to_string(number) + ":7400"}, incarnation};
}

// Raises everybody's share little by little until the capacity is used up.
double slow_level(const std::vector<double>& asked, double capacity) {
  double level = 0;
  const double step = capacity / 200'000;
  while (true) {
    double used = 0;
    for (double one : asked) {
      used += std::min(one, level + step);
    }
    if (used > capacity) {
      return level;
    }
    level += step;
    if (level > *std::max_element(asked.begin(), asked.end())) {
      return std::numeric_limits<double>::infinity();
    }
  }
}

}  // namespace

TEST_CASE("the max-min level agrees with raising shares step by step") {
  std::mt19937 random(7);
  for (int round = 0; round < 60; ++round) {
    std::vector<double> asked(1 + random() % 12);
    for (double& one : asked) {
      one = 1 + static_cast<double>(random() % 1'000);
    }
    const double capacity = 1 + static_cast<double>(random() % 4'000);
    const double fast = max_min_fair_share(asked, capacity);
    const double slow = slow_level(asked, capacity);
    if (slow == std::numeric_limits<double>::infinity()) {
      CHECK(fast >= *std::max_element(asked.begin(), asked.end()) - capacity / 50'000);
    } else {
      CHECK(fast == doctest::Approx(slow).epsilon(0.01));
    }
  }
}

TEST_CASE("load pattern: one organisation sends many times its usual, through many routers") {
  const organisation_name large{"large"};
  const organisation_name small{"small"};
  share_table table;
  record_asked_tokens(table, large, 10'000, start);
  record_served_tokens(table, large, 3'000, start);
  record_asked_tokens(table, small, 1'000, start);
  std::map<std::uint64_t, token_usage> told;
  told[stable_hash(large.value)] = {50'000, 17'000};
  told[stable_hash(small.value)] = {1'000, 1'000};
  update_peer_usage(table, router(2).address, told, start + milliseconds{1'500});
  update_fair_share(table, 10'000, start + milliseconds{1});  // 20,000 tokens in the window of 2 s
  SUBCASE("the sum over routers decides") {
    CHECK(share_position(table, large) > 1.0);
    CHECK(share_position(table, small) == doctest::Approx(0.5));
  }
  SUBCASE("without news from peers the own view is all there is") {
    update_fair_share(table, 10'000, start + milliseconds{1'502});
    CHECK(share_position(table, large) == 0);  // all that is known fits
  }
  SUBCASE("while the engines suffice, nobody is above its share") {
    update_fair_share(table, 1'000'000, start + milliseconds{2});
    CHECK(share_position(table, large) == 0);
  }
  SUBCASE("old counts leave the window") {
    update_fair_share(table, 10'000, start + share_bucket_width * (share_bucket_count + 1));
    CHECK(table.own.empty());
  }
}

TEST_CASE("load pattern: a burst; what cannot begin in time is refused at once") {
  admission_input input{.queue_wait = milliseconds{360},
                        .processing_time = milliseconds{40},
                        .elapsed = milliseconds{5},
                        .latency_objective = milliseconds{600},
                        .time_left = milliseconds{5'000},
                        .share_position = 0,
                        .jitter = 0.5};
  CHECK(admit(input).admitted);
  SUBCASE("later than the aim: refused, and told when to come back") {
    input.queue_wait = milliseconds{1'500};
    const admission_decision verdict = admit(input);
    CHECK_FALSE(verdict.admitted);
    CHECK(verdict.reason == refusal::overloaded);
    CHECK(verdict.retry_after >= min_retry_after);
    CHECK(verdict.retry_after <= input.time_left / 3);
  }
  SUBCASE("the more of its share it has had, the sooner it is refused; nobody begins late") {
    const std::vector<double> positions = {8, 1.3, 0.4, 0};
    std::vector<int> admitted(positions.size());
    for (int queued = 0; queued < 1'500; queued += 5) {
      input.queue_wait = milliseconds{queued};
      bool before = false;
      for (std::size_t index = 0; index < positions.size(); ++index) {
        input.share_position = positions[index];
        const admission_decision verdict = admit(input);
        CHECK((verdict.admitted || !before));
        CHECK((!verdict.admitted || input.elapsed + input.queue_wait + input.processing_time <=
                                        input.latency_objective));
        CHECK((verdict.admitted ||
               verdict.reason ==
                   (positions[index] >= 1 ? refusal::over_share : refusal::overloaded)));
        before = verdict.admitted;
        admitted[index] += verdict.admitted ? 1 : 0;
      }
    }
    CHECK(admitted[0] > 0);
    // cq-notebooks mix, seed 16580402635: one organisation at 8 times its share and one at
    // 1.3 times were refused nearly alike, and the second got less than half.
    CHECK(admitted[0] * 5 <= admitted[1] * 3);
    CHECK(admitted[0] < admitted[1]);
    CHECK(admitted[1] < admitted[2]);
  }
  SUBCASE("below its share, it may go where next to nothing waits, whatever that costs") {
    input.is_fallback = true;
    input.queue_wait = milliseconds{15};
    CHECK(admit(input).admitted);
    input.queue_wait = milliseconds{100};
    CHECK_FALSE(admit(input).admitted);
    input.queue_wait = milliseconds{15};
    SUBCASE("above it, only where as good as nothing waits") {
      input.elapsed = duration{0};
      input.share_position = 1.2;
      CHECK_FALSE(admit(input).admitted);
      input.queue_wait = milliseconds{4};
      CHECK(admit(input).admitted);
    }
  }
  SUBCASE("nobody is kept waiting for what comes after its deadline") {
    input.latency_objective = milliseconds{10'000};
    input.time_left = milliseconds{1'000};
    input.queue_wait = milliseconds{900};
    CHECK_FALSE(admit(input).admitted);
    input.queue_wait = milliseconds{0};
    input.processing_time = milliseconds{900};
    CHECK_FALSE(admit(input).admitted);
  }
  SUBCASE("a large prompt is not refused for the time that reading it takes") {
    for (double position : {0.0, 1.5, 8.0}) {
      input.share_position = position;
      input.processing_time = milliseconds{300};
      input.queue_wait = milliseconds{0};
      CHECK(admit(input).admitted);
      // It may wait for others half as long as a small one, which has twice its slack.
      int large = 0;
      int small = 0;
      for (int queued = 0; queued < 600; ++queued) {
        input.queue_wait = milliseconds{queued};
        input.processing_time = milliseconds{300};
        large += admit(input).admitted ? 1 : 0;
        input.processing_time = milliseconds{40};
        small += admit(input).admitted ? 1 : 0;
      }
      CHECK(large * 2 >= small - 20);
    }
  }
  SUBCASE("the time to come back is always one that the caller can use") {
    std::mt19937 random(3);
    for (int round = 0; round < 1'000; ++round) {
      const duration left = milliseconds{random() % 10'000};
      const duration pause =
          retry_after(milliseconds{random() % 5'000}, left, (random() % 100) / 100.0);
      CHECK(pause >= duration{0});
      CHECK(pause * 3 <= left);
    }
  }
}

TEST_CASE("routers find each other from one seed") {
  membership_table table = make_membership(router(1), {router(2).address}, interval, start);
  CHECK(live_peers(table, start).empty());
  CHECK(next_gossip_round(table, start).peers == std::vector<router_address>{router(2).address});
  CHECK(on_peer_gossip(table, router(2), {router(3).address, router(1).address}, false,
                       domain_name{"a"}, start));
  CHECK(live_peers(table, start) == std::vector<router_address>{router(2).address});
  SUBCASE("a peer that was told of is tried, and alive once it is heard") {
    CHECK(next_gossip_round(table, start + silent_peer_retry_interval).peers.size() == 2);
    on_peer_gossip(table, router(3), {}, false, domain_name{"b"}, start);
    CHECK(live_peers(table, start).size() == 2);
  }
  SUBCASE("a silent peer is no longer alive, and may still be sending") {
    const instant later = start + min_report_ttl + milliseconds{1};
    CHECK(live_peers(table, later).empty());
    // One was heard, of the other it was told: both may be sending.
    CHECK(possibly_active_peers(table, later) ==
          std::vector<router_address>{router(2).address, router(3).address});
  }
  SUBCASE("a restart is news") {
    CHECK_FALSE(on_peer_gossip(table, router(2), {}, false, domain_name{"a"}, start));
    CHECK(on_peer_gossip(table, router(2, 9), {}, false, domain_name{"a"}, start));
  }
  SUBCASE("what was never heard is forgotten, seeds are not") {
    expire_peers(table, start + peer_retention + milliseconds{1});
    CHECK(table.peers.size() == 1);
    CHECK(table.peers.contains(router(2).address));
  }
  SUBCASE("a large fleet: bounded rounds, and each cycle reaches everybody once") {
    constexpr int fleet = 102;
    for (int number = 2; number < 2 + fleet; ++number) {
      on_peer_gossip(table, router(number), {}, false, domain_name{"a"}, start);
    }
    table.pending_peers.clear();
    std::map<router_address, int> reached;
    std::size_t begun = 0;
    const std::size_t rounds = (fleet + max_peers_per_round - 1) / max_peers_per_round;
    for (std::size_t round = 0; round < rounds; ++round) {
      const gossip_round next = next_gossip_round(table, start);
      CHECK(next.peers.size() <= max_peers_per_round);
      begun += next.starts_cycle ? 1 : 0;
      for (const router_address& peer : next.peers) {
        ++reached[peer];
      }
    }
    CHECK(begun == 1);
    CHECK(reached.size() == fleet);
    CHECK(std::all_of(reached.begin(), reached.end(),
                      [](const auto& peer) { return peer.second == 1; }));
    // Heard once a cycle, nobody is taken for dead between two messages, nor if one is lost.
    on_peer_gossip(table, router(3), {}, false, domain_name{"a"}, start);
    const duration cycle = interval * rounds;
    CHECK(is_alive(table.peers.at(router(3).address), start + 2 * cycle));
    CHECK_FALSE(is_alive(table.peers.at(router(3).address), start + 3 * cycle));
  }
  SUBCASE("a peer that is new is told of everybody, others of a few") {
    for (int number = 2; number < 90; ++number) {
      on_peer_gossip(table, router(number), {}, false, domain_name{"a"}, start);
    }
    std::minstd_rand random(1);
    CHECK(needs_full_peer_list(table, router(5).address));
    CHECK(sample_live_peers(table, max_full_peer_list, random, start).size() == 88);
    CHECK(sample_live_peers(table, partial_peer_list_size, random, start).size() ==
          partial_peer_list_size);
    mark_full_peer_list_sent(table, router(5).address, start);
    CHECK_FALSE(needs_full_peer_list(table, router(5).address));
    on_peer_gossip(table, router(5, 77), {}, false, domain_name{"a"}, start);
    CHECK(needs_full_peer_list(table, router(5).address));
  }
}
