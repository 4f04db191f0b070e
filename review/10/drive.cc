// Case 10: the configuration raises max_header_bytes. Machines go on refusing larger headers on the
// connections that were open before.
//
//   drive FOLDER ROUTER_PROGRAM RECORD TROUBLE
//
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "review/lib-2/platform.h"

namespace {

using std::chrono::milliseconds;

constexpr std::size_t router_count = 2;
constexpr double warm_up = 5.0;  // after the routers are ready
constexpr double apply = 2.0;    // bounds.config_apply_ms
constexpr std::size_t client_count = 20;
constexpr int lower_limit = 4'096;
constexpr int higher_limit = 16'384;
constexpr std::size_t long_header = 8'000;
constexpr int allowed_refusals = 5;                // of DENIED, and one more
constexpr std::size_t requests_per_refusal = 500;  // for so many requests

std::string config(int version, int max_header_bytes) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"hours\",\"host\":\"app.example\",\"path_prefix\":\"/hours/\","
         "\"kind\":\"idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":2,"
         "\"service\":\"listings\",\"max_attempts\":2,\"public\":true}],\"services\":[{\"name\":"
         "\"listings\",\"health_path\":\"/health\",\"max_conns\":110,\"cold_s\":0,"
         "\"cold_per_s\":0}],\"limits\":{\"max_header_bytes\":" +
         std::to_string(max_header_bytes) +
         ",\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
         "\"tokens_per_s\":0},\"tenants\":[]}";
}

std::string request_text(const std::string& id, std::size_t header_bytes) {
  return "GET /hours/1 HTTP/1.1\r\nHost: app.example\r\nX-Peridotspur-Attempt-Id: " + id +
         "\r\nX-Peridotspur-Deadline-Ms: 2000\r\nX-Context: " + std::string(header_bytes, 'c') +
         "\r\n\r\n";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: drive FOLDER ROUTER_PROGRAM RECORD TROUBLE\n";
    return 2;
  }
  const bool trouble = std::string(argv[4]) != "0";
  review::record_file record;
  review::open_record(record, argv[3]);
  review::store kv;
  review::start_store(kv, record, 1);
  std::vector<review::server> servers(3);
  for (std::size_t index = 0; index < servers.size(); ++index) {
    review::server& target = servers[index];
    target.id = "i-" + std::to_string(index + 1);
    target.service = "listings";
    target.zone = std::string("zone-") + "abc"[index % 3];
    target.born = 1'700'000'000'000 + static_cast<std::int64_t>(index);
    review::start_server(target, record);
    review::put_item(kv, "servers/" + target.id, review::entry_of(target));
  }
  review::put_item(kv, "op/config", config(1, trouble ? lower_limit : higher_limit));
  review::fleet routers;
  routers.folder = argv[1];
  routers.program = argv[2];
  if (!review::prepare_fleet(routers, router_count,
                             std::vector<std::uint16_t>(router_count, kv.ports[0]))) {
    return 2;
  }
  for (std::size_t index = 0; index < router_count; ++index) {
    review::start_router(routers, index);
  }
  for (std::size_t index = 0; index < router_count; ++index) {
    if (!review::wait_until_ready(routers, index, milliseconds{15'000})) {
      review::end_fleet(routers);
      return 2;
    }
  }
  const double begin = review::seconds_since_zero(record, review::current_time()) + warm_up;
  std::mutex mutex;
  std::size_t requests = 0;
  int refused = 0;
  int served = 0;
  std::vector<std::thread> clients;
  clients.reserve(client_count);
  for (std::size_t client = 0; client < client_count; ++client) {
    clients.emplace_back([&, client]() {
      const std::string& ip = routers.routers[client % router_count].ip;
      int connection = -1;
      const auto send = [&](const std::string& name, double at, std::size_t header_bytes) {
        review::sleep_until(record, at);
        const review::client_result result = review::send_request(
            ip, routers.ports.front,
            request_text("c" + std::to_string(client) + name, header_bytes), 3'000, &connection);
        review::record_result(record, name + " client " + std::to_string(client), result);
        const std::lock_guard<std::mutex> lock(mutex);
        ++requests;
        refused += result.answered && result.response.status == 431 ? 1 : 0;
        served += result.answered && result.response.status == 200 ? 1 : 0;
      };
      send("first", begin - 1, 100);
      // The connection has been idle for less than four fifths of idle_timeout_ms.
      send("long", begin + 2 * apply, long_header);
      send("next", begin + 2 * apply + 0.5, long_header);
    });
  }
  review::sleep_until(record, begin);
  review::put_item(kv, "op/config", config(2, higher_limit));
  for (std::thread& client : clients) {
    client.join();
  }
  const bool broken =
      refused > allowed_refusals + static_cast<int>(requests / requests_per_refusal);
  const std::string summary = "requests=" + std::to_string(requests) +
                              " served=" + std::to_string(served) +
                              " proper_requests_ended_with_431=" + std::to_string(refused);
  review::write_line(record, summary);
  std::cout << summary << std::endl;
  review::end_fleet(routers);
  record.file.close();
  std::_Exit(served == 0 ? 2 : (broken ? 1 : 0));
}
