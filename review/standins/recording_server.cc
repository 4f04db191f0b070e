// A server of the platform that answers each request after a fixed time and records its runs.
//
//   recording_server ADDRESS ID WORK_MS RECORD VERSION
//
// A request with token counts gets a stream of stream_events events, after the one that
// Last-Event-Id names; each event names the server's software version.
//
// RECORD gets a line for each request that it begins to run, "run ATTEMPT_ID MS", and one when the
// run ends, "end ATTEMPT_ID MS". It drops a request whose connection has closed, as most servers
// do: "dropped ATTEMPT_ID MS". A request crashes the process as it begins to run if its body is
// "poison", and crash_delay later if its body or its query is "slow-poison": "crash ATTEMPT_ID MS".
// Times are of the monotonic clock.
#include <poll.h>

#include <cstdio>
#include <mutex>
#include <thread>

#include "review/standins/http_io.h"

namespace {

constexpr std::chrono::milliseconds crash_delay{50};
constexpr int stream_events = 40;
constexpr std::chrono::milliseconds event_interval{20};

struct server {
  std::string id;
  int work_ms = 0;
  std::string version;
  std::FILE* record = nullptr;
  std::mutex record_lock;
};

void write_record(server& self, const char* what, const std::string& attempt_id) {
  const std::lock_guard<std::mutex> lock(self.record_lock);
  std::fprintf(self.record, "%s %s %lld\n", what, attempt_id.c_str(),
               static_cast<long long>(review::monotonic_ms()));
  std::fflush(self.record);
}

// Works for the fixed time. False if the caller has closed the connection meanwhile.
bool work(const server& self, int socket) {
  pollfd closed{socket, POLLRDHUP, 0};
  return poll(&closed, 1, self.work_ms) == 0;
}

// Sends a stream. False if the caller has closed the connection meanwhile.
bool send_stream(const server& self, int socket, const review::message& request,
                 const std::string& head) {
  int event = std::atoi(review::header_of(request, "Last-Event-Id").c_str()) + 1;
  bool connected = review::send_all(
      socket, head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (; connected && event <= stream_events; ++event) {
    std::this_thread::sleep_for(event_interval);
    std::string text = "id: " + std::to_string(event) + "\ndata: written by ";
    text += self.version + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    text.insert(0, size);
    connected = review::send_all(socket, text + "\r\n");
  }
  return connected && review::send_all(socket, "0\r\n\r\n");
}

void serve(server& self, int socket) {
  review::set_no_delay(socket);
  review::reader input{socket, ""};
  while (true) {
    review::message request;
    if (!review::read_message(input, request)) {
      break;
    }
    const std::string attempt_id = review::header_of(request, "X-Peridotspur-Attempt-Id");
    const std::string echo = "X-Peridotspur-Attempt-Id: " + attempt_id + "\r\n";
    if (review::header_of(request, "X-Peridotspur-Expect-Instance") != self.id) {
      review::send_all(socket,
                       "HTTP/1.1 421 Misdirected Request\r\n" + echo + "Content-Length: 0\r\n\r\n");
      continue;
    }
    const bool slow_poison = request.body == "slow-poison" ||
                             request.start_line.find("?slow-poison ") != std::string::npos;
    if (slow_poison || request.body == "poison") {
      std::this_thread::sleep_for(slow_poison ? crash_delay : std::chrono::milliseconds(0));
      write_record(self, "crash", attempt_id);
      std::_Exit(3);
    }
    write_record(self, "run", attempt_id);
    std::string head = "HTTP/1.1 200 OK\r\n" + echo;
    head += "X-Peridotspur-Server-Stamp: " + self.id;
    head += "." + attempt_id + "\r\n";
    if (!review::header_of(request, "X-Peridotspur-Token-Counts").empty()) {
      if (!send_stream(self, socket, request, head)) {
        break;
      }
      continue;
    }
    if (!work(self, socket)) {
      write_record(self, "dropped", attempt_id);
      break;
    }
    write_record(self, "end", attempt_id);
    if (!review::send_all(socket, head + "Content-Length: 5\r\n\r\ndone\n")) {
      break;
    }
  }
  close(socket);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 6) {
    return 2;
  }
  server self;
  self.id = argv[2];
  self.work_ms = std::atoi(argv[3]);
  self.version = argv[5];
  self.record = std::fopen(argv[4], "w");
  const int listener = review::listen_on(argv[1]);
  if (self.record == nullptr || listener < 0) {
    return 2;
  }
  while (true) {
    const int socket = accept(listener, nullptr, nullptr);
    if (socket >= 0) {
      std::thread(serve, std::ref(self), socket).detach();
    }
  }
}
