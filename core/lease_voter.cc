// The voter's side of a lease: to whom a shard is granted here, and until when.
//
// Invariant: from the moment of a grant until `lease` later on this clock, no
// other identity is granted the shard here, unless that very holder releases it.
// The record of a shard outlives its lease: `fencing` only grows, and messages
// sent before the newest one of the recorded holder are ignored, so that a late
// copy of a release cannot end a lease that was granted after it.
//
// Bounds: at most `max_voted_shards` records; no lease above `longest_lease`.
#include "core/lease_voter.h"

#include <algorithm>

#include "core/check.h"

namespace peridot {
namespace {

bool is_acceptable(const voter_table& votes, const lease_context& context, const ballot& asked) {
  if (context.config_version == 0 || asked.config_version < context.config_version) {
    return false;
  }
  if (asked.lease <= duration::zero() || asked.lease > longest_lease) {
    return false;
  }
  return votes.granted.contains(asked.shard) || votes.granted.size() < max_voted_shards;
}

vote_result refuse(const router_address& holder, duration free_in) {
  vote_result result;
  result.holder = holder;
  result.free_in = free_in;
  return result;
}

}  // namespace

vote_result cast_vote(voter_table& votes, const lease_context& context, const ballot& asked,
                      instant now) {
  if (!is_acceptable(votes, context, asked)) {
    return refuse({}, duration::zero());
  }
  const instant abstains_until = votes.started + context.fleet.lease;
  if (now < abstains_until) {
    return refuse({}, abstains_until - now);
  }
  granted_lease& record = votes.granted[asked.shard];
  const bool same_holder = record.holder == asked.claimant;
  const bool running = now < record.expires;
  if (running && !same_holder) {
    return refuse(record.holder.address, record.expires - now);
  }
  if (same_holder && asked.sent_at_us < record.newest_sent_at_us) {
    vote_result late;
    late.what = vote_result::kind::ignored;
    return late;
  }
  PERIDOT_CHECK(!running || same_holder, "a running lease is granted to another holder");
  const std::uint64_t least = running ? record.fencing : record.fencing + 1;
  record.fencing = std::max(asked.fencing, least);
  record.holder = asked.claimant;
  record.newest_sent_at_us = asked.sent_at_us;
  record.expires = std::max(record.expires, now + asked.lease);
  PERIDOT_CHECK(now < record.expires, "a grant does not run");
  vote_result granted;
  granted.what = vote_result::kind::granted;
  granted.fencing = record.fencing;
  return granted;
}

void release_vote(voter_table& votes, const router_identity& holder, const shard_key& shard,
                  std::uint64_t sent_at_us, instant now) {
  const auto found = votes.granted.find(shard);
  if (found == votes.granted.end()) {
    return;
  }
  granted_lease& record = found->second;
  if (record.holder != holder || sent_at_us < record.newest_sent_at_us) {
    return;
  }
  record.newest_sent_at_us = sent_at_us + 1;
  record.expires = std::min(record.expires, now);
}

void on_lease_request(voter_table& votes, const lease_context& context, const router_identity& from,
                      const wire::lease_request& message, instant now, outbox& out) {
  if (message.release()) {
    for (const wire::shard_id& id : message.shards()) {
      release_vote(votes, from, from_wire(id), message.sent_at_us(), now);
    }
    return;
  }
  const std::uint64_t longest_us = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(longest_lease).count());
  if (message.lease_us() > longest_us || message.fencing_size() > message.shards_size()) {
    return;
  }
  wire::lease_reply reply;
  reply.set_sent_at_us(message.sent_at_us());
  reply.set_lease_us(message.lease_us());
  reply.set_config_version(context.config_version);
  for (int i = 0; i < message.shards_size(); ++i) {
    ballot asked;
    asked.claimant = from;
    asked.shard = from_wire(message.shards(i));
    asked.sent_at_us = message.sent_at_us();
    asked.config_version = message.config_version();
    asked.lease = std::chrono::microseconds{static_cast<std::int64_t>(message.lease_us())};
    asked.fencing = i < message.fencing_size() ? message.fencing(i) : 0;
    const vote_result result = cast_vote(votes, context, asked, now);
    if (result.what == vote_result::kind::ignored) {
      continue;
    }
    wire::lease_verdict& verdict = *reply.add_verdicts();
    *verdict.mutable_shard() = message.shards(i);
    verdict.set_granted(result.what == vote_result::kind::granted);
    verdict.set_holder(result.holder.value);
    verdict.set_fencing(result.fencing);
    verdict.set_free_in_us(to_wire(instant{} + result.free_in));
  }
  if (reply.verdicts_size() == 0) {
    return;
  }
  outgoing_message next;
  next.to = from.address;
  next.to_incarnation = from.incarnation;
  *next.message.mutable_lease_reply() = std::move(reply);
  out.push_back(std::move(next));
}

}  // namespace peridot
