// What callers are told by a router that is stopped, over connections. The test takes the steps of
// the stop by itself, so that it decides what has arrived before each of them.
#include "router/planned_stop.h"

#include <list>
#include <string>

#include "router/testing/router_fixture.h"

using namespace peridot;
using namespace peridot::testing;

namespace {

const std::string plain_response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";
const std::string begun_stream =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    "f\r\nid: 1\ndata: a\n\n\r\n";
constexpr milliseconds graces[] = {milliseconds{1'000}, milliseconds{8'000}, milliseconds{30'000}};

std::string request_text(const std::string& path, const std::string& headers = "") {
  return "POST " + path + "1 HTTP/1.1\r\nHost: app.example\r\nX-Peridotspur-Attempt-Id: c1\r\n" +
         headers + (headers.empty() ? "Content-Length: 0\r\n\r\n" : "\r\n");
}

struct stop_fixture : router_fixture {
  std::list<raw_caller> callers;
  instant stopped_at{};
};

void start_stop_fixture(stop_fixture& fixture, milliseconds grace) {
  start(fixture, 2);
  fixture.router.settings.stop_grace = grace;
}

raw_caller& send_request(stop_fixture& fixture, const std::string& text) {
  raw_caller& caller = fixture.callers.emplace_back();
  connect_caller(fixture.router.base.get(), caller, fixture.port);
  send_raw(caller, text);
  return caller;
}

void wait_for_requests(stop_fixture& fixture, std::size_t count) {
  REQUIRE(run_until(fixture.router.base.get(),
                    [&fixture, count]() { return fixture.targets.requests.size() == count; }));
}

void stop_router(stop_fixture& fixture) {
  fixture.stopped_at = current_time();
  begin_stop(fixture.router, fixture.stopped_at);
}

// The step that is due at this time after the signal.
void advance_to(stop_fixture& fixture, milliseconds since_signal) {
  advance_stop(fixture.router, fixture.stopped_at + since_signal);
}

caller_view answer_to(stop_fixture& fixture, raw_caller& caller) {
  run_until(fixture.router.base.get(),
            [&caller]() { return caller.closed || decode_response_of(caller).complete; });
  return decode_response_of(caller);
}

// Puts bytes into the router's socket without letting the router run.
void send_unseen(raw_caller& caller, const std::string& text) {
  const evutil_socket_t socket = bufferevent_getfd(caller.connection);
  REQUIRE(::send(socket, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
}

}  // namespace

// Guards against LOST, reported by other operators: calls were cut without an answer when the time
// of a stopped router was over.
TEST_CASE("every call in progress gets a final answer when the time to stop is over") {
  for (const milliseconds grace : graces) {
    CAPTURE(grace.count());
    stop_fixture fixture;
    start_stop_fixture(fixture, grace);
    fixture.targets.script = {{""}, {""}, {begun_stream}};
    raw_caller& once = send_request(fixture, request_text("/once/"));
    wait_for_requests(fixture, 1);
    raw_caller& idempotent = send_request(fixture, request_text("/idempotent/"));
    wait_for_requests(fixture, 2);
    raw_caller& stream = send_request(fixture, request_text("/stream/"));
    REQUIRE(run_until(fixture.router.base.get(), [&stream]() {
      return stream.received.find("data: a") != std::string::npos;
    }));
    raw_caller& upload = send_request(
        fixture, request_text("/once/", "Content-Length: 1000\r\n") + "the first part");
    REQUIRE(run_until(fixture.router.base.get(), [&fixture]() {
      return fixture.router.caller_listener->total_body_bytes > 0;
    }));
    stop_router(fixture);
    advance_to(fixture, grace);
    CHECK(answer_to(fixture, once).status == 502);  // it may have run
    CHECK(answer_to(fixture, once).complete);
    CHECK(answer_to(fixture, idempotent).status == 502);
    CHECK(answer_to(fixture, upload).status == 503);  // it has not, and will not
    CHECK(answer_to(fixture, upload).complete);
    const caller_view streamed = answer_to(fixture, stream);
    CHECK(streamed.status == 200);
    CHECK_FALSE(streamed.complete);
    CHECK(fixture.router.calls.empty());
    CHECK(fixture.router.exit_status == 1);
    CHECK(fixture.targets.requests.size() == 3);
  }
}

TEST_CASE("what has arrived when the time to stop is over is refused as not run") {
  for (const milliseconds grace : graces) {
    CAPTURE(grace.count());
    stop_fixture fixture;
    start_stop_fixture(fixture, grace);
    fixture.targets.script = {{plain_response}};
    raw_caller& kept_open = send_request(fixture, request_text("/once/"));
    REQUIRE(answer_to(fixture, kept_open).status == 200);
    kept_open.received.clear();
    raw_caller& in_backlog = fixture.callers.emplace_back();
    connect_caller(fixture.router.base.get(), in_backlog, fixture.port);
    stop_router(fixture);
    advance_to(fixture, fixture.router.stop_steps.refuse_after);
    send_unseen(kept_open, request_text("/once/"));
    send_unseen(in_backlog, request_text("/once/"));
    advance_to(fixture, grace);
    CHECK(answer_to(fixture, kept_open).status == 503);
    CHECK(answer_to(fixture, in_backlog).status == 503);
    CHECK(fixture.targets.requests.size() == 1);
    CHECK(fixture.router.exit_status == 0);
  }
}

// Guards against LOST: a connection that looked idle was closed with a request in the kernel.
TEST_CASE("a connection on which a request has arrived is not closed as idle") {
  stop_fixture fixture;
  start_stop_fixture(fixture, milliseconds{8'000});
  fixture.targets.script = {{plain_response}, {plain_response}};
  raw_caller& caller = send_request(fixture, request_text("/once/"));
  REQUIRE(answer_to(fixture, caller).status == 200);
  caller.received.clear();
  run_for(fixture.router.base.get(), milliseconds{400});
  stop_router(fixture);
  SUBCASE("while calls are taken: it is served") {
    send_unseen(caller, request_text("/once/"));
    advance_to(fixture, fixture.router.stop_steps.close_idle_after);
    CHECK(answer_to(fixture, caller).status == 200);
    CHECK(fixture.targets.requests.size() == 2);
  }
  SUBCASE("once calls are refused: it is told so") {
    send_unseen(caller, request_text("/once/"));
    advance_to(fixture, fixture.router.stop_steps.refuse_after);
    CHECK(answer_to(fixture, caller).status == 503);
    CHECK(fixture.targets.requests.size() == 1);
  }
  SUBCASE("nothing has arrived: it is closed") {
    advance_to(fixture, fixture.router.stop_steps.close_idle_after);
    CHECK(run_until(fixture.router.base.get(), [&caller]() { return caller.closed; }));
  }
}

// Guards against review/15 (LOST): of requests that a caller had sent at once, those behind the
// first were dropped without an answer.
TEST_CASE("requests that wait behind another one are answered by a router that stops") {
  stop_fixture fixture;
  start_stop_fixture(fixture, milliseconds{8'000});
  constexpr int request_count = 4;
  raw_caller& caller = fixture.callers.emplace_back();
  connect_caller(fixture.router.base.get(), caller, fixture.port);
  std::string requests;
  for (int number = 0; number < request_count; ++number) {
    requests += request_text("/idempotent/");
  }
  const auto count_answers = [&caller](const std::string& status) {
    int count = 0;
    for (std::size_t at = caller.received.find(status); at != std::string::npos;
         at = caller.received.find(status, at + 1)) {
      ++count;
    }
    return count;
  };
  SUBCASE("served, while calls are taken") {
    fixture.targets.script = {
        {plain_response}, {plain_response}, {plain_response}, {plain_response}};
    stop_router(fixture);
    send_raw(caller, requests);
    CHECK(run_until(fixture.router.base.get(), [&caller]() { return caller.closed; }));
    CHECK(count_answers("HTTP/1.1 200") == request_count);
  }
  SUBCASE("refused as not run, when the time to stop is over") {
    fixture.targets.script = {{""}};
    send_raw(caller, requests);
    wait_for_requests(fixture, 1);
    stop_router(fixture);
    advance_to(fixture, fixture.router.stop_steps.refuse_after);
    advance_to(fixture, fixture.router.settings.stop_grace);
    CHECK(run_until(fixture.router.base.get(), [&caller]() { return caller.closed; }));
    CHECK(count_answers("HTTP/1.1 502") == 1);  // it may have run
    CHECK(count_answers("HTTP/1.1 503") == request_count - 1);
  }
  CHECK(count_answers("Connection: close") == 1);
}

// Guards against LOST, reported by other operators: calls that may run only once were passed on
// although they could not end in time any more.
TEST_CASE("a call that cannot end before the router does is refused at once") {
  stop_fixture fixture;
  start_stop_fixture(fixture, milliseconds{1'000});
  fixture.targets.script = {{plain_response}, {plain_response}};
  const instant now = current_time();
  record_response_time(fixture.router, route_name{"/once/"}, milliseconds{1'500}, now);
  record_response_time(fixture.router, route_name{"/idempotent/"}, milliseconds{1'500}, now);
  SUBCASE("it may run only once: it is not passed on, and its caller may try elsewhere") {
    stop_router(fixture);
    raw_caller& caller = send_request(fixture, request_text("/once/"));
    CHECK(answer_to(fixture, caller).status == 503);
    CHECK(caller.received.find("Retry-After") != std::string::npos);
    CHECK(fixture.targets.requests.empty());
  }
  SUBCASE("its route has been faster of late") {
    record_response_time(fixture.router, route_name{"/once/"}, milliseconds{60},
                         now + std::chrono::minutes{2});
    stop_router(fixture);
    raw_caller& caller = send_request(fixture, request_text("/once/"));
    CHECK(answer_to(fixture, caller).status == 200);
  }
  SUBCASE("it may be repeated: it is taken") {
    stop_router(fixture);
    raw_caller& caller = send_request(fixture, request_text("/idempotent/"));
    CHECK(answer_to(fixture, caller).status == 200);
  }
  SUBCASE("the router is not stopping: it is taken") {
    raw_caller& caller = send_request(fixture, request_text("/once/"));
    CHECK(answer_to(fixture, caller).status == 200);
  }
}

TEST_CASE("times of routes that are gone are forgotten") {
  router_state router;
  const instant now = current_time();
  for (int number = 0; number < 100; ++number) {
    record_response_time(router, route_name{std::to_string(number)}, milliseconds{5}, now);
  }
  record_response_time(router, route_name{"new"}, milliseconds{5}, now + std::chrono::minutes{2});
  CHECK(router.longest_responses.size() == 1);
}

TEST_CASE("settings that are reloaded during a stop do not move its steps") {
  stop_fixture fixture;
  start_stop_fixture(fixture, milliseconds{8'000});
  stop_router(fixture);
  fixture.router.settings.stop_grace = milliseconds{60'000};
  begin_stop(fixture.router, current_time() + milliseconds{5'000});  // a second signal
  advance_to(fixture, milliseconds{2'900});
  CHECK(fixture.router.refusing_calls);
  advance_to(fixture, milliseconds{7'700});
  CHECK(fixture.router.ending);
}
