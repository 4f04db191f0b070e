#include "review/lib-2/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

namespace review {
namespace {

sockaddr_in address_of(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Appends what arrives next. False if nothing more arrives.
bool receive_more(int socket, int timeout_ms, std::string& buffer) {
  pollfd waiting{socket, POLLIN, 0};
  if (poll(&waiting, 1, timeout_ms) <= 0) {
    return false;
  }
  std::array<char, 16384> bytes{};
  const ssize_t count = recv(socket, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  buffer.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

std::string trimmed(const std::string& text) {
  const std::size_t first = text.find_first_not_of(" \t");
  const std::size_t last = text.find_last_not_of(" \t\r");
  return first == std::string::npos ? "" : text.substr(first, last - first + 1);
}

void parse_head(const std::string& head, message_kind kind, http_message& message) {
  std::size_t begin = 0;
  bool is_first = true;
  while (begin < head.size()) {
    const std::size_t end = std::min(head.find("\r\n", begin), head.size());
    const std::string line = head.substr(begin, end - begin);
    begin = end + 2;
    if (is_first) {
      is_first = false;
      const std::size_t first_space = line.find(' ');
      const std::size_t second_space = line.find(' ', first_space + 1);
      if (kind == message_kind::response) {
        message.status = std::atoi(line.c_str() + std::min(first_space, line.size()));
      } else {
        message.method = line.substr(0, first_space);
        message.target = line.substr(first_space + 1, second_space - first_space - 1);
      }
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
      message.headers[name] = trimmed(line.substr(colon + 1));
    }
  }
}

// Reads a chunked body.
bool read_chunks(int socket, int timeout_ms, std::string& buffer, std::string& body) {
  while (true) {
    std::size_t end = buffer.find("\r\n");
    while (end == std::string::npos) {
      if (!receive_more(socket, timeout_ms, buffer)) {
        return false;
      }
      end = buffer.find("\r\n");
    }
    const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
    while (buffer.size() < end + 2 + size + 2) {
      if (!receive_more(socket, timeout_ms, buffer)) {
        return false;
      }
    }
    body += buffer.substr(end + 2, size);
    buffer.erase(0, end + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

}  // namespace

std::string header_of(const http_message& message, const std::string& name) {
  auto found = message.headers.find(name);
  return found == message.headers.end() ? "" : found->second;
}

std::string query_of(const http_message& message, const std::string& name) {
  const std::size_t question_mark = message.target.find('?');
  if (question_mark == std::string::npos) {
    return "";
  }
  const std::string query = "&" + message.target.substr(question_mark + 1) + "&";
  const std::size_t begin = query.find("&" + name + "=");
  if (begin == std::string::npos) {
    return "";
  }
  const std::size_t value_begin = begin + name.size() + 2;
  const std::string value = query.substr(value_begin, query.find('&', value_begin) - value_begin);
  std::string decoded;
  for (std::size_t at = 0; at < value.size(); ++at) {
    if (value[at] == '%' && at + 2 < value.size()) {
      decoded += static_cast<char>(std::strtol(value.substr(at + 1, 2).c_str(), nullptr, 16));
      at += 2;
    } else {
      decoded += value[at];
    }
  }
  return decoded;
}

int listen_at(const std::string& ip, std::uint16_t& port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = address_of(ip, port);
  socklen_t length = sizeof(address);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener, 512) != 0 ||
      getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    close(listener);
    return -1;
  }
  port = ntohs(address.sin_port);
  return listener;
}

int connect_to(const std::string& ip, std::uint16_t port) {
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = address_of(ip, port);
  if (connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(connection);
    return -1;
  }
  return connection;
}

bool send_all(int socket, const std::string& bytes) {
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

bool read_message(int socket, message_kind kind, int timeout_ms, std::string& buffer,
                  http_message& message) {
  message = {};
  std::size_t end = buffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!receive_more(socket, timeout_ms, buffer)) {
      return false;
    }
    end = buffer.find("\r\n\r\n");
  }
  parse_head(buffer.substr(0, end + 2), kind, message);
  buffer.erase(0, end + 4);
  if (header_of(message, "transfer-encoding") == "chunked") {
    return read_chunks(socket, timeout_ms, buffer, message.body);
  }
  const std::size_t length =
      std::strtoul(header_of(message, "content-length").c_str(), nullptr, 10);
  while (buffer.size() < length) {
    if (!receive_more(socket, timeout_ms, buffer)) {
      return false;
    }
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

std::string response_text(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string base64_of(const std::string& bytes) {
  constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
    for (std::size_t index = 0; index < 3; ++index) {
      group = group << 8 | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      text += index <= count ? digits[group >> (18 - 6 * index) & 63] : '=';
    }
  }
  return text;
}

}  // namespace review
