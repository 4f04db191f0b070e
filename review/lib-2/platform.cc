#include "review/lib-2/platform.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <thread>

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr int idle_timeout_ms = 60'000;
constexpr std::size_t page_size = 50;
constexpr milliseconds poll_step{5};

std::string quoted(const std::string& text) {
  std::string result = "\"";
  for (const char letter : text) {
    if (letter == '"' || letter == '\\') {
      result += '\\';
    }
    result += letter;
  }
  return result + "\"";
}

std::string item_text(const std::string& key, const std::string& value, std::uint64_t revision) {
  return "{\"key\":" + quoted(key) + ",\"value\":\"" + base64_of(value) +
         "\",\"revision\":" + std::to_string(revision) +
         ",\"create_revision\":" + std::to_string(revision) + ",\"lease\":0}";
}

std::string event_text(const store_event& event) {
  if (event.removed) {
    return "{\"key\":" + quoted(event.key) + ",\"revision\":" + std::to_string(event.revision) +
           ",\"removed\":true}";
  }
  return item_text(event.key, event.value, event.revision);
}

// Precondition: the store is locked.
std::string range_body(const store& kv, const std::string& prefix, const std::string& after) {
  std::string items;
  std::size_t count = 0;
  bool has_more = false;
  for (const std::pair<const std::string, stored_item>& item : kv.items) {
    if (item.first.rfind(prefix, 0) != 0 || item.first <= after) {
      continue;
    }
    if (count == page_size) {
      has_more = true;
      break;
    }
    items +=
        (count == 0 ? "" : ",") + item_text(item.first, item.second.value, item.second.revision);
    ++count;
  }
  return "{\"items\":[" + items + "],\"has_more\":" + (has_more ? "true" : "false") +
         ",\"as_of\":" + std::to_string(kv.revision) + "}";
}

// Events after the revision, comma-separated. Precondition: the store is locked.
std::string events_after(const store& kv, const std::string& prefix, std::uint64_t after) {
  std::string events;
  for (const store_event& event : kv.history) {
    if (event.revision > after && event.key.rfind(prefix, 0) == 0) {
      events += (events.empty() ? "" : ",") + event_text(event);
    }
  }
  return events;
}

// True if the peer has closed the connection.
bool has_left(int socket) {
  char byte = 0;
  return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

struct store_connection {
  store* kv = nullptr;
  int socket = -1;
  std::size_t port_index = 0;
  std::uint64_t number = 0;
};

// True if nothing is answered on the connection. Precondition: the store is locked.
bool is_silent(const store_connection& connection) {
  return connection.number < connection.kv->silent_before ||
         connection.kv->partitioned[connection.port_index];
}

// Holds a connection open that is not answered, until the peer leaves it.
void hold_silent(const store_connection& connection) {
  while (!has_left(connection.socket)) {
    std::this_thread::sleep_for(poll_step);
  }
}

// The body of the watch's response; empty if the watch is cut or not answered any more.
std::string wait_for_events(const store_connection& connection, const http_message& request) {
  store& kv = *connection.kv;
  const std::string prefix = query_of(request, "path_prefix");
  const std::uint64_t after = std::strtoull(query_of(request, "after").c_str(), nullptr, 10);
  const milliseconds wait{std::strtoll(query_of(request, "wait_ms").c_str(), nullptr, 10)};
  const instant end = current_time() + wait;
  std::unique_lock<std::mutex> lock(kv.mutex);
  const std::uint64_t cuts = kv.watch_cuts;
  while (true) {
    if (is_silent(connection)) {
      return "";
    }
    const std::string events = events_after(kv, prefix, after);
    if (!events.empty() || current_time() >= end) {
      return "{\"events\":[" + events + "],\"as_of\":" + std::to_string(kv.revision) + "}";
    }
    if (kv.watch_cuts != cuts || has_left(connection.socket)) {
      return "";
    }
    kv.changed.wait_for(lock, poll_step);
  }
}

void serve_store_connection(const store_connection& connection) {
  store& kv = *connection.kv;
  std::string buffer;
  http_message request;
  while (read_message(connection.socket, message_kind::request, idle_timeout_ms, buffer, request)) {
    std::string body;
    bool silent = false;
    {
      const std::lock_guard<std::mutex> lock(kv.mutex);
      silent = is_silent(connection);
      if (!silent && request.target.rfind("/v1/kv-range", 0) == 0) {
        body = range_body(kv, query_of(request, "path_prefix"), query_of(request, "after"));
      }
    }
    if (!silent && body.empty()) {
      body = wait_for_events(connection, request);
      const std::lock_guard<std::mutex> lock(kv.mutex);
      silent = is_silent(connection);
    }
    if (silent) {
      hold_silent(connection);
      break;
    }
    if (body.empty() || !send_all(connection.socket,
                                  response_text(200, "Content-Type: application/json\r\n", body))) {
      break;  // the watch is cut
    }
  }
  close(connection.socket);
}

void accept_store_connections(store& kv, int listener, std::size_t port_index) {
  while (true) {
    const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    store_connection connection{&kv, socket, port_index, 0};
    {
      const std::lock_guard<std::mutex> lock(kv.mutex);
      connection.number = kv.connections++;
    }
    std::thread([connection]() { serve_store_connection(connection); }).detach();
  }
}

void serve_server_connection(server& target, int socket) {
  std::string buffer;
  http_message request;
  while (read_message(socket, message_kind::request, idle_timeout_ms, buffer, request)) {
    const instant arrived_at = current_time();
    const std::string id = header_of(request, "x-peridotspur-attempt-id");
    const bool leaving = target.leaving;
    std::string headers = "X-Peridotspur-Attempt-Id: " + id + "\r\n";
    headers += leaving ? "Server-Leaving: 1\r\nConnection: close\r\n" : "Keep-Alive: timeout=5\r\n";
    const std::string expected = header_of(request, "x-peridotspur-expect-instance");
    if (!expected.empty() && expected != target.id) {
      if (!send_all(socket, response_text(421, headers, ""))) {
        break;
      }
      continue;
    }
    std::size_t run_number = 0;
    {
      const std::lock_guard<std::mutex> lock(target.mutex);
      run_number = target.runs.size();
      target.runs.push_back({id, arrived_at});
    }
    write_line(*target.record, "server " + target.id + " runs " + id);
    std::this_thread::sleep_for(target.work);
    if (target.ended || target.lost_in_ten > static_cast<int>(run_number % 10)) {
      break;
    }
    headers += "X-Peridotspur-Server-Stamp: " + target.id + "." + id + "\r\n";
    if (!send_all(socket, response_text(200, headers, "done by " + target.service)) || leaving) {
      break;
    }
  }
  const std::lock_guard<std::mutex> lock(target.mutex);
  target.connections.erase(socket);
  close(socket);
}

void write_file(const std::string& text, const std::string& path) {
  std::ofstream file(path, std::ios::trunc);
  file << text;
}

bool is_free_everywhere(const std::vector<std::string>& ips, std::uint16_t port) {
  std::vector<int> sockets;
  for (const std::string& ip : ips) {
    std::uint16_t wanted = port;
    const int socket = listen_at(ip, wanted);
    if (socket >= 0) {
      sockets.push_back(socket);
    }
  }
  for (const int socket : sockets) {
    close(socket);
  }
  return sockets.size() == ips.size();
}

// A port that is free at all addresses, or 0. Below those that connections get by themselves, so
// that it is still free when the router starts.
std::uint16_t free_port(const std::vector<std::string>& ips) {
  constexpr std::uint16_t lowest = 10'000;
  constexpr std::uint16_t highest = 32'000;
  constexpr int max_attempts = 200;
  std::random_device source;
  std::uniform_int_distribution<std::uint16_t> choose(lowest, highest);
  for (int attempt = 0; attempt < max_attempts; ++attempt) {
    const std::uint16_t port = choose(source);
    if (is_free_everywhere(ips, port)) {
      return port;
    }
  }
  return 0;
}

// What deploy/settings.toml gives for this machine.
std::string settings_text(const fleet& routers, std::size_t index) {
  const router_process& router = routers.routers[index];
  const auto at = [&router](std::uint16_t port) {
    return quoted(router.ip + ":" + std::to_string(port));
  };
  std::string seeds;
  for (std::size_t seed = 0; seed < std::min<std::size_t>(3, routers.routers.size()); ++seed) {
    seeds += (seed == 0 ? "" : ", ") +
             quoted(routers.routers[seed].ip + ":" + std::to_string(routers.ports.control));
  }
  return "name = " + quoted(router.name) + "\ndomain = " + quoted(routers.zones[index]) +
         "\ncallers_address = " + at(routers.ports.front) +
         "\nreadiness_address = " + at(routers.ports.readiness) +
         "\ncontrol_address = " + at(routers.ports.control) +
         "\nmetrics_address = " + at(routers.ports.metrics) +
         "\nmesh_address = " + at(routers.ports.mesh) + "\nseeds = [" + seeds +
         "]\nstore_address = " + quoted("127.0.0.1:" + std::to_string(routers.store_ports[index])) +
         "\nfleet_key = \"peridotspur fleet of a case\"\nprocessor_share = 0.25\n"
         "stop_grace_s = 8\nstore_touch_ms = 3000\nretry_ratio = 0.2\nretry_slack = 58\n"
         "cold_over = 1.5\ncold_slack = 5\n";
}

}  // namespace

instant current_time() {
  return std::chrono::steady_clock::now();
}

void open_record(record_file& record, const std::string& path) {
  record.file.open(path, std::ios::trunc);
  record.zero = current_time();
}

double seconds_since_zero(const record_file& record, instant at) {
  return std::chrono::duration<double>(at - record.zero).count();
}

void write_line(record_file& record, const std::string& text) {
  const std::lock_guard<std::mutex> lock(record.mutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", seconds_since_zero(record, current_time()));
  record.file << time << text << std::endl;
}

void start_store(store& kv, record_file& record, std::size_t port_count) {
  kv.record = &record;
  kv.partitioned.assign(port_count, false);
  for (std::size_t index = 0; index < port_count; ++index) {
    std::uint16_t port = 0;
    const int listener = listen_at("127.0.0.1", port);
    kv.ports.push_back(port);
    std::thread([&kv, listener, index]() {
      accept_store_connections(kv, listener, index);
    }).detach();
  }
}

std::uint64_t put_item(store& kv, const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(kv.mutex);
  ++kv.revision;
  kv.items[key] = {value, kv.revision};
  kv.history.push_back({key, value, kv.revision, false});
  kv.changed.notify_all();
  write_line(*kv.record, "store acknowledges " + key + " revision " + std::to_string(kv.revision));
  return kv.revision;
}

std::uint64_t remove_item(store& kv, const std::string& key) {
  const std::lock_guard<std::mutex> lock(kv.mutex);
  ++kv.revision;
  kv.items.erase(key);
  kv.history.push_back({key, "", kv.revision, true});
  kv.changed.notify_all();
  write_line(*kv.record,
             "store acknowledges removal of " + key + " revision " + std::to_string(kv.revision));
  return kv.revision;
}

void silence_open_connections(store& kv) {
  const std::lock_guard<std::mutex> lock(kv.mutex);
  kv.silent_before = kv.connections;
  write_line(*kv.record, "open connections to the store go silent");
}

void cut_waiting_watches(store& kv) {
  const std::lock_guard<std::mutex> lock(kv.mutex);
  ++kv.watch_cuts;
  kv.changed.notify_all();
  write_line(*kv.record, "store cuts the watches that wait");
}

void set_partitioned(store& kv, std::size_t port_index, bool partitioned) {
  const std::lock_guard<std::mutex> lock(kv.mutex);
  kv.partitioned[port_index] = partitioned;
  write_line(*kv.record, std::string(partitioned ? "partition" : "end of the partition") +
                             " of machine " + std::to_string(port_index + 1) + " from the store");
}

void start_server(server& target, record_file& record) {
  target.record = &record;
  target.listener = listen_at("127.0.0.1", target.port);
  std::thread([&target]() {
    while (true) {
      const int socket = accept4(target.listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        return;
      }
      {
        const std::lock_guard<std::mutex> lock(target.mutex);
        target.connections.insert(socket);
      }
      std::thread([&target, socket]() { serve_server_connection(target, socket); }).detach();
    }
  }).detach();
}

void end_server(server& target) {
  const std::lock_guard<std::mutex> lock(target.mutex);
  target.ended = true;
  shutdown(target.listener, SHUT_RDWR);
  for (const int socket : target.connections) {
    shutdown(socket, SHUT_RDWR);
  }
  write_line(*target.record, "server " + target.id + " exits");
}

std::string entry_of(const server& target, const std::string& state) {
  return "{\"service\":" + quoted(target.service) +
         ",\"address\":" + quoted("127.0.0.1:" + std::to_string(target.port)) +
         ",\"zone\":" + quoted(target.zone) +
         ",\"version\":\"1.0\",\"slots\":" + std::to_string(target.slots) +
         ",\"state\":" + quoted(state) +
         ",\"cold_left_ms\":0,\"call_seq\":0,\"born\":" + std::to_string(target.born) + "}";
}

int runs_of(server& target, const std::string& attempt_id) {
  const std::lock_guard<std::mutex> lock(target.mutex);
  return static_cast<int>(
      std::count_if(target.runs.begin(), target.runs.end(),
                    [&attempt_id](const server_run& run) { return run.attempt_id == attempt_id; }));
}

bool prepare_fleet(fleet& routers, std::size_t count, const std::vector<std::uint16_t>& stores) {
  routers.store_ports = stores;
  std::vector<std::string> ips;
  for (std::size_t index = 0; index < count; ++index) {
    ips.push_back("127.0.0." + std::to_string(index + 1));
    routers.routers.push_back({"front-" + std::to_string(index + 1), ips.back(), -1});
    routers.zones.push_back(std::string("zone-") + "abc"[index % 3]);
  }
  std::vector<std::uint16_t> ports;
  while (ports.size() < 5) {
    const std::uint16_t port = free_port(ips);
    if (port == 0) {
      return false;
    }
    if (std::find(ports.begin(), ports.end(), port) == ports.end()) {
      ports.push_back(port);
    }
  }
  routers.ports = {ports[0], ports[1], ports[2], ports[3], ports[4]};
  for (std::size_t index = 0; index < count; ++index) {
    write_file(settings_text(routers, index),
               routers.folder + "/" + routers.routers[index].name + ".toml");
  }
  return true;
}

void start_router(fleet& routers, std::size_t index) {
  router_process& router = routers.routers[index];
  const std::string settings = "--settings=" + routers.folder + "/" + router.name + ".toml";
  const std::string log = routers.folder + "/" + router.name + ".log";
  router.pid = fork();
  if (router.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(routers.program.c_str(), routers.program.c_str(), settings.c_str(), nullptr);
    _exit(127);
  }
}

void signal_router(fleet& routers, std::size_t index, int signal) {
  if (routers.routers[index].pid > 0) {
    kill(routers.routers[index].pid, signal);
  }
}

bool router_ended(fleet& routers, std::size_t index, milliseconds wait) {
  router_process& router = routers.routers[index];
  const instant end = current_time() + wait;
  while (router.pid > 0) {
    if (waitpid(router.pid, nullptr, WNOHANG) == router.pid) {
      router.pid = -1;
      break;
    }
    if (current_time() >= end) {
      return false;
    }
    std::this_thread::sleep_for(poll_step);
  }
  return true;
}

bool wait_until_ready(const fleet& routers, std::size_t index, milliseconds wait) {
  const instant end = current_time() + wait;
  while (current_time() < end) {
    const client_result check =
        send_request(routers.routers[index].ip, routers.ports.readiness,
                     "GET /v1/readiness HTTP/1.1\r\nHost: machine\r\n\r\n", 500);
    if (check.answered && check.response.status == 200) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds{20});
  }
  return false;
}

void end_fleet(fleet& routers) {
  for (std::size_t index = 0; index < routers.routers.size(); ++index) {
    signal_router(routers, index, SIGCONT);
    signal_router(routers, index, SIGKILL);
    router_ended(routers, index, milliseconds{5'000});
  }
}

client_result send_request(const std::string& ip, std::uint16_t port, const std::string& text,
                           int timeout_ms, int* connection) {
  client_result result;
  const bool is_kept = connection != nullptr;
  const int socket = is_kept && *connection >= 0 ? *connection : connect_to(ip, port);
  result.sent_at = current_time();
  result.connected = socket >= 0;
  if (result.connected) {
    std::string buffer;
    result.answered = send_all(socket, text) && read_message(socket, message_kind::response,
                                                             timeout_ms, buffer, result.response);
    const bool is_reusable =
        is_kept && result.answered && header_of(result.response, "connection") != "close";
    if (is_kept) {
      *connection = is_reusable ? socket : -1;
    }
    if (!is_reusable) {
      close(socket);
    }
  }
  result.ended_at = current_time();
  return result;
}

void record_result(record_file& record, const std::string& what, const client_result& result) {
  char sent[32];
  std::snprintf(sent, sizeof(sent), "%.3f", seconds_since_zero(record, result.sent_at));
  write_line(record,
             "client " + what + " sent_at " + sent + " status " +
                 (result.answered ? std::to_string(result.response.status) : std::string("none")) +
                 " body \"" + result.response.body.substr(0, 40) + "\"");
}

void sleep_until(const record_file& record, double seconds) {
  std::this_thread::sleep_until(record.zero + std::chrono::duration_cast<instant::duration>(
                                                  std::chrono::duration<double>(seconds)));
}

}  // namespace review
