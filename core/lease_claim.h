// Private to the lease units: one claim, its counted grants and its choices.
//
// Thread safety: none; one loop owns the table.
#pragma once

#include "core/lease.h"

namespace peridot {

// What the holder may count of a lease, the margin for clock drift taken off.
duration usable_part(duration lease);

// The time until which grants that a holder made may still be used by entry
// routers, the margin for clock drift added.
duration grants_void_after(const fleet_config& fleet);

// Counts one vote. `sent` is when it was asked for, on this router's clock.
void count_grant(claim& row, const router_address& voter, std::uint64_t fencing, instant sent,
                 duration lease, instant now);

// Recomputes `ends` from the counted grants of the voters and of the earlier
// voters that still matter. A lease that has ended stays so until forget_grants.
void update_ends(claim& row, instant now);

// Drops earlier voters that no longer matter.
void drop_earlier(claim& row, instant now);

// True if so many voters refused that this campaign can't win.
bool is_hopeless(const claim& row);

// Drops what was counted. Replies to requests sent at or before `now` are void.
void forget_grants(claim& row, instant now);

// Redoes the choices in all rows if the view, the list or the configuration has
// changed since they were made, and adds rows for new shards.
void refresh_choices(claim_table& claims, const std::vector<shard_key>& shards,
                     const lease_context& context, instant now);

// True if this router should try to win the shard now.
bool may_campaign(const claim& row, const lease_context& context, const voter_table& votes,
                  instant now);

// True if the shard should go to another router.
bool should_hand_over(const claim& row, const lease_context& context, instant now);

}  // namespace peridot
