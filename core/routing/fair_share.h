// Max-min fair shares of the engines' token rate, per organisation, over all routers.
//
// Each router counts per organisation the tokens that were asked for and those that
// were served, in a sliding window, and reports the sums to its peers. The fair share
// follows from the totals: the largest rate such that organisations below it get all
// they ask for and all others get this rate.
//
//   record_asked_tokens(table, org, tokens, now);
//   record_served_tokens(table, org, tokens, now);
//   update_fair_share(table, tokens_per_second, rounds_per_cycle, now);  // a few times a second
//   double position = share_position(table, org);        // served / min(asked, fair share)
//   if (random >= admitted_fraction(table, org)) refuse
//
// An organisation with a position of 1 or more has reached its share. While no peer
// has reported, the totals are the router's own counts.
//
// Engines serve more than the stated capacity where prompts are cached. What they serve beyond
// it is shared by the admission level: the max-min share of what was served lately, plus a
// margin for growth. An organisation that asks for more than the level is admitted only in
// part, by the same fraction at every router, however much it sends and wherever it enters. The
// sums of a window differ far less between routers than their views of the engines' queues do.
// The margin lets the level rise until calls are refused for the engines' queues. It is smaller
// the more rounds a gossip cycle takes, as a router's view of the queues is older then.
//
// An organisation that starts to flood gets more than the level until all routers know what it
// asks for. That surplus over the other limited organisations is settled in the following
// seconds: its own level is lower meanwhile, and theirs are higher.
// Memory: counts older than the window are dropped, and a peer's report when it expires.
// Thread safety: none; for use from one event loop.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "core/base/types.h"
#include "core/calls/call.h"

namespace peridot {

inline constexpr std::size_t share_bucket_count = 8;
// Weight of an output token relative to a prompt token in the platform's accounting.
inline constexpr double output_token_weight = 2;
// 8 buckets make a window of 2 s, half of the shortest window over which shares
// are evaluated.
inline constexpr milliseconds share_bucket_width{250};

// A ring of buckets, indexed by time.
struct token_usage_window {
  std::array<double, share_bucket_count> asked{};
  std::array<double, share_bucket_count> served{};
  double asked_sum = 0;
  double served_sum = 0;
};

// Weighted tokens in one window.
struct token_usage {
  double asked = 0;
  double served = 0;
};

struct share_table {
  std::map<organisation_name, token_usage_window> own;  // usage by this router's callers
  // Until when a peer's report is valid, and its usage by hash of the organisation.
  std::map<router_address, std::pair<instant, std::map<std::uint64_t, token_usage>>> peer_usage;
  std::int64_t newest_bucket = 0;               // number of the bucket that is filled now
  double fair_share_per_window = 0;             // tokens; 0: no organisation is limited
  double admission_level_per_window = 0;        // likewise; at least the fair share
  std::map<std::uint64_t, token_usage> totals;  // of all routers, by hash of the organisation
  // Tokens that an organisation was served beyond the mean of all limited ones while it was one of
  // them; negative if it was served less. By hash of the organisation; decays.
  std::map<std::uint64_t, double> surpluses;
  instant surpluses_updated_at{};
  double mean_call_tokens = 0;  // weighted tokens of a call, moving average; 0: none arrived yet
};

// Weighted tokens of a call: a prompt token counts once, an output token
// output_token_weight times.
double weighted_tokens(const prompt& call_prompt);

void record_asked_tokens(share_table& table, const organisation_name& organisation, double tokens,
                         instant now);
void record_served_tokens(share_table& table, const organisation_name& organisation, double tokens,
                          instant now);

// This router's usage for one report, by hash of the organisation: at most `max_organisations`,
// those that asked for most tokens.
std::vector<std::pair<std::uint64_t, token_usage>> usage_report(const share_table& table,
                                                                std::size_t max_organisations);

// Replaces the peer's last report.
void update_peer_usage(share_table& table, const router_address& peer,
                       std::map<std::uint64_t, token_usage> reported, instant valid_until);

// What engines of the stated capacity take together while some of them name limits. `limits`: calls
// per second, one for each of the `engine_count` engines that names one. `mean_call_tokens`: 0 if
// unknown, then the stated capacity counts.
double capacity_under_limits(double tokens_per_second, std::size_t engine_count,
                             const std::vector<double>& limits, double mean_call_tokens);

// The served tokens times this factor are the capacity that the admission level divides.
double admission_growth_factor(std::size_t rounds_per_cycle);

// Recomputes the totals, the fair share, the admission level and the surpluses.
// `tokens_per_second`: stated capacity of all engines; 0: unknown. `rounds_per_cycle`: of gossip,
// at least 1.
void update_fair_share(share_table& table, double tokens_per_second, std::size_t rounds_per_cycle,
                       instant now);

// The tokens served to the organisation in the window, divided by min(asked tokens, fair
// share); 0 if no organisation is limited, since the engines can serve all that is asked for
// or their capacity is unknown.
double share_position(const share_table& table, const organisation_name& organisation);

// The tokens served to the organisation in the window, divided by min(asked tokens, its admission
// level); 0 if the level limits no organisation.
double level_position(const share_table& table, const organisation_name& organisation);

// The fraction of its calls to admit, so that the organisation is served about its admission
// level: the level over the asked tokens, more if it was served less than the level and less if
// it was served more. 1 if it asks for less or if the level limits no organisation.
double admitted_fraction(const share_table& table, const organisation_name& organisation);

// The largest share such that the sum of min(asked, share) stays within the capacity;
// infinite if the sum of `asked` fits.
double max_min_fair_share(std::vector<double> asked, double capacity);

}  // namespace peridot
