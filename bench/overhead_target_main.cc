// A target that answers every call at once with a few bytes, so that what a call
// takes beyond that is the router's. Ends after TERM, or after --seconds.
//
//   overhead_target --port=19031
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <string>

ABSL_FLAG(std::uint32_t, port, 19031, "port on 127.0.0.1");
ABSL_FLAG(std::uint32_t, seconds, 300, "longest life");

namespace peridot {
namespace {

struct target_state {
  event_base* base = nullptr;
  std::uint64_t completed = 0;
};

void send_text(evhttp_request* request, const std::string& text) {
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, text.data(), text.size());
  evhttp_send_reply(request, HTTP_OK, "OK", body);
  evbuffer_free(body);
}

void on_load(evhttp_request* request, void* argument) {
  const target_state& state = *static_cast<target_state*>(argument);
  send_text(request, "boot_id=overhead running=0 waiting=0 completed=" +
                         std::to_string(state.completed) + " age_ms=0\n");
}

void on_call(evhttp_request* request, void* argument) {
  target_state& state = *static_cast<target_state*>(argument);
  ++state.completed;
  const char* id = evhttp_find_header(evhttp_request_get_input_headers(request), "X-Request-Id");
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "X-Boot-Id", "overhead");
  if (id != nullptr) {
    evhttp_add_header(headers, "X-Request-Id", id);
  }
  send_text(request, "{\"status\":\"idle\"}\n");
}

void on_end(evutil_socket_t /*socket*/, short /*events*/, void* argument) {
  event_base_loopbreak(static_cast<target_state*>(argument)->base);
}

int run() {
  target_state state;
  state.base = event_base_new();
  evhttp* server = evhttp_new(state.base);
  evhttp_set_cb(server, "/load", on_load, &state);
  evhttp_set_gencb(server, on_call, &state);
  const unsigned short port = static_cast<unsigned short>(absl::GetFlag(FLAGS_port));
  if (evhttp_bind_socket(server, "127.0.0.1", port) != 0) {
    std::fprintf(stderr, "overhead_target: cannot listen at port %u\n", unsigned{port});
    return 1;
  }
  event* term = evsignal_new(state.base, SIGTERM, on_end, &state);
  event_add(term, nullptr);
  const timeval life{static_cast<time_t>(absl::GetFlag(FLAGS_seconds)), 0};
  event_base_loopexit(state.base, &life);
  event_base_dispatch(state.base);
  event_free(term);
  evhttp_free(server);
  event_base_free(state.base);
  return 0;
}

}  // namespace
}  // namespace peridot

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("A target that answers at once.");
  absl::ParseCommandLine(argc, argv);
  return peridot::run();
}
