// Case 8: the store cuts the watches that wait, twice. A server whose entry is removed in between
// still gets requests after drain_ms.
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

constexpr std::size_t router_count = 3;
constexpr double warm_up = 5.0;      // after the routers are ready
constexpr double drain = 2.0;        // bounds.drain_ms
constexpr double burst_after = 3.0;  // from the removal to the burst
constexpr int burst = 8;             // requests at each machine at once

const char* const config =
    "{\"version\":1,\"routes\":[{\"name\":\"book\",\"host\":\"app.example\",\"path_prefix\":"
    "\"/book/\",\"kind\":\"non_idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":300,"
    "\"priority\":2,\"service\":\"bookings\",\"max_attempts\":1,\"public\":true}],\"services\":[{"
    "\"name\":\"bookings\",\"health_path\":\"/health\",\"max_conns\":110,\"cold_s\":0,"
    "\"cold_per_s\":0}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":0},\"tenants\":[]}";

std::string request_text(const std::string& id) {
  return "POST /book/1 HTTP/1.1\r\nHost: app.example\r\nX-Peridotspur-Attempt-Id: " + id +
         "\r\nX-Peridotspur-Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\n{}";
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
    target.service = "bookings";
    target.zone = std::string("zone-") + "abc"[index];
    target.born = 1'700'000'000'000 + static_cast<std::int64_t>(index);
    target.work = milliseconds{60};
    review::start_server(target, record);
    review::put_item(kv, "servers/" + target.id, review::entry_of(target));
  }
  review::put_item(kv, "op/config", config);
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
  // Ordinary traffic, until some time before the server leaves.
  const double leaves_at = review::seconds_since_zero(record, review::current_time()) + warm_up;
  for (int number = 0; review::seconds_since_zero(record, review::current_time()) < leaves_at - 0.5;
       ++number) {
    const std::size_t router = static_cast<std::size_t>(number) % router_count;
    const std::string id = "w" + std::to_string(number);
    review::record_result(record, "before machine " + std::to_string(router + 1),
                          review::send_request(routers.routers[router].ip, routers.ports.front,
                                               request_text(id), 3'000));
  }
  review::sleep_until(record, leaves_at - 0.1);
  if (trouble) {
    review::cut_waiting_watches(kv);
  }
  review::sleep_until(record, leaves_at);
  // The server never says "draining" in the store; it goes on serving, and says so in its answers.
  review::server& leaving = servers[1];
  leaving.leaving = true;
  review::remove_item(kv, "servers/" + leaving.id);
  const review::instant acknowledged_at = review::current_time();
  review::sleep_until(record, leaves_at + 1.6);
  if (trouble) {
    review::cut_waiting_watches(kv);
  }
  review::sleep_until(record, leaves_at + burst_after);
  std::mutex mutex;
  int answered = 0;
  int lost = 0;
  std::vector<std::thread> clients;
  clients.reserve(burst * router_count);
  for (int number = 0; number < burst * static_cast<int>(router_count); ++number) {
    clients.emplace_back([&, number]() {
      const std::size_t router = static_cast<std::size_t>(number) % router_count;
      const review::client_result result =
          review::send_request(routers.routers[router].ip, routers.ports.front,
                               request_text("b" + std::to_string(number)), 3'000);
      review::record_result(record, "burst machine " + std::to_string(router + 1), result);
      const std::lock_guard<std::mutex> lock(mutex);
      answered += result.answered ? 1 : 0;
      lost += result.answered && result.response.status == 502 ? 1 : 0;
    });
  }
  std::this_thread::sleep_for(milliseconds{40});
  review::end_server(leaving);  // it has drained: no request should run there
  for (std::thread& client : clients) {
    client.join();
  }
  int broken = 0;
  {
    const std::lock_guard<std::mutex> lock(leaving.mutex);
    for (const review::server_run& run : leaving.runs) {
      const double after = std::chrono::duration<double>(run.arrived_at - acknowledged_at).count();
      if (after > drain) {
        ++broken;
        review::write_line(record, "BROKEN " + run.attempt_id + " reached " + leaving.id + " " +
                                       std::to_string(after) + " s after the acknowledgement");
      }
    }
  }
  const std::string summary = "burst=" + std::to_string(clients.size()) +
                              " answered=" + std::to_string(answered) +
                              " of_these_502=" + std::to_string(lost) +
                              " reached_the_server_after_drain_ms=" + std::to_string(broken);
  review::write_line(record, summary);
  std::cout << summary << std::endl;
  review::end_fleet(routers);
  record.file.close();
  std::_Exit(answered == 0 ? 2 : (broken > 0 ? 1 : 0));
}
