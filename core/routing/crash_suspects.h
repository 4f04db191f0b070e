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

inline constexpr int crashes_before_refusal =
    3;  // the platform allows three crashes before a request must stay out
inline constexpr std::size_t max_crash_suspects = 4'096;   // about 0.4 MB
inline constexpr milliseconds crash_suspect_ttl{120'000};  // how long a crash is remembered

struct crash_suspect {
  int own_crashes = 0;
  std::map<router_address, int> peer_crashes;
  instant last_reported_at{};
};

struct crash_suspect_table {
  std::map<std::uint64_t, crash_suspect> by_fingerprint;
};

std::uint64_t request_fingerprint(const organisation_name& organisation, std::string_view path,
                                  std::string_view body);

void record_crash(crash_suspect_table& table, std::uint64_t fingerprint, instant now);
void update_peer_crashes(crash_suspect_table& table, std::uint64_t fingerprint,
                         const router_address& peer, int reported, instant now);
int crash_count(const crash_suspect_table& table, std::uint64_t fingerprint);
bool is_refused_for_crashes(const crash_suspect_table& table, std::uint64_t fingerprint);

// Forgets what is older than suspect_life.
void expire_crash_suspects(crash_suspect_table& table, instant now);

}  // namespace peridot
