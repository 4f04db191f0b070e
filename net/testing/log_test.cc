#include "net/log.h"

#include <doctest/doctest.h>

#include <string>

using namespace peridot;

TEST_CASE("log: lines beyond the limit per second are dropped and counted") {
  start_logging("test", "info");
  const std::uint64_t before = dropped_log_lines();
  for (int line = 0; line < 5'000; ++line) {
    log_line(log_part::mesh, log_level::warn, "Repeated line. number=" + std::to_string(line));
  }
  // The lines may fall into two windows of one second.
  CHECK(dropped_log_lines() - before >= 5'000 - 2 * max_log_lines_per_second);
  SUBCASE("lines that are dropped are not built") {
    const std::uint64_t dropped = dropped_log_lines();
    int built = 0;
    for (int line = 0; line < 5'000; ++line) {
      log_call_line(log_part::mesh, log_level::warn, [&built]() {
        ++built;
        return std::string("Repeated line.");
      });
    }
    CHECK(built + static_cast<int>(dropped_log_lines() - dropped) == 5'000);
    CHECK(built <= 2 * max_log_lines_per_second);
  }
  SUBCASE("lines of another part are not dropped") {
    const std::uint64_t dropped = dropped_log_lines();
    log_line(log_part::config, log_level::warn, "Line of another part.");
    CHECK(dropped_log_lines() == dropped);
  }
  SUBCASE("lines below the log level do not count") {
    const std::uint64_t dropped = dropped_log_lines();
    for (int line = 0; line < 5'000; ++line) {
      log_line(log_part::mesh, log_level::debug, "Line below the level.");
    }
    CHECK(dropped_log_lines() == dropped);
  }
}
