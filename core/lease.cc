#include "core/lease.h"

#include <algorithm>

#include "core/check.h"
#include "core/lease_claim.h"
#include "core/lease_voter.h"

namespace peridot {
namespace {

// Parts of a lease: one in this many.
constexpr int renewals_per_lease = 3;
constexpr int campaigns_per_lease = 8;  // longest attempt to win
constexpr int resends_per_lease = 32;   // to voters that have not answered it
constexpr int backoffs_per_lease = 20;  // shortest pause after a failed attempt
constexpr std::uint32_t max_backoff_doublings = 3;

// Requests of one tick, one message per voter.
struct request_batch {
  std::map<router_address, wire::lease_request> claims;
  std::map<router_address, wire::lease_request> releases;
};

// What the steps of one tick share.
struct tick_state {
  voter_table& votes;
  const lease_context& context;
  instant now;
  request_batch batch;
  std::vector<lease_event> events;
};

// When a quorum of voters will be free, as far as they said. Voters that did not
// refuse count as free now.
instant quorum_free_at(const claim& row, instant now) {
  const std::size_t quorum = quorum_size(row.voters.size());
  std::vector<instant> free_at;
  for (const router_address& voter : row.voters) {
    const auto refusal = row.refused.find(voter);
    free_at.push_back(refusal == row.refused.end() ? now : refusal->second);
  }
  if (free_at.size() < quorum) {
    return instant::max();
  }
  std::sort(free_at.begin(), free_at.end());
  return free_at[quorum - 1];
}

// When to try again. Differs between routers and attempts, so that claimants
// that split the votes do not meet again, but is not long after the leases that
// are in the way have ended.
instant retry_at(const claim& row, const shard_key& shard, const lease_context& context,
                 instant now) {
  const duration shortest = duration{context.fleet.lease} / backoffs_per_lease;
  const std::uint32_t doublings = std::min(row.failed_campaigns, max_backoff_doublings);
  const std::uint64_t seed = context.members.self.incarnation + row.failed_campaigns;
  const std::uint64_t hash =
      stable_hash(context.members.self.address.value + shard.pool.value, seed * 31 + shard.index);
  const duration spread = shortest * (1 << doublings);
  const duration jitter{
      static_cast<duration::rep>(hash % static_cast<std::uint64_t>(spread.count()))};
  const instant free_at = quorum_free_at(row, now);
  const instant at_random = now + shortest + jitter;
  if (free_at <= now || free_at >= at_random) {
    return at_random;
  }
  return free_at + jitter / backoffs_per_lease;
}

// When a voter that refused may grant. Far off if it did not say.
instant free_instant(duration free_in, instant now) {
  return free_in > duration::zero() ? now + free_in : instant::max();
}

void add_claim(wire::lease_request& message, const shard_key& shard, std::uint64_t fencing) {
  *message.add_shards() = to_wire(shard);
  message.add_fencing(fencing);
}

// The vote of this router for itself.
void ask_self(tick_state& tick, const shard_key& shard, claim& row) {
  const lease_context& context = tick.context;
  ballot own;
  own.claimant = context.members.self;
  own.shard = shard;
  own.sent_at_us = to_wire(tick.now);
  own.config_version = context.config_version;
  own.lease = context.fleet.lease;
  own.fencing = row.fencing;
  const vote_result result = cast_vote(tick.votes, context, own, tick.now);
  row.asked.insert(own.claimant.address);
  if (result.what == vote_result::kind::granted) {
    count_grant(row, own.claimant.address, result.fencing, tick.now, own.lease, tick.now);
  } else {
    row.refused[own.claimant.address] = free_instant(result.free_in, tick.now);
  }
}

// Asks the voters for a new or longer grant. `only_missing` leaves out those
// that have answered in this campaign. Self comes first: its vote may raise the
// number that the others are asked for.
void ask_voters(tick_state& tick, const shard_key& shard, claim& row, bool only_missing) {
  const router_address& self = tick.context.members.self.address;
  const auto answered = [&row, only_missing](const router_address& voter) {
    return only_missing && (row.granted_until.contains(voter) || row.refused.contains(voter));
  };
  if (std::binary_search(row.electors.begin(), row.electors.end(), self) && !answered(self)) {
    ask_self(tick, shard, row);
  }
  for (const router_address& voter : row.electors) {
    if (voter != self && !answered(voter)) {
      row.asked.insert(voter);
      add_claim(tick.batch.claims[voter], shard, row.fencing);
    }
  }
}

// Tells all that may have granted. The claim starts anew afterwards.
void release_all(tick_state& tick, const shard_key& shard, claim& row) {
  const router_identity& self = tick.context.members.self;
  for (const router_address& voter : row.asked) {
    if (voter == self.address) {
      release_vote(tick.votes, self, shard, to_wire(tick.now), tick.now);
    } else {
      *tick.batch.releases[voter].add_shards() = to_wire(shard);
    }
  }
  row.asked.clear();
  row.refused.clear();
  row.campaigning = false;
  row.releasing = false;
  forget_grants(row, tick.now);
}

void begin_campaign(tick_state& tick, const shard_key& shard, claim& row) {
  const duration lease = tick.context.fleet.lease;
  row.campaigning = true;
  row.refused.clear();
  row.campaign_ends = tick.now + lease / campaigns_per_lease;
  row.fencing = std::max(row.fencing, tick.context.fencing_floor);
  row.next_request = tick.now + lease / resends_per_lease;
  ask_voters(tick, shard, row, false);
}

void end_campaign(tick_state& tick, const shard_key& shard, claim& row) {
  row.backoff_until = retry_at(row, shard, tick.context, tick.now);
  const bool split = !row.granted_until.empty();
  row.failed_campaigns += split ? 1 : 0;
  if (is_hopeless(row)) {
    row.unowned_since = tick.now;  // another has it, or nobody can yet
  }
  release_all(tick, shard, row);
}

void begin_tenure(tick_state& tick, const shard_key& shard, claim& row) {
  PERIDOT_CHECK(!row.was_held && !row.releasing, "a tenure begins within another");
  PERIDOT_CHECK(row.fencing > 0, "a tenure has no number");
  row.campaigning = false;
  row.was_held = true;
  row.held_since = tick.now;
  row.failed_campaigns = 0;
  row.next_request = tick.now + duration{tick.context.fleet.lease} / renewals_per_lease;
  if (row.handed_to == row.preferred) {
    ++row.failed_handovers;
  } else {
    row.failed_handovers = 0;
  }
  tick.events.push_back({lease_event::kind::acquired, shard});
}

void lose_tenure(tick_state& tick, const shard_key& shard, claim& row) {
  row.was_held = false;
  row.unowned_since = tick.now;
  ++row.fencing;
  forget_grants(row, tick.now);
  tick.events.push_back({lease_event::kind::lost, shard});
}

void begin_handover(tick_state& tick, const shard_key& shard, claim& row) {
  row.was_held = false;
  row.releasing = true;
  row.release_at = tick.now + grants_void_after(tick.context.fleet);
  row.handed_to = row.preferred;
  ++row.fencing;
  tick.events.push_back({lease_event::kind::released, shard});
}

void finish_handover(tick_state& tick, const shard_key& shard, claim& row) {
  release_all(tick, shard, row);
  row.unowned_since = tick.now;
  row.backoff_until = retry_at(row, shard, tick.context, tick.now);
}

void step_held(tick_state& tick, const shard_key& shard, claim& row, bool renew) {
  if (tick.now >= row.ends) {
    lose_tenure(tick, shard, row);
  } else if (should_hand_over(row, tick.context, tick.now)) {
    begin_handover(tick, shard, row);
  } else if (renew) {
    ask_voters(tick, shard, row, false);
    row.next_request = tick.now + duration{tick.context.fleet.lease} / renewals_per_lease;
  }
}

void step_campaign(tick_state& tick, const shard_key& shard, claim& row) {
  const bool may_win = row.rank && !tick.context.stopping;
  if (!may_win || is_hopeless(row) || tick.now >= row.campaign_ends) {
    end_campaign(tick, shard, row);
  } else if (tick.now >= row.next_request) {
    row.next_request = tick.now + duration{tick.context.fleet.lease} / resends_per_lease;
    ask_voters(tick, shard, row, true);
  }
}

void step_row(tick_state& tick, const shard_key& shard, claim& row, bool renew) {
  drop_earlier(row, tick.now);
  if (row.releasing) {
    if (tick.now >= row.release_at) {
      finish_handover(tick, shard, row);
    }
    return;
  }
  if (row.was_held) {
    step_held(tick, shard, row, renew);
    return;
  }
  if (row.campaigning && tick.now >= row.ends) {
    step_campaign(tick, shard, row);
  } else if (!row.campaigning && may_campaign(row, tick.context, tick.votes, tick.now)) {
    begin_campaign(tick, shard, row);
  }
  if (row.campaigning && tick.now < row.ends) {
    begin_tenure(tick, shard, row);
  }
}

// When the tenure ends; the epoch if there is none.
instant end_of(const claim& row, const lease_context& context) {
  return row.was_held && !context.stopping ? row.ends : instant{};
}

// True if a held shard is due: then all are renewed, in the same messages.
bool renewal_due(const claim_table& claims, instant now) {
  for (const std::pair<const shard_key, claim>& entry : claims.claims) {
    if (entry.second.was_held && now >= entry.second.next_request) {
      return true;
    }
  }
  return false;
}

void send_batch(tick_state& tick, outbox& out) {
  const std::uint64_t lease_us = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(tick.context.fleet.lease).count());
  for (std::pair<const router_address, wire::lease_request>& entry : tick.batch.claims) {
    entry.second.set_sent_at_us(to_wire(tick.now));
    entry.second.set_config_version(tick.context.config_version);
    entry.second.set_lease_us(lease_us);
    outgoing_message& next = out.emplace_back();
    next.to = entry.first;
    *next.message.mutable_lease_request() = std::move(entry.second);
  }
  for (std::pair<const router_address, wire::lease_request>& entry : tick.batch.releases) {
    entry.second.set_sent_at_us(to_wire(tick.now));
    entry.second.set_release(true);
    outgoing_message& next = out.emplace_back();
    next.to = entry.first;
    *next.message.mutable_lease_request() = std::move(entry.second);
  }
}

}  // namespace

std::size_t quorum_size(std::size_t voters) {
  return std::max<std::size_t>(1, std::min(voters, (voters + view_slack) / 2 + 1));
}

std::vector<lease_event> lease_tick(claim_table& claims, voter_table& votes,
                                    const std::vector<shard_key>& shards,
                                    const lease_context& context, instant now, outbox& out) {
  refresh_choices(claims, shards, context, now);
  tick_state tick{votes, context, now, {}, {}};
  const bool renew = renewal_due(claims, now);
  for (std::pair<const shard_key, claim>& entry : claims.claims) {
    step_row(tick, entry.first, entry.second, renew);
  }
  send_batch(tick, out);
  return std::move(tick.events);
}

void on_lease_reply(claim_table& claims, const lease_context& context, const router_identity& from,
                    const wire::lease_reply& message, instant now) {
  if (from.address == context.members.self.address) {
    return;
  }
  const std::uint64_t longest_us = to_wire(instant{} + longest_lease);
  const duration asked = std::chrono::microseconds{
      static_cast<std::int64_t>(std::min(message.lease_us(), longest_us))};
  const instant sent = from_wire(message.sent_at_us());
  for (const wire::lease_verdict& verdict : message.verdicts()) {
    const auto found = claims.claims.find(from_wire(verdict.shard()));
    if (found == claims.claims.end()) {
      continue;
    }
    claim& row = found->second;
    if (verdict.granted()) {
      count_grant(row, from.address, verdict.fencing(), sent, asked, now);
    } else if (row.campaigning && sent >= row.void_before) {
      const duration free_in = std::chrono::microseconds{
          static_cast<std::int64_t>(std::min(verdict.free_in_us(), longest_us))};
      row.refused[from.address] = free_instant(free_in, now);
    }
  }
}

instant held_until(const claim_table& claims, const lease_context& context,
                   const shard_key& shard) {
  const auto found = claims.claims.find(shard);
  return found == claims.claims.end() ? instant{} : end_of(found->second, context);
}

bool holds(const claim_table& claims, const lease_context& context, const shard_key& shard,
           instant now) {
  return now < held_until(claims, context, shard);
}

std::vector<shard_key> held_shards(const claim_table& claims, const lease_context& context,
                                   instant now) {
  std::vector<shard_key> held;
  for (const std::pair<const shard_key, claim>& entry : claims.claims) {
    if (now < end_of(entry.second, context)) {
      held.push_back(entry.first);
    }
  }
  return held;
}

bool release_pending(const claim_table& claims) {
  for (const std::pair<const shard_key, claim>& entry : claims.claims) {
    if (entry.second.releasing || entry.second.campaigning || entry.second.was_held) {
      return true;
    }
  }
  return false;
}

}  // namespace peridot
