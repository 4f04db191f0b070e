#include "rig.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>
#include <utility>

namespace rig {
namespace {

using steady_clock = std::chrono::steady_clock;

struct record_file {
  std::mutex mutex;
  std::ofstream file;
  steady_clock::time_point started_at = steady_clock::now();
};

record_file& the_record() {
  static record_file instance;
  return instance;
}

std::string lower_case(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return text;
}

// Receives once. False at the end of the connection.
bool receive(connection& peer) {
  std::array<char, 65536> bytes{};
  const ssize_t count = recv(peer.socket, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  peer.received.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

// Reads the body up to its last chunk, or as far as it arrives.
void read_chunks(connection& peer, message& result) {
  while (true) {
    std::size_t line_end = peer.received.find("\r\n");
    while (line_end == std::string::npos) {
      if (!receive(peer)) {
        return;
      }
      line_end = peer.received.find("\r\n");
    }
    const std::size_t size = std::strtoull(peer.received.c_str(), nullptr, 16);
    while (peer.received.size() < line_end + 2 + size + 2) {
      if (!receive(peer)) {
        return;
      }
    }
    result.body += peer.received.substr(line_end + 2, size);
    peer.received.erase(0, line_end + 2 + size + 2);
    if (size == 0) {
      result.complete = true;
      return;
    }
  }
}

void parse_head(const std::string& head, message& result) {
  std::size_t begin = head.find("\r\n");
  result.start_line = head.substr(0, begin);
  while (begin != std::string::npos && begin + 2 < head.size()) {
    begin += 2;
    const std::size_t end = std::min(head.find("\r\n", begin), head.size());
    const std::string line = head.substr(begin, end - begin);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      result.headers[lower_case(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    begin = end < head.size() ? end : std::string::npos;
  }
}

std::string base64(const std::string& bytes) {
  constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string result;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
    for (std::size_t index = 0; index < 3; ++index) {
      group = group << 8 |
              (index < count ? static_cast<unsigned char>(bytes[at + index]) : std::uint32_t{0});
    }
    for (std::size_t index = 0; index < 4; ++index) {
      result += index <= count ? digits[group >> (18 - 6 * index) & 63] : '=';
    }
  }
  return result;
}

std::string item_json(const store::change& item) {
  return "{\"key\":\"" + item.key + "\",\"value\":\"" + base64(item.value) +
         "\",\"revision\":" + std::to_string(item.revision) +
         ",\"create_revision\":" + std::to_string(item.revision) + ",\"lease\":0}";
}

// The value of a query parameter; keys and prefixes here need no decoding.
std::string parameter(const std::string& target, const std::string& name) {
  const std::size_t found = target.find(name + "=");
  if (found == std::string::npos) {
    return "";
  }
  const std::size_t begin = found + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

template <class Items>
std::string list_json(const Items& items, const std::string& prefix, std::uint64_t after) {
  std::string text;
  for (const store::change& item : items) {
    if (item.revision > after && item.key.starts_with(prefix)) {
      text += (text.empty() ? "" : ",") + item_json(item);
    }
  }
  return "[" + text + "]";
}

std::string answer_of_store(store& target, const std::string& request_target) {
  const std::string prefix = parameter(request_target, "path_prefix");
  std::unique_lock<std::mutex> lock(target.mutex);
  if (request_target.starts_with("/v1/kv-range")) {
    std::vector<store::change> items;
    for (const std::pair<const std::string, store::change>& entry : target.items) {
      items.push_back(entry.second);
    }
    return R"({"items":)" + list_json(items, prefix, 0) + R"(,"has_more":false,"as_of":)" +
           std::to_string(target.revision) + "}";
  }
  const std::uint64_t after =
      std::strtoull(parameter(request_target, "after").c_str(), nullptr, 10);
  const milliseconds wait{std::atoi(parameter(request_target, "wait_ms").c_str())};
  target.changed.wait_for(lock, wait, [&target, &prefix, after]() {
    return std::any_of(target.history.begin(), target.history.end(),
                       [&prefix, after](const store::change& change) {
                         return change.revision > after && change.key.starts_with(prefix);
                       });
  });
  return R"({"events":)" + list_json(target.history, prefix, after) + R"(,"as_of":)" +
         std::to_string(target.revision) + "}";
}

std::optional<int> listening_socket() {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (listener < 0 ||
      bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener, 128) != 0) {
    return std::nullopt;
  }
  return listener;
}

int port_of(int socket) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

}  // namespace

connection::~connection() {
  close(socket);
}

void open_record(const std::string& path) {
  the_record().file.open(path, std::ios::app);
}

void record(const std::string& line) {
  record_file& target = the_record();
  const std::lock_guard<std::mutex> lock(target.mutex);
  const milliseconds time =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - target.started_at);
  target.file << time.count() << " ms " << line << "\n" << std::flush;
}

bool send_bytes(connection& peer, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(peer.socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string chunk(const std::string& bytes) {
  std::ostringstream text;
  text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return text.str();
}

bool read_message(connection& peer, message& result) {
  result = {};
  std::size_t end = peer.received.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!receive(peer)) {
      return false;
    }
    end = peer.received.find("\r\n\r\n");
  }
  parse_head(peer.received.substr(0, end), result);
  peer.received.erase(0, end + 4);
  if (header(result, "transfer-encoding") == "chunked") {
    read_chunks(peer, result);
    return true;
  }
  const std::size_t length = std::strtoull(header(result, "content-length").c_str(), nullptr, 10);
  while (peer.received.size() < length && receive(peer)) {
  }
  result.complete = peer.received.size() >= length;
  result.body = peer.received.substr(0, length);
  peer.received.erase(0, length);
  return true;
}

std::string header(const message& source, const std::string& name) {
  auto found = source.headers.find(name);
  return found == source.headers.end() ? "" : found->second;
}

int status_of(const message& response) {
  const std::size_t space = response.start_line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(response.start_line.c_str() + space + 1);
}

std::string server_success(const std::string& call, const std::string& body,
                           const std::string& more_headers) {
  std::string text = "HTTP/1.1 200 OK\r\n";
  text.append("X-Peridotspur-Attempt-Id: ").append(call).append("\r\n");
  text.append("X-Peridotspur-Server-Stamp: stamp-").append(call).append("\r\n");
  text.append(more_headers);
  text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return text.append(body);
}

int listen_and_serve(const std::function<void(connection&)>& serve) {
  const std::optional<int> listener = listening_socket();
  if (!listener.has_value()) {
    std::cerr << "cannot listen\n";
    std::exit(2);
  }
  std::thread([listener = *listener, serve]() {
    while (true) {
      const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        return;
      }
      const int on = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([socket, serve]() {
        connection peer(socket);
        serve(peer);
      }).detach();
    }
  }).detach();
  return port_of(*listener);
}

int connect_to(int port, const connect_options& options) {
  const int result = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (options.receive_buffer_bytes > 0) {
    setsockopt(result, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer_bytes,
               sizeof(options.receive_buffer_bytes));
  }
  if (options.segment_bytes > 0) {
    setsockopt(result, IPPROTO_TCP, TCP_MAXSEG, &options.segment_bytes,
               sizeof(options.segment_bytes));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (connect(result, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(result);
    return -1;
  }
  return result;
}

void put(store& target, const std::string& key, const std::string& value) {
  {
    const std::lock_guard<std::mutex> lock(target.mutex);
    const store::change change{++target.revision, key, value};
    target.items[key] = change;
    target.history.push_back(change);
  }
  target.changed.notify_all();
}

int start_store(store& target) {
  return listen_and_serve([&target](connection& peer) {
    message request;
    while (read_message(peer, request)) {
      const std::size_t space = request.start_line.find(' ');
      const std::string body = answer_of_store(
          target, request.start_line.substr(space + 1, request.start_line.rfind(' ') - space - 1));
      if (!send_bytes(peer,
                      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  });
}

std::string sample_config(std::uint64_t version) {
  const auto route_json = [](const std::string& name, const std::string& kind) {
    return R"({"name":")" + name + R"(","host":"app.example","path_prefix":"/)" + name +
           R"(/","kind":")" + kind +
           R"(","timeout_ms":15000,"target_latency_ms":1500,"priority":1,"service":"plain",)"
           R"("max_attempts":2,"public":true,"sticky":false,"gap_aim_ms":600,"resumable":)" +
           (kind == "streaming" ? "true" : "false") + "}";
  };
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         route_json("once", "non_idempotent") + "," + route_json("again", "idempotent") + "," +
         route_json("stream", "streaming") +
         R"(],"services":[{"name":"plain","health_path":"/health","max_conns":110,)"
         R"("protocol":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":180000},)"
         R"("tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]})";
}

std::string server_entry(int port, const std::string& state, int call_seq,
                         const std::string& version, std::int64_t born) {
  return R"({"service":"plain","address":"127.0.0.1:)" + std::to_string(port) +
         R"(","zone":"zone-a","version":")" + version + R"(","slots":64,"state":")" + state +
         R"(","cold_left_ms":0,"call_seq":)" + std::to_string(call_seq) + R"(,"born":)" +
         std::to_string(born) + "}";
}

int free_port() {
  const std::optional<int> listener = listening_socket();
  if (!listener.has_value()) {
    std::cerr << "no free port\n";
    std::exit(2);
  }
  const int port = port_of(*listener);
  close(*listener);
  return port;
}

void write_ports(const std::string& path, const std::map<std::string, int>& ports) {
  {
    std::ofstream file(path + ".new");
    for (const std::pair<const std::string, int>& port : ports) {
      file << port.first << "=" << port.second << "\n";
    }
  }
  std::rename((path + ".new").c_str(), path.c_str());
}

pid_t wait_for_process_id(const std::string& path) {
  for (int attempt = 0; attempt < 100; ++attempt) {
    std::ifstream file(path);
    pid_t id = 0;
    if (file >> id && id > 0) {
      return id;
    }
    std::this_thread::sleep_for(milliseconds{100});
  }
  std::cerr << "no process id in " << path << "\n";
  std::exit(2);
}

bool wait_until_ready(int port) {
  for (int attempt = 0; attempt < 100; ++attempt) {
    const int socket = connect_to(port);
    if (socket >= 0) {
      connection peer(socket);
      message response;
      if (send_bytes(peer, "GET /v1/readiness HTTP/1.1\r\nHost: router\r\n\r\n") &&
          read_message(peer, response) && status_of(response) == 200) {
        return true;
      }
    }
    std::this_thread::sleep_for(milliseconds{100});
  }
  return false;
}

}  // namespace rig
