// The call path of a router, with its listener for callers and scripted targets, on the event
// loop of the test; without store, peers and signals.
//
//   router_fixture fixture;
//   start(fixture, 2);                                   // with two targets
//   fixture.targets.script = {...};
//   caller_view view = call(fixture, "/stream/");
//
// Routes: /stream/ and /resumable/ (streams), /idempotent/ and /once/. A call may be sent to two
// targets where the route allows a retry.
#pragma once

#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "core/base/ip_endpoint.h"
#include "router/router_state.h"
#include "router/testing/scripted_targets.h"

namespace peridot::testing {

// Of routes with retries: the shortest inactivity timeout, 400 ms, is well below.
inline constexpr milliseconds retryable_route_timeout{700};
// Of the others, which wait for a silent target until then.
inline constexpr milliseconds single_run_route_timeout{150};

struct router_fixture {
  router_state router;  // owns the event loop, which the targets need until their end
  scripted_targets targets;
  std::uint16_t port = 0;
};

// What a caller is told: the status, and whether the response is complete by its framing.
struct caller_view {
  int status = 0;
  bool complete = false;
  bool reset = false;  // the connection ended by a reset
  std::string body;    // decoded, as far as it arrived
};

inline route make_route(const std::string& path, call_kind kind, bool resumable) {
  route result;
  result.name = route_name{path};
  result.host = "app.example";
  result.path_prefix = path;
  result.kind = kind;
  result.timeout = kind == call_kind::idempotent || resumable ? retryable_route_timeout
                                                              : single_run_route_timeout;
  result.latency_objective = milliseconds{50};
  result.max_event_gap = milliseconds{100};
  result.pools = {{pool_name{"targets"}, 1}};
  result.max_attempts = 2;
  result.is_public = true;
  result.resumable = resumable;
  return result;
}

inline std::shared_ptr<const fleet_config> fixture_config() {
  fleet_config config;
  config.version = 1;
  config.routes = {make_route("/stream/", call_kind::streaming, false),
                   make_route("/resumable/", call_kind::streaming, true),
                   make_route("/idempotent/", call_kind::idempotent, false),
                   make_route("/once/", call_kind::non_idempotent, false)};
  pool targets;
  targets.name = pool_name{"targets"};
  config.pools = {{targets.name, targets}};
  return finish_config(std::move(config));
}

inline void start(router_fixture& fixture, int target_count) {
  router_state& router = fixture.router;
  router.base.reset(event_base_new());
  router.settings.domain = failure_domain_name{"zone-a"};
  router.self = {router_address{"127.0.0.1:7400"}, 1};
  router.started_at = current_time() - std::chrono::minutes{1};
  router.membership =
      make_membership(router.self, {}, router.settings.gossip_interval, router.started_at);
  router.target_client.base = fixture.router.base.get();
  router.store.config = fixture_config();
  for (int number = 0; number < target_count; ++number) {
    add_target(fixture.router.base.get(), fixture.targets);
    target_state target;
    target.entry.name = target_name{"target-" + std::to_string(number + 1)};
    target.entry.pool = pool_name{"targets"};
    target.entry.address = fixture.targets.addresses.back();
    target.entry.domain = router.settings.domain;
    target.entry.slots = 8;
    target.entry.build = "v1";
    router.store.targets.targets.emplace(target.entry.name, target);
  }
  listener_options options;
  options.address = unused_address();
  fixture.port = parse_ip_endpoint(options.address)->port;
  router.caller_listener = leaf::try_handle_all(
      [&]() {
        return start_listener(
            fixture.router.base.get(), options, [&router]() { return router.store.config->limits; },
            [&router](const std::shared_ptr<http_exchange>& exchange) {
              handle_call(router, exchange);
            });
      },
      []() { return std::unique_ptr<http_listener>(); });
  REQUIRE(router.caller_listener != nullptr);
}

// Decodes what the caller has received so far.
inline caller_view decode_response_of(const raw_caller& caller) {
  const evbuffer_ptr input(evbuffer_new());
  evbuffer_add(input.get(), caller.received.data(), caller.received.size());
  http_parser parser;
  reset_parser(parser, message_kind::response);
  parse_status status = parse_input(parser, input.get());
  if (status == parse_status::incomplete && caller.closed && !caller.reset &&
      finish_at_close(parser)) {
    status = parse_status::complete;
  }
  return {parser.head_complete ? parser.head.status : 0, status == parse_status::complete,
          caller.reset, parser.body};
}

// Sends one call and returns what the caller has once its response is complete or its
// connection is closed.
inline caller_view call(router_fixture& fixture, const std::string& path,
                        const std::string& http_version = "HTTP/1.1",
                        const std::string& headers = "", const std::string& id = "c1") {
  raw_caller caller;
  connect_caller(fixture.router.base.get(), caller, fixture.port);
  send_raw(caller, "GET " + path + "1 " + http_version +
                       "\r\nHost: app.example\r\nX-Peridotspur-Attempt-Id: " + id + "\r\n" +
                       headers + "\r\n");
  CHECK(run_until(fixture.router.base.get(),
                  [&caller]() { return caller.closed || decode_response_of(caller).complete; }));
  return decode_response_of(caller);
}

// A target's success in response to the call `id`.
inline std::string answer_of(const std::string& id, const std::string& body = "ok") {
  return "HTTP/1.1 200 OK\r\nX-Peridotspur-Attempt-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A call that may run only once.
inline caller_view call_once(router_fixture& fixture, const std::string& id) {
  return call(fixture, "/once/", "HTTP/1.1", "", id);
}

// The number of calls that ended with this outcome and reason.
inline std::uint64_t ended_calls(const router_fixture& fixture, const std::string& outcome,
                                 const std::string& reason) {
  auto found = fixture.router.call_metrics.ended_calls.find({outcome, reason});
  return found == fixture.router.call_metrics.ended_calls.end() ? 0 : found->second;
}

}  // namespace peridot::testing
