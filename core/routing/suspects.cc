#include "core/routing/suspects.h"

#include <algorithm>

#include "core/base/stable_hash.h"

namespace peridot {
namespace {

suspect& suspect_row(suspect_table& table, std::uint64_t fingerprint, instant now) {
  if (table.suspects.size() >= max_suspects && !table.suspects.contains(fingerprint)) {
    table.suspects.erase(std::min_element(table.suspects.begin(), table.suspects.end(),
                                          [](const std::pair<const std::uint64_t, suspect>& left,
                                             const std::pair<const std::uint64_t, suspect>& right) {
                                            return left.second.last < right.second.last;
                                          }));
  }
  suspect& row = table.suspects[fingerprint];
  row.last = now;
  return row;
}

}  // namespace

std::uint64_t fingerprint_of(const organisation_name& caller, std::string_view path,
                             std::string_view body) {
  return stable_hash(body, stable_hash(path, stable_hash(caller.value)));
}

void note_crash(suspect_table& table, std::uint64_t fingerprint, instant now) {
  ++suspect_row(table, fingerprint, now).own_crashes;
}

void note_peer_crashes(suspect_table& table, std::uint64_t fingerprint, const router_address& peer,
                       int crashes, instant now) {
  int& known = suspect_row(table, fingerprint, now).peer_crashes[peer];
  known = std::max(known, crashes);
}

int crash_count(const suspect_table& table, std::uint64_t fingerprint) {
  auto found = table.suspects.find(fingerprint);
  if (found == table.suspects.end()) {
    return 0;
  }
  int sum = found->second.own_crashes;
  for (const std::pair<const router_address, int>& peer : found->second.peer_crashes) {
    sum += peer.second;
  }
  return sum;
}

bool is_refused(const suspect_table& table, std::uint64_t fingerprint) {
  return crash_count(table, fingerprint) >= crashes_to_refuse;
}

void expire_suspects(suspect_table& table, instant now) {
  std::erase_if(table.suspects, [now](const std::pair<const std::uint64_t, suspect>& item) {
    return now - item.second.last > suspect_life;
  });
}

}  // namespace peridot
