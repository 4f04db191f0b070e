// One claim: which grants count, and when to claim or to hand over.
//
// Fencing. Every grant carries the number that its voter bound to it, higher
// than any the voter bound to an earlier lease of the shard. The claimant takes
// the highest it sees and counts only grants with at least that number; the rest
// is asked again and raised. So a quorum of voters knows the number of a tenure
// before the tenure begins, and a later quorum, which shares a voter with it,
// gets a higher one. During a tenure the number is fixed.
//
// Change of voters. While a list spreads, some routers count the quorum of the old
// voters and some that of the new. One that has the new list needs both, for as
// long as others may have the old one.
//
// Order of claimants. Candidates for a shard are its live voters by rendezvous
// score. The first claims at once when no owner is known, the next after
// `takeover_leases` leases without an owner, and so on: a router that its peers
// hear but that cannot win does not leave the shard idle.
#include "core/lease_claim.h"

#include <algorithm>

#include "core/check.h"

namespace peridot {
namespace {

// Leases without an owner after which the next candidate claims.
constexpr int takeover_leases = 1;

// Handovers that nobody took up double the patience at most this many times.
constexpr std::uint32_t max_patience_doublings = 5;

// Drift of two clocks, as part of an interval that both measure: one in this many.
constexpr int drift_divisor = 25;

bool is_live_voter(const membership_table& table, const router_address& address) {
  if (address == table.self.address) {
    return !table.leaving;
  }
  const auto found = table.members.find(address);
  return found != table.members.end() && found->second.state == member_state::alive &&
         !found->second.list_leaving;
}

// Live voters of the shard, the preferred one first.
std::vector<router_address> candidates_of(const claim& row, const shard_key& shard,
                                          const membership_table& members) {
  std::vector<router_address> candidates;
  for (const router_address& voter : row.voters) {
    if (is_live_voter(members, voter)) {
      candidates.push_back(voter);
    }
  }
  const auto better = [&shard](const router_address& a, const router_address& b) {
    const std::uint64_t score_a = rendezvous_score(a, shard);
    const std::uint64_t score_b = rendezvous_score(b, shard);
    return score_a != score_b ? score_a > score_b : a < b;
  };
  std::sort(candidates.begin(), candidates.end(), better);
  return candidates;
}

// When the lease ends that a quorum of these voters granted; the epoch if none did.
instant quorum_end(const claim& row, const std::vector<router_address>& voters) {
  std::vector<instant> untils;
  untils.reserve(voters.size());
  for (const router_address& voter : voters) {
    const auto found = row.granted_until.find(voter);
    if (found != row.granted_until.end()) {
      untils.push_back(found->second);
    }
  }
  const std::size_t quorum = quorum_size(voters.size());
  if (untils.size() < quorum) {
    return instant{};
  }
  std::sort(untils.begin(), untils.end(), std::greater<>{});
  return untils[quorum - 1];
}

bool refused_by_quorum(const claim& row, const std::vector<router_address>& voters) {
  std::size_t refused = 0;
  for (const router_address& voter : voters) {
    refused += row.refused.contains(voter) ? 1 : 0;
  }
  return refused + quorum_size(voters.size()) > voters.size();
}

void collect_electors(claim& row) {
  row.electors = row.voters;
  for (const earlier_voters& view : row.earlier) {
    row.electors.insert(row.electors.end(), view.voters.begin(), view.voters.end());
  }
  std::sort(row.electors.begin(), row.electors.end());
  row.electors.erase(std::unique(row.electors.begin(), row.electors.end()), row.electors.end());
}

// Forgets what is known of routers that are no electors any more, so that a long
// tenure does not collect them. A lease they may have granted ends by itself.
void forget_others(claim& row) {
  const auto is_other = [&row](const router_address& address) {
    return !std::binary_search(row.electors.begin(), row.electors.end(), address);
  };
  std::erase_if(row.asked, is_other);
  std::erase_if(row.granted_until, [&is_other](const std::pair<const router_address, instant>& e) {
    return is_other(e.first);
  });
}

// Takes the voters of a new list. The old ones matter for `view_overlap`, unless
// this router has just started and nothing rested on them.
void change_voters(claim& row, std::vector<router_address> voters, duration lease, instant now) {
  if (voters == row.voters) {
    return;
  }
  const bool mattered = !row.voters.empty() && now >= row.added + lease;
  if (mattered && row.earlier.size() >= max_earlier_views) {
    row.barred_until = now + view_overlap;
  } else if (mattered) {
    row.earlier.push_back({std::move(row.voters), now + view_overlap});
  }
  row.voters = std::move(voters);
  collect_electors(row);
}

void refresh_row(claim& row, const shard_key& shard, const lease_context& context,
                 bool voters_changed, instant now) {
  const membership_table& members = context.members;
  if (voters_changed) {
    change_voters(row, voters_of(members, context.list, context.fleet, shard), context.fleet.lease,
                  now);
  }
  const std::vector<router_address> candidates = candidates_of(row, shard, members);
  const auto self = std::find(candidates.begin(), candidates.end(), members.self.address);
  row.rank.reset();
  if (self != candidates.end()) {
    row.rank = static_cast<std::size_t>(self - candidates.begin());
  }
  const router_address first = candidates.empty() ? router_address{} : candidates.front();
  if (first != row.preferred) {
    row.preferred = first;
    row.preferred_since = now;
  }
  const std::optional<router_address> owner = known_owner(members, shard, {});
  const bool owned = owner.has_value();
  if (owned && *owner == row.handed_to) {
    row.handed_to = router_address{};
    row.failed_handovers = 0;
  }
  if (row.owner_known && !owned) {
    row.unowned_since = now;
  }
  row.owner_known = owned;
  update_ends(row, now);
}

// True if the voters in the rows are those of the list and the configuration.
bool voters_are_current(const claim_table& claims, const std::vector<shard_key>& shards,
                        const lease_context& context) {
  return claims.seen_config_version == context.config_version &&
         claims.seen_list == (context.list != nullptr) &&
         (context.list == nullptr || claims.seen_list_version == context.list->version) &&
         shards.size() <= claims.claims.size();
}

bool choices_are_current(const claim_table& claims, const std::vector<shard_key>& shards,
                         const lease_context& context) {
  return claims.seen_generation == context.members.generation &&
         claims.seen_leaving == context.members.leaving &&
         voters_are_current(claims, shards, context);
}

// True while the list has not arrived here but a peer has one: the seeds may
// differ from it by more than `view_slack`.
bool lacks_list(const lease_context& context) {
  if (context.list != nullptr) {
    return false;
  }
  for (const std::pair<const router_address, member>& entry : context.members.members) {
    if (entry.second.state == member_state::alive && entry.second.list_version != 0) {
      return true;
    }
  }
  return false;
}

}  // namespace

duration usable_part(duration lease) {
  return lease - lease / clock_margin_divisor;
}

duration grants_void_after(const fleet_config& fleet) {
  const duration validity = fleet.grant_validity;
  return validity + validity / drift_divisor;
}

void count_grant(claim& row, const router_address& voter, std::uint64_t fencing, instant sent,
                 duration lease, instant now) {
  const bool lapsed = row.was_held && now >= row.ends;
  if (sent < row.void_before || sent > now || row.releasing || lapsed) {
    return;
  }
  if (!row.was_held && fencing > row.fencing) {
    row.fencing = fencing;
    row.granted_until.clear();
    row.next_request = now;
  }
  if (fencing < row.fencing) {
    return;
  }
  instant& until = row.granted_until[voter];
  until = std::max(until, sent + usable_part(lease));
  update_ends(row, now);
}

void update_ends(claim& row, instant now) {
  if (row.was_held && now >= row.ends) {
    return;
  }
  row.ends = now < row.barred_until ? instant{} : quorum_end(row, row.voters);
  for (const earlier_voters& view : row.earlier) {
    row.ends = std::min(row.ends, quorum_end(row, view.voters));
  }
}

void drop_earlier(claim& row, instant now) {
  if (row.earlier.empty() || now < row.earlier.front().until) {
    return;
  }
  while (!row.earlier.empty() && now >= row.earlier.front().until) {
    row.earlier.pop_front();
  }
  collect_electors(row);
  forget_others(row);
  update_ends(row, now);
}

bool is_hopeless(const claim& row) {
  if (refused_by_quorum(row, row.voters)) {
    return true;
  }
  return std::any_of(row.earlier.begin(), row.earlier.end(), [&row](const earlier_voters& view) {
    return refused_by_quorum(row, view.voters);
  });
}

void forget_grants(claim& row, instant now) {
  row.granted_until.clear();
  row.void_before = now + std::chrono::microseconds{1};
  row.ends = instant{};
}

void refresh_choices(claim_table& claims, const std::vector<shard_key>& shards,
                     const lease_context& context, instant now) {
  if (choices_are_current(claims, shards, context)) {
    return;
  }
  const bool voters_changed = !voters_are_current(claims, shards, context);
  claims.seen_generation = context.members.generation;
  claims.seen_leaving = context.members.leaving;
  claims.seen_config_version = context.config_version;
  claims.seen_list = context.list != nullptr;
  claims.seen_list_version = context.list == nullptr ? 0 : context.list->version;
  for (const shard_key& shard : shards) {
    const bool added = !claims.claims.contains(shard);
    claim& row = claims.claims[shard];
    if (added) {
      row.added = now;
      row.unowned_since = now;
    }
    refresh_row(row, shard, context, voters_changed || added, now);
  }
  for (auto it = claims.claims.begin(); it != claims.claims.end();) {
    const bool wanted = std::find(shards.begin(), shards.end(), it->first) != shards.end();
    const bool idle = !it->second.was_held && !it->second.releasing && !it->second.campaigning;
    if (!wanted) {
      it->second.rank.reset();
    }
    it = !wanted && idle ? claims.claims.erase(it) : std::next(it);
  }
}

bool may_campaign(const claim& row, const lease_context& context, const voter_table& votes,
                  instant now) {
  if (context.stopping || context.config_version == 0 || !row.rank || row.owner_known) {
    return false;
  }
  const duration patience =
      static_cast<int>(*row.rank) * takeover_leases * duration{context.fleet.lease};
  const bool due = now >= row.backoff_until && now >= row.unowned_since + patience;
  // Until then the own vote abstains, and peers may not have been heard yet.
  const bool settled = now >= votes.started + context.fleet.lease;
  return due && settled && !lacks_list(context);
}

bool should_hand_over(const claim& row, const lease_context& context, instant now) {
  if (context.stopping || context.members.leaving || !row.rank) {
    return true;
  }
  if (row.preferred == context.members.self.address) {
    return false;
  }
  const auto other = context.members.members.find(row.preferred);
  if (other == context.members.members.end() ||
      other->second.config_version < context.config_version) {
    return false;
  }
  const std::uint32_t doublings =
      row.handed_to == row.preferred ? std::min(row.failed_handovers, max_patience_doublings) : 0;
  const duration patience = duration{handover_after} * (1 << doublings);
  return now >= row.preferred_since + patience && now >= row.held_since + patience;
}

}  // namespace peridot
