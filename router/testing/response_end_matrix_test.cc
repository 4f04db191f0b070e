// Every way in which a target's response can end, against an oracle that knows only what the
// bytes and the end of the connection prove: what is the caller told, and what is counted?
#include <string>
#include <vector>

#include "router/testing/router_fixture.h"

using namespace peridot;
using namespace peridot::testing;

namespace {

enum class stop { before_first_event, between_events, within_event, after_last_event };

// How one response of a target is framed, where it stops, and what happens to its connection
// then.
struct ending {
  body_framing framing = body_framing::length;
  connection_end end = connection_end::closed;
  stop where = stop::after_last_event;
  std::string line_end = "\n";
};

constexpr int event_count = 3;

std::string event_text(int id, const std::string& line_end) {
  return "id: " + std::to_string(id) + line_end + "data: part " + std::to_string(id) + line_end +
         line_end;
}

std::string events_text(int first_id, int last_id, const std::string& line_end) {
  std::string text;
  for (int id = first_id; id <= last_id; ++id) {
    text += event_text(id, line_end);
  }
  return text;
}

// The last whole event before the stop.
int last_whole_event(stop where) {
  return where == stop::before_first_event ? 0 : where == stop::after_last_event ? event_count : 2;
}

std::string chunk(const std::string& data) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return data.empty() ? "" : size + data + "\r\n";
}

// A response whose body would be `body`, of which only `sent` is sent.
std::string framed_response(const std::string& content_type, body_framing framing,
                            const std::string& sent, const std::string& body) {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: " + content_type + "\r\n";
  switch (framing) {
    case body_framing::length:
      return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + sent;
    case body_framing::chunked:
      return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(sent) +
             (sent == body ? "0\r\n\r\n" : "");
    default:
      return head + "\r\n" + sent;
  }
}

// A stream of the events from `first_id` on that stops as `how` says.
scripted_response stream_response(const ending& how, int first_id = 1) {
  const int last_id = last_whole_event(how.where);
  std::string sent = events_text(first_id, last_id, how.line_end);
  if (how.where == stop::within_event) {
    const std::string next = event_text(std::max(first_id, last_id + 1), how.line_end);
    sent += next.substr(0, next.size() - how.line_end.size());  // without its empty line
  }
  return {framed_response("text/event-stream", how.framing, sent,
                          events_text(first_id, event_count, how.line_end)),
          how.end};
}

// True if the bytes and the end of the connection prove the stream to be whole. A stream that
// ends with its connection between two events counts as whole: nothing tells it from one that is.
bool stream_is_whole(const ending& how) {
  if (how.framing != body_framing::until_close) {
    return how.where == stop::after_last_event;
  }
  return how.end == connection_end::closed &&
         (how.where == stop::between_events || how.where == stop::after_last_event);
}

std::vector<ending> all_endings(const std::vector<std::string>& line_ends) {
  std::vector<ending> result;
  for (body_framing framing :
       {body_framing::length, body_framing::chunked, body_framing::until_close}) {
    for (connection_end end :
         {connection_end::closed, connection_end::reset, connection_end::left_open}) {
      for (stop where : {stop::before_first_event, stop::between_events, stop::within_event,
                         stop::after_last_event}) {
        for (const std::string& line_end : line_ends) {
          // Time-outs take long, and do not depend on the line end.
          if (end != connection_end::left_open || line_end == line_ends.front()) {
            result.push_back({framing, end, where, line_end});
          }
        }
      }
    }
  }
  return result;
}

std::string describe(const ending& how) {
  constexpr const char* ends[] = {"left open", "closed", "reset"};
  constexpr const char* stops[] = {"before the first event", "between events", "within an event",
                                   "after the last event"};
  return std::string(to_text(how.framing)) + ", " + ends[static_cast<int>(how.end)] + " " +
         stops[static_cast<int>(how.where)] + (how.line_end == "\n" ? ", LF" : ", CRLF");
}

double total_failure_rate(const router_state& router) {
  double sum = 0;
  for (const std::pair<const target_name, target_state>& entry : router.store.targets.targets) {
    sum += failure_rate(router.health, entry.first);
  }
  return sum;
}

void check_told_whole(const router_fixture& fixture, const caller_view& view,
                      const std::string& body) {
  CHECK(view.status == 200);
  CHECK(view.complete);
  CHECK(view.body == body);
  CHECK(fixture.router.call_metrics.answered_calls == 1);
  CHECK(ended_calls(fixture, "answered", "none") == 1);
  CHECK(fixture.router.call_metrics.aborted_responses == 0);
  CHECK(fixture.router.calls.empty());
}

// The caller has `body`, which is not empty, and knows that more is missing; or, if it is, a
// final error.
void check_told_failure(const router_fixture& fixture, const caller_view& view,
                        const std::string& body, bool timed_out) {
  const bool has_part = !body.empty();
  CHECK(view.status == (has_part ? 200 : timed_out ? 504 : 502));
  CHECK(view.complete == !has_part);
  if (has_part) {
    CHECK(view.body == body);
  }
  CHECK(fixture.router.call_metrics.answered_calls == 0);
  CHECK(ended_calls(fixture, "failed", timed_out ? "deadline" : "target_lost") == 1);
  CHECK(fixture.router.call_metrics.aborted_responses == (has_part ? 1 : 0));
  CHECK(total_failure_rate(fixture.router) > 0);
  CHECK(fixture.router.calls.empty());
}

}  // namespace

TEST_CASE("every way in which a stream that may not be resumed can end") {
  for (const ending& how : all_endings({"\n", "\r\n"})) {
    const std::string description = describe(how);
    CAPTURE(description);
    router_fixture fixture;
    start(fixture, 2);
    fixture.targets.script = {stream_response(how)};
    const caller_view view = call(fixture, "/stream/");
    const std::string events = events_text(1, last_whole_event(how.where), how.line_end);
    if (stream_is_whole(how)) {
      check_told_whole(fixture, view, events);
    } else {
      check_told_failure(fixture, view, events, how.end == connection_end::left_open);
    }
    CHECK(fixture.targets.requests.size() == 1);
  }
}

TEST_CASE("every way in which a resumable stream can end") {
  for (const ending& how : all_endings({"\n", "\r\n"})) {
    const std::string description = describe(how);
    CAPTURE(description);
    router_fixture fixture;
    start(fixture, 2);
    const int last_event = last_whole_event(how.where);
    // The second run takes part only where the first one is not whole.
    const ending whole{body_framing::chunked, connection_end::left_open, stop::after_last_event,
                       how.line_end};
    fixture.targets.script = {stream_response(how), stream_response(whole, last_event + 1)};
    const caller_view view = call(fixture, "/resumable/");
    if (stream_is_whole(how)) {
      check_told_whole(fixture, view, events_text(1, last_event, how.line_end));
      CHECK(fixture.targets.requests.size() == 1);
      continue;
    }
    check_told_whole(fixture, view, events_text(1, event_count, how.line_end));
    REQUIRE(fixture.targets.requests.size() == 2);
    const std::string resumed_after = "Last-Event-Id: " + std::to_string(last_event) + "\r\n";
    CHECK((fixture.targets.requests[1].find(resumed_after) != std::string::npos) ==
          (last_event > 0));
    CHECK(total_failure_rate(fixture.router) > 0);
  }
}

TEST_CASE("every way in which a stream can end that has been resumed once") {
  // Its retries are used up: the second run's end is what the caller is told.
  const ending first{body_framing::chunked, connection_end::reset, stop::between_events, "\n"};
  const int resumed_at = last_whole_event(first.where) + 1;
  for (const ending& how : all_endings({"\n"})) {
    const std::string description = describe(how);
    CAPTURE(description);
    router_fixture fixture;
    start(fixture, 3);
    fixture.targets.script = {stream_response(first), stream_response(how, resumed_at)};
    const caller_view view = call(fixture, "/resumable/");
    CHECK(fixture.targets.requests.size() == 2);
    const bool sends_an_event = how.where == stop::after_last_event;
    if (stream_is_whole(how) && sends_an_event) {
      check_told_whole(fixture, view, events_text(1, event_count, "\n"));
    } else {
      const int last_event = sends_an_event ? event_count : resumed_at - 1;
      check_told_failure(fixture, view, events_text(1, last_event, "\n"),
                         how.end == connection_end::left_open);
    }
  }
}

TEST_CASE("every way in which a plain response can end") {
  const std::string body = "0123456789";
  for (const ending& how : all_endings({"\n"})) {
    if (how.where == stop::within_event) {
      continue;  // the same as between events: a plain response has no events
    }
    const std::string description = describe(how);
    CAPTURE(description);
    const std::string sent = body.substr(0, how.where == stop::before_first_event ? 0
                                            : how.where == stop::between_events   ? 5
                                                                                  : 10);
    // Nothing but the close tells the end of a response without length and chunks.
    const bool is_whole = how.framing == body_framing::until_close
                              ? how.end == connection_end::closed
                              : how.where == stop::after_last_event;
    router_fixture fixture;
    start(fixture, 2);
    fixture.targets.script = {{framed_response("text/plain", how.framing, sent, body), how.end},
                              {framed_response("text/plain", body_framing::length, body, body)}};
    // A call that may run only once fails; one that is idempotent is sent to another target.
    for (const std::string path : {"/once/", "/idempotent/"}) {
      CAPTURE(path);
      fixture.targets.requests.clear();
      fixture.router.call_metrics = metrics{};
      const caller_view view = call(fixture, path);
      if (is_whole) {
        check_told_whole(fixture, view, sent);
      } else if (path == "/idempotent/") {
        check_told_whole(fixture, view, body);
      } else {
        check_told_failure(fixture, view, "", how.end == connection_end::left_open);
      }
      CHECK(fixture.targets.requests.size() == (is_whole || path == "/once/" ? 1 : 2));
    }
  }
}
