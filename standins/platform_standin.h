// A small platform for tests and the demo: the store, and targets that register in it.
//
// Speaks the platform's protocol as far as routers use it. The store keeps items with
// revisions and serves ranges and watches; targets answer with the call's id, a stamp
// and either a stream of events or a plain body, and keep a ledger of what they ran.
// Its own paths, for tests:
//
//   PUT    /admin/item?key=K   sets an item to the request's body
//   DELETE /admin/item?key=K   removes it
//   POST   /admin/store?mode=M ok, silent, busy or reset: how the store answers
//   GET    /admin/ledger       "runs=N repeated_ids=N" and one line for each id run twice
//   POST   /admin/target?id=I&mode=M  ok, fail (500), shed (not run) or break (closes)
//
// Engines read prompts one after another at a fixed rate and keep nothing of them.
// Thread safety: none; one loop.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http_listener.h"
#include "net/loop.h"

namespace peridot::standin {

struct stored {
  std::string value;
  std::uint64_t revision = 0;
  bool removed = false;
};

enum class store_mode { ok, silent, busy, reset };
enum class target_mode { ok, fail, shed, broken };

struct platform;

struct fake_target {
  platform* owner = nullptr;
  std::string id;
  std::string pool;
  std::string domain;
  std::string address;
  bool engine = false;
  target_mode mode = target_mode::ok;
  std::unique_ptr<http_listener> listener;
  instant reads_until{};  // the engine's reading is taken until then
};

struct waiting_watch {
  platform* owner = nullptr;
  std::shared_ptr<http_exchange> exchange;
  std::string prefix;
  std::uint64_t after = 0;
  event_ptr timer;
};

struct platform {
  event_base* base = nullptr;
  std::unique_ptr<http_listener> store;
  std::map<std::string, stored> items;
  std::uint64_t revision = 1;
  store_mode mode = store_mode::ok;
  std::vector<std::unique_ptr<waiting_watch>> watches;
  std::vector<std::unique_ptr<fake_target>> targets;
  std::map<std::string, int> runs;  // by call id
  std::uint64_t next_stamp = 1;
};

struct platform_options {
  std::string store_address = "127.0.0.1:9000";
  int first_port = 9100;  // of the targets, counted up
  int engines = 3;
  int plain_targets = 3;
  std::vector<std::string> domains = {"zone-a", "zone-b", "zone-c"};
};

// Fails at step "bind" if an address is taken.
leaf::result<std::unique_ptr<platform>> start_platform(event_base* base,
                                                       const platform_options& options);

void set_item(platform& what, const std::string& key, const std::string& value);
void remove_item(platform& what, const std::string& key);

// The configuration that start_platform() publishes, as version `version`.
std::string sample_config(std::uint64_t version);

}  // namespace peridot::standin
