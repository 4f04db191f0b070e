// Stand-in for the users' platform for tests and the demo: a store, and targets that are
// registered in it.
//
// Implements the part of the platform's protocol that routers use. The store holds items
// with revisions and serves ranges and watches. Targets respond with the attempt id, a
// server stamp and either an event stream (engines) or a plain body, and count the runs
// of each attempt id in a ledger. Additional paths for tests, at the store's address:
//
//   PUT    /admin/item?key=K   sets an item to the request body
//   DELETE /admin/item?key=K   removes the item
//   POST   /admin/store?mode=M ok, silent (no response), busy (503) or reset (connection closed)
//   POST   /admin/copy         copies the store's items and revision
//   POST   /admin/restore      the store comes back from that copy: later revisions are lost and
//                              given out again, and Store-Era, in all responses, rises by one. A
//                              watch from a revision that the store does not have gets 410.
//   GET    /admin/ledger       "runs=N repeated_ids=N", then a line for each id that ran more
//                              than once; `runs` counts distinct ids
//   POST   /admin/target?id=I&mode=M  ok, fail (500), shed (503, not run), break (connection
//                              closed after the run is counted), cut (engines: a stream without
//                              length and chunks that ends with its connection within its third
//                              event) or flaky (engines: every other stream breaks off after three
//                              events); id "all": every target
//   POST   /admin/build?id=I&build=B  the target runs build B from now on, and its entry says so
//   POST   /admin/says?id=I&header=H&value=V  adds a header to all responses of the target; without
//                              a value: takes it away; id "all": every target
//   GET    /admin/fetches   "fetches=N", "found=N", "prefilled=TOKENS" of all engines
//   GET    /admin/arrivals?window_ms=W&after_ms=A  "target=I most=N calls=M" for each target: the
//                              most calls that arrived within any window, and all of them, since A
//                              after its headers last changed
//   POST   /admin/crash?part=P engines crash when they begin to answer a call with this part of its
//                              prompt, other than the last one, and start again 2 s later at the
//                              same address under a new id
//   GET    /admin/crashes      "crashes=N"
//
// Engines prefill prompts one after another at a fixed rate and cache nothing.
// Thread safety: none; for use from one event loop.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http_listener.h"
#include "net/loop.h"

namespace peridot::standin {

struct stored_item {
  std::string value;
  std::uint64_t revision = 0;
  bool removed = false;
};

enum class store_mode { ok, silent, busy, reset };
enum class target_mode { ok, fail, shed, break_connection, cut_stream, flaky_stream };

// A change of an item, as watches return it.
struct store_event {
  std::string key;
  stored_item item;
};

// What the store holds, at one moment.
struct store_copy {
  std::map<std::string, stored_item> items;
  std::vector<store_event> history;
  std::uint64_t revision = 1;
};

struct platform_standin;

struct target_standin {
  platform_standin* platform = nullptr;
  std::string id;
  std::string pool;
  std::string domain;
  std::string address;
  bool is_engine = false;
  std::string build = "v1";  // named in each event of its streams
  int streams = 0;           // that it began
  target_mode mode = target_mode::ok;
  std::unique_ptr<http_listener> listener;
  instant prefill_busy_until{};  // end of the prefills accepted so far
  // Prefixes of prompts that it has prefilled or fetched, as lists of segments, and from when on.
  std::map<std::string, instant> kept_prefixes;
  std::map<std::string, std::string> said_headers;  // in all responses
  instant headers_changed_at{};
  std::vector<instant> arrivals;  // of calls since the headers changed
};

struct pending_watch {
  platform_standin* platform = nullptr;
  std::shared_ptr<http_exchange> exchange;
  std::string prefix;
  std::uint64_t after_revision = 0;
  event_ptr timer;
};

struct platform_standin {
  event_base* base = nullptr;
  std::unique_ptr<http_listener> store_listener;
  std::map<std::string, stored_item> items;
  std::vector<store_event> history;  // all changes, by revision
  std::uint64_t revision = 1;
  std::uint64_t era = 1;  // how often the store came back from a copy, plus 1
  store_copy copy;
  store_mode mode = store_mode::ok;  // of the store
  std::vector<std::unique_ptr<pending_watch>> pending_watches;
  std::vector<std::unique_ptr<target_standin>> targets;
  std::string crashing_part;  // id of the part; empty: none
  int crashes = 0;
  int starts = 0;         // of targets
  int fetches = 0;        // calls that named an engine to fetch from
  int fetches_found = 0;  // it kept more of the prompt
  double prefilled_tokens = 0;
  std::map<std::string, int> runs_by_attempt_id;
  std::uint64_t next_stamp = 1;  // of X-Peridotspur-Server-Stamp
};

struct platform_options {
  std::string store_address = "127.0.0.1:9000";
  int first_target_port = 9100;  // each further target has the next port
  int engine_count = 3;
  int plain_target_count = 3;
  std::vector<std::string> failure_domains = {"zone-a", "zone-b", "zone-c"};
};

// Fails at step "bind" if an address is in use.
leaf::result<std::unique_ptr<platform_standin>> start_platform(event_base* base,
                                                               const platform_options& options);

void set_item(platform_standin& platform, const std::string& key, const std::string& value);
void remove_item(platform_standin& platform, const std::string& key);

// Copies the store, and replaces it by the copy.
void copy_store(platform_standin& platform);
void restore_store(platform_standin& platform);

// Closes the connections of the watches that wait.
void cut_watches(platform_standin& platform);

// The configuration that start_platform() publishes, as version `version`.
std::string sample_config(std::uint64_t version);

}  // namespace peridot::standin
