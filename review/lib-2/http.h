// Blocking HTTP/1.1 over loopback sockets, for the stand-ins and clients of the review's cases.
//
// Thread safety: none; each socket is used by one thread.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace review {

struct http_message {
  std::string method;                          // requests
  std::string target;                          // requests: path and query
  int status = 0;                              // responses
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

// The header's value, or an empty text. `name` is in lower case.
std::string header_of(const http_message& message, const std::string& name);

// The value of a parameter of the query, percent-decoded, or an empty text.
std::string query_of(const http_message& message, const std::string& name);

// A listening socket at IP:port. Port 0 is replaced by a free one. -1 if the address is in use.
int listen_at(const std::string& ip, std::uint16_t& port);

// -1 if no connection is established.
int connect_to(const std::string& ip, std::uint16_t port);

// Sends are cut short if the peer has left. False if not all was sent.
bool send_all(int socket, const std::string& bytes);

enum class message_kind { request, response };

// Reads one message. `buffer` keeps what arrived beyond it. False at the end of the connection, at
// an error, or if `timeout_ms` passes without a byte.
bool read_message(int socket, message_kind kind, int timeout_ms, std::string& buffer,
                  http_message& message);

// The text of a response with a Content-Length. `headers` holds whole lines with their CR LF.
std::string response_text(int status, const std::string& headers, const std::string& body);

std::string base64_of(const std::string& bytes);

}  // namespace review
