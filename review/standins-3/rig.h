// What the stand-ins of review/11 to 15 share: HTTP/1.1 over blocking sockets, a store that can be
// read, a record of what was sent and answered, and the hand-over to run.sh of a case.
//
// A stand-in writes its ports to a file, then waits until run.sh has started the router and has
// written its process id. All sockets are on 127.0.0.1, each connection has a thread of its own,
// and the threads end with the process.
// Thread safety: all functions may be called from any thread, but each connection is used by one
// thread at a time.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace rig {

using std::chrono::milliseconds;

// One connection, with what was received and not yet parsed. Closes the socket at its end.
struct connection {
  int socket = -1;
  std::string received;

  explicit connection(int open_socket) : socket(open_socket) {}
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
};

struct message {
  std::string start_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool complete = false;  // the body has the announced length, or its last chunk
};

// Writes `line` with the time since the start to record.txt.
void open_record(const std::string& path);
void record(const std::string& line);

// Sends all bytes. False if the peer is gone.
bool send_bytes(connection& peer, const std::string& bytes);
// One chunk of a chunked body; the last one if `bytes` is empty.
std::string chunk(const std::string& bytes);
// Reads a request or a response with an announced length or in chunks. False if not even a head
// arrived.
bool read_message(connection& peer, message& result);
// Empty if the message lacks the header.
std::string header(const message& source, const std::string& name);
// The status of a response, 0 if it has none.
int status_of(const message& response);

// The success of a server: with the request's id, its signature and the body. `more_headers`: whole
// lines, or empty.
std::string server_success(const std::string& call, const std::string& body,
                           const std::string& more_headers = "");

// Listens at a free port of 127.0.0.1 and calls `serve` in a new thread for each connection.
// Returns the port.
int listen_and_serve(const std::function<void(connection&)>& serve);

struct connect_options {
  int receive_buffer_bytes = 0;  // 0: the system's default
  int segment_bytes = 0;         // largest TCP segment, as on an Ethernet link; 0: the default
};
// The socket of a new connection to 127.0.0.1, or -1.
int connect_to(int port, const connect_options& options = {});

// The platform's store: GET /v1/kv-range and GET /v1/kv-watch.
struct store {
  struct change {
    std::uint64_t revision = 0;
    std::string key;
    std::string value;
  };
  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t revision = 100;
  std::map<std::string, change> items;
  std::vector<change> history;
};
void put(store& target, const std::string& key, const std::string& value);
int start_store(store& target);

// A configuration with one service `plain` and three routes of host app.example: /once/
// (non_idempotent), /again/ (idempotent) and /stream/ (streaming, resumable).
std::string sample_config(std::uint64_t version);
// The entry of a server of `plain`, of one incarnation.
std::string server_entry(int port, const std::string& state = "ready", int call_seq = 1,
                         const std::string& version = "v1", std::int64_t born = 1'700'000'000'000);

// A port of 127.0.0.1 that was free just now.
int free_port();

// Writes "name=value" lines to `path` at once, for run.sh.
void write_ports(const std::string& path, const std::map<std::string, int>& ports);
// Waits until the file holds a process id.
pid_t wait_for_process_id(const std::string& path);
// Waits for 200 at the readiness address. False if it does not come within 10 s.
bool wait_until_ready(int port);

}  // namespace rig
