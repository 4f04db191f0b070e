// Stand-in for a plain service whose calls may not be repeated.
//
//   service_standin --address=127.0.0.1:19011 --call_ms=40
//
// A call is recorded when it begins to run, and answered `--call_ms` later.
// docs/STANDINS.md lists its requests and faults.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <map>
#include <sstream>
#include <vector>

#include "core/types.h"
#include "standins/http_server.h"
#include "standins/run_ledger.h"

ABSL_FLAG(std::string, address, "127.0.0.1:19011", "IP number and port to listen at");
ABSL_FLAG(std::uint32_t, call_ms, 40, "milliseconds that a call runs");
ABSL_FLAG(std::uint32_t, status_ms, 2, "milliseconds that a status check runs");
ABSL_FLAG(std::uint32_t, restart_ms, 2'000, "milliseconds from a crash to the next start");
ABSL_FLAG(std::uint32_t, report_lag_ms, 200, "milliseconds between two samples of the load");

namespace peridot::standins {
namespace {

using clock = std::chrono::steady_clock;

// A body that begins with this is a status check too: short and not recorded.
constexpr const char* status_prefix = "status";

struct service_call {
  std::uint64_t number = 0;  // in the ledger, 0 for a status check
  std::string request_id;
  std::string body_hash;
  instant crashes_at = instant::max();
  instant ends_at{};
};

// Faults of the next calls. Each count falls by one with a call that it hits.
struct call_faults {
  std::uint64_t lose_answers = 0;
  std::uint64_t late_answers = 0;
  std::chrono::milliseconds late_by{0};
  std::uint64_t crash_in_calls = 0;
};

struct load_line {
  std::size_t running = 0;
  std::uint64_t completed = 0;
  instant sampled_at{};
};

struct plain_service {
  http_server server;
  std::string boot_id;
  bool up = true;
  bool crash = false;  // to be carried out in the next tick
  instant starts_at{};
  std::uint64_t completed = 0;  // since the last start
  std::uint64_t crashes = 0;
  std::size_t max_at_once = 0;
  std::map<evhtp_request_t*, service_call> calls;
  call_faults faults;
  load_line load;
  run_ledger ledger;
};

evhtp_res on_call_end(evhtp_request_t* request, void* arg) {
  static_cast<plain_service*>(arg)->calls.erase(request);
  return EVHTP_RES_OK;
}

void begin_call(plain_service& self, const service_call& call, evhtp_request_t* request) {
  self.calls.emplace(request, call);
  self.max_at_once = std::max(self.max_at_once, self.calls.size());
  watch_end(request, on_call_end, &self);
}

void on_status(evhtp_request_t* request, void* arg) {
  plain_service& self = *static_cast<plain_service*>(arg);
  service_call call;
  call.request_id = request_header(request, "X-Request-Id").value_or("");
  call.body_hash = hash_text(body_hash(request_body(request)));
  call.ends_at = clock::now() + std::chrono::milliseconds(absl::GetFlag(FLAGS_status_ms));
  begin_call(self, call, request);
}

std::string idempotency_key(const evhtp_request_t* request) {
  if (const std::optional<std::string> key = request_header(request, "X-Idempotency-Key")) {
    return *key;
  }
  return request_header(request, "Idempotency-Key").value_or("");
}

void on_call(evhtp_request_t* request, void* arg) {
  plain_service& self = *static_cast<plain_service*>(arg);
  if (request_body(request).starts_with(status_prefix)) {
    on_status(request, arg);
    return;
  }
  const std::chrono::milliseconds run_time(absl::GetFlag(FLAGS_call_ms));
  const instant now = clock::now();
  service_call call;
  call.request_id = request_header(request, "X-Request-Id").value_or("");
  call.body_hash = hash_text(body_hash(request_body(request)));
  call.number = record_run(self.ledger, idempotency_key(request), call.body_hash);
  call.ends_at = now + run_time;
  if (self.faults.late_answers > 0) {
    --self.faults.late_answers;
    call.ends_at += self.faults.late_by;
  }
  if (self.faults.crash_in_calls > 0) {
    --self.faults.crash_in_calls;
    call.crashes_at = now + run_time / 2;
  }
  begin_call(self, call, request);
}

void on_load(evhtp_request_t* request, void* arg) {
  const plain_service& self = *static_cast<plain_service*>(arg);
  const std::chrono::milliseconds age =
      std::chrono::ceil<std::chrono::milliseconds>(clock::now() - self.load.sampled_at);
  std::ostringstream text;
  text << "boot_id=" << self.boot_id << " running=" << self.load.running
       << " waiting=0 completed=" << self.load.completed << " age_ms=" << age.count() << "\n";
  send_text(request, EVHTP_RES_OK, text.str());
}

void on_runs(evhtp_request_t* request, void* arg) {
  const plain_service& self = *static_cast<plain_service*>(arg);
  const run_totals sums = totals(self.ledger);
  std::ostringstream text;
  for (const std::pair<const std::string, std::uint64_t>& entry : self.ledger.by_key) {
    text << entry.first << " " << entry.second << "\n";
  }
  text << "runs=" << sums.runs << "\nkeys=" << sums.keys << "\ndouble_runs=" << sums.double_runs
       << "\ndouble_bodies=" << sums.double_bodies << "\ncrashes=" << self.crashes
       << "\nmax_at_once=" << self.max_at_once << "\n";
  send_text(request, EVHTP_RES_OK, text.str());
}

void on_lose_answers(evhtp_request_t* request, void* arg) {
  plain_service& self = *static_cast<plain_service*>(arg);
  self.faults.lose_answers = query_number(request, "count").value_or(1);
  send_text(request, EVHTP_RES_OK, "loses answers\n");
}

void on_late_answers(evhtp_request_t* request, void* arg) {
  plain_service& self = *static_cast<plain_service*>(arg);
  self.faults.late_answers = query_number(request, "count").value_or(1);
  self.faults.late_by = std::chrono::milliseconds(query_number(request, "ms").value_or(1'000));
  send_text(request, EVHTP_RES_OK, "answers late\n");
}

// At once, or in the middle of each of the next `in_calls` calls.
void on_crash(evhtp_request_t* request, void* arg) {
  plain_service& self = *static_cast<plain_service*>(arg);
  const std::optional<std::uint64_t> in_calls = query_number(request, "in_calls");
  self.faults.crash_in_calls = in_calls.value_or(0);
  self.crash = !in_calls;
  send_text(request, EVHTP_RES_OK, "crashes\n");
}

void answer(plain_service& self, const service_call& call, evhtp_request_t* request) {
  ++self.completed;
  if (!call.request_id.empty()) {
    add_reply_header(request, "X-Request-Id", call.request_id);
  }
  add_reply_header(request, "X-Boot-Id", self.boot_id);
  add_reply_header(request, "X-Prompt-Hash", call.body_hash);
  add_reply_header(request, "Content-Type", "application/json");
  std::ostringstream text;
  text << "{\"recorded\":" << call.number << ",\"body_hash\":\"" << call.body_hash << "\"}\n";
  send_text(request, EVHTP_RES_OK, text.str());
}

// Takes calls that have ended out of the table and answers them, or loses their
// answers.
void end_calls(plain_service& self, instant now) {
  std::vector<evhtp_connection_t*> lost;
  for (auto entry = self.calls.begin(); entry != self.calls.end();) {
    const service_call call = entry->second;
    evhtp_request_t* request = entry->first;
    if (now < call.ends_at) {
      ++entry;
      continue;
    }
    entry = self.calls.erase(entry);
    if (call.number > 0 && self.faults.lose_answers > 0) {
      --self.faults.lose_answers;
      lost.push_back(request->conn);
      continue;
    }
    answer(self, call, request);
  }
  for (evhtp_connection_t* connection : lost) {
    drop_connection(self.server, connection);
  }
}

bool crash_is_due(const plain_service& self, instant now) {
  for (const std::pair<evhtp_request_t* const, service_call>& entry : self.calls) {
    if (entry.second.crashes_at <= now) {
      return true;
    }
  }
  return self.crash;
}

void carry_out_crash(plain_service& self, instant now) {
  std::printf("service_standin: crashes with %zu calls\n", self.calls.size());
  std::fflush(stdout);
  ++self.crashes;
  self.crash = false;
  self.up = false;
  self.completed = 0;
  self.starts_at = now + std::chrono::milliseconds(absl::GetFlag(FLAGS_restart_ms));
  self.calls.clear();
  stop_listening(self.server);
  drop_all_connections(self.server);
}

void restart_if_due(plain_service& self, instant now) {
  if (now < self.starts_at || !start_listening(self.server)) {
    return;
  }
  self.up = true;
  self.boot_id = new_boot_id();
  self.load = load_line{0, 0, now};
  std::printf("service_standin: listens again as %s\n", self.boot_id.c_str());
  std::fflush(stdout);
}

void tick(void* arg) {
  plain_service& self = *static_cast<plain_service*>(arg);
  const instant now = clock::now();
  if (!self.up) {
    restart_if_due(self, now);
    return;
  }
  if (crash_is_due(self, now)) {
    carry_out_crash(self, now);
    return;
  }
  end_calls(self, now);
  if (now - self.load.sampled_at >= std::chrono::milliseconds(absl::GetFlag(FLAGS_report_lag_ms))) {
    self.load = load_line{self.calls.size(), self.completed, now};
  }
}

void add_handlers(plain_service& self) {
  add_handler(self.server, "/v1/call", on_call, &self);
  add_handler(self.server, "/v1/status", on_status, &self);
  add_handler(self.server, "/load", on_load, &self);
  add_handler(self.server, "/control/runs", on_runs, &self);
  add_handler(self.server, "/control/crash", on_crash, &self);
  add_handler(self.server, "/control/lose_answers", on_lose_answers, &self);
  add_handler(self.server, "/control/late_answers", on_late_answers, &self);
}

int run() {
  plain_service self;
  event_base* base = event_base_new();
  std::string problem;
  if (!open_server(self.server, base, absl::GetFlag(FLAGS_address), problem)) {
    std::fprintf(stderr, "service_standin: %s\n", problem.c_str());
    event_base_free(base);
    return 2;
  }
  self.boot_id = new_boot_id();
  self.load.sampled_at = clock::now();
  add_handlers(self);
  const int status = run_until_terminated(self.server, "service_standin", tick, &self);
  close_server(self.server);
  event_base_free(base);
  return status;
}

}  // namespace
}  // namespace peridot::standins

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("stand-in for a plain service whose calls may not be repeated");
  absl::ParseCommandLine(argc, argv);
  return peridot::standins::run();
}
