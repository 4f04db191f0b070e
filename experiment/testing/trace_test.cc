// Recorded traces against their stated outcomes, and the checks' own check: a
// wrong expectation and a mechanism that is switched off must both be reported.

#include "experiment/trace.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <string>

#include "core/document_file.h"

namespace peridot::experiment {
namespace {

constexpr std::size_t fewest_traces = 6;

std::string traces_folder() {
  return std::string{PERIDOT_SOURCE_DIR} + "/traces";
}

parsed_trace read_trace(const std::string& path) {
  const file_result file = read_document_file(path);
  REQUIRE(file.errors.empty());
  return parse_trace(file.text);
}

std::string first_of(const std::vector<std::string>& texts) {
  return texts.empty() ? "" : texts.front();
}

bool any_contains(const std::vector<std::string>& texts, const std::string& part) {
  return std::any_of(texts.begin(), texts.end(), [&part](const std::string& text) {
    return text.find(part) != std::string::npos;
  });
}

TEST_CASE("every recorded trace ends as stated") {
  std::size_t replayed = 0;
  for (const std::filesystem::directory_entry& file :
       std::filesystem::directory_iterator(traces_folder())) {
    CAPTURE(file.path().filename().string());
    const parsed_trace parsed = read_trace(file.path().string());
    REQUIRE(parsed.errors.empty());
    const replay_result result = replay(parsed.what);
    CHECK(first_of(result.missed) == "");

    // Each outcome that is stated can be missed.
    trace wrong = parsed.what;
    for (stated_outcome& stated : wrong.stated) {
      stated.how = comparison::equal;
      stated.value += "?";
    }
    const replay_result missed = replay(wrong);
    CHECK(missed.missed.size() == wrong.stated.size());
    ++replayed;
  }
  CHECK(replayed >= fewest_traces);
}

TEST_CASE("a trace fails when the mechanism that it is about is off") {
  SUBCASE("keys that any router may start run a call again") {
    fleet_options base;
    base.repeat_without_issuer = true;
    for (const char* name : {"/lost-answer.txt", "/issuer-killed.txt"}) {
      CAPTURE(name);
      const replay_result result = replay(read_trace(traces_folder() + name).what, base);
      CHECK(any_contains(result.missed, "ran twice"));
    }
  }
  SUBCASE("routers that keep their configuration go on using a failure domain that is out") {
    fleet_options base;
    base.stale_routers_keep_config = true;
    const replay_result result =
        replay(read_trace(traces_folder() + "/domain-out-and-back.txt").what, base);
    CHECK(!result.missed.empty());
  }
  SUBCASE("first come, first served lets a flood drown the others") {
    fleet_options base;
    base.policy = share_policy::first_come;
    const replay_result result = replay(read_trace(traces_folder() + "/flood.txt").what, base);
    CHECK(any_contains(result.missed, "first_unit_p95_ms"));
  }
}

TEST_CASE("a bad trace is refused with the line") {
  struct bad_line {
    const char* text;
    std::size_t line;
    const char* what;
  };
  const bad_line bad[] = {
      {"0 group organisation=a profile=b\nexpect violations=0", 1, "first event must be fleet"},
      {"0 fleet seed=1 length_ms=5\n", 1, "no outcome is stated"},
      {"0 fleet seed=1 length_ms=x\nexpect violations=0", 1, "must be a number"},
      {"0 fleet seed=1\nexpect violations=0", 1, "needs length_ms"},
      {"0 fleet seed=1 length_ms=5\n1 dance\nexpect violations=0", 2, "unknown event"},
      {"0 fleet seed=1 length_ms=5 hat=1\nexpect violations=0", 1, "has no field hat"},
      {"0 fleet seed=1 length_ms=5\n9 kill_router router=1\n8 kill_router router=1\nexpect a=0", 3,
       "order of their time"},
      {"0 fleet seed=1 length_ms=5\nexpect violations\n", 2, "expect key=value"},
      {"0 fleet seed=1 length_ms=5\nexpect gap<=wide\n", 2, "compared with a number"},
      {"0 fleet seed=1 length_ms=5\nexpect a=0\n1 kill_router router=1", 3, "come before"},
      {"0 fleet seed=1 length_ms=5\n1 operator step=sell name=x\nexpect a=0", 2, "no step sell"},
  };
  for (const bad_line& each : bad) {
    CAPTURE(each.text);
    const parsed_trace parsed = parse_trace(each.text);
    const bool found =
        std::any_of(parsed.errors.begin(), parsed.errors.end(), [&each](const trace_error& error) {
          return error.line == each.line && error.what.find(each.what) != std::string::npos;
        });
    CHECK(found);
  }
}

}  // namespace
}  // namespace peridot::experiment
