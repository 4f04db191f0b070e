// peridot_load: sends calls to routers at a constant rate and checks every response.

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
#include <set>

#include "core/calls/event_stream.h"
#include "net/http_client.h"

ABSL_FLAG(std::vector<std::string>, routers, {},
          "Caller addresses (IP:PORT) of the routers, comma-separated.");
ABSL_FLAG(int, seconds, 10, "Time in seconds during which new calls are sent.");
ABSL_FLAG(int, per_second, 60, "New calls per second, 1 to 1000.");
ABSL_FLAG(int, shared_tokens, 400, "Tokens of the prompt part that all streams share.");
ABSL_FLAG(bool, resume, false, "Take streams that break off up again, at another router.");

namespace {

using peridot::milliseconds;

constexpr std::size_t max_sends = 4;  // of one call, each with its own attempt id

// Delay before a retry if the response has no Retry-After header.
constexpr milliseconds default_retry_delay{100};

struct generated_call;

struct generator_state {
  peridot::event_base_ptr base;
  peridot::http_client client;
  std::vector<std::string> routers;
  std::mt19937_64 random{std::random_device{}()};
  std::uint64_t calls_started = 0;
  std::uint64_t total_sends = 0;
  std::uint64_t complete_responses = 0;
  std::uint64_t wrong_responses = 0;                  // complete, but wrong body or no stamp
  std::uint64_t truncated_responses = 0;              // ended early, after a status of 200
  std::uint64_t failed_calls = 0;                     // the last send got no status of 200
  std::uint64_t sends_without_response = 0;           // failed after the request was sent
  std::uint64_t mixed_streams = 0;                    // hold events of several builds
  std::uint64_t resumed_streams = 0;                  // taken up again at least once
  std::uint64_t unresumed_streams = 0;                // of these, refused in the end
  std::map<int, std::uint64_t> sends_by_status;       // 0: no complete response
  std::vector<std::string> failed_call_descriptions;  // one line for each failed call
  std::list<std::shared_ptr<generated_call>> pending_retries;  // calls that wait for their retry_at
  std::size_t open_calls = 0;
  int ticks_left = 0;  // below 0: minus the ticks spent waiting for open calls
};

struct generated_call {
  generator_state* state = nullptr;
  int kind = 0;  // 0 streaming, 1 non-idempotent, 2 idempotent
  std::string attempt_id;
  std::vector<std::string> tried_routers;  // of all sends, the last one at the end
  std::string send_history;  // attempt id, router, status and client_call_result of each send
  int status = 0;
  bool has_server_stamp = false;
  milliseconds retry_delay = default_retry_delay;  // from the last response
  std::string response_body;                       // of a stream that is taken up again: all of it
  std::string resumes;  // attempt id that brought the stream's first event
  std::uint64_t last_event = 0;
  std::shared_ptr<peridot::client_call> handle;  // of the last send
  peridot::instant retry_at{};                   // only while in pending_retries
};

void send_call(const std::shared_ptr<generated_call>& call);

// True if the body is the plain response, or a stream of events 1 to 10 in order and complete.
bool is_expected_response(const generated_call& call) {
  if (call.kind != 0) {
    return call.response_body == "{\"done\":true}\n";
  }
  peridot::event_splitter splitter;
  std::uint64_t next_event_id = 1;
  bool ordered = true;
  const peridot::event_handler check_id = [&](std::string_view, std::optional<std::uint64_t> id) {
    ordered = ordered && id == next_event_id;
    ++next_event_id;
  };
  peridot::feed_events(splitter, call.response_body, check_id);
  peridot::finish_events(splitter, check_id);
  return ordered && next_event_id == 11 && !peridot::ends_within_event(splitter);
}

// The builds that the stream's events name.
std::set<std::string> builds_of(const std::string& stream) {
  std::set<std::string> builds;
  constexpr std::string_view marker = " of ";
  for (std::size_t at = stream.find(marker); at != std::string::npos;
       at = stream.find(marker, at + 1)) {
    const std::size_t begin = at + marker.size();
    builds.insert(stream.substr(begin, stream.find('\n', begin) - begin));
  }
  return builds;
}

// Cuts the stream off after its last whole event, from which a resumed one goes on.
void keep_whole_events(generated_call& call) {
  peridot::event_splitter splitter;
  std::string whole;
  peridot::feed_events(splitter, call.response_body,
                       [&](std::string_view event, std::optional<std::uint64_t> id) {
                         whole += event;
                         call.last_event = id.value_or(call.last_event);
                       });
  call.response_body = whole;
  if (call.resumes.empty() && call.last_event > 0) {
    call.resumes = call.attempt_id;
  }
}

void on_send_end(const std::shared_ptr<generated_call>& call, peridot::client_call_result result) {
  generator_state& state = *call->state;
  const bool complete = result == peridot::client_call_result::complete;
  state.sends_without_response +=
      result == peridot::client_call_result::failed_after_send && call->status == 0 ? 1 : 0;
  state.sends_by_status[complete ? call->status : 0] += 1;
  const bool not_run = result == peridot::client_call_result::not_sent ||
                       (complete && (call->status == 503 || call->status == 429));
  const bool should_retry = not_run || (call->kind == 2 && (!complete || call->status >= 500));
  call->send_history += " " + call->attempt_id + "@" + call->tried_routers.back() + "=" +
                        std::to_string(call->status) + "/" +
                        std::to_string(static_cast<int>(result));
  const bool broke_off = call->kind == 0 && !complete && call->status == 200;
  const bool had_event = !call->resumes.empty();
  if (absl::GetFlag(FLAGS_resume) && broke_off) {
    keep_whole_events(*call);
  }
  const bool can_resume = absl::GetFlag(FLAGS_resume) && call->kind == 0 && !call->resumes.empty();
  state.resumed_streams += can_resume && !had_event ? 1 : 0;
  if ((should_retry || (can_resume && !complete)) && call->tried_routers.size() < max_sends) {
    call->retry_at = peridot::current_time() + call->retry_delay;
    state.pending_retries.push_back(call);
    return;
  }
  --state.open_calls;
  state.mixed_streams += builds_of(call->response_body).size() > 1 ? 1 : 0;
  state.unresumed_streams += can_resume && !(complete && call->status == 200) ? 1 : 0;
  if (complete && call->status == 200) {
    ++(is_expected_response(*call) && call->has_server_stamp ? state.complete_responses
                                                             : state.wrong_responses);
  } else if (call->status == 200) {
    ++state.truncated_responses;
  } else {
    ++state.failed_calls;
    state.failed_call_descriptions.push_back("kind=" + std::to_string(call->kind) +
                                             call->send_history);
  }
}

// Returns a random router that the call has not tried, or any but the last one if it has tried all:
// the platform's load balancer stops sending calls to a router that shuts down.
std::string choose_router(generator_state& state, const std::vector<std::string>& tried) {
  std::vector<std::string> choices;
  std::copy_if(state.routers.begin(), state.routers.end(), std::back_inserter(choices),
               [&tried](const std::string& router) {
                 return std::find(tried.begin(), tried.end(), router) == tried.end();
               });
  if (choices.empty()) {
    std::copy_if(state.routers.begin(), state.routers.end(), std::back_inserter(choices),
                 [&tried](const std::string& router) { return router != tried.back(); });
  }
  return choices.empty() ? tried.back() : choices[state.random() % choices.size()];
}

// True for an error. Those of routers lack the call's id, which only targets echo.
bool is_error(const peridot::message_head& head) {
  return head.status >= 400;
}

milliseconds retry_delay_of(const peridot::message_head& head) {
  const std::string text{peridot::find_header(head.headers, "Retry-After")};
  double seconds = 0;
  return absl::SimpleAtod(text, &seconds) && seconds >= 0
             ? milliseconds{static_cast<std::int64_t>(seconds * 1'000)}
             : default_retry_delay;
}

void send_call(const std::shared_ptr<generated_call>& call) {
  generator_state& state = *call->state;
  constexpr const char* paths[] = {"/chat/1", "/book/1", "/hours/1"};
  ++state.total_sends;
  call->attempt_id = std::to_string(state.random());
  call->tried_routers.push_back(choose_router(state, call->tried_routers));
  call->status = 0;
  call->has_server_stamp = false;
  call->retry_delay = default_retry_delay;
  if (call->resumes.empty()) {
    call->response_body.clear();
  }
  peridot::http_request request;
  request.address = call->tried_routers.back();
  request.method = call->kind == 2 ? "GET" : "POST";
  request.request_target = paths[call->kind];
  request.headers = {{"Host", "app.example"},
                     {"X-Peridotspur-Attempt-Id", call->attempt_id},
                     {"X-Peridotspur-Deadline-Ms", "4000"},
                     {"Api-Key", state.random() % 2 == 0 ? "key-1" : "key-2"}};
  if (call->kind == 0) {
    request.headers.push_back({"X-Peridotspur-Model", "m"});
    const int shared_tokens = absl::GetFlag(FLAGS_shared_tokens);
    request.headers.push_back(
        {"X-Peridotspur-Token-Counts", std::to_string(shared_tokens + 200) + ",40"});
    request.headers.push_back(
        {"X-Peridotspur-Prompt-Prefix", "a1:" + std::to_string(shared_tokens) + "," +
                                            std::to_string(state.random() % 1'000) + ":200"});
    request.body = "{\"prompt\":\"x\"}";
    if (!call->resumes.empty()) {
      request.headers.push_back({"Resumes", call->resumes});
      request.headers.push_back({"Last-Event-Id", std::to_string(call->last_event)});
    }
  }
  request.has_body = call->kind != 2;
  request.echo_header = "X-Peridotspur-Attempt-Id";
  request.echo_value = call->attempt_id;
  request.may_lack_echo = is_error;
  request.connect_timeout = milliseconds{1'000};
  request.idle_timeout = milliseconds{5'000};
  request.max_reuse_idle_time = milliseconds{1'000};
  peridot::call_handlers handlers;
  handlers.on_head = [call](const peridot::message_head& head) {
    call->status = head.status;
    call->retry_delay = retry_delay_of(head);
    call->has_server_stamp = peridot::has_header(head.headers, "X-Peridotspur-Server-Stamp");
  };
  handlers.on_data = [call](std::string_view data) {
    if (call->resumes.empty() || call->status == 200) {
      call->response_body.append(data);
    }
  };
  handlers.on_end = [call](peridot::client_call_result result) { on_send_end(call, result); };
  call->handle = peridot::start_call(state.client, std::move(request), std::move(handlers));
}

void send_due_retries(generator_state& state) {
  const peridot::instant now = peridot::current_time();
  for (auto call = state.pending_retries.begin(); call != state.pending_retries.end();) {
    if ((*call)->retry_at <= now) {
      send_call(*call);
      call = state.pending_retries.erase(call);
    } else {
      ++call;
    }
  }
}

// Starts a call at each tick; after the last one, waits up to 10 s for the open calls.
void on_tick(generator_state& state) {
  send_due_retries(state);
  if (state.ticks_left <= 0) {
    if (state.open_calls == 0 || --state.ticks_left < -absl::GetFlag(FLAGS_per_second) * 10) {
      event_base_loopbreak(state.base.get());
    }
    return;
  }
  --state.ticks_left;
  std::shared_ptr<generated_call> call = std::make_shared<generated_call>();
  call->state = &state;
  call->kind = static_cast<int>(state.calls_started % 3);
  ++state.calls_started;
  ++state.open_calls;
  send_call(call);
}

int print_report(const generator_state& state) {
  std::printf(
      "calls=%zu sends=%zu whole=%zu wrong=%zu cut=%zu unanswered=%zu lost_sends=%zu "
      "open=%zu mixed=%zu resumed=%zu unresumed=%zu\n",
      static_cast<std::size_t>(state.calls_started), static_cast<std::size_t>(state.total_sends),
      static_cast<std::size_t>(state.complete_responses),
      static_cast<std::size_t>(state.wrong_responses),
      static_cast<std::size_t>(state.truncated_responses),
      static_cast<std::size_t>(state.failed_calls),
      static_cast<std::size_t>(state.sends_without_response), state.open_calls,
      static_cast<std::size_t>(state.mixed_streams),
      static_cast<std::size_t>(state.resumed_streams),
      static_cast<std::size_t>(state.unresumed_streams));
  for (const std::pair<const int, std::uint64_t>& entry : state.sends_by_status) {
    std::printf("status=%d sends=%zu\n", entry.first, static_cast<std::size_t>(entry.second));
  }
  for (const std::string& line : state.failed_call_descriptions) {
    std::printf("unanswered: %s\n", line.c_str());
  }
  return state.wrong_responses == 0 && state.mixed_streams == 0 && state.open_calls == 0 &&
                 state.complete_responses > 0
             ? 0
             : 1;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Sends calls to routers and checks every response. A call that was not sent or\n"
      "got 429 or 503, or an idempotent call that failed, is retried up to 3 times, at a router\n"
      "that it has not tried if there is one, after the Retry-After of the response or 100 ms.\n\n"
      "  peridot_load --routers=127.0.0.1:8001,127.0.0.1:8002 --seconds=10\n\n"
      "The exit status is 1 if a response was wrong, a call did not end or no call got a\n"
      "complete, correct response; 2 if --routers is missing or --per_second is out of range.");
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  generator_state state;
  state.routers = absl::GetFlag(FLAGS_routers);
  const int per_second = absl::GetFlag(FLAGS_per_second);
  if (state.routers.empty() || per_second < 1 || per_second > 1'000) {
    std::fprintf(stderr, "peridot_load: --routers is required; --per_second must be 1 to 1000\n");
    return 2;
  }
  state.base.reset(event_base_new());
  state.client.base = state.base.get();
  state.ticks_left = absl::GetFlag(FLAGS_seconds) * per_second;
  std::function<void()> tick = [&state]() { on_tick(state); };
  const peridot::event_ptr timer =
      peridot::run_periodically(state.base.get(), milliseconds{1'000 / per_second}, &tick);
  event_base_dispatch(state.base.get());
  return print_report(state);
}
