// What a caller is told if a target's response has a status that is none.
#include <string>

#include "router/testing/router_fixture.h"

using namespace peridot;
using namespace peridot::testing;

namespace {

const std::string hidden_response =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nhidden";
const std::string sound_response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

struct told {
  int status = 0;
  std::string body;
  std::size_t requests = 0;  // that targets got
};

// One call whose first target responds with these bytes, and whose second one is sound.
told call_with_first_response(const std::string& path, const std::string& bytes,
                              connection_end end) {
  router_fixture fixture;
  start(fixture, 2);
  fixture.targets.script = {{bytes, end}, {sound_response}};
  const caller_view view = call(fixture, path);
  return {view.status, view.body, fixture.targets.requests.size()};
}

}  // namespace

// Guards against MIXED: a status of 000 was taken for an interim response, and what followed, its
// body, for the response. Other invalid statuses were passed on.
TEST_CASE("a response with an invalid status is none, and nor is what follows it") {
  const std::string length = std::to_string(hidden_response.size());
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    for (const char* headers : {"", "Content-Length: "}) {
      for (const connection_end end :
           {connection_end::left_open, connection_end::closed, connection_end::reset}) {
        CAPTURE(status);
        CAPTURE(headers);
        CAPTURE(static_cast<int>(end));
        const std::string header_lines =
            std::string(headers).empty() ? "" : headers + length + "\r\n";
        std::string bytes = std::string("HTTP/1.1 ") + status + " Status\r\n" + header_lines;
        bytes += "\r\n" + hidden_response;
        const told once = call_with_first_response("/once/", bytes, end);
        CHECK(once.status == 502);
        CHECK(once.body.find("hidden") == std::string::npos);
        CHECK(once.requests == 1);
        const told stream = call_with_first_response("/stream/", bytes, end);
        CHECK(stream.status == 502);
        CHECK(stream.body.find("hidden") == std::string::npos);
        const told idempotent = call_with_first_response("/idempotent/", bytes, end);
        CHECK(idempotent.status == 200);
        CHECK(idempotent.body == "sound");
      }
    }
  }
}

TEST_CASE("interim responses are skipped, and the response after them is passed on") {
  router_fixture fixture;
  start(fixture, 1);
  fixture.targets.script = {
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + sound_response}};
  const caller_view view = call(fixture, "/once/");
  CHECK(view.status == 200);
  CHECK(view.body == "sound");
}
