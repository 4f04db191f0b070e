#include "core/fleet/target_view.h"

#include <algorithm>
#include <utility>

namespace peridot {
namespace {

duration confirm_time(const membership_table& members) {
  return members.interval * confirm_rounds;
}

// True if more than half of the routers, this one included, have reported within the time.
bool heard_most_routers(const membership_table& members, instant now) {
  std::size_t known = 1;
  std::size_t heard = 1;
  for (const std::pair<const router_address, peer_state>& peer : members.peers) {
    if (peer.second.incarnation == 0 || peer.second.leaving) {
      continue;
    }
    ++known;
    heard += now - peer.second.last_report <= confirm_time(members) ? 1 : 0;
  }
  return 2 * heard > known;
}

}  // namespace

void on_revision_heard(target_view& view, const store_revision& revision) {
  view.newest_heard = std::max(view.newest_heard, revision);
}

bool is_behind(const target_view& view, const store_revision& known) {
  return view.newest_heard > known;
}

instant confirmed_at(const target_view& view, const membership_table& members, instant now) {
  if (heard_most_routers(members, now)) {
    return now;
  }
  if (!members.uses_delegates) {
    return view.store_answered_at;
  }
  return std::max(view.store_answered_at, members.primary.value.empty()
                                              ? members.last_foreign_digest
                                              : view.delegate_confirmed_at);
}

bool is_confirmed(const target_view& view, const membership_table& members, instant now) {
  const instant at = confirmed_at(view, members, now);
  return at != instant{} && now - at <= confirm_time(members);
}

bool is_current(const target_view& view, const store_revision& known,
                const membership_table& members, instant now) {
  return !is_behind(view, known) && is_confirmed(view, members, now);
}

duration announce_time(const membership_table& members) {
  return members.interval * announce_rounds;
}

}  // namespace peridot
