#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "core/calls/event_stream.h"
#include "core/routing/cold_start_limiter.h"
#include "core/routing/crash_suspects.h"
#include "core/routing/retry_budget.h"
#include "core/routing/target_health.h"

using namespace peridot;

namespace {

const instant start = instant{} + std::chrono::hours{1};
const duration settled = std::chrono::seconds{10};  // since a router's start

std::vector<std::string> events_of(const std::vector<std::string>& pieces,
                                   std::vector<std::uint64_t>& ids, std::size_t& pending) {
  event_splitter splitter;
  std::vector<std::string> events;
  for (const std::string& piece : pieces) {
    feed_events(splitter, piece, [&](std::string_view event, std::optional<std::uint64_t> id) {
      events.emplace_back(event);
      ids.push_back(id.value_or(0));
    });
  }
  pending = pending_bytes(splitter);
  return events;
}

// The most of these instants in any window of one second.
std::ptrdiff_t most_in_a_second(const std::vector<instant>& times) {
  std::ptrdiff_t most = 0;
  for (const instant& begin : times) {
    most = std::max(most, std::count_if(times.begin(), times.end(), [&begin](const instant& one) {
                      return one >= begin && one < begin + std::chrono::seconds{1};
                    }));
  }
  return most;
}

}  // namespace

TEST_CASE("a stream is split into whole events") {
  std::vector<std::uint64_t> ids;
  std::size_t pending = 0;
  SUBCASE("an event that is cut off is never handed out") {
    const std::vector<std::string> events =
        events_of({"id: 1\ndata: a\n\nid: 2\nda"}, ids, pending);
    CHECK(events == std::vector<std::string>{"id: 1\ndata: a\n\n"});
    CHECK(ids == std::vector<std::uint64_t>{1});
    CHECK(pending == 8);
  }
  SUBCASE("line ends of either kind, an extra first line, no id") {
    CHECK(
        events_of({"x-version: 4\nid: 12\ndata: a\n\n", "data: b\r\n\r\n"}, ids, pending).size() ==
        2);
    CHECK(ids == std::vector<std::uint64_t>{12, 0});
    CHECK(pending == 0);
  }
  SUBCASE("cut anywhere, the events are the same") {
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    const std::vector<std::string> whole = events_of({text}, ids, pending);
    for (std::size_t first = 0; first <= text.size(); ++first) {
      for (std::size_t second = first; second <= text.size(); ++second) {
        std::vector<std::uint64_t> other;
        CHECK(events_of(
                  {text.substr(0, first), text.substr(first, second - first), text.substr(second)},
                  other, pending) == whole);
        CHECK(other == ids);
      }
    }
  }
}

TEST_CASE("nine routers together keep the bound of further sends") {
  // The platform's bound: in any window of 10 s, 0.2 of the calls and 58 more.
  constexpr int routers = 9;
  const retry_limits limits = retry_limits_for(0.2, 58, routers);
  for (int calls_in_window : {0, 10, 100, 3'000}) {
    CAPTURE(calls_in_window);
    int further = 0;
    for (int router = 0; router < routers; ++router) {
      retry_budget budget;
      for (int call = 0; call < 10'000; ++call) {
        earn_retry_credit(budget, limits);  // a calm day before: all that can be saved up
      }
      for (int call = 0; call < calls_in_window / routers; ++call) {
        earn_retry_credit(budget, limits);
        further += try_spend_retry_credit(budget) ? 1 : 0;
        further += try_spend_retry_credit(budget) ? 1 : 0;
      }
      while (try_spend_retry_credit(budget)) {
        ++further;
      }
    }
    CHECK(further <= 0.2 * calls_in_window + 58);
  }
}

TEST_CASE("cold targets: all routers together stay within what one bears") {
  // A cold target bears 12 x 1.5 + 5 = 23 calls in any second.
  const double bears = 12 * 1.5 + 5;
  for (int routers : {1, 3, 9, 12, 20, 83}) {
    CAPTURE(routers);
    std::vector<router_address> all;
    all.reserve(static_cast<std::size_t>(routers));
    for (int router = 0; router < routers; ++router) {
      all.push_back(router_address{"10.0.0." + std::to_string(router) + ":7400"});
    }
    std::vector<cold_start_limiter> gates(all.size());
    std::vector<instant> sends;
    const target_name target{"cold"};
    for (int step = 0; step < 4'000; ++step) {
      const instant now = start + milliseconds{step};
      for (std::size_t self = 0; self < all.size(); ++self) {
        std::vector<router_address> others = all;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(self));
        if (may_send_to_cold_target(gates[self], target, bears, {all[self], others, settled},
                                    now)) {
          record_cold_send(gates[self], target, now);
          sends.push_back(now);
        }
      }
    }
    CHECK(!sends.empty());
    CHECK(static_cast<double>(most_in_a_second(sends)) <= bears);
  }
}

TEST_CASE("cold targets: routers that know of nobody still stay within the bound") {
  // A fleet that restarted empty: nine routers, each of which believes that it is alone.
  const double bears = 12 * 1.5 + 5;
  int in_one_second = 0;
  for (int router = 0; router < 9; ++router) {
    cold_start_limiter gate;
    const router_address self{"10.0.0." + std::to_string(router) + ":7400"};
    for (int step = 0; step < 1'000; ++step) {
      const instant now = start + milliseconds{step};
      if (may_send_to_cold_target(gate, target_name{"cold"}, bears, {self, {}, settled}, now)) {
        record_cold_send(gate, target_name{"cold"}, now);
        ++in_one_second;
      }
    }
  }
  CHECK(in_one_second <= bears);
}

TEST_CASE("cold targets: a large fleet that restarts all at once") {
  // cq-notebooks-grown, drawn day 0c61: 88 routers started at one moment, and each ranked
  // itself among the few that it had heard of.
  const double bears = 8.6 * 1.5 + 5;
  constexpr int fleet = 88;
  std::vector<router_address> all;
  all.reserve(fleet);
  for (int router = 0; router < fleet; ++router) {
    all.push_back(router_address{"10.0.0." + std::to_string(router) + ":7400"});
  }
  std::mt19937 random(7);
  std::vector<cold_start_limiter> gates(fleet);
  std::vector<std::vector<router_address>> views(fleet);
  std::vector<instant> sends;
  for (int step = 0; step < 4'000; step += 5) {
    const instant now = start + milliseconds{step};
    for (std::size_t self = 0; self < fleet; ++self) {
      // Of the others, about one in every 16 ms; all of them after 1.5 s.
      if (step % 100 == 0) {
        views[self] = all;
        std::erase(views[self], all[self]);
        std::shuffle(views[self].begin(), views[self].end(), random);
        views[self].resize(std::min<std::size_t>(fleet - 1, static_cast<std::size_t>(step) / 16));
      }
      if (may_send_to_cold_target(gates[self], target_name{"cold"}, bears,
                                  {all[self], views[self], now - start}, now)) {
        record_cold_send(gates[self], target_name{"cold"}, now);
        sends.push_back(now);
      }
    }
  }
  CHECK(!sends.empty());
  CHECK(static_cast<double>(most_in_a_second(sends)) <= bears);
}

TEST_CASE("a request that crashes targets is refused by every router") {
  crash_suspect_table table;
  const std::uint64_t request = request_fingerprint(organisation_name{"o"}, "/x", "body");
  CHECK(request != request_fingerprint(organisation_name{"p"}, "/x", "body"));
  CHECK(request != request_fingerprint(organisation_name{"o"}, "/x", "other"));
  record_crash(table, request, start);
  update_peer_crashes(table, request, router_address{"a"}, 1, start);
  CHECK_FALSE(is_refused_for_crashes(table, request));
  SUBCASE("the third crash counts, whoever saw it") {
    update_peer_crashes(table, request, router_address{"b"}, 1, start);
    CHECK(is_refused_for_crashes(table, request));
  }
  SUBCASE("a peer that repeats its count adds nothing") {
    update_peer_crashes(table, request, router_address{"a"}, 1, start);
    CHECK(crash_count(table, request) == 2);
  }
  SUBCASE("it is forgotten after a while") {
    record_crash(table, request, start);
    expire_crash_suspects(table, start + crash_suspect_ttl + milliseconds{1});
    CHECK(crash_count(table, request) == 0);
  }
  SUBCASE("a flood of fingerprints stays within its bound") {
    for (std::uint64_t other = 0; other < 3 * max_crash_suspects; ++other) {
      record_crash(table, other, start + milliseconds{1 + static_cast<std::int64_t>(other)});
    }
    CHECK(table.by_fingerprint.size() == max_crash_suspects);
  }
}

TEST_CASE("targets are judged by their answers") {
  health_table table;
  const target_name target{"t"};
  SUBCASE("no connection: avoided at once, longer with each relapse") {
    record_call_result(table, target, call_result::unreachable, 0, start);
    CHECK(is_avoided(table, target, start + min_avoid_time - milliseconds{1}));
    CHECK_FALSE(is_avoided(table, target, start + min_avoid_time));
    record_call_result(table, target, call_result::unreachable, 0, start + min_avoid_time);
    CHECK(is_avoided(table, target, start + min_avoid_time * 3 - milliseconds{1}));
  }
  SUBCASE("failures that all targets of the pool show are no sign") {
    for (int answer = 0; answer < 100; ++answer) {
      record_call_result(table, target,
                         answer % 7 == 0 ? call_result::error_response : call_result::success, 0.14,
                         start);
    }
    CHECK_FALSE(is_avoided(table, target, start));
  }
  SUBCASE("a grey target that fails far more often is avoided") {
    for (int answer = 0; answer < 40; ++answer) {
      record_call_result(table, target,
                         answer % 5 < 3 ? call_result::error_response : call_result::success, 0.1,
                         start);
    }
    CHECK(failure_rate(table, target) > 0.4);
    CHECK(table.targets.at(target).next_avoid_time > min_avoid_time);
  }
  SUBCASE("an avoided target is tried once in a while") {
    record_call_result(table, target, call_result::unreachable, 0, start);
    CHECK_FALSE(try_start_trial(table, target, start + milliseconds{100}));
    CHECK(try_start_trial(table, target, start + milliseconds{600}));
    CHECK_FALSE(try_start_trial(table, target, start + milliseconds{700}));
  }
  SUBCASE("a full target is not faulty") {
    for (int answer = 0; answer < 20; ++answer) {
      record_call_result(table, target, call_result::target_full, 0, start);
    }
    CHECK_FALSE(is_avoided(table, target, start));
  }
}
