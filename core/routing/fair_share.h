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

inline constexpr std::size_t share_bucket_count = 8;
inline constexpr double output_token_weight = 2;  // of a token, by the platform's accounting
inline constexpr milliseconds share_bucket_width{
    250};  // the window is 2 s: half the users' shortest

struct token_usage_window {
  std::array<double, share_bucket_count> asked{};
  std::array<double, share_bucket_count> served{};
  double asked_sum = 0;
  double served_sum = 0;
};

struct token_usage {
  double asked = 0;
  double served = 0;
};

struct share_table {
  std::map<organisation_name, token_usage_window> own;
  std::map<router_address, std::pair<instant, std::map<std::uint64_t, token_usage>>> peers;
  std::int64_t newest_bucket = 0;               // of the newest counts
  double fair_share_per_window = 0;             // tokens; 0: no organisation is above its share
  std::map<std::uint64_t, token_usage> totals;  // over all routers, by hash of the organisation
};

// Tokens of a call as the shares count them: a token read once, one written twice.
double weighted_tokens(const prompt& call_prompt);

void record_asked_tokens(share_table& table, const organisation_name& organisation, double tokens,
                         instant now);
void record_served_tokens(share_table& table, const organisation_name& organisation, double tokens,
                          instant now);
void update_peer_usage(share_table& table, const router_address& peer,
                       std::map<std::uint64_t, token_usage> reported, instant valid_until);

// Recomputes totals and level. `capacity`: tokens a second of all engines; 0: unknown.
void update_fair_share(share_table& table, double tokens_per_second, instant now);

// Tokens served in the window over the organisation's share of it; 0 while the
// engines suffice for all.
double share_position(const share_table& table, const organisation_name& organisation);

// The largest level such that the sum of min(asked, level) stays within the capacity;
// infinite if all that is asked fits.
double max_min_fair_share(std::vector<double> asked, double capacity);

}  // namespace peridot
