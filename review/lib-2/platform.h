// Stand-ins of the platform's store and of plain servers, and the routers' processes, for the
// review's cases. The store and the servers speak the platform's published protocol.
//
// Thread safety: all functions may be called from any thread.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "review/lib-2/http.h"

namespace review {

using instant = std::chrono::steady_clock::time_point;

instant current_time();

// Time 0 of the record: everything is logged in seconds from there.
struct record_file {
  std::mutex mutex;
  std::ofstream file;
  instant zero;
};

void open_record(record_file& record, const std::string& path);
void write_line(record_file& record, const std::string& text);
double seconds_since_zero(const record_file& record, instant at);

struct stored_item {
  std::string value;
  std::uint64_t revision = 0;
};

struct store_event {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool removed = false;
};

// The store listens at one port for each router, so that a single one can be partitioned.
struct store {
  record_file* record = nullptr;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, stored_item> items;
  std::vector<store_event> history;
  std::uint64_t revision = 100;
  // Connections accepted before this number get no further response; nothing is closed.
  std::uint64_t silent_before = 0;
  std::uint64_t connections = 0;
  std::uint64_t watch_cuts = 0;  // increases: all watches that wait are cut
  std::vector<std::uint16_t> ports;
  std::vector<bool> partitioned;  // by port: nothing is answered
};

void start_store(store& kv, record_file& record, std::size_t port_count);
std::uint64_t put_item(store& kv, const std::string& key, const std::string& value);
std::uint64_t remove_item(store& kv, const std::string& key);
void silence_open_connections(store& kv);
void cut_waiting_watches(store& kv);
void set_partitioned(store& kv, std::size_t port_index, bool partitioned);

struct server_run {
  std::string attempt_id;
  instant arrived_at;
};

// A plain application server. Runs each request that names its id, and turns others away with 421.
struct server {
  record_file* record = nullptr;
  std::string id;
  std::string service;
  std::string zone;
  std::uint16_t port = 0;
  int slots = 6;
  std::chrono::milliseconds work{20};
  std::int64_t born = 0;
  std::atomic<bool> leaving{false};  // its responses say so
  std::atomic<bool> ended{false};
  std::atomic<int> lost_in_ten{0};  // runs whose connection it closes instead of answering
  std::mutex mutex;
  std::vector<server_run> runs;
  int listener = -1;
  std::set<int> connections;
};

void start_server(server& target, record_file& record);
// Ends the server: its connections close, and what it runs is not answered.
void end_server(server& target);
std::string entry_of(const server& target, const std::string& state = "ready");
// Runs of the attempt id.
int runs_of(server& target, const std::string& attempt_id);

struct router_process {
  std::string name;
  std::string ip;
  pid_t pid = -1;
};

struct router_ports {
  std::uint16_t front = 0;
  std::uint16_t readiness = 0;
  std::uint16_t control = 0;
  std::uint16_t mesh = 0;
  std::uint16_t metrics = 0;
};

struct fleet {
  std::string folder;   // settings and logs
  std::string program;  // of the deploy file
  router_ports ports;   // the same on all machines
  std::vector<router_process> routers;
  std::vector<std::uint16_t> store_ports;  // by router
  std::vector<std::string> zones;
};

// Chooses free ports and writes the settings. False if there are no free ports.
bool prepare_fleet(fleet& routers, std::size_t count, const std::vector<std::uint16_t>& stores);
void start_router(fleet& routers, std::size_t index);
void signal_router(fleet& routers, std::size_t index, int signal);
// Waits for its end. True if it has ended.
bool router_ended(fleet& routers, std::size_t index, std::chrono::milliseconds wait);
bool wait_until_ready(const fleet& routers, std::size_t index, std::chrono::milliseconds wait);
void end_fleet(fleet& routers);

struct client_result {
  bool connected = false;
  bool answered = false;  // with a whole response
  http_message response;
  instant sent_at;
  instant ended_at;
};

// Sends one request on a new connection, or on `connection` if that is not -1.
client_result send_request(const std::string& ip, std::uint16_t port, const std::string& text,
                           int timeout_ms, int* connection = nullptr);

// One line of the record for a request and its result.
void record_result(record_file& record, const std::string& what, const client_result& result);

void sleep_until(const record_file& record, double seconds);

}  // namespace review
