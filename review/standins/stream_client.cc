// Clients that read streams and take a stream up at another machine where it broke off.
//
//   stream_client MACHINES CLIENTS SECONDS RECORD
//
// MACHINES: comma-separated addresses. Each try of a stream goes to another machine than the one
// before. RECORD gets a line for each stream: "whole", "mixed" (events of several software
// versions) or "ended" (not complete after max_tries), the id of its first try, the number of
// tries, and the versions that wrote it.
#include <cstdio>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "review/standins/http_io.h"

namespace {

constexpr int max_tries = 3;
constexpr std::chrono::milliseconds retry_delay{50};
constexpr std::chrono::milliseconds pause{200};

struct client_group {
  std::vector<std::string> machines;
  std::int64_t end_ms = 0;
  std::FILE* record = nullptr;
  std::mutex record_lock;
};

struct stream {
  std::string first_id;  // of the try that brought the first event
  std::string last_event_id;
  std::set<std::string> versions;
  int tries = 0;
  bool complete = false;
};

// Notes the whole events of a body.
void read_events(const std::string& body, const std::string& attempt_id, stream& result) {
  std::size_t begin = 0;
  std::size_t end = std::string::npos;
  constexpr std::string_view marker = "written by ";
  while ((end = body.find("\n\n", begin)) != std::string::npos) {
    const std::string event = body.substr(begin, end - begin);
    begin = end + 2;
    result.last_event_id = event.substr(4, event.find('\n') - 4);
    result.versions.insert(event.substr(event.find(marker) + marker.size()));
    if (result.first_id.empty()) {
      result.first_id = attempt_id;
    }
  }
}

void try_stream(stream& result, const std::string& machine, const std::string& attempt_id) {
  ++result.tries;
  review::reader connection{review::connect_to(machine), ""};
  if (connection.socket < 0) {
    return;
  }
  std::string request = "POST /chat/1 HTTP/1.1\r\nHost: app.example\r\nApi-Key: key-1\r\n";
  request += "X-Peridotspur-Attempt-Id: " + attempt_id;
  request += "\r\nX-Peridotspur-Deadline-Ms: 5000\r\nX-Peridotspur-Model: m\r\n";
  request += "X-Peridotspur-Token-Counts: 100,160\r\nX-Peridotspur-Prompt-Prefix: ";
  request += attempt_id + ":100\r\nContent-Length: 0\r\n";
  if (!result.first_id.empty()) {
    request += "Resumes: " + result.first_id + "\r\nLast-Event-Id: " + result.last_event_id;
    request += "\r\n";
  }
  review::message answer;
  const bool whole = review::send_all(connection.socket, request + "\r\n") &&
                     review::read_message(connection, answer);
  close(connection.socket);
  if (answer.start_line.find(" 200 ") != std::string::npos) {
    read_events(answer.body, attempt_id, result);
    result.complete = whole;
  }
}

void write_record(client_group& group, const stream& result, const std::string& versions) {
  const std::lock_guard<std::mutex> lock(group.record_lock);
  std::fprintf(group.record, "%s %s %d%s\n",
               result.versions.size() > 1 ? "mixed"
               : result.complete          ? "whole"
                                          : "ended",
               result.first_id.empty() ? "-" : result.first_id.c_str(), result.tries,
               versions.c_str());
  std::fflush(group.record);
}

void run_client(client_group& group, unsigned seed) {
  std::minstd_rand random(seed);
  while (review::monotonic_ms() < group.end_ms) {
    stream result;
    std::size_t machine = random() % group.machines.size();
    while (!result.complete && result.tries < max_tries) {
      char attempt_id[24];
      std::snprintf(attempt_id, sizeof(attempt_id), "%x%08x", seed & 0xffffU,
                    static_cast<unsigned>(random()));
      try_stream(result, group.machines[machine], attempt_id);
      machine = (machine + 1 + random() % (group.machines.size() - 1)) % group.machines.size();
      std::this_thread::sleep_for(retry_delay);
    }
    std::string versions;
    for (const std::string& version : result.versions) {
      versions += " " + version;
    }
    write_record(group, result, versions);
    std::this_thread::sleep_for(pause);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    return 2;
  }
  client_group group;
  const std::string list = argv[1];
  for (std::size_t begin = 0; begin < list.size();) {
    const std::size_t comma = std::min(list.find(',', begin), list.size());
    group.machines.push_back(list.substr(begin, comma - begin));
    begin = comma + 1;
  }
  group.end_ms = review::monotonic_ms() + 1'000 * std::atoll(argv[3]);
  group.record = std::fopen(argv[4], "w");
  if (group.record == nullptr) {
    return 2;
  }
  const int client_count = std::atoi(argv[2]);
  std::vector<std::thread> clients;
  clients.reserve(static_cast<std::size_t>(client_count));
  for (int index = 0; index < client_count; ++index) {
    clients.emplace_back(run_client, std::ref(group), std::random_device{}());
  }
  for (std::thread& client : clients) {
    client.join();
  }
  return 0;
}
