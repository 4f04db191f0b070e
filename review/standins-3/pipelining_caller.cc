// A server, and callers that send several idempotent requests at once on one connection, before a
// router that gets SIGTERM meanwhile. See review/15/claim.txt.
//
//   pipelining_caller DIRECTORY RECORD TROUBLE
//
// With TROUBLE 0 the router gets no SIGTERM.
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

#include <signal.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "rig.h"

namespace {

using steady_clock = std::chrono::steady_clock;

constexpr int caller_count = 6;
constexpr int requests_at_once = 6;
constexpr rig::milliseconds work_time{60};
constexpr rig::milliseconds lost_slack{200};  // lost_slack_ms
constexpr rig::milliseconds time_before_stop{1'150};
constexpr rig::milliseconds pause_between{150};
constexpr rig::milliseconds stagger{70};  // between the callers' first requests

struct results {
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::atomic<int> lost{0};  // later than lost_slack after their last byte
};

void serve(rig::connection& peer) {
  rig::message request;
  while (rig::read_message(peer, request)) {
    const std::string call = rig::header(request, "x-peridotspur-attempt-id");
    std::this_thread::sleep_for(work_time);
    rig::record("server ran " + call);
    if (!rig::send_bytes(peer, rig::server_success(call, "ok\n"))) {
      return;
    }
  }
}

// Sends the requests and reads their answers. False if there is no connection.
bool send_calls(int port, const std::string& name, results& seen) {
  const int socket = rig::connect_to(port);
  if (socket < 0) {
    return false;
  }
  rig::connection peer(socket);
  std::string requests;
  for (int number = 1; number <= requests_at_once; ++number) {
    requests +=
        "GET /again/status HTTP/1.1\r\nHost: app.example\r\nX-Peridotspur-Attempt-Id: " + name +
        "-" + std::to_string(number) + "\r\nX-Peridotspur-Deadline-Ms: 4000\r\n\r\n";
  }
  rig::send_bytes(peer, requests);
  const steady_clock::time_point sent_at = steady_clock::now();
  for (int number = 1; number <= requests_at_once; ++number) {
    const std::string call = name + "-" + std::to_string(number);
    rig::message response;
    const bool has_answer = rig::read_message(peer, response) && response.complete;
    const rig::milliseconds after =
        std::chrono::duration_cast<rig::milliseconds>(steady_clock::now() - sent_at);
    const int status = has_answer ? rig::status_of(response) : 0;
    const bool is_lost = !has_answer && after > lost_slack;
    seen.served += status == 200 ? 1 : 0;
    seen.refused += status == 503 ? 1 : 0;
    seen.lost += is_lost ? 1 : 0;
    rig::record("caller " + call + " got " + (has_answer ? std::to_string(status) : "no answer") +
                " " + std::to_string(after.count()) + " ms after its last byte" +
                (rig::header(response, "connection") == "close" ? ", Connection: close" : "") +
                (is_lost ? " LOST" : ""));
  }
  return true;
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
  for (int caller = 1; caller <= caller_count; ++caller) {
    callers.emplace_back([callers_port, caller, &seen]() {
      std::this_thread::sleep_for(stagger * caller);
      for (int round = 1; round <= 4; ++round) {
        if (!send_calls(callers_port,
                        "call-" + std::to_string(caller) + "-" + std::to_string(round), seen)) {
          return;
        }
        std::this_thread::sleep_for(pause_between);
      }
    });
  }
  std::this_thread::sleep_for(time_before_stop);
  if (trouble) {
    rig::record("SIGTERM to the router; grace_s is 8");
    kill(router, SIGTERM);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const std::string summary = "served=" + std::to_string(seen.served.load()) +
                              " refused=" + std::to_string(seen.refused.load()) +
                              " lost=" + std::to_string(seen.lost.load());
  rig::record(summary);
  std::cout << summary << std::endl;
  // The threads of the store and of the server still use their state.
  std::_Exit(seen.served == 0 ? 2 : (seen.lost > 0 ? 1 : 0));
}
