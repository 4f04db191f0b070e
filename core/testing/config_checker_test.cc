#include "core/config_checker.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "core/peer_messages.h"
#include "core/testing/sample_documents.h"

namespace peridot {
namespace {

// One change to the valid document and the error it must give.
struct refusal_case {
  std::string find;
  std::string replacement;
  std::size_t line;  // of the expected error
  std::string key;
  std::string problem;  // occurs in the error's problem
};

bool has_error(const std::vector<document_error>& errors, const refusal_case& wanted) {
  for (const document_error& error : errors) {
    if (error.line == wanted.line && error.key == wanted.key &&
        error.problem.find(wanted.problem) != std::string::npos) {
      return true;
    }
  }
  return false;
}

std::string all_text(const std::vector<document_error>& errors) {
  std::string text;
  for (const document_error& error : errors) {
    text += to_text(error) + "\n";
  }
  return text;
}

const std::string long_name(129, 'n');

const refusal_case config_cases[] = {
    {"version = 7\n", "\n", 1, "version", "is missing"},
    {"version = 7", "version = 0", 1, "version", "must be from 1 to"},
    {"version = 7", "version = \"7\"", 1, "version", "must be an integer, not a string"},
    {"version = 7", "versoin = 7", 1, "versoin", "unknown key; known are: version, fleet"},
    {"lease_ms = 2000", "lease_ms = 800", 5, "fleet.grant_validity_ms", "below half of lease_ms"},
    {"lease_ms = 2000", "lease_ms = 20.5", 4, "fleet.lease_ms", "not a floating-point number"},
    {"lease_ms = 2000", "lease_ms = 900", 4, "fleet.lease_ms", "at least twice"},
    {"lease_ms = 2000", "lease = 2000", 4, "fleet.lease", "unknown key"},
    {"lease_ms = 2000", "lease_ms = 2000\nlease_ms = 2000", 5, "", "not valid TOML"},
    {"interval_ms = 500", "interval_ms = 9", 3, "fleet.heartbeat_interval_ms", "from 10 to 10000"},
    {"\"zone-b\"\nout", "\"zone-a\"\nout", 11, "failure_domain[1].name", "already used on line 8"},
    {"out = true", "out = 1", 12, "failure_domain[1].out", "must be a boolean"},
    {"pool = \"explain\" # of", "pool = \"none\" # of", 16, "profile[0].pool", "no [[target]] has"},
    {"max_retries = 1", "path = \"v1\"", 18, "profile[0].path", "must start with '/'"},
    {"max_retries = 1", "path = \"/v1?a\"", 18, "profile[0].path", "hold no space, '?'"},
    {"\"interactive\"", "\"fast\"", 17, "profile[0].class", "one of \"interactive\", \"standard\""},
    {"[fleet]", "[]", 2, "", "not valid TOML"},
    {"[fleet]", "[=fleet]", 2, "", "a key or value is expected"},
    {"weight = 2", "\xc3\xa9 = 2", 22, "", "not valid TOML"},
    {"weight = 2", "weight = 2 \xe3\x81\x82", 22, "", "not valid TOML"},
    {"\"bank\"", "\"\"\"\\\n \xc3\xa9 \"\"\"", 21, "organisation[0].name", "no space at either"},
    {"max_retries = 1", "max_retries = 11", 18, "profile[0].max_retries", "from 0 to 10"},
    {"weight = 2", "weight = 0", 22, "organisation[0].weight", "must be from 0.001 to 1000"},
    {"weight = 2", "weight = nan", 22, "organisation[0].weight", "must be from"},
    {"\"bank\"", "\"\"", 21, "organisation[0].name", "must have 1 to 128 bytes"},
    {"\"bank\"", "\"a\\u0000b\"", 21, "organisation[0].name", "no control characters"},
    {"\"bank\"", "\"a\\u0085b\"", 21, "organisation[0].name", "no control characters"},
    {"\"bank\"", "\"bank \"", 21, "organisation[0].name", "no space at either end"},
    {"\"bank\"", "\"" + long_name + "\"", 21, "organisation[0].name", "1 to 128 bytes"},
    {"10.0.0.9:8000", "engine-1:8000", 26, "target[0].address", "must be IP:port"},
    {"10.0.0.9:8000", "10.0.0.9", 26, "target[0].address", "must be IP:port"},
    {"10.0.0.9:8000", "fd00::9:8000", 26, "target[0].address", "must be IP:port"},
    {"10.0.0.9:8000", "[fd00:0::9]:8000", 26, "target[0].address", "shortest form, fd00::9"},
    {"10.0.0.9:8000", "0.0.0.0:8000", 26, "target[0].address", "unspecified"},
    {"10.0.0.9:8000", "10.0.0.9:65536", 26, "target[0].address", "port from 1 to 65535"},
    {"10.0.0.9:8000", "10.0.0.9:080", 26, "target[0].address", "port from 1 to 65535"},
    {"10.0.0.9:8000", "[fd00::a]:8000", 37, "target[1].address", "already used on line 26"},
    {"\"engine-2\"", "\"engine-1\"", 36, "target[1].name", "already used on line 25"},
    {"domain = \"zone-a\" # of", "domain = \"zone-c\" # of", 28, "target[0].failure_domain",
     "no [[failure_domain]] has the name \"zone-c\""},
    {"\"model_engine\"", "\"engine\"", 29, "target[0].kind", "must be one of"},
    {"cold_limit = 2", "cold_limit = 9", 31, "target[0].cold_limit", "not be above warm_limit"},
    {"reserved_slots = 1", "reserved_slots = 8", 32, "target[0].reserved_slots",
     "below warm_limit"},
    {"warm_limit = 8", "warm_limit = 65537", 30, "target[0].warm_limit", "from 1 to 65536"},
    {"drained = false", "drained = 2020-01-01", 33, "target[0].drained", "not a date or time"},
};

TEST_CASE("a published configuration is read whole or refused whole") {
  const std::string valid = testing::sample_config();
  const config_result accepted = parse_published_config(valid, "fleet.toml");
  INFO(all_text(accepted.errors));
  REQUIRE(accepted.config != nullptr);

  SUBCASE("the valid document gives its values and the defaults of absent keys") {
    const published_config& config = *accepted.config;
    CHECK(config.version == 7);
    CHECK(config.digest == stable_hash(valid));
    CHECK(config.text == valid);
    CHECK(config.fleet.lease == std::chrono::milliseconds{2'000});
    CHECK(config.domains[1].out);
    CHECK(config.profiles[0].priority == traffic_class::interactive);
    CHECK(config.profiles[0].queue_deadline == std::chrono::milliseconds{10'000});
    CHECK(config.organisations[0].weight == 2);
    CHECK(config.targets[0].cold_limit == 2);
    CHECK(config.targets[1].address == "[fd00::a]:8000");
  }

  SUBCASE("each fault is named by line and key") {
    for (const refusal_case& wanted : config_cases) {
      const std::string text = testing::replace_once(valid, wanted.find, wanted.replacement);
      const config_result result = parse_published_config(text, "fleet.toml");
      INFO(wanted.replacement << " gave\n" << all_text(result.errors));
      CHECK(result.config == nullptr);
      CHECK(has_error(result.errors, wanted));
    }
  }

  SUBCASE("all faults are reported at once, in the order of lines") {
    std::string text = testing::replace_once(valid, "weight = 2", "weight = -1");
    text = testing::replace_once(text, "version = 7", "version = true");
    const config_result result = parse_published_config(text, "fleet.toml");
    REQUIRE(result.errors.size() == 2);
    CHECK(to_text(result.errors[0]) == "fleet.toml:1: version: must be an integer, not a boolean");
    CHECK(to_text(result.errors[1]) ==
          "fleet.toml:22: organisation[0].weight: must be from 0.001 to 1000");
  }
}

TEST_CASE("documents cannot exhaust the reader") {
  SUBCASE("errors are bounded") {
    std::string text = "version = 1\n";
    for (int index = 0; index < 300; ++index) {
      text += "unknown_" + std::to_string(index) + " = 1\n";
    }
    CHECK(parse_published_config(text, "f").errors.size() == 100);
  }
  SUBCASE("the number of targets is bounded") {
    std::string text = "version = 1\n";
    for (int index = 0; index < 20'001; ++index) {
      text += "[[target]]\n";
    }
    const config_result result = parse_published_config(text, "f");
    REQUIRE(result.errors.size() == 1);
    CHECK(to_text(result.errors[0]) == "f:2: target: has 20001 tables, at most 20000 are allowed");
  }
  SUBCASE("an assertion of the parser is a refusal with its line, wherever it stands") {
    for (int before = 0; before < 40; ++before) {
      std::string text = "version = 1\n";
      for (int index = 0; index < before; ++index) {
        text += index % 3 == 0 ? "\n" : "k" + std::to_string(index) + " = 1\n";
      }
      const config_result result = parse_published_config(text + "[=a]\n\nb = 1\n", "f");
      REQUIRE(result.errors.size() == 1);
      CHECK(result.errors[0].line == static_cast<std::size_t>(before) + 2);
    }
  }
  SUBCASE("size, line length and depth are bounded") {
    const config_result large = parse_published_config(std::string((1 << 20) + 1, '\n'), "f");
    CHECK(large.errors.at(0).problem == "the document is longer than 1048576 bytes");
    std::string deep = "version = 1\na";
    for (int index = 0; index < 400'000; ++index) {
      deep += ".a";
    }
    const config_result dotted = parse_published_config(deep + " = 1\n", "f");
    CHECK(to_text(dotted.errors.at(0)) == "f:2: the line is longer than 1024 bytes");
    const std::string arrays = "a = " + std::string(500, '[') + std::string(500, ']') + "\n";
    CHECK(parse_published_config(arrays, "f").errors.at(0).line == 1);
  }
}

const refusal_case list_cases[] = {
    {"version = 3", "version = -3", 1, "version", "must be from 1"},
    {"127.0.0.1:7401", "localhost:7401", 4, "router[0].address", "must be IP:port"},
    {"127.0.0.1:8402", "127.0.0.1:8401", 11, "router[1].http_address", "already used on line 5"},
    {"\"zone-a\"", "5", 6, "router[0].failure_domain", "must be a string"},
    {"state = \"leaving\"", "state = \"gone\"", 13, "router[1].state", "\"live\", \"leaving\""},
    {"name = \"engine-1\"\n", "", 15, "target[0].name", "is missing"},
    {"[[router]]", "[router]", 9, "", "not valid TOML"},
    {"[[target]]", "[[targets]]", 15, "targets", "unknown key; known are: version, router"},
    {"[[target]]", "[target]", 15, "target", "must be an array, not a table"},
};

TEST_CASE("an instance list is read whole or refused whole") {
  const std::string valid = testing::sample_list();
  const list_result accepted = parse_instance_list(valid, "list.toml");
  INFO(all_text(accepted.errors));
  REQUIRE(accepted.list != nullptr);
  CHECK(accepted.list->routers[1].state == instance_state::leaving);
  CHECK(accepted.list->targets[0].name.value == "engine-1");
  for (const refusal_case& wanted : list_cases) {
    const std::string text = testing::replace_once(valid, wanted.find, wanted.replacement);
    const list_result result = parse_instance_list(text, "list.toml");
    INFO(wanted.replacement << " gave\n" << all_text(result.errors));
    CHECK(result.list == nullptr);
    CHECK(has_error(result.errors, wanted));
  }
}

}  // namespace
}  // namespace peridot
