// Messages of a peer that has the fleet key and sends anything, against a whole
// router that owns shards, queues calls and runs them.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

#include "core/entry_internal.h"
#include "core/message_checks.h"
#include "core/router.h"
#include "core/testing/sample_documents.h"

namespace peridot {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

constexpr int rounds = 12'000;
constexpr std::uint32_t seeds = 6;

struct fuzz_state {
  std::mt19937_64 random;
  instant now{std::chrono::hours{1}};
  bool extreme = false;
  std::vector<std::uint64_t> running;
};

std::uint64_t below(fuzz_state& state, std::uint64_t bound) {
  return state.random() % bound;
}

std::string random_text(fuzz_state& state) {
  static const std::vector<std::string> known = {
      "explain",        "bank",           "engine-1", "engine-2", "zone-a", "zone-b",
      "127.0.0.1:7402", "127.0.0.1:7401", "boot-1",   "boot-2",   "absent"};
  static const std::vector<std::string> odd = {"", " ", std::string(5'000, 'x'), "a\r\nb", "\x01"};
  const bool use_odd = state.extreme && below(state, 8) == 0;
  const std::vector<std::string>& from = use_odd ? odd : known;
  return from[below(state, from.size())];
}

std::uint64_t random_number(fuzz_state& state) {
  const std::uint64_t clock = to_wire(state.now);
  const std::uint64_t usual[] = {0, 1, 2, 3, 7, clock, clock - 1'000, clock + 1'000, 400'000};
  const std::uint64_t odd[] = {std::uint64_t{1} << 31,
                               (std::uint64_t{1} << 32) - 1,
                               std::uint64_t{1} << 52,
                               std::uint64_t{1} << 63,
                               std::numeric_limits<std::uint64_t>::max(),
                               max_message_time_us};
  return state.extreme && below(state, 8) == 0 ? odd[below(state, 6)] : usual[below(state, 9)];
}

double random_cost(fuzz_state& state) {
  const double odd[] = {std::nan(""), -1.0, std::numeric_limits<double>::infinity(), 1e308, 1e12};
  return state.extreme && below(state, 8) == 0 ? odd[below(state, 5)]
                                               : static_cast<double>(below(state, 5'000));
}

void fill(fuzz_state& state, Message& message);

void fill_field(fuzz_state& state, Message& message, const FieldDescriptor& field) {
  const Reflection& reflection = *message.GetReflection();
  const bool many = field.is_repeated();
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      reflection.SetString(&message, &field, random_text(state));
      break;
    case FieldDescriptor::CPPTYPE_UINT64:
      many ? reflection.AddUInt64(&message, &field, random_number(state))
           : reflection.SetUInt64(&message, &field, random_number(state));
      break;
    case FieldDescriptor::CPPTYPE_UINT32:
      reflection.SetUInt32(&message, &field, static_cast<std::uint32_t>(random_number(state)));
      break;
    case FieldDescriptor::CPPTYPE_DOUBLE:
      reflection.SetDouble(&message, &field, random_cost(state));
      break;
    case FieldDescriptor::CPPTYPE_BOOL:
      reflection.SetBool(&message, &field, below(state, 2) == 0);
      break;
    case FieldDescriptor::CPPTYPE_ENUM:
      reflection.SetEnumValue(&message, &field,
                              static_cast<int>(below(state, state.extreme ? 9 : 3)));
      break;
    default:
      fill(state, many ? *reflection.AddMessage(&message, &field)
                       : *reflection.MutableMessage(&message, &field));
  }
}

void fill(fuzz_state& state, Message& message) {
  for (int index = 0; index < message.GetDescriptor()->field_count(); ++index) {
    const FieldDescriptor& field = *message.GetDescriptor()->field(index);
    const std::uint64_t count = field.is_repeated() ? below(state, 5) : below(state, 12) > 0;
    for (std::uint64_t added = 0; added < count; ++added) {
      fill_field(state, message, field);
    }
  }
}

wire::peer_message random_message(fuzz_state& state) {
  wire::peer_message message;
  const int first = 10;
  const int number = first + static_cast<int>(below(state, 9));
  const FieldDescriptor* body = message.GetDescriptor()->FindFieldByNumber(number);
  fill(state, *message.GetReflection()->MutableMessage(&message, body));
  message.set_from_name(random_text(state));
  message.set_event_sequence(random_number(state));
  return message;
}

router_core make_core(fuzz_state& state) {
  router_options options;
  options.name = "router-a1";
  options.self = router_identity{router_address{"127.0.0.1:7401"}, 5};
  options.domain = domain_name{"zone-a"};
  options.http_address = "127.0.0.1:8401";
  options.fleet_key = "0123456789abcdef";
  options.timeline_events = 200;
  router_core core = make_router(options, state.now);
  effects todo;
  const std::string list =
      "version = 3\n[[router]]\naddress = \"127.0.0.1:7401\"\nhttp_address = \"127.0.0.1:8401\"\n"
      "failure_domain = \"zone-a\"\nstate = \"live\"\n";
  const std::string config = testing::replace_once(testing::sample_config(), "max_retries = 1",
                                                   "max_retries = 1\nrun_timeout_ms = 60000");
  REQUIRE(router_on_document(core, wire::document_configuration, config, "test", state.now, todo) ==
          document_verdict::accepted);
  REQUIRE(router_on_document(core, wire::document_instance_list, list, "test", state.now, todo) ==
          document_verdict::accepted);
  return core;
}

// What the process around a core does: callers, load reports, ends of runs.
void work(fuzz_state& state, router_core& core, effects& todo) {
  for (const dispatch& started : todo.dispatches) {
    state.running.push_back(started.request);
  }
  todo = {};
  load_report report;
  report.target = target_name{"engine-1"};
  report.boot_id = "boot-1";
  report.sampled_at = state.now;
  router_on_load_report(core, report, state.now, todo);
  new_request request;
  request.organisation = organisation_name{"bank"};
  request.profile = profile_name{"explain"};
  request.fingerprint = below(state, 4);
  router_submit(core, request, state.now, todo);
  if (!state.running.empty()) {
    target_result result;
    result.result = static_cast<wire::finish_result>(1 + below(state, 4));
    result.cost = 10;
    router_on_target_done(core, state.running.back(), result, state.now, todo);
    state.running.pop_back();
  }
  router_tick(core, state.now, todo);
}

struct fuzz_counts {
  std::uint64_t dispatched = 0;
  std::uint64_t dropped = 0;
};

fuzz_counts run_fuzz(std::uint32_t seed) {
  fuzz_state state{.random = std::mt19937_64{seed}};
  router_core core = make_core(state);
  fuzz_counts counts;
  effects todo;
  for (int round = 0; round < rounds; ++round) {
    state.extreme = below(state, 2) == 0;
    state.now += std::chrono::milliseconds{below(state, 20)};
    const router_identity from{
        router_address{below(state, 50) == 0 ? random_text(state)
                                             : "127.0.0.1:" + std::to_string(7402 + round % 3)},
        below(state, 3)};
    router_on_message(core, from, random_message(state), state.now, todo);
    counts.dispatched += todo.dispatches.size();
    if (round % 4 == 0) {
      work(state, core, todo);
      counts.dispatched += todo.dispatches.size();
    }
  }
  counts.dropped = core.malformed_messages;
  check_entry_table(core.entry);
  return counts;
}

TEST_CASE("a peer with the key may send anything") {
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    const fuzz_counts counts = run_fuzz(seed);
    CHECK(counts.dispatched > 10);   // the router went on working
    CHECK(counts.dropped > 1'000);   // and dropped what it must
    CHECK(counts.dropped < rounds);  // but not everything
  }
}

TEST_CASE("a profile is withdrawn while its calls wait and run") {
  fuzz_state state;
  router_core core = make_core(state);
  new_request request;
  request.organisation = organisation_name{"bank"};
  request.profile = profile_name{"explain"};
  effects todo;
  for (int turn = 0; turn < 400 && todo.dispatches.empty(); ++turn) {
    state.now += std::chrono::milliseconds{20};
    load_report report;
    report.target = target_name{"engine-1"};
    report.boot_id = "boot-1";
    report.sampled_at = state.now;
    router_on_load_report(core, report, state.now, todo);
    if (core.entry.requests.empty()) {
      router_submit(core, request, state.now, todo);
    }
    router_tick(core, state.now, todo);
  }
  REQUIRE(todo.dispatches.size() == 1);
  const std::uint64_t running = todo.dispatches[0].request;
  const submit_result waiting = router_submit(core, request, state.now, todo);
  REQUIRE(waiting.accepted);
  effects after;
  std::string config =
      testing::replace_once(testing::sample_config(), "version = 7", "version = 8");
  config = testing::replace_once(config, "name = \"explain\"", "name = \"other\"");
  router_on_document(core, wire::document_configuration, config, "test", state.now, after);
  // What waits is refused at once, truly not run; what runs goes on.
  REQUIRE(after.decisions.size() == 1);
  CHECK(after.decisions[0].request == waiting.id);
  CHECK(after.decisions[0].how == outcome::not_run);
  CHECK(after.decisions[0].why == refusal::unknown_profile);
  target_result lost;
  lost.result = wire::finish_lost;
  lost.why = refusal::target_lost;
  router_on_target_done(core, running, lost, state.now, after);
  REQUIRE(after.decisions.size() == 2);
  CHECK(after.decisions[1].request == running);
  CHECK(after.decisions[1].how == outcome::unknown);
  CHECK(core.entry.requests.empty());
}

TEST_CASE("each bound of a message is checked at its edge") {
  const router_identity peer{router_address{"127.0.0.1:7402"}, 1};
  const router_address self{"127.0.0.1:7401"};
  wire::peer_message message;
  wire::lease_request& lease = *message.mutable_lease_request();
  lease.add_shards()->set_pool("explain");
  lease.add_fencing(max_message_fencing);
  CHECK_FALSE(message_problem(message, peer, self).has_value());
  SUBCASE("a number that would wrap at the next grant") {
    lease.set_fencing(0, std::numeric_limits<std::uint64_t>::max());
  }
  SUBCASE("a clock that would overflow") {
    lease.set_sent_at_us(max_message_time_us + 1);
  }
  SUBCASE("a shard that no configuration can have") {
    lease.mutable_shards(0)->set_index(std::numeric_limits<std::uint32_t>::max());
  }
  SUBCASE("a pool without a name") {
    lease.mutable_shards(0)->clear_pool();
  }
  SUBCASE("more numbers than shards") {
    lease.add_fencing(1);
  }
  SUBCASE("a cost that is no number") {
    message.mutable_finish()->mutable_shard()->set_pool("explain");
    message.mutable_finish()->set_target("engine-1");
    message.mutable_finish()->set_organisation("bank");
    CHECK_FALSE(message_problem(message, peer, self).has_value());
    message.mutable_finish()->set_cost(std::nan(""));
  }
  SUBCASE("no body") {
    message.clear_body();
  }
  CHECK(message_problem(message, peer, self).has_value());
  // A sender that is this router, or no address.
  message.mutable_document_request();
  CHECK_FALSE(message_problem(message, peer, self).has_value());
  CHECK(message_problem(message, {self, 9}, self).has_value());
  CHECK(message_problem(message, {router_address{"router"}, 1}, self).has_value());
  CHECK(message_problem(message, {peer.address, 0}, self).has_value());
}

}  // namespace
}  // namespace peridot
