#include "net/http_message.h"

#include <doctest/doctest.h>

#include <random>

using namespace peridot;

namespace {

struct parse_result {
  parse_status status = parse_status::incomplete;
  message_head head;
  std::string body;
  std::size_t unread_bytes = 0;
  bool complete_at_close = false;
};

// Parses `text` in fragments of `fragment_size` bytes.
parse_result parse(std::string_view text, message_kind kind,
                   std::size_t fragment_size = 1'000'000) {
  http_parser parser;
  reset_parser(parser, kind);
  evbuffer* input = evbuffer_new();
  parse_result result;
  std::size_t offset = 0;
  while (offset < text.size() && result.status == parse_status::incomplete) {
    const std::string_view fragment = text.substr(offset, fragment_size);
    evbuffer_add(input, fragment.data(), fragment.size());
    offset += fragment.size();
    result.status = parse_input(parser, input);
  }
  result.complete_at_close = result.status == parse_status::incomplete && finish_at_close(parser);
  result.head = parser.head;
  result.body = parser.body;
  result.unread_bytes = evbuffer_get_length(input) + text.size() - offset;
  evbuffer_free(input);
  return result;
}

bool is_malformed_request(const std::string& text) {
  return parse(text, message_kind::request).status == parse_status::malformed;
}

}  // namespace

TEST_CASE("http message: a request is parsed from fragments of any size") {
  const std::string text =
      "POST /a/b?c=d&e=%41 HTTP/1.1\r\nHost: x.example\r\nApi-Key:  k \r\nContent-Length: 3\r\n\r\n"
      "abcGET /next";
  for (std::size_t fragment_size : {1U, 2U, 7U, 1'000U}) {
    const parse_result result = parse(text, message_kind::request, fragment_size);
    CHECK(result.status == parse_status::complete);
    CHECK(result.head.method == "POST");
    CHECK(result.head.request_target == "/a/b?c=d&e=%41");
    CHECK(find_header(result.head.headers, "api-key") == "k");
    CHECK(result.body == "abc");
    CHECK(result.unread_bytes == 9);
    CHECK(result.head.keep_alive);
  }
  CHECK(path_of("/a/b?c=d") == "/a/b");
  CHECK(query_value("/a?c=d&e=f", "e") == "f");
}

TEST_CASE("http message: chunked bodies with extensions, trailer fields and an upper-case coding") {
  const std::string head = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: CHUNKED\r\n\r\n";
  SUBCASE("well-formed") {
    const std::string text =
        head + "3;name=value\r\nabc\r\n00A\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\nGET";
    for (std::size_t fragment_size : {1U, 3U, 1'000U}) {
      const parse_result result = parse(text, message_kind::request, fragment_size);
      CHECK(result.status == parse_status::complete);
      CHECK(result.body == "abc0123456789");
      CHECK(result.unread_bytes == 3);
    }
  }
  SUBCASE("rejected: chunks that two implementations could parse differently") {
    CHECK(is_malformed_request(head + "-3\r\nabc\r\n0\r\n\r\n"));
    CHECK(is_malformed_request(head + "0x3\r\nabc\r\n0\r\n\r\n"));
    CHECK(is_malformed_request(head + "FFFFFFFFFFFFFFFFF\r\nabc\r\n0\r\n\r\n"));
    CHECK(is_malformed_request(head + "3\r\nabcd\r\n0\r\n\r\n"));
    CHECK(is_malformed_request(head + "3\n\r\nabc\r\n"));
    CHECK(is_malformed_request(head + "\r\nabc\r\n"));
    CHECK(is_malformed_request(head + "3" + std::string(2'000, ' ') + "\r\n"));
  }
}

TEST_CASE("http message: requests that allow smuggling are rejected") {
  const std::string start = "POST /a HTTP/1.1\r\nHost: x\r\n";
  for (const char* fields : {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                             "Content-Length: 3\r\nContent-Length: 3\r\n",
                             "Content-Length: 3\r\nContent-Length: 4\r\n",
                             "Content-Length: +3\r\n",
                             "Content-Length: 3, 3\r\n",
                             "Content-Length: 0x3\r\n",
                             "Content-Length:\r\n",
                             "Content-Length: 99999999999999999999\r\n",
                             "Transfer-Encoding: gzip, chunked\r\n",
                             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                             "Transfer-Encoding: identity\r\n",
                             "Transfer-Encoding : chunked\r\n",
                             "Host: y\r\n",
                             "X-A: b\nContent-Length: 3\r\n",
                             "X-A: b\rc\r\n",
                             " folded: x\r\n",
                             "X A: b\r\n",
                             "no-colon\r\n",
                             ": empty\r\n",
                             "X-A: b\x01\r\n"}) {
    CAPTURE(fields);
    CHECK(is_malformed_request(start + fields + "\r\nabc"));
  }
  CHECK(is_malformed_request("GET /a HTTP/1.1\r\n\r\n"));  // no Host field
  CHECK(is_malformed_request("GET  /a HTTP/1.1\r\nHost: x\r\n\r\n"));
  CHECK(is_malformed_request("GET a HTTP/1.1\r\nHost: x\r\n\r\n"));
  CHECK(is_malformed_request("GET /a HTTP/2.0\r\nHost: x\r\n\r\n"));
  CHECK(is_malformed_request("G\tT /a HTTP/1.1\r\nHost: x\r\n\r\n"));
  CHECK(parse("POST /a HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
              message_kind::request)
            .status == parse_status::malformed);
}

TEST_CASE("http message: a head above the limit is rejected, complete or not") {
  const std::string head = "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(70'000, 'a');
  CHECK(parse(head, message_kind::request).status == parse_status::head_too_large);
  CHECK(parse(head + "\r\n\r\n", message_kind::request).status == parse_status::head_too_large);
}

TEST_CASE("http message: the end of a response") {
  SUBCASE("by its length or its status") {
    CHECK(parse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", message_kind::response).status ==
          parse_status::complete);
    CHECK(parse("HTTP/1.1 204 No Content\r\n\r\n", message_kind::response).status ==
          parse_status::complete);
    CHECK(parse("HTTP/1.1 503 \r\nContent-Length: 0\r\n\r\n", message_kind::response).head.status ==
          503);
  }
  SUBCASE("by the close of the connection") {
    const parse_result result = parse("HTTP/1.1 200 OK\r\n\r\nabc", message_kind::response);
    CHECK(result.status == parse_status::incomplete);
    CHECK(result.complete_at_close);
    CHECK(result.body == "abc");
  }
  SUBCASE("a truncated response is not complete at the close") {
    CHECK_FALSE(parse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", message_kind::response)
                    .complete_at_close);
    CHECK_FALSE(parse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                      message_kind::response)
                    .complete_at_close);
    CHECK_FALSE(parse("HTTP/1.1 200 OK\r\nX: y", message_kind::response).complete_at_close);
  }
  SUBCASE("an interim response has no body") {
    const parse_result result =
        parse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", message_kind::response);
    CHECK(result.status == parse_status::complete);
    CHECK(result.head.status == 100);
    CHECK(result.unread_bytes == 17);
  }
  SUBCASE("malformed response") {
    CHECK(parse("\x16\x03\x01garbage\r\n\r\n", message_kind::response).status ==
          parse_status::malformed);
    CHECK(parse("HTTP/1.1 abc\r\n\r\n", message_kind::response).status == parse_status::malformed);
  }
}

TEST_CASE("http message: hop-by-hop headers are recognized") {
  const std::vector<http_header> headers = {{"Connection", "close, X-Own"}, {"X-Own", "1"}};
  CHECK(is_hop_by_hop(headers, "x-own"));
  CHECK(is_hop_by_hop(headers, "Keep-Alive"));
  CHECK(is_hop_by_hop(headers, "transfer-encoding"));
  CHECK_FALSE(is_hop_by_hop(headers, "X-Other"));
}

TEST_CASE("http message: random input gives the same result whole and in fragments") {
  std::mt19937 random(23);
  const std::string alphabet = "GET /HTP1.\r\n: aHost0;,\t\x01";
  for (int round = 0; round < 20'000; ++round) {
    std::string text = round % 2 == 0 ? "GET / HTTP/1.1\r\nHost: a\r\n" : "";
    const std::size_t length = random() % 60;
    for (std::size_t offset = 0; offset < length; ++offset) {
      text += alphabet[random() % alphabet.size()];
    }
    const parse_result whole = parse(text, message_kind::request);
    const parse_result fragmented = parse(text, message_kind::request, 1 + random() % 5);
    CHECK(whole.status == fragmented.status);
    CHECK(whole.body == fragmented.body);
    CHECK(whole.unread_bytes == fragmented.unread_bytes);
  }
}
