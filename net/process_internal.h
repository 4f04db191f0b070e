// State of the router process, shared by the units of net/. Private to net/.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/router.h"
#include "core/settings.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop.h"
#include "net/mesh.h"
#include "net/metrics.h"

namespace peridot {

struct router_process;

// Argument of a run's timer.
struct run_timeout_argument {
  router_process* process = nullptr;
  std::uint64_t request = 0;
};

// One call of a caller, from its arrival to its last answer. A call with a key
// lives on when its caller leaves; one without is cancelled.
struct caller_call {
  std::uint64_t id = 0;                                  // of the request in the entry table
  std::shared_ptr<server_exchange> exchange;             // null once the caller left
  std::vector<std::shared_ptr<server_exchange>> joined;  // repeats with the same key
  std::optional<std::uint64_t> key_sequence;
  std::string key_text;
  organisation_name organisation;
  profile_name profile;
  std::vector<http_header> headers;  // to be passed on
  std::string body;
  instant arrived{};
  // The present run on a target.
  std::shared_ptr<client_call> run;
  run_timeout_argument run_timeout;
  event_ptr run_timer;
  std::uint64_t run_number = 0;  // dispatch::run
  placement where;
  answer_head head;
  bool answer_begun = false;  // a byte of the answer was passed on
  std::uint64_t chunks = 0;
  instant run_started{};
  instant last_chunk{};
  std::string kept_body;  // for repeats with the same key
  bool kept_whole = true;
  bool reading_paused = false;
};

// A watch on one value of the platform's service.
struct value_watch {
  wire::document_kind kind = wire::document_configuration;
  std::shared_ptr<client_call> call;
  std::string text;
  int status = 0;
  instant next_try{};
  std::chrono::milliseconds backoff{0};
  std::uint64_t calls = 0;
  std::uint64_t refused_hash = 0;  // of the last copy that was refused
};

struct load_poll {
  std::shared_ptr<client_call> call;
  std::string text;
  instant started{};
};

struct router_process {
  router_settings settings;
  event_base_ptr base;
  router_core core;
  std::unique_ptr<mesh> peers;
  std::unique_ptr<http_listener> server;
  metrics counts;
  std::map<std::uint64_t, std::unique_ptr<caller_call>> calls;     // by request id
  std::map<std::uint64_t, std::uint64_t> calls_by_key;             // key sequence to request id
  std::map<std::uint64_t, std::shared_ptr<client_call>> forwards;  // to issuers of keys
  std::uint64_t next_forward = 1;
  value_watch config_watch;
  value_watch list_watch;
  std::map<target_name, load_poll> polls;
  std::function<void()> on_tick;
  event_ptr tick_event;
  event_ptr stop_event;
  instant stop_before{};
  int exit_status = 0;
};

instant current_time();

// Carries out what the core decided.
void carry_out(router_process& process, effects& todo);

// callers.cc: the callers' interface.
void handle_call(router_process& process, const std::shared_ptr<server_exchange>& exchange);
void handle_key_request(router_process& process, const std::shared_ptr<server_exchange>& exchange);

// A refusal or failure, as JSON with the headers of docs/API.md.
struct failure_answer {
  outcome how = outcome::not_run;
  refusal why = refusal::internal;
  std::chrono::milliseconds retry_after{0};  // 0: no use in coming back
  std::string message;
};
int http_status(const failure_answer& answer);
void answer_failure(router_process& process, server_exchange& exchange,
                    const failure_answer& answer);

// Ends the call with a failure, for its caller and all that joined it.
void end_with_failure(router_process& process, caller_call& call, const failure_answer& answer);

// runs.cc: one run of a call on a target.
void start_run(router_process& process, const dispatch& what);

// forward.cc: passes a call to the router that issued its key.
void forward_call(router_process& process, const std::shared_ptr<server_exchange>& exchange,
                  const parsed_key& key);

// platform.cc: the platform's service and load reports of targets.
void keep_watching(router_process& process, instant now);
void start_load_poll(router_process& process, const target_config& target);

// pages.cc: health, readiness, status, time line, metrics.
bool handle_page(router_process& process, const std::shared_ptr<server_exchange>& exchange);

// Headers that every answer to a caller carries.
inline constexpr const char* header_outcome = "X-Outcome";
inline constexpr const char* header_refusal = "X-Refusal";
inline constexpr const char* header_forwarded = "X-Peridot-Forwarded";
inline constexpr const char* header_request_id = "X-Request-Id";

}  // namespace peridot
