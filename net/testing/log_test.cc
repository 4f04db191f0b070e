#include "net/log.h"

#include <doctest/doctest.h>

#include <string>

using namespace peridot;

TEST_CASE("a flood of lines stays within its budget and is counted") {
  start_logging("test", "info");
  const std::uint64_t before = dropped_log_lines();
  for (int line = 0; line < 5'000; ++line) {
    log_line(log_part::mesh, log_level::warn, "Line of a flood. number=" + std::to_string(line));
  }
  CHECK(dropped_log_lines() - before >= 5'000 - 2 * max_log_lines_per_second);
  SUBCASE("another part's lines are not lost with them") {
    const std::uint64_t dropped = dropped_log_lines();
    log_line(log_part::config, log_level::warn, "Another part.");
    CHECK(dropped_log_lines() == dropped);
  }
  SUBCASE("lines of a lower level cost nothing") {
    const std::uint64_t dropped = dropped_log_lines();
    for (int line = 0; line < 5'000; ++line) {
      log_line(log_part::mesh, log_level::debug, "Not wanted.");
    }
    CHECK(dropped_log_lines() == dropped);
  }
}
