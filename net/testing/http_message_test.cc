#include "net/http_message.h"

#include <doctest/doctest.h>

#include <random>

using namespace peridot;

namespace {

struct outcome_of {
  parse_status progress = parse_status::incomplete;
  message_head head;
  std::string body;
  std::size_t left = 0;
  bool ended_by_close = false;
};

// Reads `text` in pieces of `piece` bytes.
outcome_of read(std::string_view text, message_kind side, std::size_t piece = 1'000'000) {
  http_parser parser;
  reset_parser(parser, side);
  evbuffer* input = evbuffer_new();
  outcome_of result;
  std::size_t at = 0;
  while (at < text.size() && result.progress == parse_status::incomplete) {
    const std::string_view part = text.substr(at, piece);
    evbuffer_add(input, part.data(), part.size());
    at += part.size();
    result.progress = parse_input(parser, input);
  }
  result.ended_by_close = result.progress == parse_status::incomplete && finish_at_close(parser);
  result.head = parser.head;
  result.body = parser.body;
  result.left = evbuffer_get_length(input) + text.size() - at;
  evbuffer_free(input);
  return result;
}

bool is_refused_request(const std::string& text) {
  return read(text, message_kind::request).progress == parse_status::malformed;
}

}  // namespace

TEST_CASE("a request is read as it was sent") {
  const std::string text =
      "POST /a/b?c=d&e=%41 HTTP/1.1\r\nHost: x.example\r\nApi-Key:  k \r\nContent-Length: 3\r\n\r\n"
      "abcGET /next";
  for (std::size_t piece : {1U, 2U, 7U, 1'000U}) {
    const outcome_of result = read(text, message_kind::request, piece);
    CHECK(result.progress == parse_status::complete);
    CHECK(result.head.method == "POST");
    CHECK(result.head.request_target == "/a/b?c=d&e=%41");
    CHECK(find_header(result.head.headers, "api-key") == "k");
    CHECK(result.body == "abc");
    CHECK(result.left == 9);
    CHECK(result.head.keep_alive);
  }
  CHECK(path_of("/a/b?c=d") == "/a/b");
  CHECK(query_value("/a?c=d&e=f", "e") == "f");
}

TEST_CASE("chunked bodies, with extensions, trailers and codings in capitals") {
  const std::string head = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: CHUNKED\r\n\r\n";
  SUBCASE("whole") {
    const std::string text =
        head + "3;name=value\r\nabc\r\n00A\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\nGET";
    for (std::size_t piece : {1U, 3U, 1'000U}) {
      const outcome_of result = read(text, message_kind::request, piece);
      CHECK(result.progress == parse_status::complete);
      CHECK(result.body == "abc0123456789");
      CHECK(result.left == 3);
    }
  }
  SUBCASE("refused: what two readers could understand differently") {
    CHECK(is_refused_request(head + "-3\r\nabc\r\n0\r\n\r\n"));
    CHECK(is_refused_request(head + "0x3\r\nabc\r\n0\r\n\r\n"));
    CHECK(is_refused_request(head + "FFFFFFFFFFFFFFFFF\r\nabc\r\n0\r\n\r\n"));
    CHECK(is_refused_request(head + "3\r\nabcd\r\n0\r\n\r\n"));
    CHECK(is_refused_request(head + "3\n\r\nabc\r\n"));
    CHECK(is_refused_request(head + "\r\nabc\r\n"));
    CHECK(is_refused_request(head + "3" + std::string(2'000, ' ') + "\r\n"));
  }
}

TEST_CASE("requests that could smuggle another are refused") {
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
    CHECK(is_refused_request(start + fields + "\r\nabc"));
  }
  CHECK(is_refused_request("GET /a HTTP/1.1\r\n\r\n"));  // no host
  CHECK(is_refused_request("GET  /a HTTP/1.1\r\nHost: x\r\n\r\n"));
  CHECK(is_refused_request("GET a HTTP/1.1\r\nHost: x\r\n\r\n"));
  CHECK(is_refused_request("GET /a HTTP/2.0\r\nHost: x\r\n\r\n"));
  CHECK(is_refused_request("G\tT /a HTTP/1.1\r\nHost: x\r\n\r\n"));
  CHECK(read("POST /a HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
             message_kind::request)
            .progress == parse_status::malformed);
}

TEST_CASE("a head has its bound, whether or not its end has come") {
  const std::string head = "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(70'000, 'a');
  CHECK(read(head, message_kind::request).progress == parse_status::head_too_large);
  CHECK(read(head + "\r\n\r\n", message_kind::request).progress == parse_status::head_too_large);
}

TEST_CASE("the end of an answer") {
  SUBCASE("by length, by chunks, by nothing at all") {
    CHECK(read("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", message_kind::response).progress ==
          parse_status::complete);
    CHECK(read("HTTP/1.1 204 No Content\r\n\r\n", message_kind::response).progress ==
          parse_status::complete);
    CHECK(read("HTTP/1.1 503 \r\nContent-Length: 0\r\n\r\n", message_kind::response).head.status ==
          503);
  }
  SUBCASE("by the end of its connection, and only then") {
    const outcome_of result = read("HTTP/1.1 200 OK\r\n\r\nabc", message_kind::response);
    CHECK(result.progress == parse_status::incomplete);
    CHECK(result.ended_by_close);
    CHECK(result.body == "abc");
  }
  SUBCASE("a cut answer is not whole") {
    CHECK_FALSE(read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", message_kind::response)
                    .ended_by_close);
    CHECK_FALSE(read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                     message_kind::response)
                    .ended_by_close);
    CHECK_FALSE(read("HTTP/1.1 200 OK\r\nX: y", message_kind::response).ended_by_close);
  }
  SUBCASE("an interim answer has no body") {
    const outcome_of result =
        read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", message_kind::response);
    CHECK(result.progress == parse_status::complete);
    CHECK(result.head.status == 100);
    CHECK(result.left == 17);
  }
  SUBCASE("bytes that are no answer") {
    CHECK(read("\x16\x03\x01garbage\r\n\r\n", message_kind::response).progress ==
          parse_status::malformed);
    CHECK(read("HTTP/1.1 abc\r\n\r\n", message_kind::response).progress == parse_status::malformed);
  }
}

TEST_CASE("headers of one connection are told apart") {
  const std::vector<http_header> headers = {{"Connection", "close, X-Own"}, {"X-Own", "1"}};
  CHECK(is_hop_by_hop(headers, "x-own"));
  CHECK(is_hop_by_hop(headers, "Keep-Alive"));
  CHECK(is_hop_by_hop(headers, "transfer-encoding"));
  CHECK_FALSE(is_hop_by_hop(headers, "X-Other"));
}

TEST_CASE("random bytes are refused or read, and never more than once") {
  std::mt19937 random(23);
  const std::string alphabet = "GET /HTP1.\r\n: aHost0;,\t\x01";
  for (int round = 0; round < 20'000; ++round) {
    std::string text = round % 2 == 0 ? "GET / HTTP/1.1\r\nHost: a\r\n" : "";
    const std::size_t length = random() % 60;
    for (std::size_t at = 0; at < length; ++at) {
      text += alphabet[random() % alphabet.size()];
    }
    const outcome_of whole = read(text, message_kind::request);
    const outcome_of pieces = read(text, message_kind::request, 1 + random() % 5);
    CHECK(whole.progress == pieces.progress);
    CHECK(whole.body == pieces.body);
    CHECK(whole.left == pieces.left);
  }
}
