#include "core/routing/crash_suspects.h"

#include <algorithm>

#include "core/base/stable_hash.h"

namespace peridot {
namespace {

// Marks the suspect as reported now. If the table is full, a new one replaces the least
// recently reported.
crash_suspect& find_or_add_suspect(crash_suspect_table& table, std::uint64_t fingerprint,
                                   instant now) {
  if (table.by_fingerprint.size() >= max_crash_suspects &&
      !table.by_fingerprint.contains(fingerprint)) {
    table.by_fingerprint.erase(
        std::min_element(table.by_fingerprint.begin(), table.by_fingerprint.end(),
                         [](const std::pair<const std::uint64_t, crash_suspect>& left,
                            const std::pair<const std::uint64_t, crash_suspect>& right) {
                           return left.second.last_reported_at < right.second.last_reported_at;
                         }));
  }
  crash_suspect& entry = table.by_fingerprint[fingerprint];
  entry.last_reported_at = now;
  return entry;
}

}  // namespace

std::uint64_t request_fingerprint(const organisation_name& organisation, std::string_view path,
                                  std::string_view body) {
  return stable_hash(body, stable_hash(path, stable_hash(organisation.value)));
}

void record_crash(crash_suspect_table& table, std::uint64_t fingerprint, instant now) {
  ++find_or_add_suspect(table, fingerprint, now).own_crashes;
}

void update_peer_crashes(crash_suspect_table& table, std::uint64_t fingerprint,
                         const router_address& peer, int reported, instant now) {
  int& recorded = find_or_add_suspect(table, fingerprint, now).peer_crashes[peer];
  recorded = std::max(recorded, reported);
}

int crash_count(const crash_suspect_table& table, std::uint64_t fingerprint) {
  auto found = table.by_fingerprint.find(fingerprint);
  if (found == table.by_fingerprint.end()) {
    return 0;
  }
  int sum = found->second.own_crashes;
  for (const std::pair<const router_address, int>& peer : found->second.peer_crashes) {
    sum += peer.second;
  }
  return sum;
}

bool is_refused_for_crashes(const crash_suspect_table& table, std::uint64_t fingerprint) {
  return crash_count(table, fingerprint) >= crashes_before_refusal;
}

void expire_crash_suspects(crash_suspect_table& table, instant now) {
  std::erase_if(table.by_fingerprint,
                [now](const std::pair<const std::uint64_t, crash_suspect>& entry) {
                  return now - entry.second.last_reported_at > crash_suspect_ttl;
                });
}

}  // namespace peridot
