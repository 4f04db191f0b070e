// Clients that send requests to machines at a steady rate and record how each one ends.
//
//   recording_client MACHINES CLIENTS SECONDS PAUSE_MS PATH BODY RECORD
//
// They send POST requests, or GET requests if BODY is empty.
//
// MACHINES: comma-separated addresses, of which the platform gives one to each new connection. It
// asks each machine once a second whether it is ready, at port 8780 of the same address; after two
// misses the machine gets no new connections until it is ready again. Each client keeps its
// connection as long as the machine does, and waits PAUSE_MS on average between two requests; with
// SECONDS 0 it sends one. Lines of RECORD, with times of the monotonic clock:
//
//   sent ATTEMPT_ID MACHINE MS      after the request's last byte
//   answered ATTEMPT_ID STATUS MS   by a complete answer
//   ended ATTEMPT_ID 0 MS           the connection ended without a complete answer
#include <atomic>
#include <cstdio>
#include <deque>
#include <mutex>
#include <random>
#include <thread>

#include "review/standins/http_io.h"

namespace {

constexpr std::int64_t deadline_ms = 4'000;
constexpr std::int64_t probe_interval_ms = 1'000;
constexpr const char* readiness_port = ":8780";

struct machine_state {
  std::string address;
  std::atomic<int> misses{0};
};

struct client_group {
  std::deque<machine_state> machines;
  std::string path;
  std::string body;
  int pause_ms = 0;
  std::int64_t end_ms = 0;
  std::FILE* record = nullptr;
  std::mutex record_lock;
  std::atomic<int> next_id{1};
};

void write_record(client_group& group, const std::string& text) {
  const std::lock_guard<std::mutex> lock(group.record_lock);
  std::fprintf(group.record, "%s %lld\n", text.c_str(),
               static_cast<long long>(review::monotonic_ms()));
  std::fflush(group.record);
}

std::vector<std::string> split(const std::string& list) {
  std::vector<std::string> result;
  std::size_t begin = 0;
  while (begin <= list.size()) {
    const std::size_t comma = std::min(list.find(',', begin), list.size());
    result.push_back(list.substr(begin, comma - begin));
    begin = comma + 1;
  }
  return result;
}

std::string make_request(const client_group& group, const std::string& attempt_id) {
  return (group.body.empty() ? "GET " : "POST ") + group.path +
         " HTTP/1.1\r\nHost: app.example\r\nX-Peridotspur-Attempt-Id: " + attempt_id +
         "\r\nX-Peridotspur-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nApi-Key: key-1\r\nContent-Length: " + std::to_string(group.body.size()) + "\r\n\r\n" +
         group.body;
}

// Sends one request. True if the connection may be used again.
bool send_request(client_group& group, review::reader& connection, const std::string& machine) {
  const std::string attempt_id =
      "a" + std::to_string(getpid()) + "-" + std::to_string(group.next_id++);
  if (!review::send_all(connection.socket, make_request(group, attempt_id))) {
    return false;  // closed before
  }
  write_record(group, "sent " + attempt_id + " " + machine);
  review::message answer;
  if (!review::read_message(connection, answer)) {
    write_record(group, "ended " + attempt_id + " 0");
    return false;
  }
  const std::string status = answer.start_line.substr(9, 3);
  write_record(group, "answered " + attempt_id + " " + status);
  return review::header_of(answer, "Connection") != "close";
}

// Asks a machine once a second whether it is ready.
void probe_readiness(client_group& group, machine_state& machine) {
  const std::string address =
      machine.address.substr(0, machine.address.rfind(':')) + readiness_port;
  while (review::monotonic_ms() < group.end_ms) {
    review::reader connection{review::connect_to(address), ""};
    bool ready = false;
    if (connection.socket >= 0) {
      review::set_read_timeout(connection.socket, probe_interval_ms);
      review::message answer;
      ready =
          review::send_all(connection.socket,
                           "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") &&
          review::read_message(connection, answer) && answer.start_line.substr(9, 3) == "200";
      close(connection.socket);
    }
    machine.misses = ready ? 0 : machine.misses + 1;
    std::this_thread::sleep_for(std::chrono::milliseconds(probe_interval_ms));
  }
}

// A machine in rotation; any machine if none is.
std::string choose_machine(const client_group& group, std::minstd_rand& random) {
  std::vector<std::string> in_rotation;
  std::vector<std::string> all;
  for (const machine_state& machine : group.machines) {
    all.push_back(machine.address);
    if (machine.misses < 2) {
      in_rotation.push_back(machine.address);
    }
  }
  const std::vector<std::string>& choices = in_rotation.empty() ? all : in_rotation;
  return choices[random() % choices.size()];
}

void run_client(client_group& group, unsigned seed) {
  std::minstd_rand random(seed);
  review::reader connection;
  std::string machine;
  std::uniform_int_distribution<int> pause_ms(0, 2 * group.pause_ms);
  do {
    std::this_thread::sleep_for(std::chrono::milliseconds(pause_ms(random)));
    if (connection.socket < 0) {
      machine = choose_machine(group, random);
      connection = {review::connect_to(machine), ""};
      if (connection.socket < 0) {
        continue;
      }
      review::set_read_timeout(connection.socket, deadline_ms + 1'000);
    }
    if (!send_request(group, connection, machine)) {
      close(connection.socket);
      connection.socket = -1;
    }
  } while (review::monotonic_ms() < group.end_ms);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 8) {
    return 2;
  }
  client_group group;
  for (const std::string& address : split(argv[1])) {
    group.machines.emplace_back().address = address;
  }
  group.end_ms = review::monotonic_ms() + 1'000 * std::atoll(argv[3]);
  group.pause_ms = std::atoi(argv[4]);
  group.path = argv[5];
  group.body = argv[6];
  group.record = std::fopen(argv[7], "w");
  if (group.record == nullptr) {
    return 2;
  }
  std::vector<std::thread> clients;
  for (machine_state& machine : group.machines) {
    clients.emplace_back(probe_readiness, std::ref(group), std::ref(machine));
  }
  for (int index = 0; index < std::atoi(argv[2]); ++index) {
    clients.emplace_back(run_client, std::ref(group), std::random_device{}());
  }
  for (std::thread& client : clients) {
    client.join();
  }
  return 0;
}
