// Incremental parser of HTTP/1.1 requests and responses.
//
// A head is rejected if two implementations could parse it differently, which would allow
// request smuggling: bare CR or LF, control characters, folded lines, header names that
// are not tokens, two lengths, a length together with a transfer coding, any transfer
// coding but "chunked", a transfer coding in HTTP/1.0, in a request, not exactly one
// Host header, or, in a response, a status that is not 100 or 102 to 599.
//
//   http_parser parser;
//   reset_parser(parser, message_kind::request);
//   parse_status status = parse_input(parser, input);   // drains what it parses
//   if (parser.head_complete) ...   // parser.body holds the bytes received so far; move
//                                   // them out to limit memory
//
// Bytes after the end of a message stay in the input for the next one. A response body
// with neither a length nor chunks ends when the connection closes (until_close).
// Limits: max_head_bytes. The body is not limited here; the caller has to do that.
// Thread safety: none; for use from one event loop.
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

// Value of the first header of this name, ignoring case; empty if there is none.
std::string_view find_header(const std::vector<http_header>& headers, std::string_view name);
bool has_header(const std::vector<http_header>& headers, std::string_view name);

// True if a comma-separated list contains the token, ignoring case.
bool has_token(std::string_view list, std::string_view token);

// Returns `text` without the spaces and tabs at its ends.
std::string_view trim(std::string_view text);

bool equal_ignoring_case(std::string_view left, std::string_view right);

// True for hop-by-hop headers (RFC 9110, section 7.6.1): those that apply to one connection
// only, and those that are listed in the Connection header of `headers`.
bool is_hop_by_hop(const std::vector<http_header>& headers, std::string_view name);

// Path of a request target, without its query.
std::string_view path_of(std::string_view request_target);

// Value of `name` in the query of a request target; empty if absent.
std::string query_value(std::string_view request_target, std::string_view name);

enum class message_kind { request, response };
enum class body_framing { none, length, chunked, until_close };

// Stable names; logs and metrics contain them.
const char* to_text(body_framing framing);

struct message_head {
  std::string method;          // of a request
  std::string request_target;  // of a request: path and query as received
  int status = 0;              // of a response
  int minor_version = 1;
  std::vector<http_header> headers;
  body_framing framing = body_framing::none;
  std::uint64_t content_length = 0;  // if framing is length; in bytes
  bool keep_alive = true;
};

enum class parse_status { incomplete, complete, malformed, head_too_large };

struct http_parser {
  message_kind kind = message_kind::request;
  std::size_t max_head_bytes = 64 << 10;
  // A response to HEAD has no body, whatever its headers say.
  bool response_to_head_request = false;
  message_head head;
  bool head_complete = false;
  bool message_complete = false;
  std::uint64_t body_bytes_left = 0;  // if framing is length
  chunked_decoder chunk_decoder;
  std::string body;     // received and not yet moved out
  std::string problem;  // why the message is malformed
};

// Prepares for the next message. Keeps max_head_bytes and response_to_head_request.
void reset_parser(http_parser& parser, message_kind kind);

// Parses what `input` holds. After `complete`, call reset_parser() before the next call.
parse_status parse_input(http_parser& parser, evbuffer* input);

// To be called when the other side has closed the connection in an orderly way. True if
// the message is then complete.
bool finish_at_close(http_parser& parser);

// Parses a head; `text` ends with its blank line. Returns why the head is malformed; empty
// if it is well-formed.
std::string parse_message_head(std::string_view text, message_kind kind, message_head& head);

// Reason phrase of a status code, e.g. "Not Found"; "Status" if the code is not known.
std::string_view reason_phrase(int status);

}  // namespace peridot
