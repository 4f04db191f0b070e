// An entry router whose peers are played by the test: shared by the entry tests.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/entry.h"
#include "core/entry_internal.h"

namespace peridot::entry_bench {

inline const instant start = instant{} + std::chrono::hours{1};
inline const router_address self_address{"127.0.0.1:7400"};
inline const router_address owner_address{"127.0.0.1:7401"};
inline const organisation_name guides{"guides"};
inline const organisation_name schools{"schools"};
inline const pool_name pool{"explain"};

inline published_config make_config() {
  published_config config;
  config.version = 3;
  config.organisations = {{guides, 1, 256}, {schools, 1, 256}};
  profile_config ask;
  ask.name = profile_name{"ask"};
  ask.pool = pool;
  profile_config reserve = ask;
  reserve.name = profile_name{"reserve"};
  reserve.repeatable = false;
  config.profiles = {ask, reserve};
  for (const char* name : {"engine-1", "engine-2", "engine-3"}) {
    target_config target;
    target.name = target_name{name};
    target.pool = pool;
    config.targets.push_back(target);
  }
  config.targets[2].drained = true;
  return config;
}

// One entry router and the owner of all shards, which is played by the test.
struct bench {
  published_config config = make_config();
  membership_table members;
  std::vector<shard_key> own_shards;
  entry_table table;
  outbox out;
  instant now = start;
  router_identity owner{owner_address, 77};
  std::uint64_t next_grant = 1;

  bench() {
    members.self = router_identity{self_address, 5};
    member peer;
    peer.identity = owner;
    peer.state = member_state::alive;
    peer.last_heard = start;
    for (std::uint32_t index = 0; index < config.fleet.shards_per_pool; ++index) {
      peer.owned.push_back(shard_key{pool, index});
    }
    members.members[owner_address] = peer;
  }
};

inline entry_context context_of(const bench& b) {
  return entry_context{b.config, b.members, b.own_shards};
}

inline submit_result submit_one(bench& b, const organisation_name& organisation,
                                const char* profile, std::uint64_t fingerprint = 0) {
  new_request request;
  request.organisation = organisation;
  request.profile = profile_name{profile};
  request.fingerprint = fingerprint != 0 ? fingerprint : 1'000'000 + b.table.next_id;
  const submit_result result = submit(b.table, request, context_of(b), b.now);
  send_changed_demands(b.table, context_of(b), b.now, b.out);
  return result;
}

inline wire::grant make_grant(bench& b, const organisation_name& organisation, bool solo = false,
                              const char* target = "engine-1") {
  wire::grant grant;
  grant.set_grant_id(b.next_grant++);
  *grant.mutable_shard() =
      to_wire(shard_of(pool, target_name{target}, b.config.fleet.shards_per_pool));
  grant.set_target(target);
  grant.set_organisation(organisation.value);
  grant.set_traffic_class(wire::class_standard);
  grant.set_solo(solo);
  grant.set_demand_sent_at_us(to_wire(b.now));
  grant.set_valid_for_us(400'000);
  grant.set_config_version(b.config.version);
  grant.set_estimated_cost(100);
  return grant;
}

inline std::optional<dispatch> deliver(bench& b, const wire::grant& grant) {
  return on_grant(b.table, b.owner, grant, context_of(b), b.now, b.out);
}

inline decision finish_run(bench& b, std::uint64_t request, const target_result& result) {
  return on_target_done(b.table, request, result, context_of(b), b.now, b.out);
}

inline decision finish_as(bench& b, std::uint64_t request, wire::finish_result how) {
  target_result result;
  result.result = how;
  result.cost = 50;
  return finish_run(b, request, result);
}

// Ends of grants that the owner was told, newest last.
inline std::vector<wire::finish_result> finishes(const outbox& out) {
  std::vector<wire::finish_result> result;
  for (const outgoing_message& message : out) {
    if (message.message.has_finish()) {
      result.push_back(message.message.finish().result());
    }
  }
  return result;
}

inline std::vector<wire::demand> demands_to(const outbox& out, const router_address& to) {
  std::vector<wire::demand> result;
  for (const outgoing_message& message : out) {
    if (message.message.has_demand() && message.to == to) {
      result.push_back(message.message.demand());
    }
  }
  return result;
}

}  // namespace peridot::entry_bench
