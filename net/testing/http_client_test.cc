#include "net/http_client.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "net/testing/raw_peers.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;
using testing::raw_server;

struct seen_answer {
  answer_head head;
  std::string data;
  std::size_t heads = 0;
  std::size_t ends = 0;
  call_end end = call_end::complete;
};

call_handlers record_into(seen_answer& seen) {
  call_handlers handlers;
  handlers.on_head = [&seen](const answer_head& head) {
    seen.head = head;
    ++seen.heads;
  };
  handlers.on_data = [&seen](std::string_view data) { seen.data += data; };
  handlers.on_end = [&seen](call_end end) {
    seen.end = end;
    ++seen.ends;
  };
  return handlers;
}

seen_answer call_server(const std::string& answer, bool close_after) {
  const event_base_ptr base(event_base_new());
  raw_server server;
  server.answer = answer;
  server.close_after_answer = close_after;
  testing::listen_on_loopback(base.get(), server);
  seen_answer seen;
  const std::shared_ptr<client_call> call = start_call(base.get(),
                                                       {.address = server.address,
                                                        .method = http_method::post,
                                                        .body = "work",
                                                        .idle_timeout = milliseconds{300}},
                                                       record_into(seen));
  testing::run_until(base.get(), [&seen]() { return seen.ends > 0; });
  testing::run_for(base.get(), milliseconds{20});  // a second end would show
  return seen;
}

std::string chunk(std::size_t bytes) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
  return size + std::string(bytes, 'x') + "\r\n";
}

constexpr const char* chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct answer_case {
  std::string what;
  std::string answer;
  bool close_after;
  call_end end;
  std::size_t bytes;
};

TEST_CASE("the end of a call says how much is known") {
  const std::string long_chunks = chunk(900'000) + chunk(900'000) + chunk(900'000);
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<answer_case> cases = {
      {"stated length", ok + "Content-Length: 5\r\n\r\nhello", false, call_end::complete, 5},
      {"chunked", chunked_head + chunk(5) + "0\r\n\r\n", false, call_end::complete, 5},
      {"chunked, other case", ok + "Transfer-Encoding: Chunked\r\n\r\n" + chunk(5) + "0\r\n\r\n",
       false, call_end::complete, 5},
      {"no content", "HTTP/1.1 204 No Content\r\n\r\n", true, call_end::complete, 0},
      {"longer than a chunk may be", chunked_head + long_chunks + "0\r\n\r\n", false,
       call_end::complete, 2'700'000},
      {"long, of stated length",
       ok + "Content-Length: 3000000\r\n\r\n" + std::string(3'000'000, 'x'), false,
       call_end::complete, 3'000'000},
      {"cut before the head", "", true, call_end::lost, 0},
      {"cut within the head", "HTTP/1.1 200 OK\r\nContent-Le", true, call_end::lost, 0},
      {"cut by length", ok + "Content-Length: 9\r\n\r\nhello", true, call_end::lost, 5},
      {"cut after a chunk", chunked_head + chunk(5), true, call_end::lost, 5},
      {"cut within a chunk", chunked_head + std::string("9\r\nhello"), true, call_end::lost, 0},
      {"no framing", ok + "\r\nhello", true, call_end::lost, 5},
      {"silent", "", false, call_end::lost, 0},
      {"stalls within the body", ok + "Content-Length: 9\r\n\r\nhello", false, call_end::lost, 5},
      {"chunk that memory must not hold", chunked_head + std::string("7fffffff\r\nhello"), false,
       call_end::lost, 0},
      {"head that memory must not hold", ok + "X-Long: " + std::string(100'000, 'x'), false,
       call_end::lost, 0},
      {"no HTTP", "SSH-2.0-server\r\n\r\n", true, call_end::lost, 0},
  };
  for (const answer_case& example : cases) {
    CAPTURE(example.what);
    const seen_answer seen = call_server(example.answer, example.close_after);
    CHECK(seen.ends == 1);
    CHECK(seen.end == example.end);
    CHECK(seen.data.size() == example.bytes);
  }
}

TEST_CASE("refused is said only if no byte left") {
  const event_base_ptr base(event_base_new());
  seen_answer seen;
  SUBCASE("nothing listens") {
    const std::string address = testing::unused_address();
    start_call(base.get(), {.address = address, .body = "work"}, record_into(seen));
    testing::run_until(base.get(), [&seen]() { return seen.ends > 0; });
    CHECK(seen.end == call_end::refused);
  }
  SUBCASE("the target resets the connection once it was read") {
    raw_server server;
    server.reset_after_read = true;
    testing::listen_on_loopback(base.get(), server);
    start_call(base.get(), {.address = server.address, .method = http_method::post, .body = "work"},
               record_into(seen));
    testing::run_until(base.get(), [&seen]() { return seen.ends > 0; });
    CHECK(seen.end == call_end::lost);
    CHECK(server.received.size() > 0);
  }
  SUBCASE("a path that cannot be sent") {
    raw_server server;
    testing::listen_on_loopback(base.get(), server);
    const std::shared_ptr<client_call> call =
        start_call(base.get(), {.address = server.address, .path = "/a\r\nb"}, record_into(seen));
    CHECK(seen.ends == 0);  // never from within start_call
    testing::run_for(base.get(), milliseconds{100});
    CHECK((seen.end == call_end::refused) == server.received.empty());
    cancel_call(*call);
    testing::run_for(base.get(), milliseconds{20});  // frees the connection
  }
  CHECK(seen.heads == 0);
}

TEST_CASE("a call is paused, resumed and cancelled") {
  const event_base_ptr base(event_base_new());
  raw_server server;
  server.answer = chunked_head + chunk(500'000) + chunk(500'000) + "0\r\n\r\n";
  testing::listen_on_loopback(base.get(), server);
  seen_answer seen;
  call_handlers handlers = record_into(seen);
  std::shared_ptr<client_call> call;
  handlers.on_data = [&seen, &call](std::string_view data) {
    seen.data += data;
    pause_call(*call);
  };
  call = start_call(base.get(), {.address = server.address}, std::move(handlers));
  testing::run_for(base.get(), milliseconds{100});
  const std::size_t first = seen.data.size();
  CHECK(first > 0);
  SUBCASE("resumed, it ends") {
    for (int turn = 0; turn < 50 && seen.ends == 0; ++turn) {
      resume_call(*call);
      testing::run_for(base.get(), milliseconds{5});
    }
    CHECK(seen.end == call_end::complete);
    CHECK(seen.data.size() == 1'000'000);
  }
  SUBCASE("cancelled, no handler is called any more") {
    cancel_call(*call);
    cancel_call(*call);
    testing::run_for(base.get(), milliseconds{50});
    CHECK(seen.ends == 0);
    CHECK(seen.data.size() == first);
    CHECK(server.closed == 1);
  }
}

}  // namespace
}  // namespace peridot
