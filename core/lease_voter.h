// Private to the lease units: one vote, without its message. Used by the voter
// for requests of peers, and by the claimant for the vote of its own router.
//
// Thread safety: none; one loop owns the table.
#pragma once

#include "core/lease.h"

namespace peridot {

// What a claimant asks of one voter for one shard.
struct ballot {
  router_identity claimant;
  shard_key shard;
  std::uint64_t sent_at_us = 0;  // claimant's clock
  std::uint64_t config_version = 0;
  duration lease{};
  std::uint64_t fencing = 0;  // least number of the tenure
};

struct vote_result {
  // `ignored`: an old copy; the claimant is told nothing.
  enum class kind { granted, refused, ignored } what = kind::refused;
  router_address holder;      // who has it, when refused and known
  std::uint64_t fencing = 0;  // bound to the grant, when granted
  duration free_in{};         // when refused: may be granted after this; zero: unknown
};

vote_result cast_vote(voter_table& votes, const lease_context& context, const ballot& asked,
                      instant now);

// Ends the lease here if `holder` has it and sent nothing newer than this.
void release_vote(voter_table& votes, const router_identity& holder, const shard_key& shard,
                  std::uint64_t sent_at_us, instant now);

}  // namespace peridot
