#include "net/http_message.h"

#include <strings.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>

#include "net/move_bytes.h"

namespace peridot {
namespace {

constexpr std::string_view head_end = "\r\n\r\n";
// Other values are invalid (RFC 9110, section 15).
constexpr int min_status = 100;
constexpr int max_status = 599;
constexpr int status_switching_protocols = 101;  // no request here asks for another protocol
constexpr std::size_t status_offset = 9;         // length of "HTTP/1.1 "
constexpr std::size_t max_length_digits = 18;    // fits into 64 bits

bool is_token_character(char character) {
  const unsigned char value = static_cast<unsigned char>(character);
  return std::isalnum(value) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

bool has_control_character(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char character) {
    const unsigned char value = static_cast<unsigned char>(character);
    return (value < 0x20 && value != '\t') || value == 0x7f;
  });
}

bool is_digits(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(),
                                      [](unsigned char digit) { return std::isdigit(digit) != 0; });
}

std::string parse_status_line(std::string_view line, message_head& head) {
  const bool valid = line.size() >= status_offset + 3 &&
                     (line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ")) &&
                     is_digits(line.substr(status_offset, 3)) &&
                     (line.size() == status_offset + 3 || line[status_offset + 3] == ' ');
  if (!valid) {
    return "status line";
  }
  head.status = std::atoi(std::string(line.substr(status_offset, 3)).c_str());
  if (head.status < min_status || head.status > max_status) {
    return "status code";
  }
  if (head.status == status_switching_protocols) {
    return "switches to a protocol that was not asked for";
  }
  head.minor_version = line[7] - '0';
  return "";
}

std::string parse_start_line(std::string_view line, message_kind kind, message_head& head) {
  if (kind == message_kind::response) {
    return parse_status_line(line, head);
  }
  const std::size_t first_space = line.find(' ');
  const std::size_t second_space =
      line.find(' ', first_space == std::string_view::npos ? first_space : first_space + 1);
  if (first_space == std::string_view::npos || second_space == std::string_view::npos) {
    return "request line";
  }
  const std::string_view version = line.substr(second_space + 1);
  head.method = line.substr(0, first_space);
  head.request_target = line.substr(first_space + 1, second_space - first_space - 1);
  if (!is_token(head.method) || !head.request_target.starts_with('/') ||
      (version != "HTTP/1.1" && version != "HTTP/1.0")) {
    return "request line";
  }
  head.minor_version = version.back() - '0';
  return "";
}

// Numbers of occurrences of Host and of the headers that determine the framing.
struct header_counts {
  int hosts = 0;
  int content_lengths = 0;
  int transfer_codings = 0;
};

std::string parse_header(std::string_view line, message_head& head, header_counts& counts) {
  const std::size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  if (colon == std::string_view::npos || !is_token(name)) {
    return "header name";
  }
  const std::string_view value = trim(line.substr(colon + 1));
  counts.hosts += equal_ignoring_case(name, "Host") ? 1 : 0;
  if (equal_ignoring_case(name, "Content-Length")) {
    ++counts.content_lengths;
    if (!is_digits(value) || value.size() > max_length_digits) {
      return "content length";
    }
  }
  if (equal_ignoring_case(name, "Transfer-Encoding")) {
    ++counts.transfer_codings;
    if (!equal_ignoring_case(value, "chunked")) {
      return "transfer coding";
    }
  }
  head.headers.push_back({std::string(name), std::string(value)});
  return "";
}

void set_keep_alive(message_head& head) {
  const std::string_view connection = find_header(head.headers, "Connection");
  head.keep_alive = head.minor_version >= 1 ? !has_token(connection, "close")
                                            : has_token(connection, "keep-alive");
}

// Precondition: parse_message_head() accepted the head.
void set_framing(http_parser& parser) {
  message_head& head = parser.head;
  set_keep_alive(head);
  const bool no_body = parser.kind == message_kind::response &&
                       (parser.response_to_head_request || head.status < 200 ||
                        head.status == 204 || head.status == 304);
  if (no_body) {
    head.framing = body_framing::none;
  } else if (has_header(head.headers, "Transfer-Encoding")) {
    head.framing = body_framing::chunked;
  } else if (has_header(head.headers, "Content-Length")) {
    head.content_length = std::strtoull(
        std::string(find_header(head.headers, "Content-Length")).c_str(), nullptr, 10);
    head.framing = head.content_length == 0 ? body_framing::none : body_framing::length;
  } else {
    head.framing =
        parser.kind == message_kind::request ? body_framing::none : body_framing::until_close;
  }
  parser.body_bytes_left = head.content_length;
  parser.message_complete = head.framing == body_framing::none;
}

parse_status fail(http_parser& parser, std::string problem) {
  parser.problem = std::move(problem);
  return parse_status::malformed;
}

parse_status consume_head(http_parser& parser, evbuffer* input) {
  const ::evbuffer_ptr found = evbuffer_search(input, head_end.data(), head_end.size(), nullptr);
  if (found.pos < 0) {
    return evbuffer_get_length(input) > parser.max_head_bytes ? parse_status::head_too_large
                                                              : parse_status::incomplete;
  }
  const std::size_t length = static_cast<std::size_t>(found.pos) + head_end.size();
  if (length > parser.max_head_bytes) {
    return parse_status::head_too_large;
  }
  const std::string bytes(
      reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length))),
      length);
  evbuffer_drain(input, length);
  std::string problem = parse_message_head(bytes, parser.kind, parser.head);
  if (!problem.empty()) {
    return fail(parser, std::move(problem));
  }
  parser.head_complete = true;
  set_framing(parser);
  return parse_status::incomplete;
}

void consume_sized_body(http_parser& parser, evbuffer* input, std::size_t available) {
  const std::size_t count = static_cast<std::size_t>(
      std::min<std::uint64_t>(parser.body_bytes_left, static_cast<std::uint64_t>(available)));
  move_bytes(input, count, parser.body);
  parser.body_bytes_left -= count;
  parser.message_complete = parser.body_bytes_left == 0;
}

parse_status consume_chunked_body(http_parser& parser, evbuffer* input) {
  switch (decode_chunks(parser.chunk_decoder, input, parser.body)) {
    case chunk_status::malformed:
      return fail(parser, "chunk");
    case chunk_status::complete:
      parser.message_complete = true;
      break;
    case chunk_status::incomplete:
      break;
  }
  return parser.message_complete ? parse_status::complete : parse_status::incomplete;
}

}  // namespace

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

std::string_view find_header(const std::vector<http_header>& headers, std::string_view name) {
  auto found = std::find_if(headers.begin(), headers.end(), [name](const http_header& header) {
    return equal_ignoring_case(header.name, name);
  });
  return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

bool has_header(const std::vector<http_header>& headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(), [name](const http_header& header) {
    return equal_ignoring_case(header.name, name);
  });
}

bool equal_ignoring_case(std::string_view left, std::string_view right) {
  return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool has_token(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    if (equal_ignoring_case(trim(list.substr(0, comma)), token)) {
      return true;
    }
    if (comma == std::string_view::npos) {
      break;
    }
    list.remove_prefix(comma + 1);
  }
  return false;
}

bool is_hop_by_hop(const std::vector<http_header>& headers, std::string_view name) {
  constexpr std::string_view hop_by_hop_headers[] = {"Connection",
                                                     "Keep-Alive",
                                                     "Proxy-Connection",
                                                     "Proxy-Authenticate",
                                                     "Proxy-Authorization",
                                                     "TE",
                                                     "Trailer",
                                                     "Transfer-Encoding",
                                                     "Upgrade"};
  const bool always_hop_by_hop = std::any_of(
      std::begin(hop_by_hop_headers), std::end(hop_by_hop_headers),
      [name](std::string_view header_name) { return equal_ignoring_case(header_name, name); });
  return always_hop_by_hop ||
         std::any_of(headers.begin(), headers.end(), [name](const http_header& header) {
           return equal_ignoring_case(header.name, "Connection") && has_token(header.value, name);
         });
}

std::string_view path_of(std::string_view request_target) {
  return request_target.substr(0, request_target.find('?'));
}

std::string query_value(std::string_view request_target, std::string_view name) {
  const std::size_t question_mark = request_target.find('?');
  std::string_view query = question_mark == std::string_view::npos
                               ? std::string_view()
                               : request_target.substr(question_mark + 1);
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos ? "" : std::string(pair.substr(equals + 1));
    }
    query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
  }
  return "";
}

void reset_parser(http_parser& parser, message_kind kind) {
  parser.kind = kind;
  parser.head = message_head{};
  parser.head_complete = false;
  parser.message_complete = false;
  parser.body_bytes_left = 0;
  parser.chunk_decoder = chunked_decoder{};
  parser.body.clear();
  parser.problem.clear();
}

parse_status parse_input(http_parser& parser, evbuffer* input) {
  if (!parser.head_complete) {
    const parse_status head_status = consume_head(parser, input);
    if (head_status != parse_status::incomplete || !parser.head_complete) {
      return head_status;
    }
  }
  const std::size_t available = evbuffer_get_length(input);
  if (!parser.message_complete && available > 0) {
    switch (parser.head.framing) {
      case body_framing::none:
        break;
      case body_framing::length:
        consume_sized_body(parser, input, available);
        break;
      case body_framing::chunked:
        return consume_chunked_body(parser, input);
      case body_framing::until_close: {
        move_bytes(input, available, parser.body);
        break;
      }
    }
  }
  return parser.message_complete ? parse_status::complete : parse_status::incomplete;
}

bool finish_at_close(http_parser& parser) {
  if (parser.head_complete && parser.head.framing == body_framing::until_close) {
    parser.message_complete = true;
  }
  return parser.message_complete;
}

std::string parse_message_head(std::string_view text, message_kind kind, message_head& head) {
  header_counts counts;
  bool is_first_line = true;
  while (text.size() > 2) {
    const std::size_t end = text.find("\r\n");
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 2);
    if (has_control_character(line)) {
      return "control character";
    }
    std::string problem =
        is_first_line ? parse_start_line(line, kind, head) : parse_header(line, head, counts);
    is_first_line = false;
    if (!problem.empty()) {
      return problem;
    }
  }
  if (counts.content_lengths + counts.transfer_codings > 1 ||
      (counts.transfer_codings > 0 && head.minor_version == 0)) {
    return "doubled length";
  }
  if (kind == message_kind::request && counts.hosts != 1) {
    return "host";
  }
  return "";
}

const char* to_text(body_framing framing) {
  switch (framing) {
    case body_framing::none:
      return "none";
    case body_framing::length:
      return "length";
    case body_framing::chunked:
      return "chunked";
    case body_framing::until_close:
      return "until_close";
  }
  return "none";
}

std::string_view reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace peridot
