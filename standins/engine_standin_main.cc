// Stand-in for a model engine that batches continuously.
//
//   engine_standin --address=127.0.0.1:19001 --max_batch=8 --cold_batch=1
//
// docs/STANDINS.md lists its requests and faults. A crash happens within the
// process: it drops all connections, refuses new ones for --restart_ms, and
// listens again under a new boot id.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <map>
#include <sstream>

#include "standins/engine_model.h"
#include "standins/http_server.h"

ABSL_FLAG(std::string, address, "127.0.0.1:19001", "IP number and port to listen at");
ABSL_FLAG(std::uint32_t, max_batch, 8, "calls that run at once when warm");
ABSL_FLAG(std::uint32_t, cold_batch, 1, "calls at once that the engine bears after a start");
ABSL_FLAG(std::uint32_t, warm_calls, 4, "completed calls that raise this by one");
ABSL_FLAG(std::uint32_t, overload_slack, 1, "calls beyond this that do not crash it yet");
ABSL_FLAG(std::uint32_t, min_tokens, 8, "shortest answer");
ABSL_FLAG(std::uint32_t, max_tokens, 64, "longest answer, unless X-Max-Tokens is given");
ABSL_FLAG(double, first_token_ms, 30, "milliseconds to the first token, with a batch of one");
ABSL_FLAG(double, token_gap_ms, 8, "milliseconds between tokens, with a batch of one");
ABSL_FLAG(double, slowdown, 0.05, "share by which each other running call slows both");
ABSL_FLAG(std::uint32_t, restart_ms, 2'000, "milliseconds from a crash to the next start");
ABSL_FLAG(std::uint32_t, report_lag_ms, 200, "milliseconds between two samples of the load");
ABSL_FLAG(std::uint32_t, kept_answers, 256, "answers kept for a resume");
ABSL_FLAG(std::uint32_t, token_bytes, 0, "each token is filled up to so many bytes with dots");

namespace peridot::standins {
namespace {

using clock = std::chrono::steady_clock;

constexpr const char* crash_marker = "crash-this-engine";
constexpr const char* early_crash_marker = "crash-before-first-token";

struct stream {
  evhtp_request_t* request = nullptr;
  bool started = false;  // its headers are sent
};

struct engine {
  http_server server;
  engine_options options;
  engine_table table;
  instant began{};                          // of the process
  std::map<std::uint64_t, stream> streams;  // by call id
  std::map<evhtp_request_t*, std::uint64_t> calls;
  std::optional<crash_cause> crash;  // to be carried out in the next tick
};

evhtp_res on_stream_end(evhtp_request_t* request, void* arg) {
  engine& self = *static_cast<engine*>(arg);
  const std::map<evhtp_request_t*, std::uint64_t>::iterator call = self.calls.find(request);
  if (call == self.calls.end()) {
    return EVHTP_RES_OK;
  }
  cancel_call(self.table, self.options, call->second);
  self.streams.erase(call->second);
  self.calls.erase(call);
  return EVHTP_RES_OK;
}

void begin_call(engine& self, const engine_call& call, evhtp_request_t* request) {
  const arrival_result result = add_call(self.table, self.options, call);
  self.streams.emplace(result.id, stream{request, false});
  self.calls.emplace(request, result.id);
  watch_end(request, on_stream_end, &self);
  if (result.overload) {
    self.crash = crash_cause::overload;
  }
}

poison harm_of(const std::string& body) {
  if (body.find(early_crash_marker) != std::string::npos) {
    return poison::before_first_token;
  }
  const bool harmful = body.find(crash_marker) != std::string::npos;
  return harmful ? poison::after_first_token : poison::none;
}

void on_generate(evhtp_request_t* request, void* arg) {
  engine& self = *static_cast<engine*>(arg);
  const std::string body = request_body(request);
  std::optional<std::uint64_t> limit;
  if (const std::optional<std::string> text = request_header(request, "X-Max-Tokens")) {
    limit = std::strtoull(text->c_str(), nullptr, 10);
  }
  engine_call call;
  call.request_id = request_header(request, "X-Request-Id").value_or("");
  call.organisation.value = request_header(request, "X-Organisation").value_or("none");
  call.prompt_hash = body_hash(body);
  call.tokens = answer_tokens(self.options, call.prompt_hash, limit);
  call.harm = harm_of(body);
  begin_call(self, call, request);
}

// Breaks off the stream of a call, which may go on elsewhere.
void end_stream(engine& self, std::uint64_t id) {
  const std::map<std::uint64_t, stream>::iterator found = self.streams.find(id);
  if (found == self.streams.end()) {
    cancel_call(self.table, self.options, id);
    return;
  }
  evhtp_connection_t* connection = found->second.request->conn;
  drop_connection(self.server, connection);
}

void on_cancel(evhtp_request_t* request, void* arg) {
  engine& self = *static_cast<engine*>(arg);
  const std::string id = query_text(request, "request").value_or("");
  const std::optional<std::uint64_t> call = find_call(self.table, id);
  if (!call) {
    send_text(request, EVHTP_RES_NOTFOUND, "no such request\n");
    return;
  }
  end_stream(self, *call);
  send_text(request, EVHTP_RES_OK, "cancelled\n");
}

void on_resume(evhtp_request_t* request, void* arg) {
  engine& self = *static_cast<engine*>(arg);
  const std::string id = query_text(request, "request").value_or("");
  const std::uint64_t offset = query_number(request, "offset").value_or(0);
  if (const std::optional<std::uint64_t> running = find_call(self.table, id)) {
    end_stream(self, *running);
  }
  const kept_answer* answer = find_answer(self.table, id);
  if (answer == nullptr || offset > answer->tokens) {
    send_text(request, EVHTP_RES_NOTFOUND, "no such request or offset\n");
    return;
  }
  engine_call call;
  call.request_id = id;
  call.organisation = answer->organisation;
  call.prompt_hash = answer->prompt_hash;
  call.tokens = answer->tokens;
  call.cached = answer->cached;
  call.next = static_cast<std::uint32_t>(offset);
  begin_call(self, call, request);
}

void on_load(evhtp_request_t* request, void* arg) {
  const engine& self = *static_cast<engine*>(arg);
  const load_sample& sample = self.table.sample;
  const std::chrono::milliseconds age =
      std::chrono::ceil<std::chrono::milliseconds>(clock::now() - sample.sampled_at);
  std::ostringstream text;
  text << "boot_id=" << sample.boot_id << " running=" << sample.running
       << " waiting=" << sample.waiting << " completed=" << sample.completed
       << " age_ms=" << age.count() << "\n";
  send_text(request, EVHTP_RES_OK, text.str());
}

void on_crash(evhtp_request_t* request, void* arg) {
  engine& self = *static_cast<engine*>(arg);
  self.crash = crash_cause::control;
  send_text(request, EVHTP_RES_OK, "crashes\n");
}

void on_pause(evhtp_request_t* request, void* arg) {
  engine& self = *static_cast<engine*>(arg);
  const std::uint64_t ms = query_number(request, "ms").value_or(0);
  self.table.paused_until = clock::now() + std::chrono::milliseconds(ms);
  send_text(request, EVHTP_RES_OK, "paused\n");
}

void on_stats(evhtp_request_t* request, void* arg) {
  const engine& self = *static_cast<engine*>(arg);
  const engine_stats& stats = self.table.stats;
  const std::chrono::duration<double> up = clock::now() - self.began;
  std::ostringstream text;
  text << "completed=" << stats.completed << "\ncancelled=" << stats.cancelled
       << "\ncrashes=" << stats.crashes << "\noverload_crashes=" << stats.overload_crashes
       << "\nlost_calls=" << stats.lost_calls << "\nmax_at_once=" << stats.max_at_once
       << "\nmax_batch=" << self.options.max_batch << "\nslot_seconds=" << stats.slot_time.count()
       << "\nup_seconds=" << up.count() << "\n";
  for (const std::pair<const organisation_name, std::uint64_t>& entry : stats.units) {
    text << "units " << entry.first.value << "=" << entry.second << "\n";
  }
  send_text(request, EVHTP_RES_OK, text.str());
}

void start_answer(const engine& self, const engine_call& call, evhtp_request_t* request) {
  if (!call.request_id.empty()) {
    add_reply_header(request, "X-Request-Id", call.request_id);
  }
  add_reply_header(request, "X-Boot-Id", self.table.boot_id);
  add_reply_header(request, "X-Prompt-Hash", hash_text(call.prompt_hash));
  add_reply_header(request, "X-Total-Tokens", std::to_string(call.tokens));
  add_reply_header(request, "X-Offset", std::to_string(call.next));
  add_reply_header(request, "Content-Type", "text/plain");
  evhtp_send_reply_chunk_start(request, EVHTP_RES_OK);
}

// Forgets the stream before its answer ends, so that its end is no cancel.
void finish_stream(engine& self, std::uint64_t id, evhtp_request_t* request) {
  self.streams.erase(id);
  self.calls.erase(request);
  evhtp_send_reply_chunk_end(request);
}

std::string token_text(std::uint32_t token, std::uint64_t prompt_hash) {
  std::string text = "token-" + std::to_string(token) + "." + hash_text(prompt_hash);
  const std::size_t bytes = absl::GetFlag(FLAGS_token_bytes);
  if (text.size() + 1 < bytes) {
    text.resize(bytes - 1, '.');
  }
  return text + " ";
}

void send_events(engine& self, const std::map<std::uint64_t, engine_call>& calls,
                 const std::vector<engine_event>& events) {
  for (const engine_event& event : events) {
    const std::map<std::uint64_t, stream>::iterator found = self.streams.find(event.call);
    if (found == self.streams.end() || event.kind == engine_event_kind::crash) {
      continue;
    }
    stream& out = found->second;
    const engine_call& call = calls.at(event.call);
    if (!out.started) {
      start_answer(self, call, out.request);
      out.started = true;
    }
    if (event.kind == engine_event_kind::finished) {
      finish_stream(self, event.call, out.request);
      continue;
    }
    send_chunk(out.request, token_text(event.token, call.prompt_hash));
  }
}

void carry_out_crash(engine& self, crash_cause cause, instant now) {
  std::printf("engine_standin: crashes with %zu calls\n", self.table.calls.size());
  std::fflush(stdout);
  crash_engine(self.table, self.options, cause, now);
  self.streams.clear();
  self.calls.clear();
  self.crash.reset();
  stop_listening(self.server);
  drop_all_connections(self.server);
}

void restart_if_due(engine& self, instant now) {
  if (now < self.table.starts_at || !start_listening(self.server)) {
    return;
  }
  boot(self.table, new_boot_id(), now);
  std::printf("engine_standin: listens again as %s\n", self.table.boot_id.c_str());
  std::fflush(stdout);
}

void tick(void* arg) {
  engine& self = *static_cast<engine*>(arg);
  const instant now = clock::now();
  if (!self.table.up) {
    restart_if_due(self, now);
    return;
  }
  const std::map<std::uint64_t, engine_call> before = self.table.calls;
  const std::vector<engine_event> events = run_engine(self.table, self.options, now);
  send_events(self, before, events);
  if (now >= self.table.paused_until) {
    sample_load(self.table, self.options, now);
  }
  if (!events.empty() && events.back().kind == engine_event_kind::crash) {
    self.crash = crash_cause::request;
  }
  if (self.crash) {
    carry_out_crash(self, *self.crash, now);
  }
}

engine_options options_from_flags() {
  using milliseconds = std::chrono::duration<double, std::milli>;
  engine_options options;
  options.max_batch = std::max(absl::GetFlag(FLAGS_max_batch), 1U);
  options.cold_batch = std::clamp(absl::GetFlag(FLAGS_cold_batch), 1U, options.max_batch);
  options.warm_calls = absl::GetFlag(FLAGS_warm_calls);
  options.overload_slack = absl::GetFlag(FLAGS_overload_slack);
  options.min_tokens = std::max(absl::GetFlag(FLAGS_min_tokens), 1U);
  options.max_tokens = std::max(absl::GetFlag(FLAGS_max_tokens), options.min_tokens);
  options.first_token = std::chrono::duration_cast<std::chrono::microseconds>(
      milliseconds(absl::GetFlag(FLAGS_first_token_ms)));
  options.token_gap = std::chrono::duration_cast<std::chrono::microseconds>(
      milliseconds(absl::GetFlag(FLAGS_token_gap_ms)));
  options.slowdown = absl::GetFlag(FLAGS_slowdown);
  options.restart = std::chrono::milliseconds(absl::GetFlag(FLAGS_restart_ms));
  options.report_lag = std::chrono::milliseconds(absl::GetFlag(FLAGS_report_lag_ms));
  options.kept_answers = absl::GetFlag(FLAGS_kept_answers);
  return options;
}

void add_handlers(engine& self) {
  add_handler(self.server, "/v1/generate", on_generate, &self);
  add_handler(self.server, "/v1/cancel", on_cancel, &self);
  add_handler(self.server, "/v1/resume", on_resume, &self);
  add_handler(self.server, "/load", on_load, &self);
  add_handler(self.server, "/control/crash", on_crash, &self);
  add_handler(self.server, "/control/pause", on_pause, &self);
  add_handler(self.server, "/control/stats", on_stats, &self);
}

int run() {
  engine self;
  self.options = options_from_flags();
  self.began = clock::now();
  event_base* base = event_base_new();
  std::string problem;
  if (!open_server(self.server, base, absl::GetFlag(FLAGS_address), problem)) {
    std::fprintf(stderr, "engine_standin: %s\n", problem.c_str());
    event_base_free(base);
    return 2;
  }
  boot(self.table, new_boot_id(), self.began);
  add_handlers(self);
  const int status = run_until_terminated(self.server, "engine_standin", tick, &self);
  close_server(self.server);
  event_base_free(base);
  return status;
}

}  // namespace
}  // namespace peridot::standins

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("stand-in for a model engine that batches continuously");
  absl::ParseCommandLine(argc, argv);
  return peridot::standins::run();
}
