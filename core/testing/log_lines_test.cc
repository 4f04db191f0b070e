#include "core/base/log_lines.h"

#include <doctest/doctest.h>

using namespace peridot;

TEST_CASE("log lines of several processes are merged by timestamp") {
  const std::vector<std::string> lines = {
      "2026-12-04T00:27:16.267 INFO  router-3 http: Call sent. call=88 target=i-4 send=1",
      "  12.5 node 2026-12-04T00:27:16.100 WARN  router-1 target: Answer lost. call=88 target=i-3",
      "not a line of a log",
      "2026-12-04T00:27:16.267 INFO  router-3 http: Call ended. call=88 outcome=answered"};
  std::vector<log_line_record> records;
  for (const std::string& line : lines) {
    log_line_record record;
    if (parse_log_line(line, record)) {
      records.push_back(record);
    }
  }
  REQUIRE(records.size() == 3);
  const std::vector<log_line_record> merged = merge_log_lines(records);
  CHECK(merged[0].process == "router-1");
  CHECK(merged[0].line.starts_with("2026-"));
  CHECK(merged[1].line.find("Call sent") != std::string::npos);
  CHECK(merged[2].line.find("Call ended") != std::string::npos);
  SUBCASE("a field is found only by its full key") {
    CHECK(log_field(merged[1].line, "call") == "88");
    CHECK(log_field(merged[1].line, "target") == "i-4");
    CHECK(log_field(merged[1].line, "all") == "");
    CHECK(log_field(merged[2].line, "outcome") == "answered");
  }
}
