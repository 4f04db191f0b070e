// Requests that crash the targets that run them, by fingerprint.
//
// When a target closes the connection without a response while it runs a request, one
// crash is counted for the request's fingerprint (organisation, path, body). Routers
// report their own counts to each other. Once the sum reaches `crashes_before_refusal`,
// every router refuses the request.
//
//   record_crash(table, fingerprint, now);
//   if (is_refused_for_crashes(table, fingerprint)) { refuse on arrival }
//
// Invariant: at most max_crash_suspects fingerprints; the least recently reported one is
// replaced first.
// Thread safety: none; for use from one event loop.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/base/types.h"

namespace peridot {

// The platform's limit: after three crashes, a request must not be sent to any target.
inline constexpr int crashes_before_refusal = 3;
inline constexpr std::size_t max_crash_suspects = 4'096;   // about 0.4 MB
inline constexpr milliseconds crash_suspect_ttl{120'000};  // since its last report

struct crash_suspect {
  int own_crashes = 0;
  std::map<router_address, int> peer_crashes;
  instant last_reported_at{};  // by this router or a peer
};

struct crash_suspect_table {
  std::map<std::uint64_t, crash_suspect> by_fingerprint;
};

std::uint64_t request_fingerprint(const organisation_name& organisation, std::string_view path,
                                  std::string_view body);

void record_crash(crash_suspect_table& table, std::uint64_t fingerprint, instant now);
// `reported`: the peer's own count. Reports may arrive out of order; the highest count
// is kept.
void update_peer_crashes(crash_suspect_table& table, std::uint64_t fingerprint,
                         const router_address& peer, int reported, instant now);
// The sum over this router and its peers.
int crash_count(const crash_suspect_table& table, std::uint64_t fingerprint);
bool is_refused_for_crashes(const crash_suspect_table& table, std::uint64_t fingerprint);

// Drops the suspects that were not reported for crash_suspect_ttl.
void expire_crash_suspects(crash_suspect_table& table, instant now);

}  // namespace peridot
