#include "core/settings.h"

#include <doctest/doctest.h>

#include <string>

#include "core/testing/sample_documents.h"

namespace peridot {
namespace {

struct settings_case {
  std::string find;
  std::string replacement;
  std::string error;  // the whole text of the only error
};

const settings_case cases[] = {
    {"name = \"router-a1\"\n", "\n", "r.toml:1: name: is missing"},
    {"seeds = [", "seeds = [7, ", "r.toml:5: seeds[0]: must be a string, not an integer"},
    {"seeds = [", "seeds = [\"127.0.0.1:7402\", ", "r.toml:5: seeds[1]: repeats an address"},
    {"0123456789abcdef", "short", "r.toml:7: fleet_key: must have 16 to 512 bytes, has 5"},
    {"tick_ms = 20", "tick_ms = 0", "r.toml:8: tick_ms: must be from 1 to 1000"},
    {"tick_ms = 20", "max_connections = 1.5",
     "r.toml:8: max_connections: must be an integer, not a floating-point number"},
    {"\"info\"", "\"loud\"",
     "r.toml:9: log_level: must be one of \"debug\", \"info\", \"warn\", \"error\""},
    {"127.0.0.1:7401", "127.0.0.1:8401", "r.toml:4: mesh_address: must differ from http_address"},
    {"tick_ms = 20", "key_results_total_bytes = 10",
     "r.toml:8: key_results_total_bytes: must be at least key_result_bytes"},
};

TEST_CASE("settings of a router") {
  SUBCASE("valid settings give their values and defaults") {
    const settings_result result = parse_settings(testing::sample_settings(), "r.toml");
    REQUIRE(result.errors.empty());
    CHECK(result.settings.domain.value == "zone-a");
    CHECK(result.settings.seeds.at(0).value == "127.0.0.1:7402");
    CHECK(result.settings.watch_wait == std::chrono::milliseconds{10'000});
  }
  SUBCASE("each fault is named") {
    for (const settings_case& wanted : cases) {
      const settings_result result = parse_settings(
          testing::replace_once(testing::sample_settings(), wanted.find, wanted.replacement),
          "r.toml");
      INFO(wanted.error);
      REQUIRE(result.errors.size() == 1);
      CHECK(to_text(result.errors[0]) == wanted.error);
    }
  }
  SUBCASE("a file that cannot be read is one error without a line") {
    const settings_result absent = load_settings("/nonexistent/router.toml");
    REQUIRE(absent.errors.size() == 1);
    CHECK(to_text(absent.errors[0]) ==
          "/nonexistent/router.toml: cannot be opened: No such file or directory");
    CHECK(load_settings("/").errors.size() == 1);
  }
}

}  // namespace
}  // namespace peridot
