// Requests that crash the targets that run them, by fingerprint.
//
// A target that breaks a connection while it runs a request, without an answer,
// counts one crash against the request's fingerprint (organisation, path, body).
// Routers tell each other their own counts; the sum decides. At `crashes_to_refuse`
// the request is refused by every router.
//
//   note_crash(table, fingerprint, now);
//   if (is_refused(table, fingerprint, now)) { answer at once }
//
// Invariant: at most max_suspects fingerprints; the oldest yields.
// Thread safety: none; one loop.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/base/types.h"

namespace peridot {

inline constexpr int crashes_to_refuse =
    3;  // the platform allows three crashes before a request must stay out
inline constexpr std::size_t max_suspects = 4'096;    // about 0.4 MB
inline constexpr milliseconds suspect_life{120'000};  // how long a crash is remembered

struct suspect {
  int own_crashes = 0;
  std::map<router_address, int> peer_crashes;
  instant last{};
};

struct suspect_table {
  std::map<std::uint64_t, suspect> suspects;
};

std::uint64_t fingerprint_of(const organisation_name& caller, std::string_view path,
                             std::string_view body);

void note_crash(suspect_table& table, std::uint64_t fingerprint, instant now);
void note_peer_crashes(suspect_table& table, std::uint64_t fingerprint, const router_address& peer,
                       int crashes, instant now);
int crash_count(const suspect_table& table, std::uint64_t fingerprint);
bool is_refused(const suspect_table& table, std::uint64_t fingerprint);

// Forgets what is older than suspect_life.
void expire_suspects(suspect_table& table, instant now);

}  // namespace peridot
