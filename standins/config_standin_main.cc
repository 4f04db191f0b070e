// Stand-in for the platform's configuration service and lagging instance list.
//
//   config_standin --address=127.0.0.1:19000 --config=fleet.toml --instances=list.toml
//
// docs/STANDINS.md lists its requests and faults.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>
#include <vector>

#include "standins/http_server.h"
#include "standins/published_values.h"

ABSL_FLAG(std::string, address, "127.0.0.1:19000", "IP number and port to listen at");
ABSL_FLAG(std::string, config, "", "file with the first configuration; empty: none yet");
ABSL_FLAG(std::string, instances, "", "file with the first instance list; empty: none yet");
ABSL_FLAG(std::uint64_t, list_lag_ms, 2'000,
          "milliseconds after which a published instance list is served");

namespace peridot::standins {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::uint64_t longest_wait_ms = 60'000;

// One read or watch that has not been answered.
struct value_call {
  published_value* value = nullptr;
  std::uint64_t after = 0;
  clock::time_point not_before;  // while the service is slow
  clock::time_point timeout;
};

struct call_counts {
  std::uint64_t reads = 0;  // a waiting watch counts as one
  std::uint64_t answered = 0;
  std::uint64_t unchanged = 0;
  std::uint64_t dropped = 0;
  std::uint64_t published = 0;
};

struct config_service {
  http_server server;
  published_value config;
  published_value instances;
  service_faults faults;
  std::map<evhtp_request_t*, value_call> calls;
  call_counts counts;
};

evhtp_res on_call_end(evhtp_request_t* request, void* arg) {
  static_cast<config_service*>(arg)->calls.erase(request);
  return EVHTP_RES_OK;
}

void read_value(config_service& service, published_value& value, evhtp_request_t* request) {
  const clock::time_point now = clock::now();
  const std::uint64_t wait =
      std::min(query_number(request, "wait_ms").value_or(0), longest_wait_ms);
  value_call call;
  call.value = &value;
  call.after = query_number(request, "after").value_or(0);
  call.not_before = now + service.faults.delay;
  call.timeout = call.not_before + std::chrono::milliseconds(wait);
  ++service.counts.reads;
  service.calls.emplace(request, call);
  watch_end(request, on_call_end, &service);
}

void on_read_config(evhtp_request_t* request, void* arg) {
  config_service& service = *static_cast<config_service*>(arg);
  read_value(service, service.config, request);
}

void on_read_instances(evhtp_request_t* request, void* arg) {
  config_service& service = *static_cast<config_service*>(arg);
  read_value(service, service.instances, request);
}

void publish_from(config_service& service, published_value& value, evhtp_request_t* request) {
  if (!publish(value, request_body(request), clock::now())) {
    send_text(request, EVHTP_RES_BADREQ, "no line 'version = N' before the first table\n");
    return;
  }
  ++service.counts.published;
  send_text(request, EVHTP_RES_OK, "published\n");
}

void on_publish_config(evhtp_request_t* request, void* arg) {
  config_service& service = *static_cast<config_service*>(arg);
  publish_from(service, service.config, request);
}

void on_publish_instances(evhtp_request_t* request, void* arg) {
  config_service& service = *static_cast<config_service*>(arg);
  publish_from(service, service.instances, request);
}

void on_faults(evhtp_request_t* request, void* arg) {
  config_service& service = *static_cast<config_service*>(arg);
  const clock::time_point now = clock::now();
  service_faults& faults = service.faults;
  if (const std::optional<std::uint64_t> down = query_number(request, "down")) {
    faults.down = *down != 0;
  }
  if (const std::optional<std::uint64_t> stale = query_number(request, "stale")) {
    set_stale(service.config, *stale != 0, now);
    set_stale(service.instances, *stale != 0, now);
  }
  if (const std::optional<std::uint64_t> slow = query_number(request, "slow_ms")) {
    faults.delay = std::chrono::milliseconds(std::min(*slow, longest_wait_ms));
  }
  std::ostringstream text;
  text << "down=" << faults.down << "\nstale=" << service.config.stale
       << "\nslow_ms=" << faults.delay.count() << "\n";
  send_text(request, EVHTP_RES_OK, text.str());
}

void on_calls(evhtp_request_t* request, void* arg) {
  const config_service& service = *static_cast<config_service*>(arg);
  const call_counts& counts = service.counts;
  std::ostringstream text;
  text << "reads=" << counts.reads << "\nanswered=" << counts.answered
       << "\nunchanged=" << counts.unchanged << "\ndropped=" << counts.dropped
       << "\npublished=" << counts.published << "\nwaiting=" << service.calls.size() << "\n";
  send_text(request, EVHTP_RES_OK, text.str());
}

void drop_calls(config_service& service) {
  std::vector<evhtp_connection_t*> connections;
  for (const std::pair<evhtp_request_t* const, value_call>& entry : service.calls) {
    connections.push_back(entry.first->conn);
  }
  service.counts.dropped += connections.size();
  for (evhtp_connection_t* connection : connections) {
    drop_connection(service.server, connection);
  }
}

// True if the call was answered.
bool answer_call(config_service& service, evhtp_request_t* request, const value_call& call,
                 clock::time_point now) {
  if (now < call.not_before) {
    return false;
  }
  const document* served = served_document(*call.value, now);
  if (served != nullptr && served->version > call.after) {
    ++service.counts.answered;
    add_reply_header(request, "X-Version", std::to_string(served->version));
    add_reply_header(request, "Content-Type", "application/toml");
    send_text(request, EVHTP_RES_OK, served->text);
    return true;
  }
  if (now < call.timeout) {
    return false;
  }
  ++service.counts.unchanged;
  send_text(request, EVHTP_RES_NOTMOD, "");
  return true;
}

void tick(void* arg) {
  config_service& service = *static_cast<config_service*>(arg);
  if (service.faults.down) {
    drop_calls(service);
    return;
  }
  const clock::time_point now = clock::now();
  for (auto call = service.calls.begin(); call != service.calls.end();) {
    const bool answered = answer_call(service, call->first, call->second, now);
    call = answered ? service.calls.erase(call) : std::next(call);
  }
}

// True if the path is empty or its document was published.
bool publish_file(published_value& value, const std::string& path) {
  if (path.empty()) {
    return true;
  }
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (file && publish(value, text.str(), clock::now() - value.lag)) {
    return true;
  }
  std::fprintf(stderr, "config_standin: cannot publish %s\n", path.c_str());
  return false;
}

int run() {
  config_service service;
  service.instances.lag = std::chrono::milliseconds(absl::GetFlag(FLAGS_list_lag_ms));
  if (!publish_file(service.config, absl::GetFlag(FLAGS_config)) ||
      !publish_file(service.instances, absl::GetFlag(FLAGS_instances))) {
    return 2;
  }
  event_base* base = event_base_new();
  std::string problem;
  if (!open_server(service.server, base, absl::GetFlag(FLAGS_address), problem)) {
    std::fprintf(stderr, "config_standin: %s\n", problem.c_str());
    event_base_free(base);
    return 2;
  }
  add_handler(service.server, "/v1/values/config", on_read_config, &service);
  add_handler(service.server, "/v1/values/instances", on_read_instances, &service);
  add_handler(service.server, "/control/values/config", on_publish_config, &service);
  add_handler(service.server, "/control/values/instances", on_publish_instances, &service);
  add_handler(service.server, "/control/faults", on_faults, &service);
  add_handler(service.server, "/control/calls", on_calls, &service);
  const int status = run_until_terminated(service.server, "config_standin", tick, &service);
  close_server(service.server);
  event_base_free(base);
  return status;
}

}  // namespace
}  // namespace peridot::standins

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "stand-in for the platform's configuration service and instance list");
  absl::ParseCommandLine(argc, argv);
  return peridot::standins::run();
}
