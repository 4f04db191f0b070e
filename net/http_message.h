// HTTP/1.1 messages from bytes, for both sides of a router.
//
// A head is refused if two readers could understand it differently: bare CR or LF,
// control characters, folded lines, names that are no tokens, two lengths, a length
// beside a transfer coding, any coding but "chunked", no host or two.
//
//   http_parser parser;
//   start_message(parser, message_side::request);
//   parse_progress step = parse_input(parser, input);   // consumes what it understands
//   if (parser.head_done) ...; parser.body holds the bytes that arrived; take them
//
// Bytes after the end of a message stay in the input for the next one. A body
// without length or chunks ends with its connection (until_close).
// Budget: max_head_bytes; the body is bounded by its taker.
// Thread safety: none; one loop.
#pragma once

#include <event2/buffer.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "net/chunked_decoder.h"

namespace peridot {

struct http_header {
  std::string name;
  std::string value;
};

// Value of the first header of this name, case ignored; empty if there is none.
std::string_view find_header(const std::vector<http_header>& headers, std::string_view name);
bool has_header(const std::vector<http_header>& headers, std::string_view name);

// True if a comma-separated list holds the token, case ignored.
bool has_token(std::string_view list, std::string_view token);

// Without spaces and tabs at both ends.
std::string_view trim(std::string_view text);

bool equal_ignoring_case(std::string_view left, std::string_view right);

// True for headers that concern one connection only, and for those that the
// message's Connection header names.
bool is_hop_by_hop(const std::vector<http_header>& headers, std::string_view name);

// Path of a request target, without its query.
std::string_view path_of(std::string_view request_target);

// Value of `name` in the query of a request target; empty if absent.
std::string query_value(std::string_view request_target, std::string_view name);

enum class message_kind { request, response };
enum class body_framing { none, length, chunked, until_close };

struct message_head {
  std::string method;          // of a request
  std::string request_target;  // of a request: path and query as sent
  int status = 0;              // of a response
  int minor_version = 1;
  std::vector<http_header> headers;
  body_framing framing = body_framing::none;
  std::uint64_t content_length = 0;  // where framing is length
  bool keep_alive = true;
};

enum class parse_status { incomplete, complete, malformed, head_too_large };

struct http_parser {
  message_kind kind = message_kind::request;
  std::size_t max_head_bytes = 64 << 10;
  bool response_to_head = false;  // a response that has no body whatever its headers say
  message_head head;
  bool head_complete = false;
  bool message_complete = false;
  std::uint64_t body_bytes_left = 0;  // of a body of stated length
  chunked_decoder chunk_decoder;
  std::string body;     // arrived and not yet taken
  std::string problem;  // why the message is malformed
};

// Prepares for the next message; keeps side and limits.
void reset_parser(http_parser& parser, message_kind kind);

// Reads as much as has arrived. After `complete` the next call needs start_message().
parse_status parse_input(http_parser& parser, evbuffer* input);

// The connection was closed in order. True if that ends the message whole.
bool finish_at_close(http_parser& parser);

// Reads a head, up to and with its blank line. Why it is refused; empty if it is not.
std::string parse_message_head(std::string_view text, message_kind kind, message_head& head);

// Text of a status code, e.g. "Not Found".
std::string_view reason_phrase(int status);

}  // namespace peridot
