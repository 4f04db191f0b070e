// Calls that crash the targets that run them, told by what they have in common.
//
// What crashes targets may be a whole request that is sent again, or one part of prompts that
// differ otherwise. A call therefore has several signatures: its fingerprint (organisation, method,
// host, path, query, body, prompt), the same without the query if it has one, and each part of its
// prompt but the last, which no other call has. Each crash of a
// target is an event with the signatures of the calls that it interrupted. Most of them belong to
// bystanders, so that an event alone proves nothing:
//
// - A complete response clears its signatures: they are taken out of the events before it, and up
//   to completion_protection after it. One that has only begun does not: the target may still
//   crash.
// - Events at almost the same time count once: a failure domain that goes takes many targets along.
//   Those of one fingerprint count each if they are nearly all of that time: copies of one call
//   came together.
// - Events of one call that was sent again count once for the parts of its prompt.
// - An event that a signature explains does not count against others. Signatures without a known
//   completion are taken first, and among them the ones with the most events.
//
// Signatures that explain crashes_before_refusal events or more make a suspect. Where they are more
// likely bystanders, it takes crashes_if_unlikely: if a completion is known, or if most crashes
// between their first and last event are not theirs. Signatures that occur in the same events and
// cannot be told apart make one suspect together: only calls with all of them are refused, until a
// completion or a further crash tells them apart.
//
//   record_crash(table, make_crash_event(target, now, signatures, self), now);
//   record_completion(table, signatures, now);                  // a response was complete
//   update_suspects(table, now);                                // a few times a second
//   const crash_suspect* suspect = find_suspect(table, signatures);
//   if (suspect != nullptr) { refuse the call, except for trials }
//
// Routers report events, with their observers, and completions to each other. What a suspect rests
// on is passed on by every router, so that it outlives the routers that saw it. A suspicion ends
// when a trial call completes (see is_trial_due()), or with crash_event_ttl.
//
// Most events never get company: a connection breaks for many reasons. Only the routers that saw
// them report them, for a few gossip cycles, and they are dropped first if there are too many.
// Those that a suspect rests on are reported by all routers.
//
// Invariants: at most max_crash_events events of at most max_event_signatures signatures each; at
// most 2 * max_completions signatures with known completions.
// Thread safety: none; for use from one event loop.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/base/types.h"
#include "core/calls/call.h"

namespace peridot {

// With fewer events, bystanders with rare parts would be refused; the platform allows five.
inline constexpr int crashes_before_refusal = 3;
inline constexpr int crashes_if_unlikely = 5;
// Fraction of the crashes between the first and last event of a signature that are its own.
inline constexpr double min_own_crash_fraction = 0.5;
// Of the crashes at almost the same time: from this fraction on, those of one fingerprint are its
// own.
inline constexpr double min_own_simultaneous_fraction = 0.75;
// A call is not retried once one of its signatures has this number of events.
inline constexpr int crashes_before_no_retry = 2;
inline constexpr milliseconds completion_protection{2'000};
inline constexpr milliseconds same_crash_window{1'000};     // for reports about one target
inline constexpr milliseconds simultaneous_crashes{100};    // of different targets
inline constexpr std::chrono::minutes crash_event_ttl{20};  // longer than the longest trial_delay
// A call whose response began longer ago is not what crashed its target.
inline constexpr milliseconds max_crash_delay{1'000};
inline constexpr std::size_t max_crash_events = 64;
inline constexpr std::size_t max_event_signatures = 128;
inline constexpr std::size_t max_completions = 16'384;  // of each generation, about 0.8 MB
inline constexpr std::size_t max_event_reporters = 4;
inline constexpr std::size_t max_clearances = 256;
inline constexpr std::chrono::seconds cleared_event_ttl{30};  // and of clearances not needed again
inline constexpr std::size_t max_reported_events_per_suspect = 8;

// First trial after the newest crash; doubles with each wave of crashes after the first one.
inline constexpr std::chrono::seconds trial_delay{90};
inline constexpr int max_trial_delay_doublings = 3;
inline constexpr std::chrono::seconds crash_wave_gap{30};  // between crashes of different waves
// How long the router that may try a suspect next waits for the one before.
inline constexpr std::chrono::seconds trial_slot{10};

// The end of a target, and the calls that it broke off.
struct crash_event {
  std::uint32_t target = 0;  // low 32 bits of stable_hash of its name
  instant at{};
  // Signatures that no completion has cleared, each with the fingerprint of a call that has it.
  std::map<std::uint64_t, std::uint64_t> signatures;
  std::set<router_address> reporters;  // routers that saw it; at most max_event_reporters
};

struct crash_suspect {
  std::vector<std::uint64_t> signatures;  // a suspect call has all of them
  std::vector<crash_event> events;        // by time, with these signatures only
  int crashes = 0;                        // events that count
  instant newest_crash_at{};
};

struct suspect_changes {
  std::vector<crash_suspect> added;
  std::vector<crash_suspect> ended;  // cleared, told apart from others, or expired
};

struct crash_suspect_table {
  std::vector<crash_event> events;  // by time
  // Last known complete response, by signature. When `completions` is full, it replaces
  // `older_completions`.
  std::unordered_map<std::uint64_t, instant> completions;
  std::unordered_map<std::uint64_t, instant> older_completions;
  // Signatures that were cleared from events, and when that was last necessary.
  std::unordered_map<std::uint64_t, instant> clearances;
  std::unordered_set<std::uint64_t> event_signatures;  // of all events, at the last update
  bool changed = false;                                // since the last update
  instant updated_at{};
  std::vector<crash_suspect> suspects;
  std::unordered_map<std::uint64_t, instant> trials;  // newest start, by the first signature
};

// What a request asks for, besides its body.
struct request_subject {
  std::string_view method;
  std::string_view host;
  std::string_view request_target;  // path and query
};

// The fingerprint, the same without the query if there is one, and the ids of the prompt's parts
// but the last. `call_prompt` may be null.
std::vector<std::uint64_t> call_signatures(const organisation_name& organisation,
                                           const request_subject& subject, std::string_view body,
                                           const prompt* call_prompt);

// Adds what one router saw of a crash, by itself or as a peer reported it. Joins it with an event
// of the same target within same_crash_window. Ignores events older than crash_event_ttl.
void record_crash(crash_suspect_table& table, const crash_event& event, instant now);

// What one router saw of a crash: the target broke off a call with these signatures, of which the
// first one is its fingerprint.
crash_event make_crash_event(const target_name& target, instant at,
                             const std::vector<std::uint64_t>& signatures,
                             const router_address& reporter);

void record_completion(crash_suspect_table& table, const std::vector<std::uint64_t>& signatures,
                       instant completed_at);

// instant{} if none is known.
instant last_completion(const crash_suspect_table& table, std::uint64_t signature);

// Drops expired events and computes the suspects anew, if there is a reason to.
suspect_changes update_suspects(crash_suspect_table& table, instant now);

// The suspect that a call with these signatures is; null if it is none.
const crash_suspect* find_suspect(const crash_suspect_table& table,
                                  const std::vector<std::uint64_t>& signatures);

// The highest number of events that count against one of the signatures, of whatever calls.
int crash_count(const crash_suspect_table& table, const std::vector<std::uint64_t>& signatures);

// What `self` reports of the events: those that a suspect rests on, with its signatures only, and
// those that it saw itself since `since`, with all. With `relay` also those of that time that it
// learned from others. At most `max_signatures` signatures.
std::vector<crash_event> events_to_report(const crash_suspect_table& table,
                                          const router_address& self, std::size_t max_signatures,
                                          instant since, bool relay = false);

// Completions of signatures that were cleared since `since`, or that the events of `since` and
// later have: what peers need to clear them too. The `max_count` newest ones.
std::vector<std::pair<std::uint64_t, instant>> completions_to_report(
    const crash_suspect_table& table, std::size_t max_count, instant since);

// True if one call may be sent although it is a suspect: long enough after the newest crash, and
// not within trial_slot after the last trial. `rank`: number of routers whose turn is before.
bool is_trial_due(const crash_suspect_table& table, const crash_suspect& suspect, std::size_t rank,
                  instant now);
void record_trial(crash_suspect_table& table, const crash_suspect& suspect, instant now);

}  // namespace peridot
