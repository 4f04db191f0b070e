#include "core/timeline.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace peridot {
namespace {

using wall_time = std::chrono::system_clock::time_point;

// A message under way: which event of which process sent it.
struct sent_message {
  std::string process;
  std::uint64_t sequence = 0;
};

// Rings of several processes whose wall clocks differ by up to five seconds.
// Each event may follow from a message that any process sent earlier.
std::vector<timeline> random_rings(std::mt19937_64& random) {
  const std::size_t processes = 2 + random() % 5;
  const std::size_t capacity = 5 + random() % 60;
  std::vector<timeline> rings;
  std::vector<std::chrono::milliseconds> offsets;
  for (std::size_t process = 0; process < processes; ++process) {
    rings.push_back(make_timeline("router-" + std::to_string(process), capacity));
    offsets.emplace_back(static_cast<int>(random() % 10'001) - 5'000);
  }
  std::vector<sent_message> messages;
  std::chrono::milliseconds time{1'000'000};
  for (int step = 0; step < 200; ++step) {
    time += std::chrono::milliseconds{random() % 20};
    const std::size_t process = random() % processes;
    timeline_event event;
    event.kind = event_kind::grant_received;
    event.request = "r" + std::to_string(random() % 4);
    if (!messages.empty() && random() % 2 == 0) {
      const sent_message& cause = messages[random() % messages.size()];
      event.cause_process = cause.process;
      event.cause_sequence = cause.sequence;
    }
    const std::uint64_t sequence =
        record(rings[process], event, instant{time}, wall_time{time + offsets[process]});
    messages.push_back({rings[process].process, sequence});
  }
  return rings;
}

// Position of an event in a merged order, or its size if it is not there.
std::size_t position_of(const std::vector<merged_event>& events, const std::string& process,
                        std::uint64_t sequence) {
  auto found = std::find_if(events.begin(), events.end(), [&](const merged_event& merged) {
    return merged.process == process && merged.event.sequence == sequence;
  });
  return static_cast<std::size_t>(found - events.begin());
}

// Events that come before an event which they must follow.
std::size_t violations(const std::vector<merged_event>& events) {
  std::size_t count = 0;
  for (std::size_t index = 0; index < events.size(); ++index) {
    const timeline_event& event = events[index].event;
    const std::size_t cause = position_of(events, event.cause_process, event.cause_sequence);
    const std::size_t previous = position_of(events, events[index].process, event.sequence - 1);
    count += cause != events.size() && cause > index ? 1 : 0;
    count += previous != events.size() && previous > index ? 1 : 0;
  }
  return count;
}

// Slow oracle: looks over all events each time for those that nothing holds back
// and takes the earliest.
std::vector<merged_event> slow_merge(const std::vector<parsed_timeline>& rings) {
  std::vector<merged_event> waiting;
  for (const parsed_timeline& ring : rings) {
    for (const timeline_event& event : ring.events) {
      waiting.push_back({ring.process, event});
    }
  }
  std::vector<merged_event> merged;
  while (!waiting.empty()) {
    std::size_t best = waiting.size();
    for (std::size_t index = 0; index < waiting.size(); ++index) {
      const merged_event& candidate = waiting[index];
      const bool held = position_of(waiting, candidate.event.cause_process,
                                    candidate.event.cause_sequence) != waiting.size() ||
                        std::any_of(waiting.begin(), waiting.end(), [&](const merged_event& other) {
                          return other.process == candidate.process &&
                                 other.event.sequence < candidate.event.sequence;
                        });
      if (!held && (best == waiting.size() ||
                    std::tie(candidate.event.wall, candidate.process) <
                        std::tie(waiting[best].event.wall, waiting[best].process))) {
        best = index;
      }
    }
    merged.push_back(waiting[best]);
    waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(best));
  }
  return merged;
}

std::vector<std::string> ids(const std::vector<merged_event>& events) {
  std::vector<std::string> result;
  result.reserve(events.size());
  for (const merged_event& merged : events) {
    result.push_back(merged.process + "#" + std::to_string(merged.event.sequence));
  }
  return result;
}

TEST_CASE("merged time lines respect cause though clocks disagree") {
  std::mt19937_64 random{41};
  std::size_t violations_by_clock = 0;
  for (int round = 0; round < 30; ++round) {
    std::vector<parsed_timeline> rings;
    for (const timeline& ring : random_rings(random)) {
      rings.push_back(parse_lines(to_lines(ring)));
      CHECK(rings.back().bad_lines == 0);
      CHECK(rings.back().events.size() == ring.events.size());
    }
    const std::vector<merged_event> merged = merge(rings);
    CHECK(violations(merged) == 0);
    CHECK(ids(merged) == ids(slow_merge(rings)));
    std::reverse(rings.begin(), rings.end());
    CHECK(ids(merge(rings)) == ids(merged));

    std::vector<merged_event> by_clock = merged;
    std::stable_sort(by_clock.begin(), by_clock.end(),
                     [](const merged_event& left, const merged_event& right) {
                       return left.event.wall < right.event.wall;
                     });
    violations_by_clock += violations(by_clock);
  }
  CHECK(violations_by_clock > 100);  // the check finds an order by wall clock alone
}

TEST_CASE("a ring keeps the newest events within its capacity") {
  timeline ring = make_timeline("router-1", 2);
  for (int index = 0; index < 5; ++index) {
    record(ring, {}, instant{}, wall_time{});
  }
  CHECK(ring.events.size() == 2);
  CHECK(ring.dropped == 3);
  CHECK(ring.events.front().sequence == 4);
}

TEST_CASE("lines carry any text and survive damage") {
  timeline ring = make_timeline("router 1", 10);
  timeline_event event;
  event.kind = event_kind::suspect_marked;
  event.request = "a=b c%20\n\t\x01";
  event.organisation.value = "Ñandú 100%";
  event.target.value = "engine-1";
  event.detail = "pool=explain shard=2";
  record(ring, event, instant{std::chrono::microseconds{5}}, wall_time{});
  const std::string text = to_lines(ring);

  SUBCASE("an event is one line and reads back the same") {
    CHECK(std::count(text.begin(), text.end(), '\n') == 1);
    const parsed_timeline parsed = parse_lines(text);
    REQUIRE(parsed.events.size() == 1);
    CHECK(parsed.process == "router 1");
    CHECK(parsed.events[0].kind == event_kind::suspect_marked);
    CHECK(parsed.events[0].request == event.request);
    CHECK(parsed.events[0].organisation == event.organisation);
    CHECK(parsed.events[0].detail == event.detail);
    CHECK(parsed.events[0].monotonic == std::chrono::microseconds{5});
  }
  SUBCASE("bad lines are counted, unknown keys are skipped") {
    const std::string good = "process=p seq=2 kind=peer_alive mono_us=1 wall_us=2 new=1\n";
    const std::string bad[] = {
        "seq=3 kind=peer_alive mono_us=1 wall_us=2",
        "process=p seq=x kind=peer_alive mono_us=1 wall_us=2",
        "process=p seq=3 kind=none mono_us=1 wall_us=2",
        "process=p seq=3 kind=peer_alive mono_us=1 wall_us=2 detail=%4",
        "process=p seq=3 kind=peer_alive mono_us=1 wall_us=9223372036854775807",
        "process=p seq=2 kind=peer_alive mono_us=1 wall_us=2",
        "process=q seq=3 kind=peer_alive mono_us=1 wall_us=2",
        "no fields"};
    for (const std::string& line : bad) {
      INFO(line);
      const parsed_timeline parsed = parse_lines(good + line + "\n");
      CHECK(parsed.bad_lines == 1);
      CHECK(parsed.events.size() == 1);
    }
  }
  SUBCASE("rings that contradict each other still merge") {
    const parsed_timeline first = parse_lines(
        "process=a seq=1 kind=peer_alive mono_us=1 wall_us=9 cause_process=b cause_seq=1\n");
    const parsed_timeline second = parse_lines(
        "process=b seq=1 kind=peer_alive mono_us=1 wall_us=5 cause_process=a cause_seq=1\n");
    CHECK(ids(merge({first, second})) == std::vector<std::string>{"b#1", "a#1"});
  }
  SUBCASE("a filter keeps what matches every field") {
    const std::vector<merged_event> merged = merge({parse_lines(text)});
    CHECK(filter(merged, {}).size() == 1);
    CHECK(filter(merged, {event.request, event.organisation, {}, "router 1"}).size() == 1);
    CHECK(filter(merged, {"other", event.organisation, {}, ""}).empty());
    CHECK(filter(merged, {"", {}, target_name{"engine-2"}, ""}).empty());
    CHECK(filter(merged, {"", {}, {}, "router-2"}).empty());
  }
}

}  // namespace
}  // namespace peridot
