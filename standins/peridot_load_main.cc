// peridot_load: calls to routers at a steady rate, every answer checked.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <iterator>
#include <list>
#include <map>
#include <random>

#include "core/calls/event_stream.h"
#include "net/http_client.h"

ABSL_FLAG(std::vector<std::string>, routers, {}, "Callers' addresses of the routers.");
ABSL_FLAG(int, seconds, 10, "How long calls are sent.");
ABSL_FLAG(int, per_second, 60, "Calls a second.");

namespace {

using peridot::milliseconds;

constexpr int most_sends = 4;  // of one call, each with an id of its own

// Pause before a call is sent again when the refusal names none.
constexpr milliseconds default_pause{100};

struct load_call;

struct load_state {
  peridot::event_base_ptr base;
  peridot::http_client client;
  std::vector<std::string> routers;
  std::mt19937_64 random{std::random_device{}()};
  std::uint64_t sent = 0;
  std::uint64_t sends = 0;
  std::uint64_t whole = 0;
  std::uint64_t bad = 0;  // taken for whole, but wrong
  std::uint64_t cut = 0;  // visibly broken off
  std::uint64_t unanswered = 0;
  std::uint64_t lost_sends = 0;  // closed without an answer after bytes had left
  std::map<int, std::uint64_t> by_status;
  std::vector<std::string> unanswered_calls;      // one line each
  std::list<std::shared_ptr<load_call>> waiting;  // to be sent again
  std::size_t open = 0;
  int ticks_left = 0;
};

struct load_call {
  load_state* state = nullptr;
  int kind = 0;  // 0 stream, 1 once only, 2 repeatable
  int sends = 0;
  std::string id;
  std::string router;   // to which it was sent last
  std::string history;  // router, status and end of each send
  int status = 0;
  bool stamped = false;
  milliseconds pause = default_pause;  // asked for by the last refusal
  std::string body;
  std::shared_ptr<peridot::client_call> handle;
  peridot::instant send_at{};  // of the next send, while it waits
};

void send_call(const std::shared_ptr<load_call>& call);

// True if the body is a whole and ordered stream, or the plain answer.
bool is_right(const load_call& call) {
  if (call.kind != 0) {
    return call.body == "{\"done\":true}\n";
  }
  peridot::event_splitter splitter;
  std::uint64_t expected = 1;
  bool ordered = true;
  peridot::feed_events(splitter, call.body, [&](std::string_view, std::optional<std::uint64_t> id) {
    ordered = ordered && id == expected;
    ++expected;
  });
  return ordered && expected == 11 && peridot::pending_bytes(splitter) == 0;
}

void finish(const std::shared_ptr<load_call>& call, peridot::client_call_result end) {
  load_state& state = *call->state;
  const bool complete = end == peridot::client_call_result::complete;
  state.lost_sends +=
      end == peridot::client_call_result::failed_after_send && call->status == 0 ? 1 : 0;
  state.by_status[complete ? call->status : 0] += 1;
  const bool not_run = end == peridot::client_call_result::not_sent ||
                       (complete && (call->status == 503 || call->status == 429));
  const bool again = not_run || (call->kind == 2 && (!complete || call->status >= 500));
  call->history += " " + call->id + "@" + call->router + "=" + std::to_string(call->status) + "/" +
                   std::to_string(static_cast<int>(end));
  if (again && call->sends < most_sends) {
    call->send_at = peridot::current_time() + call->pause;
    state.waiting.push_back(call);
    return;
  }
  --state.open;
  if (complete && call->status == 200) {
    ++(is_right(*call) && call->stamped ? state.whole : state.bad);
  } else if (call->status == 200) {
    ++state.cut;
  } else {
    ++state.unanswered;
    state.unanswered_calls.push_back("kind=" + std::to_string(call->kind) + call->history);
  }
}

// Another router than the last one, as the platform takes a router that stops out
// of rotation.
std::string next_router(load_state& state, const std::string& last) {
  std::vector<std::string> others;
  std::copy_if(state.routers.begin(), state.routers.end(), std::back_inserter(others),
               [&last](const std::string& router) { return router != last; });
  const std::vector<std::string>& from = others.empty() ? state.routers : others;
  return from[state.random() % from.size()];
}

milliseconds retry_after(const peridot::message_head& head) {
  const std::string text{peridot::find_header(head.headers, "Retry-After")};
  double seconds = 0;
  return absl::SimpleAtod(text, &seconds) && seconds >= 0
             ? milliseconds{static_cast<std::int64_t>(seconds * 1'000)}
             : default_pause;
}

void send_call(const std::shared_ptr<load_call>& call) {
  load_state& state = *call->state;
  constexpr const char* paths[] = {"/chat/1", "/book/1", "/hours/1"};
  ++state.sends;
  call->sends += 1;
  call->id = std::to_string(state.random());
  call->router = next_router(state, call->router);
  call->status = 0;
  call->stamped = false;
  call->pause = default_pause;
  call->body.clear();
  peridot::http_request what;
  what.address = call->router;
  what.method = call->kind == 2 ? "GET" : "POST";
  what.request_target = paths[call->kind];
  what.headers = {{"Host", "app.example"},
                  {"X-Peridotspur-Attempt-Id", call->id},
                  {"X-Peridotspur-Deadline-Ms", "4000"},
                  {"Api-Key", state.random() % 2 == 0 ? "key-1" : "key-2"}};
  if (call->kind == 0) {
    what.headers.push_back({"X-Peridotspur-Model", "m"});
    what.headers.push_back({"X-Peridotspur-Token-Counts", "600,40"});
    what.headers.push_back({"X-Peridotspur-Prompt-Prefix",
                            "a1:400," + std::to_string(state.random() % 1'000) + ":200"});
    what.body = "{\"prompt\":\"x\"}";
  }
  what.has_body = call->kind != 2;
  what.echo_header = "X-Peridotspur-Attempt-Id";
  what.echo_value = call->id;
  what.connect_timeout = milliseconds{1'000};
  what.idle_timeout = milliseconds{5'000};
  what.max_reuse_idle_time = milliseconds{1'000};
  peridot::call_handlers handlers;
  handlers.on_head = [call](const peridot::message_head& head) {
    call->status = head.status;
    call->pause = retry_after(head);
    call->stamped = peridot::has_header(head.headers, "X-Peridotspur-Server-Stamp");
  };
  handlers.on_data = [call](std::string_view data) { call->body.append(data); };
  handlers.on_end = [call](peridot::client_call_result end) { finish(call, end); };
  call->handle = peridot::start_call(state.client, std::move(what), std::move(handlers));
}

void send_waiting(load_state& state) {
  const peridot::instant now = peridot::current_time();
  for (auto call = state.waiting.begin(); call != state.waiting.end();) {
    if ((*call)->send_at <= now) {
      send_call(*call);
      call = state.waiting.erase(call);
    } else {
      ++call;
    }
  }
}

void on_tick(load_state& state) {
  send_waiting(state);
  if (state.ticks_left <= 0) {
    if (state.open == 0 || --state.ticks_left < -absl::GetFlag(FLAGS_per_second) * 10) {
      event_base_loopbreak(state.base.get());
    }
    return;
  }
  --state.ticks_left;
  std::shared_ptr<load_call> call = std::make_shared<load_call>();
  call->state = &state;
  call->kind = static_cast<int>(state.sent % 3);
  ++state.sent;
  ++state.open;
  send_call(call);
}

int report(const load_state& state) {
  std::printf(
      "calls=%zu sends=%zu whole=%zu wrong=%zu cut=%zu unanswered=%zu lost_sends=%zu "
      "open=%zu\n",
      static_cast<std::size_t>(state.sent), static_cast<std::size_t>(state.sends),
      static_cast<std::size_t>(state.whole), static_cast<std::size_t>(state.bad),
      static_cast<std::size_t>(state.cut), static_cast<std::size_t>(state.unanswered),
      static_cast<std::size_t>(state.lost_sends), state.open);
  for (const std::pair<const int, std::uint64_t>& entry : state.by_status) {
    std::printf("status=%d sends=%zu\n", entry.first, static_cast<std::size_t>(entry.second));
  }
  for (const std::string& line : state.unanswered_calls) {
    std::printf("unanswered: %s\n", line.c_str());
  }
  return state.bad == 0 && state.open == 0 && state.whole > 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Sends calls to routers and checks every answer. A refused call is sent again to\n"
      "another router, after the time that the refusal names.\n\n"
      "  peridot_load --routers=127.0.0.1:8001,127.0.0.1:8002 --seconds=10\n\n"
      "The exit status is 1 if an answer was wrong or a call got no end.");
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  load_state state;
  state.routers = absl::GetFlag(FLAGS_routers);
  const int per_second = absl::GetFlag(FLAGS_per_second);
  if (state.routers.empty() || per_second < 1 || per_second > 1'000) {
    std::fprintf(stderr, "peridot_load: --routers is required; --per_second is 1 to 1000.\n");
    return 2;
  }
  state.base.reset(event_base_new());
  state.client.base = state.base.get();
  state.ticks_left = absl::GetFlag(FLAGS_seconds) * per_second;
  std::function<void()> tick = [&state]() { on_tick(state); };
  const peridot::event_ptr timer =
      peridot::run_periodically(state.base.get(), milliseconds{1'000 / per_second}, &tick);
  event_base_dispatch(state.base.get());
  return report(state);
}
