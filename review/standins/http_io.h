// Blocking HTTP/1.1 over TCP for the review's stand-ins.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

namespace review {

// Milliseconds of the system's monotonic clock, the same in all processes of the machine.
inline std::int64_t monotonic_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// `address` is IP:PORT.
inline sockaddr_in socket_address(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

inline void set_no_delay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Reads fail after this time without a byte.
inline void set_read_timeout(int socket, std::int64_t ms) {
  const timeval timeout{ms / 1'000, (ms % 1'000) * 1'000};
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
}

// Returns the socket, or -1.
inline int listen_on(const std::string& address) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in target = socket_address(address);
  if (bind(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0 ||
      listen(socket, 256) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

// Returns the socket, or -1.
inline int connect_to(const std::string& address) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in target = socket_address(address);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
    close(socket);
    return -1;
  }
  set_no_delay(socket);
  return socket;
}

inline bool send_all(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Bytes that were received and not yet used.
struct reader {
  int socket = -1;
  std::string pending;
};

inline bool receive_more(reader& input) {
  char bytes[16'384];
  const ssize_t count = recv(input.socket, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  input.pending.append(bytes, static_cast<std::size_t>(count));
  return true;
}

struct message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

inline std::string header_of(const message& from, const std::string& name) {
  for (const std::pair<std::string, std::string>& header : from.headers) {
    if (strcasecmp(header.first.c_str(), name.c_str()) == 0) {
      return header.second;
    }
  }
  return "";
}

inline void parse_head(const std::string& head, message& result) {
  std::size_t begin = 0;
  while (begin < head.size()) {
    const std::size_t end = head.find("\r\n", begin);
    const std::string line = head.substr(begin, end - begin);
    begin = end == std::string::npos ? head.size() : end + 2;
    if (result.start_line.empty()) {
      result.start_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(" \t", colon + 1);
      result.headers.emplace_back(line.substr(0, colon),
                                  value == std::string::npos ? "" : line.substr(value));
    }
  }
}

// Reads a message with a length, or with chunks; one without either has no body. False if the
// connection ends, or times out, before the message does.
inline bool read_message(reader& input, message& result) {
  std::size_t end = std::string::npos;
  while ((end = input.pending.find("\r\n\r\n")) == std::string::npos) {
    if (!receive_more(input)) {
      return false;
    }
  }
  parse_head(input.pending.substr(0, end), result);
  input.pending.erase(0, end + 4);
  if (header_of(result, "Transfer-Encoding").empty()) {
    const std::size_t length =
        static_cast<std::size_t>(std::atoll(header_of(result, "Content-Length").c_str()));
    while (input.pending.size() < length) {
      if (!receive_more(input)) {
        return false;
      }
    }
    result.body = input.pending.substr(0, length);
    input.pending.erase(0, length);
    return true;
  }
  while (true) {
    std::size_t line_end = std::string::npos;
    while ((line_end = input.pending.find("\r\n")) == std::string::npos) {
      if (!receive_more(input)) {
        return false;
      }
    }
    const std::size_t size = std::strtoul(input.pending.c_str(), nullptr, 16);
    const std::size_t chunk_end = line_end + 2 + size + 2;
    while (input.pending.size() < chunk_end) {
      if (!receive_more(input)) {
        return false;
      }
    }
    result.body += input.pending.substr(line_end + 2, size);
    input.pending.erase(0, chunk_end);
    if (size == 0) {
      return true;
    }
  }
}

}  // namespace review
