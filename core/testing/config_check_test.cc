#include "core/fleet/config_check.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace peridot;

namespace {

// A configuration without findings.
fleet_config sound_config() {
  fleet_config config;
  config.version = 4;
  config.tokens_per_second = 100'000;
  pool engines;
  engines.name = pool_name{"engines"};
  engines.has_engines = true;
  engines.batch_slots = 12;
  engines.kv_capacity_tokens = 200'000;
  pool bookings;
  bookings.name = pool_name{"bookings"};
  config.pools = {{engines.name, engines}, {bookings.name, bookings}};
  route chat;
  chat.name = route_name{"chat"};
  chat.host = "app.example";
  chat.path_prefix = "/chat/";
  chat.kind = call_kind::streaming;
  chat.carries_prompt = true;
  chat.resumable = true;
  chat.pools = {{engines.name, 1}};
  route book;
  book.name = route_name{"book"};
  book.host = "app.example";
  book.path_prefix = "/book/";
  book.pools = {{bookings.name, 1}};
  config.routes = {chat, book};
  config.organisations = {{organisation_name{"org-1"}, {"key-1"}},
                          {organisation_name{"org-2"}, {"key-2"}}};
  return config;
}

bool has_finding(const fleet_config& config, finding_severity severity, const std::string& subject,
                 const std::string& part) {
  const std::vector<config_finding> findings = check_config(config);
  return std::any_of(findings.begin(), findings.end(), [&](const config_finding& finding) {
    return finding.severity == severity && finding.subject == subject &&
           finding.text.find(part) != std::string::npos;
  });
}

}  // namespace

TEST_CASE("a configuration before it is sent") {
  fleet_config config = sound_config();
  CHECK(check_config(config).empty());
  SUBCASE("errors: a route to a pool that does not exist") {
    config.routes[0].pools.push_back({pool_name{"gone"}, 1});
    CHECK(has_finding(config, finding_severity::error, "route chat", "gone"));
  }
  SUBCASE("errors: a key that two organisations hold") {
    config.organisations[1].keys.push_back("key-1");
    CHECK(has_finding(config, finding_severity::error, "organisation org-2", "org-1"));
    const std::vector<config_finding> findings = check_config(config);
    CHECK(std::none_of(findings.begin(), findings.end(), [](const config_finding& finding) {
      return finding.text.find("key-1") != std::string::npos;  // keys are secret
    }));
  }
  SUBCASE("never matches: a route behind one of the same host and prefix") {
    config.routes.push_back(config.routes[0]);
    config.routes.back().name = route_name{"chat-2"};
    CHECK(has_finding(config, finding_severity::error, "route chat-2", "never matches"));
  }
  SUBCASE("never matches: a host in upper case") {
    config.routes[1].host = "App.example";
    CHECK(has_finding(config, finding_severity::error, "route book", "never matches"));
  }
  SUBCASE("never used: a pool without a route, an organisation without keys") {
    config.routes.pop_back();
    config.organisations[0].keys.clear();
    CHECK(has_finding(config, finding_severity::warning, "pool bookings", "no route"));
    CHECK(has_finding(config, finding_severity::warning, "organisation org-1", "no keys"));
  }
  SUBCASE("limits that contradict each other") {
    config.routes[0].latency_objective = config.routes[0].timeout + milliseconds{1};
    config.routes[1].max_attempts = 2;
    config.pools.at(pool_name{"engines"}).max_connections = 11;
    config.pools.at(pool_name{"engines"}).link_mbits_per_second = 1'000;
    config.limits.header_timeout = config.limits.idle_timeout + milliseconds{1};
    CHECK(has_finding(config, finding_severity::error, "route chat", "beyond the timeout"));
    CHECK(has_finding(config, finding_severity::warning, "route book", "only once"));
    CHECK(has_finding(config, finding_severity::error, "pool engines", "fewer connections"));
    CHECK(has_finding(config, finding_severity::warning, "pool engines", "not both"));
    CHECK(has_finding(config, finding_severity::warning, "limits", "idle timeout"));
  }
  SUBCASE("nothing in it") {
    CHECK(has_finding({}, finding_severity::error, "routes", "none"));
  }
}

TEST_CASE("what differs from the version in force") {
  const fleet_config in_force = sound_config();
  fleet_config config = in_force;
  CHECK(config_changes(in_force, config).empty());
  CHECK(check_version(in_force, config).size() == 1);  // the same version is ignored
  config.version = 5;
  CHECK(check_version(in_force, config).empty());
  SUBCASE("of a route, by field") {
    config.routes[0].timeout = milliseconds{3'000};
    const std::vector<config_change> changes = config_changes(in_force, config);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].subject == "route chat");
    CHECK(changes[0].text == "timeout_ms 30000 -> 3000");
  }
  SUBCASE("what was added and removed") {
    config.routes.pop_back();
    config.pools[pool_name{"extra"}].name = pool_name{"extra"};
    const std::vector<config_change> changes = config_changes(in_force, config);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].kind == change_kind::removed);
    CHECK(changes[0].subject == "route book");
    CHECK(changes[1].kind == change_kind::added);
    CHECK(changes[1].subject == "pool extra");
  }
  SUBCASE("keys, by their number only") {
    config.organisations[0].keys = {"key-3", "key-4"};
    const std::vector<config_change> changes = config_changes(in_force, config);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].text == "2 keys added, 1 removed");
  }
  SUBCASE("limits") {
    config.tokens_per_second = 50'000;
    const std::vector<config_change> changes = config_changes(in_force, config);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].subject == "limits");
  }
}
