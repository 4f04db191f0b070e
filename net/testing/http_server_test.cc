#include "net/http_server.h"

#include <doctest/doctest.h>

#include <random>

#include "net/testing/raw_peers.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;
using testing::raw_caller;

struct server_bench {
  event_base_ptr base{event_base_new()};
  std::unique_ptr<http_listener> server;
  std::uint16_t port = 0;
  std::vector<std::shared_ptr<server_exchange>> seen;
  bool answer_at_once = true;
  int gone = 0;
};

void start_bench(server_bench& bench, server_options options = {}) {
  std::signal(SIGPIPE, SIG_IGN);
  options.address = testing::unused_address();
  bench.port = static_cast<std::uint16_t>(std::stoi(options.address.substr(10)));
  const exchange_handler handler = [&bench](const std::shared_ptr<server_exchange>& exchange) {
    bench.seen.push_back(exchange);
    exchange->on_gone = [&bench]() { ++bench.gone; };
    if (bench.answer_at_once) {
      reply(*exchange, 200, {{"X-Path", exchange->path}}, "ok\n");
    }
  };
  bench.server =
      leaf::try_handle_all([&]() { return start_server(bench.base.get(), options, handler); },
                           []() { return std::unique_ptr<http_listener>(); });
  REQUIRE(bench.server != nullptr);
}

std::size_t count(const std::string& text, const std::string& part) {
  std::size_t found = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++found;
  }
  return found;
}

bool wait_for(server_bench& bench, const std::function<bool()>& done) {
  return testing::run_until(bench.base.get(), done);
}

const std::string get_request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

struct input_case {
  std::string what;
  std::string bytes;
  std::size_t handled;  // requests that reach the handler
  std::string answer;   // that must be part of what the caller reads
  bool must_close;
};

std::string post(const std::string& headers, const std::string& body) {
  return "POST /x HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n" + body;
}

TEST_CASE("any input gets a clear end and nothing more") {
  const std::string many(2'000, 'h');
  std::string flood = "GET /x HTTP/1.1\r\n";
  for (int line = 0; line < 2'000; ++line) {
    flood += "X-" + std::to_string(line) + ": " + std::string(100, 'v') + "\r\n";
  }
  const std::vector<input_case> cases = {
      {"a plain request", get_request, 1, "HTTP/1.1 200", false},
      {"a body", post("Content-Length: 4\r\n", "work"), 1, "200", false},
      {"a chunked body", post("Transfer-Encoding: chunked\r\n", "4\r\nwork\r\n0\r\n\r\n"), 1, "200",
       false},
      {"garbage", "\x01\x02garbage\r\n\r\n", 0, "", true},
      {"no method", " / HTTP/1.1\r\n\r\n", 0, "", true},
      {"another protocol", "GET /x SMTP/1.1\r\n\r\n", 0, "", true},
      {"a header without a colon", "GET /x HTTP/1.1\r\nnonsense\r\n\r\n", 0, "", true},
      {"one long header", "GET /x HTTP/1.1\r\nX-A: " + std::string(100'000, 'a') + "\r\n\r\n", 0,
       "", true},
      {"many headers", flood + "\r\n", 0, "", true},
      {"many headers without an end", flood, 0, "", true},
      {"a long path", "GET /" + std::string(100'000, 'a') + " HTTP/1.1\r\n\r\n", 0, "", true},
      {"a long body", post("Content-Length: 9000\r\n", std::string(9'000, 'b')), 0, "", true},
      {"a stated length beyond all", post("Content-Length: 99999999999999999999999\r\n", "b"), 0,
       "", true},
      {"a negative length", post("Content-Length: -1\r\n", "b"), 0, "", true},
      {"a long chunk",
       post("Transfer-Encoding: chunked\r\n",
            "2328\r\n" + std::string(9'000, 'b') + "\r\n0\r\n\r\n"),
       0, "", true},
      {"a broken chunk", post("Transfer-Encoding: chunked\r\n", "zz\r\nwork\r\n"), 0, "", true},
      {"length and chunks",
       post("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            "0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n"),
       0, "", true},
      {"two lengths", post("Content-Length: 4\r\nContent-Length: 30\r\n", "work"), 0, "", true},
  };
  for (const input_case& example : cases) {
    CAPTURE(example.what);
    server_bench bench;
    start_bench(
        bench,
        {.max_header_bytes = 16'384, .max_body_bytes = 8'192, .read_timeout = milliseconds{200}});
    raw_caller caller;
    testing::connect_caller(bench.base.get(), caller, bench.port);
    testing::say(caller, example.bytes);
    wait_for(bench, [&]() {
      return caller.closed || (!example.must_close && bench.seen.size() >= example.handled &&
                               caller.received.find("ok\n") != std::string::npos);
    });
    CHECK(bench.seen.size() == example.handled);
    CHECK(caller.received.find(example.answer) != std::string::npos);
    CHECK(caller.closed == example.must_close);
    CHECK(count(caller.received, "ok\n") == example.handled);
    CHECK(bench.gone == 0);
  }
}

TEST_CASE("callers that are slow, many, or in a hurry") {
  server_bench bench;
  SUBCASE("one that stalls within its headers is closed") {
    start_bench(bench, {.read_timeout = milliseconds{100}});
    raw_caller caller;
    testing::connect_caller(bench.base.get(), caller, bench.port);
    testing::say(caller, "GET /x HTTP/1.1\r\nHost:");
    CHECK(wait_for(bench, [&]() { return caller.closed; }));
    CHECK(bench.seen.empty());
    CHECK(bench.server->connections == 0);
  }
  SUBCASE("a request that comes byte by byte is closed as well") {
    start_bench(bench, {.request_timeout = milliseconds{200}});
    raw_caller caller;
    testing::connect_caller(bench.base.get(), caller, bench.port);
    const std::string start = "GET /x HTTP/1.1\r\nX-A: ";
    std::size_t sent = 0;
    CHECK(wait_for(bench, [&]() {
      testing::say(caller, sent < start.size() ? start.substr(sent, 1) : "a");
      ++sent;
      return caller.closed;
    }));
    CHECK(bench.server->connections == 0);
  }
  SUBCASE("requests in one packet are answered in order") {
    start_bench(bench);
    raw_caller caller;
    testing::connect_caller(bench.base.get(), caller, bench.port);
    testing::say(caller, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n");
    CHECK(wait_for(bench, [&]() { return count(caller.received, "ok\n") == 3; }));
    CHECK(caller.received.find("/1") < caller.received.find("/2"));
    CHECK(caller.received.find("/2") < caller.received.find("/3"));
  }
  SUBCASE("the second waits while the first has no answer") {
    start_bench(bench);
    bench.answer_at_once = false;
    raw_caller caller;
    testing::connect_caller(bench.base.get(), caller, bench.port);
    testing::say(caller, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    testing::run_for(bench.base.get(), milliseconds{50});
    REQUIRE(bench.seen.size() == 1);
    reply(*bench.seen[0], 200, {}, "first\n");
    CHECK(wait_for(bench, [&]() { return bench.seen.size() == 2; }));
    reply(*bench.seen[1], 200, {}, "second\n");
    CHECK(wait_for(bench, [&]() { return count(caller.received, "second\n") == 1; }));
    CHECK(bench.gone == 0);
  }
  SUBCASE("an answer to HEAD has no body") {
    start_bench(bench);
    raw_caller caller;
    testing::connect_caller(bench.base.get(), caller, bench.port);
    testing::say(caller, "HEAD /x HTTP/1.1\r\n\r\n" + get_request);
    CHECK(wait_for(bench, [&]() { return count(caller.received, "HTTP/1.1 200") == 2; }));
    testing::run_for(bench.base.get(), milliseconds{20});
    CHECK(count(caller.received, "ok\n") == 1);
  }
  SUBCASE("connections beyond the limit are closed, and room is made again") {
    start_bench(bench, {.max_connections = 2});
    raw_caller callers[3];
    for (raw_caller& caller : callers) {
      testing::connect_caller(bench.base.get(), caller, bench.port);
      testing::run_for(bench.base.get(), milliseconds{10});
    }
    CHECK(wait_for(bench, [&]() { return callers[2].closed; }));
    CHECK(bench.server->connections == 2);
    testing::hang_up(callers[0]);
    CHECK(wait_for(bench, [&]() { return bench.server->connections == 1; }));
  }
}

TEST_CASE("answers that are streamed, cut, or lose their caller") {
  server_bench bench;
  start_bench(bench);
  bench.answer_at_once = false;
  raw_caller caller;
  testing::connect_caller(bench.base.get(), caller, bench.port);
  testing::say(caller, get_request);
  REQUIRE(wait_for(bench, [&]() { return bench.seen.size() == 1; }));
  server_exchange& exchange = *bench.seen[0];
  SUBCASE("whole: the last chunk comes") {
    int drained = 0;
    exchange.on_drained = [&drained]() { ++drained; };
    reply_begin(exchange, 200, {{"X-Odd", "a\r\nX-Injected: 1\rb"}});
    reply_data(exchange, "hello");
    CHECK(wait_for(bench, [&]() { return drained > 0; }));
    reply_end(exchange);
    CHECK(wait_for(bench, [&]() { return count(caller.received, "0\r\n\r\n") == 1; }));
    CHECK(count(caller.received, "\nX-Injected") == 0);
    CHECK(count(caller.received, "\rb") == 0);
    testing::say(caller, get_request);
    CHECK(wait_for(bench, [&]() { return bench.seen.size() == 2; }));
    CHECK(bench.gone == 0);
  }
  SUBCASE("aborted: it does not") {
    reply_begin(exchange, 200, {});
    reply_data(exchange, "hello");
    testing::run_for(bench.base.get(), milliseconds{20});
    reply_abort(exchange);
    CHECK(wait_for(bench, [&]() { return caller.closed; }));
    CHECK(count(caller.received, "hello") == 1);
    CHECK(count(caller.received, "0\r\n\r\n") == 0);
    CHECK(bench.gone == 0);
  }
  SUBCASE("the caller leaves before the answer, or within it") {
    const bool begun = bench.seen.size() == 2;
    if (begun) {
      reply_begin(exchange, 200, {});
    }
    testing::hang_up(caller);
    CHECK(wait_for(bench, [&]() { return bench.gone > 0; }));
    reply_data(exchange, "late");
    reply_end(exchange);
    testing::run_for(bench.base.get(), milliseconds{20});
    CHECK(bench.gone == 1);
    CHECK(wait_for(bench, [&]() { return bench.server->connections == 0; }));
  }
  SUBCASE("the caller leaves within the answer, and the handler aborts at once") {
    reply_begin(exchange, 200, {});
    reply_data(exchange, std::string(1 << 20, 'x'));
    exchange.on_gone = [&]() {
      ++bench.gone;
      reply_abort(exchange);
    };
    testing::hang_up(caller);
    CHECK(wait_for(bench, [&]() { return bench.gone > 0; }));
    testing::run_for(bench.base.get(), milliseconds{20});
    CHECK(bench.gone == 1);
    CHECK(bench.server->connections == 0);
  }
}

TEST_CASE("seeded noise never stops the server") {
  server_bench bench;
  start_bench(bench, {.max_body_bytes = 8'192, .read_timeout = milliseconds{50}});
  const std::vector<std::string> parts = {"GET ",
                                          "POST ",
                                          "HEAD ",
                                          "/x",
                                          "/v1/requests?count=%zz&&=",
                                          " HTTP/1.1\r\n",
                                          " HTTP/1.0\r\n",
                                          "\r\n",
                                          "\r\n\r\n",
                                          "\n",
                                          "\r",
                                          "Content-Length: 5\r\n",
                                          "Content-Length: -5\r\n",
                                          "Transfer-Encoding: chunked\r\n",
                                          "Connection: close\r\n",
                                          "Expect: 100-continue\r\n",
                                          "5\r\nhello\r\n",
                                          "0\r\n\r\n",
                                          "ffffffffffffffff\r\n",
                                          "X-A: b\r\n",
                                          " folded\r\n",
                                          ":",
                                          "%",
                                          std::string(9'000, 'z'),
                                          std::string(3, '\0'),
                                          "\xff\xfe"};
  constexpr std::uint32_t seeds = 300;
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    std::mt19937 random(seed);
    raw_caller caller;
    testing::connect_caller(bench.base.get(), caller, bench.port);
    bench.answer_at_once = random() % 4 != 0;
    const std::size_t count_of_parts = 1 + random() % 25;
    for (std::size_t index = 0; index < count_of_parts; ++index) {
      testing::say(caller, parts[random() % parts.size()]);
      if (random() % 8 == 0) {
        testing::run_for(bench.base.get(), milliseconds{1});
      }
    }
    testing::run_for(bench.base.get(), milliseconds{2});
  }
  CHECK(wait_for(bench, [&]() { return bench.server->connections == 0; }));
  bench.answer_at_once = true;
  raw_caller caller;
  testing::connect_caller(bench.base.get(), caller, bench.port);
  testing::say(caller, get_request);
  CHECK(wait_for(bench, [&]() { return caller.received.find("ok\n") != std::string::npos; }));
}

}  // namespace
}  // namespace peridot
