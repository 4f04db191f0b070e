// One router: all tables, and the decisions over them.
//
// This is the whole decision logic of a router process. It does no input or
// output and reads no clock: the event loop (net/) or a test driver passes in
// what happened and `now`, and carries out the returned `effects`. The same code
// therefore runs over sockets and under virtual time.
//
//   router_core core = make_router(options, now);
//   effects todo;
//   router_tick(core, now, todo);                      // every few milliseconds
//   router_on_message(core, from, message, now, todo); // each peer message
//   submit_result r = router_submit(core, request, now, todo);
//   carry out todo: send messages, start dispatches, answer decisions, poll targets
//
// Messages addressed to this router itself are handled inside.
//
// Thread safety: none; one loop owns the core.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/config_checker.h"
#include "core/entry.h"
#include "core/keys.h"
#include "core/lease.h"
#include "core/membership.h"
#include "core/peer_messages.h"
#include "core/published_config.h"
#include "core/scheduler.h"
#include "core/timeline.h"
#include "core/types.h"

namespace peridot {

struct router_options {
  std::string name;  // process name in the time line
  router_identity self;
  domain_name domain;
  std::string http_address;
  std::vector<router_address> seeds;
  std::string fleet_key;
  duration key_life = std::chrono::hours{1};
  std::size_t max_keys = 100'000;
  std::size_t key_result_bytes = 65'536;
  std::size_t key_results_total_bytes = 16 << 20;
  std::size_t max_queued = 4'096;
  std::size_t timeline_events = 20'000;
  std::chrono::milliseconds load_poll{200};
  std::uint64_t first_event = 1;    // of the time line; above those of earlier incarnations
  std::uint64_t fencing_floor = 0;  // lowest fencing number; the wall clock at the start
  share_policy policy = share_policy::fleet_fair;  // other values: baselines in experiments
};

// What the caller of a function below has to carry out.
struct effects {
  outbox messages;
  std::vector<dispatch> dispatches;
  std::vector<decision> decisions;        // final answers for queued requests
  std::vector<target_config> load_polls;  // targets whose load report is due
};

struct router_core {
  router_options options;
  std::shared_ptr<const published_config> config;  // null until one was accepted
  std::shared_ptr<const instance_list> list;       // null until one was accepted
  membership_table members;
  voter_table votes;
  claim_table claims;
  scheduler_table scheduler;
  entry_table entry;
  key_table keys;
  timeline events;
  std::vector<shard_key> shards;      // all shards of the configuration
  std::vector<shard_key> own_shards;  // held at the last tick
  std::map<target_name, instant> next_load_poll;
  std::map<router_address, instant> asked_document;  // last request to a peer
  std::vector<document_error> refused_config;        // of the newest document that was refused
  std::uint64_t malformed_messages = 0;              // dropped by message_problem()
  bool stopping = false;
};

router_core make_router(const router_options& options, instant now);

// Runs every table's periodic work.
void router_tick(router_core& core, instant now, effects& todo);

// Handles one authenticated peer message. One that message_problem() objects to
// is dropped and counted.
void router_on_message(router_core& core, const router_identity& from,
                       const wire::peer_message& message, instant now, effects& todo);

// Name of a request in answers, logs and time lines; unique in the fleet.
std::string request_text(const router_core& core, std::uint64_t request);

submit_result router_submit(router_core& core, const new_request& request, instant now,
                            effects& todo);
decision router_on_target_done(router_core& core, std::uint64_t request,
                               const target_result& result, instant now, effects& todo);
void router_cancel(router_core& core, std::uint64_t request, service_units cost, instant now,
                   effects& todo);
void router_on_load_report(router_core& core, const load_report& report, instant now,
                           effects& todo);

// A document from the platform's service or from a peer.
enum class document_verdict { accepted, not_newer, refused };
document_verdict router_on_document(router_core& core, wire::document_kind kind,
                                    const std::string& text, const std::string& source, instant now,
                                    effects& todo);

// True if this router should hold a watch on the platform's service.
bool wants_watch(const router_core& core);

// Begins a graceful shutdown: refuses new requests, empties the queues with a
// true `not_run`, hands shards over. The process may end when is_drained().
void router_stop(router_core& core, instant now, effects& todo);
bool is_drained(const router_core& core);

// True if callers should be sent here: configured, not stopping, and every pool
// has an owner that this router knows.
bool is_ready(const router_core& core);

// One line per fact, `key=value` pairs, for the operators' tool.
std::string status_text(const router_core& core, instant now);

}  // namespace peridot
