// Targets that send bytes without end, in a head or a body, for each kind of call: the caller is
// told at once where it is plainly no response, the router reads a bounded number of bytes, and a
// complete response that such bytes follow stays complete.
#include <doctest/doctest.h>

#include "net/testing/endless_server.h"
#include "router/testing/router_fixture.h"

using namespace peridot;
using namespace peridot::testing;

namespace {

const std::string stream_head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

// A test that ends at the route's timeout would take longer; at full speed, the limit on bytes is
// reached sooner.
constexpr milliseconds long_route_timeout{3'000};
constexpr milliseconds at_once{1'500};
constexpr std::size_t max_read_bytes = 4 << 20;
// What may be sent beyond the router's limit: buffers of sockets and of the event loop.
constexpr std::size_t buffered_bytes = 8 << 20;

struct endless_fixture {
  router_fixture router;
  endless_server server;
};

// Starts a router whose only target sends `preamble` and then `pattern` without end.
void start(endless_fixture& fixture, const std::string& preamble, const std::string& pattern) {
  start(fixture.router, 1);
  fixture.server.preamble = preamble;
  fixture.server.pattern = pattern;
  listen_endlessly(fixture.router.router.base.get(), fixture.server);
  router_state& router = fixture.router.router;
  router.store.targets.targets.begin()->second.entry.address = fixture.server.address;
  fleet_config config = *router.store.config;
  for (route& route : config.routes) {
    route.timeout = long_route_timeout;
  }
  router.store.config = finish_config(std::move(config));
}

// Sends a call and checks that its end comes at once, and that the router has closed the
// connection.
caller_view call_endless(endless_fixture& fixture, const std::string& path) {
  const instant sent_at = current_time();
  fixture.server.bytes_sent = 0;
  caller_view view = call(fixture.router, path);
  CHECK(current_time() - sent_at < at_once);
  run_for(fixture.router.router.base.get(), milliseconds{50});
  CHECK(fixture.server.open_connections == 0);
  CHECK(fixture.server.bytes_sent < max_read_bytes + buffered_bytes);
  return view;
}

}  // namespace

TEST_CASE("a target sends bytes without end before a response") {
  endless_fixture fixture;
  SUBCASE("interim responses") {
    start(fixture, "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
  }
  SUBCASE("a status line") {
    start(fixture, "HTTP/1.1 200 ", "OK");
  }
  SUBCASE("a header field") {
    start(fixture, "HTTP/1.1 200 OK\r\nX-A: ", "a");
  }
  SUBCASE("header fields") {
    start(fixture, "HTTP/1.1 200 OK\r\n", "X-A: a\r\n");
  }
  SUBCASE("bytes that are no response") {
    start(fixture, "", "garbage ");
  }
  SUBCASE("responses to another call") {
    start(fixture, "",
          "HTTP/1.1 200 OK\r\nX-Peridotspur-Attempt-Id: c0\r\nContent-Length: 2\r\n\r\nab");
  }
  SUBCASE("the body of a response to another call") {
    start(fixture, "HTTP/1.1 200 OK\r\nX-Peridotspur-Attempt-Id: c0\r\n\r\n", "ab");
  }
  for (const char* path : {"/once/", "/idempotent/", "/stream/", "/resumable/"}) {
    CAPTURE(path);
    const caller_view view = call_endless(fixture, path);
    CHECK(view.status == 502);
    CHECK(view.complete);
  }
}

TEST_CASE("a target sends a body without end") {
  endless_fixture fixture;
  SUBCASE("until the connection closes") {
    start(fixture, "HTTP/1.1 200 OK\r\n\r\n", "ab");
  }
  SUBCASE("in chunks") {
    start(fixture, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n");
  }
  SUBCASE("a chunk line") {
    start(fixture, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;", "a");
  }
  SUBCASE("trailer fields") {
    start(fixture, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: a\r\n");
  }
  SUBCASE("of an announced length that no response has") {
    start(fixture, "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999\r\n\r\n", "ab");
  }
  for (const char* path : {"/once/", "/idempotent/"}) {
    CAPTURE(path);
    const caller_view view = call_endless(fixture, path);
    CHECK((view.status == 502 || !view.complete));
  }
}

TEST_CASE("a target sends a stream without end") {
  endless_fixture fixture;
  SUBCASE("an event") {
    start(fixture, stream_head + "\r\ndata: ", "a");
  }
  SUBCASE("comments") {
    start(fixture, stream_head + "\r\n", ":a\n\n");
  }
  SUBCASE("events without an id") {
    start(fixture, stream_head + "\r\n", "data: a\n\n");
  }
  SUBCASE("events with the same id") {
    start(fixture, stream_head + "\r\n", "id: 1\ndata: a\n\n");
  }
  SUBCASE("events in chunks") {
    start(fixture, stream_head + "Transfer-Encoding: chunked\r\n\r\n", "9\r\ndata: a\n\n\r\n");
  }
  for (const char* path : {"/stream/", "/resumable/"}) {
    CAPTURE(path);
    const caller_view view = call_endless(fixture, path);
    CHECK((view.status == 502 || !view.complete));
  }
}

TEST_CASE("a stream is resumed at a target that sends bytes without end") {
  endless_fixture fixture;
  start(fixture, "", "HTTP/1.1 103 Early Hints\r\n\r\n");
  router_state& router = fixture.router.router;
  target_state sound;
  sound.entry = router.store.targets.targets.begin()->second.entry;
  sound.entry.name = target_name{"sound"};
  sound.entry.address = fixture.router.targets.addresses.front();
  router.store.targets.targets.emplace(sound.entry.name, sound);
  // The other target looks busier, so that the call goes to the sound one first.
  record_call_sent(router.loads, target_name{"target-1"}, nullptr, 0, current_time());
  fixture.router.targets.script = {
      {stream_head + "\r\nid: 1\ndata: a\n\nid: 2\nda", connection_end::closed}};
  const caller_view view = call_endless(fixture, "/resumable/");
  CHECK(view.status == 200);
  CHECK_FALSE(view.complete);
  CHECK(fixture.server.requests == 1);
}

TEST_CASE("a complete response stays complete, whatever follows it without end") {
  endless_fixture fixture;
  SUBCASE("with a length") {
    start(fixture, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "junk");
  }
  SUBCASE("in chunks") {
    start(fixture, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
          "junk");
  }
  const caller_view view = call_endless(fixture, "/once/");
  CHECK(view.status == 200);
  CHECK(view.complete);
  CHECK(view.body == "ok");
}
