// Three servers of one service, callers of a router before them, and a store that does one write of
// a server late. See review/13/claim.txt.
//
//   late_entry DIRECTORY RECORD TROUBLE
//
// While answers of the store are lost, a heartbeat of server i-1 (state ready) is held back. The
// store does it 5.9 s after it was sent. Meanwhile the disruption is over, and i-1 has reported
// `draining`, which the store has accepted. 0.1 s after the late write 24 requests come at once,
// and 40 ms after them i-1 exits. With TROUBLE 0 the write is never done. Exit status: 0 if the
// rule held, 1 if it was broken, 2 if the case could not run.

#include <sys/socket.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "rig.h"

namespace {

using steady_clock = std::chrono::steady_clock;

constexpr int server_count = 3;
constexpr int caller_count = 4;
constexpr rig::milliseconds think_time{200};
constexpr rig::milliseconds work_time{60};
constexpr rig::milliseconds beat_interval{1'200};
constexpr rig::milliseconds drain_limit{2'000};  // drain_ms
// Of the disruption, from its beginning on: 4.5 s long, a write done up to 6 s later. The store is
// stable again touch_ms (3 s) after its end.
constexpr rig::milliseconds beat_sent_at{4'400};
constexpr rig::milliseconds calls_end_at{7'300};
constexpr rig::milliseconds draining_at{7'600};
constexpr rig::milliseconds beat_done_at{10'300};
constexpr rig::milliseconds burst_at{10'400};
constexpr int burst_size = 24;
constexpr rig::milliseconds exit_after_burst{40};

struct leaving_server {
  std::mutex mutex;
  int running = 0;
  bool leaving = false;
  steady_clock::time_point accepted_at;  // when the store accepted `draining`
  int too_late = 0;                      // requests that reached it later than drain_limit after
  std::set<int> sockets;                 // of its connections
  bool exited = false;
};

struct fleet {
  rig::store platform;
  leaving_server first;  // i-1
  int first_port = 0;
  std::atomic<int> call_seq{1};  // of i-1
};

// Notes that i-1 got a request. True if it is leaving.
bool begin_at_first(leaving_server& first, const std::string& call) {
  const std::lock_guard<std::mutex> lock(first.mutex);
  ++first.running;
  if (!first.leaving) {
    return false;
  }
  const rig::milliseconds after =
      std::chrono::duration_cast<rig::milliseconds>(steady_clock::now() - first.accepted_at);
  const bool is_late = after > drain_limit;
  first.too_late += is_late ? 1 : 0;
  rig::record("server i-1 got " + call + " " + std::to_string(after.count()) +
              " ms after the store accepted that it is draining" + (is_late ? " TOO LATE" : ""));
  return true;
}

void end_at_first(leaving_server& first) {
  const std::lock_guard<std::mutex> lock(first.mutex);
  --first.running;
}

// Answers the requests of one connection.
void serve_calls(fleet& servers, const std::string& id, rig::connection& peer) {
  rig::message request;
  while (rig::read_message(peer, request)) {
    const std::string call = rig::header(request, "x-peridotspur-attempt-id");
    const bool is_first = id == "i-1";
    const bool is_leaving = is_first && begin_at_first(servers.first, call);
    std::this_thread::sleep_for(work_time);
    const bool is_sent = rig::send_bytes(
        peer, rig::server_success(call, "ok\n", is_leaving ? "Server-Leaving: 1\r\n" : ""));
    if (is_first) {
      end_at_first(servers.first);
    }
    if (!is_sent) {
      return;
    }
  }
}

void serve_first(fleet& servers, rig::connection& peer) {
  {
    const std::lock_guard<std::mutex> lock(servers.first.mutex);
    if (servers.first.exited) {
      return;
    }
    servers.first.sockets.insert(peer.socket);
  }
  serve_calls(servers, "i-1", peer);
  const std::lock_guard<std::mutex> lock(servers.first.mutex);
  servers.first.sockets.erase(peer.socket);
}

// i-1 exits: its connections end.
void exit_first(leaving_server& first) {
  const std::lock_guard<std::mutex> lock(first.mutex);
  first.exited = true;
  for (const int socket : first.sockets) {
    shutdown(socket, SHUT_RDWR);
  }
  rig::record("server i-1 exits");
}

std::string first_entry(const fleet& servers, const std::string& state, int call_seq) {
  return rig::server_entry(servers.first_port, state, call_seq);
}

// Reports `draining` at a moment at which nothing runs at i-1.
void begin_to_leave(fleet& servers) {
  while (true) {
    {
      const std::lock_guard<std::mutex> lock(servers.first.mutex);
      if (servers.first.running == 0) {
        rig::put(servers.platform, "servers/i-1",
                 first_entry(servers, "draining", ++servers.call_seq));
        servers.first.leaving = true;
        servers.first.accepted_at = steady_clock::now();
        rig::record("server i-1 reports draining, the store accepts it; call_seq=" +
                    std::to_string(servers.call_seq));
        return;
      }
    }
    std::this_thread::sleep_for(rig::milliseconds{1});
  }
}

// The heartbeats of i-1. The entry in the store changes only if more than call_seq does.
void send_beats(fleet& servers, const std::atomic<bool>& entry_is_old) {
  while (true) {
    std::this_thread::sleep_for(beat_interval);
    const int call_seq = ++servers.call_seq;
    if (entry_is_old) {
      rig::put(servers.platform, "servers/i-1", first_entry(servers, "draining", call_seq));
      rig::record("server i-1 sends a heartbeat, draining; call_seq=" + std::to_string(call_seq));
      return;
    }
  }
}

// Sends one booking. The status of the answer, 0 if there is none.
int send_call(int port, const std::string& call) {
  const int socket = rig::connect_to(port);
  if (socket < 0) {
    return 0;
  }
  rig::connection peer(socket);
  rig::message response;
  std::string request = "POST /once/book HTTP/1.1\r\nHost: app.example\r\n";
  request.append("X-Peridotspur-Attempt-Id: ").append(call).append("\r\n");
  request +=
      "X-Peridotspur-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbook";
  rig::send_bytes(peer, request);
  const int status = rig::read_message(peer, response) ? rig::status_of(response) : 0;
  rig::record("caller " + call + " got " + std::to_string(status));
  return status;
}

void send_calls(int port, int caller, const std::atomic<bool>& ended, std::atomic<int>& served) {
  for (int number = 1; !ended; ++number) {
    const std::string call = "call-" + std::to_string(caller) + "-" + std::to_string(number);
    served += send_call(port, call) == 200 ? 1 : 0;
    std::this_thread::sleep_for(think_time);
  }
}

// Many callers at once. Returns how many got no success.
int send_burst(fleet& servers, int port, std::atomic<int>& served) {
  std::atomic<int> failed{0};
  std::vector<std::thread> callers;
  for (int number = 1; number <= burst_size; ++number) {
    callers.emplace_back([port, number, &served, &failed]() {
      const bool is_served = send_call(port, "burst-" + std::to_string(number)) == 200;
      ++(is_served ? served : failed);
    });
  }
  std::this_thread::sleep_for(exit_after_burst);
  exit_first(servers.first);
  for (std::thread& caller : callers) {
    caller.join();
  }
  return failed;
}

}  // namespace

int main(int argument_count, char** arguments) {
  if (argument_count != 4) {
    return 2;
  }
  const std::string directory = arguments[1];
  rig::open_record(arguments[2]);
  const bool trouble = std::string(arguments[3]) != "0";
  fleet servers;
  rig::put(servers.platform, "op/config", rig::sample_config(1));
  for (int number = 1; number <= server_count; ++number) {
    const std::string id = "i-" + std::to_string(number);
    const int port = rig::listen_and_serve([&servers, id](rig::connection& peer) {
      if (id == "i-1") {
        serve_first(servers, peer);
      } else {
        serve_calls(servers, id, peer);
      }
    });
    servers.first_port = number == 1 ? port : servers.first_port;
    rig::put(servers.platform, "servers/" + id, rig::server_entry(port));
  }
  const int callers_port = rig::free_port();
  const int readiness_port = rig::free_port();
  rig::write_ports(directory + "/ports", {{"store", rig::start_store(servers.platform)},
                                          {"callers", callers_port},
                                          {"readiness", readiness_port},
                                          {"control", rig::free_port()},
                                          {"mesh", rig::free_port()}});
  rig::wait_for_process_id(directory + "/router_id");
  if (!rig::wait_until_ready(readiness_port)) {
    std::cerr << "the router is not ready\n";
    return 2;
  }
  std::atomic<bool> ended{false};
  std::atomic<bool> entry_is_old{false};
  std::atomic<int> served{0};
  std::vector<std::thread> callers;
  for (int caller = 1; caller <= caller_count; ++caller) {
    callers.emplace_back([callers_port, caller, &ended, &served]() {
      send_calls(callers_port, caller, ended, served);
    });
  }
  std::thread([&servers, &entry_is_old]() { send_beats(servers, entry_is_old); }).detach();
  const steady_clock::time_point start = steady_clock::now();
  rig::record("answers of the store begin to be lost, for 4.5 s");
  std::this_thread::sleep_until(start + beat_sent_at);
  const int held_call_seq = ++servers.call_seq;
  rig::record("server i-1 sends a heartbeat, ready, without an answer; call_seq=" +
              std::to_string(held_call_seq));
  std::this_thread::sleep_until(start + calls_end_at);
  ended = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::this_thread::sleep_until(start + draining_at);
  begin_to_leave(servers);
  std::this_thread::sleep_until(start + beat_done_at);
  if (trouble) {
    rig::put(servers.platform, "servers/i-1", first_entry(servers, "ready", held_call_seq));
    rig::record("the store does the write that it did not answer; call_seq=" +
                std::to_string(held_call_seq));
    entry_is_old = true;
  }
  std::this_thread::sleep_until(start + burst_at);
  const int failed = send_burst(servers, callers_port, served);
  const std::string summary = "served=" + std::to_string(served.load()) +
                              " too_late=" + std::to_string(servers.first.too_late) +
                              " failed=" + std::to_string(failed);
  rig::record(summary);
  std::cout << summary << std::endl;
  // The threads of the store and of the servers still use their state.
  std::_Exit(served == 0 ? 2 : (servers.first.too_late > 0 ? 1 : 0));
}
