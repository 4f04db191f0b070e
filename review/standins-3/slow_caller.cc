// A server whose answers are large, and callers that do not read for some seconds, before a router
// that gets SIGTERM meanwhile. See review/14/claim.txt.
//
//   slow_caller DIRECTORY RECORD TROUBLE
//
// With TROUBLE 0 the router gets no SIGTERM.
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

#include <signal.h>

#include <cstdlib>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "rig.h"

namespace {

using steady_clock = std::chrono::steady_clock;

constexpr int smallest_answer = 64 << 10;
constexpr int largest_answer = 768 << 10;
constexpr int answer_step = 32 << 10;
constexpr rig::milliseconds stall_time{4'500};  // of each caller, from its first byte on
constexpr rig::milliseconds time_before_stop{1'000};
constexpr int deadline_ms = 14'000;  // the route's timeout is 15 s
// As on an Ethernet link, and a small window.
constexpr rig::connect_options slow_link{.receive_buffer_bytes = 8 << 10, .segment_bytes = 1'400};

rig::milliseconds since(steady_clock::time_point start) {
  return std::chrono::duration_cast<rig::milliseconds>(steady_clock::now() - start);
}

// Answers GET /once/BYTES with that many bytes, at once.
void serve(rig::connection& peer) {
  rig::message request;
  while (rig::read_message(peer, request)) {
    const std::string call = rig::header(request, "x-peridotspur-attempt-id");
    const int bytes = std::atoi(request.start_line.c_str() + request.start_line.find("once/") + 5);
    const steady_clock::time_point began = steady_clock::now();
    const std::string body(static_cast<std::size_t>(bytes), 'x');
    const bool is_sent = rig::send_bytes(peer, rig::server_success(call, body));
    rig::record("server ran " + call + ", its answer of " + std::to_string(bytes) + " bytes was " +
                (is_sent ? "sent within " : "broken off after ") +
                std::to_string(since(began).count()) + " ms");
  }
}

struct results {
  std::mutex mutex;
  int whole = 0;
  int cut = 0;  // the connection ended before the answer was complete
  int refused = 0;
};

void send_call(int port, int bytes, results& seen) {
  const std::string call = "call-" + std::to_string(bytes);
  const int socket = rig::connect_to(port, slow_link);
  if (socket < 0) {
    rig::record("caller " + call + " got no connection");
    return;
  }
  rig::connection peer(socket);
  const steady_clock::time_point began = steady_clock::now();
  rig::send_bytes(peer, "GET /once/" + std::to_string(bytes) +
                            " HTTP/1.1\r\nHost: app.example\r\nX-Peridotspur-Attempt-Id: " + call +
                            "\r\nX-Peridotspur-Deadline-Ms: " + std::to_string(deadline_ms) +
                            "\r\n\r\n");
  std::this_thread::sleep_for(stall_time);
  rig::message response;
  const bool has_head = rig::read_message(peer, response);
  const int status = rig::status_of(response);
  const bool is_whole = has_head && status == 200 && response.complete;
  rig::record("caller " + call + " got " + (has_head ? std::to_string(status) : "nothing") + ", " +
              std::to_string(response.body.size()) + " of " + std::to_string(bytes) +
              " bytes, after " + std::to_string(since(began).count()) + " ms" +
              (is_whole ? "" : " CUT"));
  const std::lock_guard<std::mutex> lock(seen.mutex);
  ++(is_whole ? seen.whole : (status == 503 ? seen.refused : seen.cut));
}

}  // namespace

int main(int argument_count, char** arguments) {
  if (argument_count != 4) {
    return 2;
  }
  const std::string directory = arguments[1];
  rig::open_record(arguments[2]);
  const bool trouble = std::string(arguments[3]) != "0";
  rig::store platform;
  rig::put(platform, "op/config", rig::sample_config(1));
  rig::put(platform, "servers/i-1", rig::server_entry(rig::listen_and_serve(serve)));
  const int callers_port = rig::free_port();
  const int readiness_port = rig::free_port();
  rig::write_ports(directory + "/ports", {{"store", rig::start_store(platform)},
                                          {"callers", callers_port},
                                          {"readiness", readiness_port},
                                          {"control", rig::free_port()},
                                          {"mesh", rig::free_port()}});
  const pid_t router = rig::wait_for_process_id(directory + "/router_id");
  if (!rig::wait_until_ready(readiness_port)) {
    std::cerr << "the router is not ready\n";
    return 2;
  }
  results seen;
  std::vector<std::thread> callers;
  for (int bytes = smallest_answer; bytes <= largest_answer; bytes += answer_step) {
    callers.emplace_back([callers_port, bytes, &seen]() { send_call(callers_port, bytes, seen); });
  }
  std::this_thread::sleep_for(time_before_stop);
  if (trouble) {
    rig::record("SIGTERM to the router; grace_s is 8");
    kill(router, SIGTERM);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const std::string summary = "whole=" + std::to_string(seen.whole) +
                              " cut=" + std::to_string(seen.cut) +
                              " refused=" + std::to_string(seen.refused);
  rig::record(summary);
  std::cout << summary << std::endl;
  if (seen.whole == 0) {
    return 2;
  }
  // The threads of the store and of the server still use their state.
  std::_Exit(seen.cut > 0 ? 1 : 0);
}
