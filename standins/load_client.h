// Client side of the load tool: arrivals, attempts, keys and retries.
//
// A call makes one or more attempts, one connection each. A call that may not be
// repeated waits for an idempotency key first, and all its attempts carry this
// key. What follows an attempt:
//
//   whole answer         the call is answered
//   connection broken    with a key: again through another router; without one:
//                        again only if nothing of the answer has arrived
//   refused as not run   again after Retry-After while retries are left
//   refused as stopping  with `move_on_when_stopping`: at once through another
//                        router, under a new key if it has one, as nothing ran
//                        under the old one and its issuer is about to end
//   unknown, Retry-After with a key: again, to learn the outcome
//   anything else        the end of the call
//
//   start_load(client, now);
//   while (run_load(client, now)) { ... }   // each tick
//   end_load(client);
//
// Budgets: `max_connections` attempts at once, `max_attempts` for one call.
// Thread safety: none; one loop on one thread.
#pragma once

#include <event2/event.h>
#include <event2/http.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "standins/answer_check.h"
#include "standins/http_server.h"
#include "standins/load_mix.h"
#include "standins/load_summary.h"

namespace peridot::standins {

struct load_options {
  std::vector<ip_port> routers;
  std::vector<caller_config> callers;
  std::string path;  // of targets that are called without routers; empty: routers
  std::uint64_t seed = 1;
  std::size_t max_connections = 512;
  std::uint32_t max_attempts = 6;
  bool move_on_when_stopping = false;  // see the table above
  duration run_time{};
  duration drain_time{};
  std::chrono::milliseconds answer_timeout{60'000};
};

struct load_call {
  std::size_t caller = 0;  // index in the options
  std::string body;
  std::string key;
  instant arrived{};
  instant next_attempt{};  // while no attempt runs
  bool running = false;
  std::uint32_t attempts = 0;
  std::uint32_t retries = 0;  // after refusals as not run
  std::size_t last_router = no_router;
};

struct load_client;

// One connection: an attempt of a call, or a request for keys (call 0).
struct load_attempt {
  load_client* client = nullptr;
  std::uint64_t call = 0;
  std::size_t router = 0;
  evhttp_connection* connection = nullptr;
  evhttp_request* request = nullptr;
  answer_check check;
  std::string text;  // of an answer that is not 200, or the keys
  bool began = false;
  bool framed = false;  // chunked or with a length, so that its end can be told
  bool ended = false;   // freed in the next tick
  instant first_token{};
  instant last_token{};
};

// How a call with a key ended, for a comparison with the targets' ledgers.
struct keyed_end {
  std::string key;
  std::string body_hash;
  std::string end;  // "answered", "not_run", "failed", "unknown", ...
};

struct load_client {
  load_options options;
  event_base* base = nullptr;  // not owned
  std::mt19937_64 random;
  instant ends{};                     // of arrivals
  instant gives_up_at{};              // after the drain time
  std::vector<instant> next_arrival;  // by caller
  std::uint64_t next_call = 1;
  std::map<std::uint64_t, load_call> calls;
  std::vector<std::unique_ptr<load_attempt>> attempts;
  std::deque<std::string> keys;
  bool keys_asked = false;  // a request for keys runs
  instant next_key_request{};
  load_counts counts;
  std::vector<keyed_end> keyed_ends;
};

// Precondition: the options are valid and `base` is set.
void start_load(load_client& client, instant now);

// One tick. False when all calls have ended or the drain time is over.
bool run_load(load_client& client, instant now);

// No more arrivals; calls that have arrived go on.
void stop_arrivals(load_client& client, instant now);

// Frees all connections and counts the calls that have no end.
void end_load(load_client& client);

// Starts one attempt of the call, or a request for keys if `call` is 0. Its end
// is told to finish_attempt(). In load_connection.cc.
void start_attempt(load_client& client, std::uint64_t call, std::size_t router);

// What an attempt ended with. `status` 0 means that the connection broke.
struct attempt_end {
  int status = 0;
  std::string outcome;
  std::string refusal;
  std::optional<std::chrono::milliseconds> retry_after;
};

void finish_attempt(load_client& client, load_attempt& attempt, const attempt_end& end,
                    instant now);
void note_tokens(load_client& client, load_attempt& attempt, std::uint64_t tokens, instant now);

}  // namespace peridot::standins
