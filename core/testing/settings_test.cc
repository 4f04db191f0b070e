#include "core/settings/settings.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

const std::string valid_settings =
    "name = \"router-1\"\ndomain = \"zone-a\"\ncallers_address = \"10.0.0.1:8080\"\n"
    "readiness_address = \"10.0.0.1:8081\"\nmesh_address = \"10.0.0.1:7400\"\n"
    "seeds = [\"10.0.0.2:8082\"]\nstore_address = \"10.0.0.9:80\"\n"
    "fleet_key = \"0123456789abcdef\"\nretry_ratio = 0.3\ncold_slack = 7\n";

std::string first_error(const std::string& text) {
  const settings_result result = parse_settings(text, "r.toml");
  return result.errors.empty() ? "" : to_text(result.errors.front());
}

}  // namespace

TEST_CASE("valid settings are read, and missing optional keys keep their defaults") {
  const settings_result result = parse_settings(valid_settings, "r.toml");
  REQUIRE(result.errors.empty());
  CHECK(result.settings.domain.value == "zone-a");
  CHECK(result.settings.seeds.size() == 1);
  CHECK(result.settings.retry_ratio == 0.3);
  CHECK(result.settings.cold_slack == 7);
  CHECK(result.settings.stop_grace == milliseconds{8'000});
}

TEST_CASE("each error names file, line and key") {
  CHECK(first_error(valid_settings + "colour = 1\n").find("r.toml:11: colour") == 0);
  CHECK(first_error(valid_settings + "retry_slack = \"many\"\n").find("retry_slack") !=
        std::string::npos);
  CHECK(first_error(valid_settings + "stop_grace_ms = 1\n").find("stop_grace_ms") !=
        std::string::npos);
  CHECK(first_error(valid_settings + "log_level = \"loud\"\n").find("log_level") !=
        std::string::npos);
  CHECK(parse_settings("name = \"x\"\n", "r.toml").errors.size() == 6);  // the other required keys
  CHECK(first_error("name = \n").find("r.toml:1") == 0);
  std::string same_address = valid_settings;
  same_address.replace(same_address.find("10.0.0.1:8081"), 13, "10.0.0.1:8080");
  CHECK(first_error(same_address).find("readiness_address") != std::string::npos);
  SUBCASE("the value of a secret never appears in an error") {
    std::string text = valid_settings;
    text.replace(text.find("0123456789abcdef"), 16, "short-secret");
    CHECK(first_error(text).find("fleet_key") != std::string::npos);
    CHECK(first_error(text).find("short-secret") == std::string::npos);
  }
}
