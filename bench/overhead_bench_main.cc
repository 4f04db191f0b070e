// Latency of short calls in a closed loop: each connection sends its next call
// when the last one was answered, for a bounded time and number of calls.
//
//   overhead_bench --port=18001 --path=/v1/requests --connections=1
//
// Prints one line: calls, failures, calls a second, p50 and p99 in microseconds.
// Connections are kept open between calls. Exit status 1 if a call failed.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number");
ABSL_FLAG(std::uint32_t, port, 18001, "port");
ABSL_FLAG(std::string, path, "/v1/requests", "of each call");
ABSL_FLAG(std::string, profile, "status", "header X-Profile");
ABSL_FLAG(std::string, organisation, "bench", "header X-Organisation");
ABSL_FLAG(std::uint32_t, connections, 1, "calls in flight");
ABSL_FLAG(double, seconds, 5, "longest run");
ABSL_FLAG(std::uint32_t, max_calls, 20'000, "most calls");
ABSL_FLAG(std::uint32_t, pause_ms, 0, "pause of a connection between an answer and its next call");

namespace peridot {
namespace {

using clock = std::chrono::steady_clock;

constexpr int http_ok = 200;
constexpr int call_timeout_seconds = 5;
constexpr std::uint32_t warm_up_calls = 50;

struct bench_state {
  event_base* base = nullptr;
  std::uint32_t started = 0;
  std::uint32_t ended = 0;
  std::uint32_t failed = 0;
  std::uint32_t idle_connections = 0;  // that have ended their last call
  clock::time_point began{};
  clock::time_point stop_at{};
  std::vector<double> latencies;  // microseconds
};

struct bench_connection {
  bench_state* state = nullptr;
  evhttp_connection* http = nullptr;
  clock::time_point sent{};
};

void send_call(bench_connection& connection);

void on_pause_end(evutil_socket_t /*socket*/, short /*events*/, void* argument) {
  send_call(*static_cast<bench_connection*>(argument));
}

// Precondition: the connection has no call in flight.
void send_next(bench_connection& connection) {
  const std::uint32_t pause_ms = absl::GetFlag(FLAGS_pause_ms);
  if (pause_ms == 0) {
    send_call(connection);
    return;
  }
  const timeval pause{0, static_cast<suseconds_t>(pause_ms) * 1'000};
  event_base_once(connection.state->base, -1, EV_TIMEOUT, on_pause_end, &connection, &pause);
}

void on_answer(evhttp_request* request, void* argument) {
  bench_connection& connection = *static_cast<bench_connection*>(argument);
  bench_state& state = *connection.state;
  const clock::time_point now = clock::now();
  ++state.ended;
  if (request == nullptr || evhttp_request_get_response_code(request) != http_ok) {
    ++state.failed;
  } else if (state.ended > warm_up_calls) {
    state.latencies.push_back(
        std::chrono::duration<double, std::micro>(now - connection.sent).count());
  }
  if (state.ended == warm_up_calls) {
    state.began = now;
  }
  if (now < state.stop_at && state.started < absl::GetFlag(FLAGS_max_calls)) {
    send_next(connection);
  } else if (++state.idle_connections == absl::GetFlag(FLAGS_connections)) {
    event_base_loopbreak(state.base);
  }
}

void send_call(bench_connection& connection) {
  bench_state& state = *connection.state;
  ++state.started;
  evhttp_request* request = evhttp_request_new(on_answer, &connection);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", absl::GetFlag(FLAGS_address).c_str());
  evhttp_add_header(headers, "X-Organisation", absl::GetFlag(FLAGS_organisation).c_str());
  evhttp_add_header(headers, "X-Profile", absl::GetFlag(FLAGS_profile).c_str());
  evhttp_add_header(headers, "X-Request-Id", std::to_string(state.started).c_str());
  const std::string body = "status " + std::to_string(state.started);
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  connection.sent = clock::now();
  evhttp_make_request(connection.http, request, EVHTTP_REQ_POST, absl::GetFlag(FLAGS_path).c_str());
}

double percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

int run() {
  bench_state state;
  state.base = event_base_new();
  state.began = clock::now();
  state.stop_at = state.began + std::chrono::duration_cast<clock::duration>(
                                    std::chrono::duration<double>(absl::GetFlag(FLAGS_seconds)));
  std::vector<bench_connection> connections(absl::GetFlag(FLAGS_connections));
  for (bench_connection& connection : connections) {
    connection.state = &state;
    connection.http =
        evhttp_connection_base_new(state.base, nullptr, absl::GetFlag(FLAGS_address).c_str(),
                                   static_cast<unsigned short>(absl::GetFlag(FLAGS_port)));
    evhttp_connection_set_timeout(connection.http, call_timeout_seconds);
    send_call(connection);
  }
  event_base_dispatch(state.base);
  const double seconds = std::chrono::duration<double>(clock::now() - state.began).count();
  std::sort(state.latencies.begin(), state.latencies.end());
  std::printf("calls=%u failed=%u per_second=%.0f p50_us=%.0f p99_us=%.0f\n", state.ended,
              state.failed, static_cast<double>(state.latencies.size()) / seconds,
              percentile(state.latencies, 0.5), percentile(state.latencies, 0.99));
  for (const bench_connection& connection : connections) {
    evhttp_connection_free(connection.http);
  }
  event_base_free(state.base);
  return state.failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace peridot

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Latency of short calls in a closed loop.");
  absl::ParseCommandLine(argc, argv);
  return peridot::run();
}
