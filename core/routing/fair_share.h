// Max-min shares of the engines' tokens over organisations and routers.
//
// Each router counts the tokens its callers asked for and got, per organisation, in
// a sliding window, and tells its peers. The sums give the level: the largest rate
// such that organisations below it get all they ask for and the rest get the level.
//
//   note_asked(table, org, tokens, now); note_served(table, org, tokens, now);
//   update_level(table, capacity_per_second, now);       // a few times a second
//   double position = share_position(table, org, now);   // served rate / own share
//
// An organisation with a position of 1 or more has had its share; one below has not.
// Without news from peers, the own counts are all there is.
// Bound: counts older than the window are forgotten; a peer's when they expire.
// Thread safety: none; one loop.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "core/base/types.h"
#include "core/calls/call.h"

namespace peridot {

inline constexpr std::size_t share_buckets = 8;
inline constexpr double written_weight = 2;       // of a token, by the platform's accounting
inline constexpr milliseconds share_bucket{250};  // the window is 2 s: half the users' shortest

struct token_window {
  std::array<double, share_buckets> asked{};
  std::array<double, share_buckets> served{};
  double asked_sum = 0;
  double served_sum = 0;
};

struct peer_tokens {
  double asked = 0;
  double served = 0;
};

struct share_table {
  std::map<organisation_name, token_window> own;
  std::map<router_address, std::pair<instant, std::map<std::uint64_t, peer_tokens>>> peers;
  std::int64_t bucket = 0;                      // of the newest counts
  double level_per_window = 0;                  // tokens; 0: no organisation is above its share
  std::map<std::uint64_t, peer_tokens> totals;  // over all routers, by hash of the organisation
};

// Tokens of a call as the shares count them: a token read once, one written twice.
double share_tokens(const prompt& what);

void note_asked(share_table& table, const organisation_name& who, double tokens, instant now);
void note_served(share_table& table, const organisation_name& who, double tokens, instant now);
void set_peer_tokens(share_table& table, const router_address& peer,
                     std::map<std::uint64_t, peer_tokens> tokens, instant valid_until);

// Recomputes totals and level. `capacity`: tokens a second of all engines; 0: unknown.
void update_level(share_table& table, double capacity, instant now);

// Tokens served in the window over the organisation's share of it; 0 while the
// engines suffice for all.
double share_position(const share_table& table, const organisation_name& who);

// The largest level such that the sum of min(asked, level) stays within the capacity;
// infinite if all that is asked fits.
double max_min_level(std::vector<double> asked, double capacity);

}  // namespace peridot
