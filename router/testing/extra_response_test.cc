// A faulty target sends additional bytes that have the form of a response, on a connection that is
// kept.
#include <string>

#include "router/testing/router_fixture.h"

using namespace peridot;
using namespace peridot::testing;

// Guards against review/11 (MIXED): such bytes passed as the response to the next call.
TEST_CASE("additional bytes without an id are not the response to the next call") {
  router_fixture fixture;
  start(fixture, 1);
  std::string extra;
  SUBCASE("a success") {
    extra = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged";
  }
  SUBCASE("a success whose id is empty") {
    extra = "HTTP/1.1 200 OK\r\nX-Peridotspur-Attempt-Id: \r\nContent-Length: 6\r\n\r\nforged";
  }
  SUBCASE("a promise that is not the target's") {
    extra = "HTTP/1.1 408 Timeout\r\nContent-Length: 0\r\n\r\n";
  }
  SUBCASE("an error") {
    extra = "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n";
  }
  SUBCASE("in chunks") {
    extra = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nforged\r\n0\r\n\r\n";
  }
  SUBCASE("several") {
    extra =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
        "6\r\n\r\nforged";
  }
  SUBCASE("after an interim response") {
    extra = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged";
  }
  fixture.targets.script = {{answer_of("first")}, {extra + answer_of("second")}};
  REQUIRE(call_once(fixture, "first").status == 200);
  const caller_view view = call_once(fixture, "second");
  CHECK(view.status == 200);
  CHECK(view.body == "ok");
  CHECK(fixture.targets.connections.size() == 1);
  CHECK(fixture.router.target_client.responses_skipped > 0);
  CHECK(fixture.router.target_client.idle_connections.empty());
}

TEST_CASE("where nothing can follow additional bytes, the call fails") {
  router_fixture fixture;
  start(fixture, 1);
  std::string extra;
  SUBCASE("they end with the connection") {
    extra = "HTTP/1.1 200 OK\r\n\r\nforged";
  }
  SUBCASE("they announce the end of the connection") {
    extra = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nforged";
  }
  fixture.targets.script = {{answer_of("first")}, {extra + answer_of("second")}};
  REQUIRE(call_once(fixture, "first").status == 200);
  const caller_view view = call_once(fixture, "second");
  CHECK(view.status >= 500);
  CHECK(view.body.find("forged") == std::string::npos);
}

// The counterparts: responses that may lack the id.
TEST_CASE("a response without an id counts where the target does not echo ids") {
  router_fixture fixture;
  start(fixture, 2);
  const std::string plain = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nplain";
  SUBCASE("on a new connection") {
    fixture.targets.script = {{plain}};
    CHECK(call_once(fixture, "first").body == "plain");
  }
  SUBCASE("on a connection whose responses had none") {
    fixture.targets.script = {{plain}, {plain}};
    CHECK(call_once(fixture, "first").body == "plain");
    CHECK(call_once(fixture, "second").body == "plain");
  }
  SUBCASE("for a call without an id") {
    fixture.targets.script = {{answer_of("first")}, {plain}};
    CHECK(call_once(fixture, "first").body == "ok");
    CHECK(call_once(fixture, "").body == "plain");
  }
  SUBCASE("if it says that the call was not run") {
    const std::string refusal =
        "HTTP/1.1 503 Full\r\nX-Peridotspur-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    fixture.targets.script = {{answer_of("first")}, {refusal}, {answer_of("second")}};
    CHECK(call_once(fixture, "first").body == "ok");
    CHECK(call_once(fixture, "second").body == "ok");
    CHECK(fixture.targets.requests.size() == 3);
  }
  SUBCASE("if it says that another target is meant") {
    const std::string misdirected = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n";
    fixture.targets.script = {{answer_of("first")}, {misdirected}, {answer_of("second")}};
    CHECK(call_once(fixture, "first").body == "ok");
    CHECK(call_once(fixture, "second").body == "ok");
    CHECK(fixture.targets.requests.size() == 3);
  }
  CHECK(fixture.router.target_client.responses_skipped == 0);
}
