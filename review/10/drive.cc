// Case 10: one machine is partitioned from the store while a server leaves; the other machine is
// killed and starts again. It takes the server over from the first machine and sends it requests.
//
//   drive FOLDER ROUTER_PROGRAM RECORD TROUBLE
//
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "review/lib-2/platform.h"

namespace {

using std::chrono::milliseconds;

constexpr std::size_t router_count = 2;
constexpr double warm_up = 5.0;   // after the routers are ready
constexpr double touch = 3.0;     // bounds.touch_ms
constexpr double drain = 2.0;     // bounds.drain_ms
constexpr double cut_time = 5.5;  // of the partition
constexpr int burst = 16;         // requests at the machine at once

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
  review::start_store(kv, record, router_count);
  review::put_item(kv, "op/config", config);
  std::vector<review::server> servers(4);
  for (std::size_t index = 0; index < servers.size(); ++index) {
    review::server& target = servers[index];
    target.id = "i-" + std::to_string(index + 1);
    target.service = "bookings";
    target.zone = std::string("zone-") + "abc"[index % 3];
    target.born = 1'700'000'000'000 + static_cast<std::int64_t>(index);
    target.work = milliseconds{60};
    review::start_server(target, record);
    review::put_item(kv, "servers/" + target.id, review::entry_of(target));
  }
  review::fleet routers;
  routers.folder = argv[1];
  routers.program = argv[2];
  if (!review::prepare_fleet(routers, router_count, kv.ports)) {
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
  const double cut_at = review::seconds_since_zero(record, review::current_time()) + warm_up;
  review::sleep_until(record, cut_at);
  if (trouble) {
    review::set_partitioned(kv, 0, true);
  }
  review::sleep_until(record, cut_at + 0.3);
  // The server that registered last never says "draining" in the store; it goes on serving, and
  // says so in its answers.
  review::server& leaving = servers.back();
  leaving.leaving = true;
  review::remove_item(kv, "servers/" + leaving.id);
  const review::instant acknowledged_at = review::current_time();
  review::sleep_until(record, cut_at + 0.6);
  review::write_line(record, "SIGKILL of machine 2");
  review::signal_router(routers, 1, SIGKILL);
  review::router_ended(routers, 1, milliseconds{1'000});
  std::this_thread::sleep_for(milliseconds{200});
  review::start_router(routers, 1);
  review::write_line(record, "machine 2 starts again");
  const double restarted_at = review::seconds_since_zero(record, review::current_time());
  if (!review::wait_until_ready(routers, 1, milliseconds{2'000})) {
    review::end_fleet(routers);
    return 2;
  }
  review::write_line(record, "machine 2 is ready");
  // By then it has been in touch for bounds.touch_ms.
  review::sleep_until(record, std::max(restarted_at + touch, cut_at + 0.3 + drain) + 0.3);
  std::mutex mutex;
  int answered = 0;
  int lost = 0;
  std::vector<std::thread> clients;
  clients.reserve(burst);
  for (int number = 0; number < burst; ++number) {
    clients.emplace_back([&, number]() {
      const review::client_result result =
          review::send_request(routers.routers[1].ip, routers.ports.front,
                               request_text("b" + std::to_string(number)), 3'000);
      review::record_result(record, "burst machine 2", result);
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
  review::sleep_until(record, cut_at + cut_time);
  if (trouble) {
    review::set_partitioned(kv, 0, false);
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
