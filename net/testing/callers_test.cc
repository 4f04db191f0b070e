// Keyed calls, their repeats, and forwards to issuers, over one router process
// without targets: what is accepted waits in the queue.
#include <doctest/doctest.h>

#include "core/testing/sample_documents.h"
#include "net/process_internal.h"
#include "net/testing/raw_peers.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;
using testing::raw_caller;

constexpr const char* fleet_key = "0123456789abcdef";

struct process_bench {
  router_process process;
  std::uint16_t port = 0;
  ~process_bench() {
    for (const auto& forward : process.forwards) {
      cancel_call(*forward.second);
    }
    testing::run_for(process.base.get(), milliseconds{10});
  }
};

std::string two_profiles() {
  const std::string config = testing::replace_once(testing::sample_config(), "max_retries = 1",
                                                   "max_retries = 1\nrepeatable = false");
  return testing::replace_once(config, "[[organisation]]",
                               "[[profile]]\nname = \"other\"\npool = \"explain\"\n"
                               "repeatable = false\n\n[[organisation]]");
}

void start_bench(process_bench& bench) {
  router_process& process = bench.process;
  process.base.reset(event_base_new());
  process.settings.http_address = testing::unused_address();
  process.settings.fleet_key = fleet_key;
  bench.port = static_cast<std::uint16_t>(std::stoi(process.settings.http_address.substr(10)));
  router_options options;
  options.name = "router";
  options.self = router_identity{router_address{testing::unused_address()}, 5};
  options.http_address = process.settings.http_address;
  options.fleet_key = fleet_key;
  process.core = make_router(options, current_time());
  effects todo;
  REQUIRE(router_on_document(process.core, wire::document_configuration, two_profiles(), "test",
                             current_time(), todo) == document_verdict::accepted);
  const exchange_handler handler = [&process](const std::shared_ptr<server_exchange>& exchange) {
    handle_call(process, exchange);
  };
  const bool started = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_ASSIGN(process.peers,
                          start_mesh(process.base.get(), {options.self, options.name, fleet_key},
                                     [](const router_identity&, const wire::peer_message&) {}));
        BOOST_LEAF_ASSIGN(
            process.server,
            start_server(process.base.get(), {.address = process.settings.http_address}, handler));
        return true;
      },
      []() { return false; });
  REQUIRE(started);
}

std::string keyed_post(const std::string& key, const std::string& more = "",
                       const std::string& profile = "explain",
                       const std::string& protocol = "HTTP/1.1") {
  return "POST /v1/requests " + protocol + "\r\nX-Organisation: bank\r\nX-Profile: " + profile +
         "\r\nIdempotency-Key: " + key + "\r\n" + more + "Content-Length: 4\r\n\r\nwork";
}

std::string key_of(const router_identity& issuer, const std::string& http_address) {
  key_table table;
  table.self = issuer;
  table.self_http = http_address;
  table.fleet_key = fleet_key;
  return issue_key(table, current_time());
}

void send_call(process_bench& bench, raw_caller& caller, const std::string& bytes) {
  testing::connect_caller(bench.process.base.get(), caller, bench.port);
  testing::say(caller, bytes);
}

bool wait_for_text(process_bench& bench, const raw_caller& caller, const std::string& text) {
  return testing::run_until(bench.process.base.get(),
                            [&]() { return caller.received.find(text) != std::string::npos; });
}

bool has(const raw_caller& caller, const std::string& text) {
  return caller.received.find(text) != std::string::npos;
}

TEST_CASE("repeats of a running call wait for it, and leave when they like") {
  process_bench bench;
  start_bench(bench);
  router_process& process = bench.process;
  const std::string key = issue_key(process.core.keys, current_time());
  raw_caller first;
  send_call(bench, first, keyed_post(key));
  REQUIRE(testing::run_until(process.base.get(), [&]() { return process.calls.size() == 1; }));
  caller_call& call = *process.calls.begin()->second;
  constexpr std::size_t repeats = 17;
  raw_caller callers[repeats];
  for (raw_caller& caller : callers) {
    send_call(bench, caller, keyed_post(key));
    testing::run_for(process.base.get(), milliseconds{5});
  }
  // The last is beyond the bound, and is told to come back.
  CHECK(call.joined.size() == repeats - 1);
  CHECK(wait_for_text(bench, callers[repeats - 1], "X-Outcome: unknown"));
  CHECK(has(callers[repeats - 1], "Retry-After: 1"));
  testing::hang_up(callers[0]);
  testing::hang_up(first);
  CHECK(testing::run_until(process.base.get(), [&]() {
    return call.joined.size() == repeats - 2 && call.exchange == nullptr;
  }));
  SUBCASE("the same key for another profile is another call") {
    raw_caller other;
    send_call(bench, other, keyed_post(key, "", "other"));
    CHECK(wait_for_text(bench, other, "X-Refusal: key_invalid"));
    CHECK(has(other, "X-Outcome: unknown"));
  }
  SUBCASE("all that wait get the end") {
    effects todo;
    router_stop(process.core, current_time(), todo);
    carry_out(process, todo);
    for (std::size_t index = 1; index + 1 < repeats; ++index) {
      CHECK(wait_for_text(bench, callers[index], "X-Outcome: not_run"));
    }
    CHECK(process.calls.empty());
    CHECK(process.calls_by_key.empty());
  }
}

TEST_CASE("a caller that cannot see the end of an answer is refused") {
  process_bench bench;
  start_bench(bench);
  raw_caller caller;
  const std::string key = issue_key(bench.process.core.keys, current_time());
  send_call(bench, caller, keyed_post(key, "", "explain", "HTTP/1.0"));
  CHECK(wait_for_text(bench, caller, "X-Refusal: bad_request"));
  CHECK(bench.process.calls.empty());
}

TEST_CASE("only the issuer's own address says that the issuer is gone") {
  process_bench bench;
  start_bench(bench);
  router_process& process = bench.process;
  const router_identity elsewhere{router_address{"127.0.0.1:7499"}, 3};
  testing::raw_server issuer;
  testing::listen_on_loopback(process.base.get(), issuer);
  raw_caller caller;
  SUBCASE("an earlier run at this address is gone") {
    const router_identity earlier{process.core.options.self.address, 4};
    send_call(bench, caller, keyed_post(key_of(earlier, process.settings.http_address)));
    CHECK(wait_for_text(bench, caller, "X-Refusal: key_issuer_gone"));
    CHECK_FALSE(has(caller, "Retry-After"));
  }
  SUBCASE("a forwarded call for another address proves nothing, and goes no further") {
    const std::string key = key_of(elsewhere, issuer.address);
    send_call(bench, caller, keyed_post(key, "X-Peridot-Forwarded: 1\r\n"));
    CHECK(wait_for_text(bench, caller, "X-Refusal: key_issuer_unreachable"));
    CHECK(has(caller, "Retry-After"));
    CHECK(issuer.received.empty());
  }
  SUBCASE("nothing listens there") {
    send_call(bench, caller, keyed_post(key_of(elsewhere, testing::unused_address())));
    CHECK(wait_for_text(bench, caller, "X-Refusal: key_issuer_unreachable"));
    CHECK(has(caller, "X-Outcome: unknown"));
  }
  SUBCASE("something that is no router answers there") {
    issuer.answer = "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone";
    send_call(bench, caller, keyed_post(key_of(elsewhere, issuer.address)));
    CHECK(wait_for_text(bench, caller, "X-Refusal: key_issuer_unreachable"));
    CHECK_FALSE(has(caller, "none"));
  }
  SUBCASE("the issuer answers: headers of the connection stay behind, the rest goes along") {
    issuer.answer =
        "HTTP/1.1 200 OK\r\nX-Outcome: done\r\nX-Odd: 1\r\nContent-Length: 4\r\n\r\ngood";
    send_call(bench, caller,
              keyed_post(key_of(elsewhere, issuer.address), "Host: a\r\nX-Empty:\r\n"));
    CHECK(wait_for_text(bench, caller, "good"));
    CHECK(has(caller, "X-Outcome: done"));
    CHECK_FALSE(has(caller, "X-Odd"));
    CHECK(issuer.received.find("X-Peridot-Forwarded: 1") != std::string::npos);
    CHECK(issuer.received.find("Host: a\r\n") == std::string::npos);
    CHECK(issuer.received.find("work") != std::string::npos);
  }
  SUBCASE("the issuer's answer is cut: so is the caller's") {
    issuer.answer = "HTTP/1.1 200 OK\r\nX-Outcome: done\r\nContent-Length: 9\r\n\r\ngood";
    issuer.close_after_answer = true;
    send_call(bench, caller, keyed_post(key_of(elsewhere, issuer.address)));
    CHECK(testing::run_until(process.base.get(), [&]() { return caller.closed; }));
    CHECK_FALSE(has(caller, "0\r\n\r\n"));
  }
  SUBCASE("the caller leaves: the forward ends") {
    send_call(bench, caller, keyed_post(key_of(elsewhere, issuer.address)));
    REQUIRE(testing::run_until(process.base.get(), [&]() { return !issuer.received.empty(); }));
    testing::hang_up(caller);
    CHECK(testing::run_until(process.base.get(), [&]() { return process.forwards.empty(); }));
    CHECK(testing::run_until(process.base.get(), [&]() { return issuer.closed == 1; }));
  }
}

TEST_CASE("a forward holds a bounded part of an answer that its caller does not read") {
  process_bench bench;
  start_bench(bench);
  router_process& process = bench.process;
  testing::raw_server issuer;
  constexpr std::size_t answer_bytes = 64 << 20;
  issuer.answer =
      "HTTP/1.1 200 OK\r\nX-Outcome: done\r\nContent-Length: " + std::to_string(answer_bytes) +
      "\r\n\r\n" + std::string(answer_bytes, 'x');
  testing::listen_on_loopback(process.base.get(), issuer);
  raw_caller caller;
  const router_identity elsewhere{router_address{"127.0.0.1:7499"}, 3};
  send_call(bench, caller, keyed_post(key_of(elsewhere, issuer.address)));
  REQUIRE(testing::run_until(process.base.get(), [&]() { return !issuer.received.empty(); }));
  bufferevent_disable(caller.connection, EV_READ);
  testing::run_for(process.base.get(), milliseconds{300});
  const std::size_t waiting = evbuffer_get_length(bufferevent_get_output(issuer.connection));
  CHECK(waiting > answer_bytes / 2);  // held back at the issuer
  bufferevent_enable(caller.connection, EV_READ);
  CHECK(testing::run_until(process.base.get(), [&]() {
    return caller.received.size() > answer_bytes && has(caller, "\r\n0\r\n\r\n");
  }));
}

}  // namespace
}  // namespace peridot
