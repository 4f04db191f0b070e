#include "net/operator_commands.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "net/http_get.h"
#include "net/testing/canned_server.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds patience{2'000};
constexpr const char* unused_address = "127.0.0.1:1";  // nothing listens on a reserved port

TEST_CASE("a GET ends with a whole answer or with the step that failed") {
  testing::canned_server server;
  server.answers["/good"] = testing::ok_answer("hello");
  server.answers["/cut"] = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhello";
  server.answers["/chunk"] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
  server.answers["/long"] = testing::ok_answer(std::string(1'001, 'x'));
  server.answers["/absent"] = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
  server.answers["/noise"] = "not http\r\n\r\n";
  testing::start(server);
  const http_get_result good = http_get(server.address, "/good", patience, 1'000);
  const http_get_result cut = http_get(server.address, "/cut", patience, 1'000);
  const http_get_result chunk = http_get(server.address, "/chunk", patience, 1'000);
  const http_get_result too_long = http_get(server.address, "/long", patience, 1'000);
  const http_get_result absent = http_get(server.address, "/absent", patience, 1'000);
  const http_get_result noise = http_get(server.address, "/noise", patience, 1'000);
  const http_get_result silent = http_get(server.address, "/silent", milliseconds{50}, 1'000);
  const http_get_result refused = http_get(unused_address, "/", patience, 1'000);
  const http_get_result named = http_get("localhost:80", "/", patience, 1'000);
  const std::string address = server.address;
  testing::stop(server);

  CHECK_FALSE(good.error.has_value());
  CHECK(good.body == "hello");
  REQUIRE(cut.error.has_value());
  CHECK(to_text(*cut.error) == address + ": answer: connection closed before the end");
  REQUIRE(chunk.error.has_value());
  CHECK(chunk.error->step == http_get_step::answer);
  REQUIRE(too_long.error.has_value());
  CHECK(to_text(*too_long.error) == address + ": answer: longer than the limit");
  REQUIRE(absent.error.has_value());
  CHECK(to_text(*absent.error) == address + ": answer: status 404");
  REQUIRE(noise.error.has_value());
  CHECK(noise.error->step == http_get_step::answer);
  REQUIRE(silent.error.has_value());
  CHECK(to_text(*silent.error) == address + ": timeout: no answer in time");
  REQUIRE(refused.error.has_value());
  CHECK(to_text(*refused.error) == "127.0.0.1:1: connect: refused or unreachable");
  REQUIRE(named.error.has_value());
  CHECK(named.error->step == http_get_step::address);
}

TEST_CASE("many GETs keep the order of their addresses") {
  testing::canned_server server;
  server.answers["/status"] = testing::ok_answer("a=1\n");
  testing::start(server);
  std::vector<std::string> addresses(70, server.address);
  addresses[40] = unused_address;
  const std::vector<http_get_result> results = http_get_all(addresses, "/status", patience, 1'000);
  testing::stop(server);
  REQUIRE(results.size() == addresses.size());
  for (std::size_t index = 0; index < results.size(); ++index) {
    CHECK(results[index].error.has_value() == (index == 40));
  }
}

TEST_CASE("commands show what routers say and name those that do not answer") {
  testing::canned_server first;
  testing::canned_server second;
  first.answers["/status"] =
      testing::ok_answer("name=router-a1 config_version=7\nlease pool=explain shard=0 held=yes\n");
  second.answers["/status"] = testing::ok_answer("name=router-b1 config_version=12\n\x1b[2J=x\n");
  first.answers["/timeline"] = testing::ok_answer(
      "process=a seq=1 kind=grant_sent mono_us=1 wall_us=9000000 request=r1 target=engine-1\n");
  second.answers["/timeline"] = testing::ok_answer(
      "process=b seq=1 kind=peer_alive mono_us=1 wall_us=1000000\n"
      "process=b seq=2 kind=grant_received mono_us=2 wall_us=2000000 request=r1 "
      "cause_process=a cause_seq=1 detail=pool=explain%20shard=2\nbroken\n");
  testing::start(first);
  testing::start(second);
  const std::vector<std::string> routers{first.address, second.address, unused_address};
  const command_result status = show_status(routers, patience);
  const command_result whole = show_timeline({routers, {}, patience}, {});
  const command_result one = show_timeline({routers, {}, patience}, {.request = "r1"});
  testing::stop(first);
  testing::stop(second);

  SUBCASE("status lines of one kind form one table") {
    CHECK(status.exit_status == exit_failed);
    CHECK(status.problems == "cannot be reached: 127.0.0.1:1: connect: refused or unreachable\n");
    const std::string& text = status.output;
    CHECK(text.find("name       config_version\n") != std::string::npos);
    CHECK(text.find(first.address + "  router-a1  7\n" + second.address + "  router-b1  12\n") !=
          std::string::npos);
    CHECK(text.find("lease\n") != std::string::npos);
    CHECK(text.find('\x1b') == std::string::npos);
  }
  SUBCASE("time lines are merged by cause, and bad lines are named") {
    CHECK(whole.exit_status == exit_failed);
    CHECK(whole.problems.find("1 line left out as malformed") != std::string::npos);
    CHECK(whole.output ==
          "1970-01-01T00:00:01.000000Z b#1 peer_alive\n"
          "1970-01-01T00:00:09.000000Z a#1 grant_sent request=r1 target=engine-1\n"
          "1970-01-01T00:00:02.000000Z b#2 grant_received request=r1 after=a#1 "
          "pool=explain shard=2\n");
    CHECK(std::count(one.output.begin(), one.output.end(), '\n') == 2);
  }
}

}  // namespace
}  // namespace peridot
