// Running reports: which grants of each owner this router uses.
//
// Each known owner gets its list, also an empty one: only then does the owner learn
// that a grant it counts has ended. The list names grants of one incarnation of the
// owner, and the message reaches no other.
#include <algorithm>
#include <set>

#include "core/entry_internal.h"

namespace peridot {
namespace {

std::set<router_address> known_owners(const entry_context& context) {
  std::set<router_address> owners;
  for (const std::pair<const router_address, member>& entry : context.members.members) {
    if (!entry.second.owned.empty() && entry.second.state != member_state::gone) {
      owners.insert(entry.first);
    }
  }
  if (!context.own_shards.empty()) {
    owners.insert(context.members.self.address);
  }
  return owners;
}

std::uint64_t incarnation_of(const entry_context& context, const router_address& owner) {
  if (owner == context.members.self.address) {
    return context.members.self.incarnation;
  }
  return context.members.members.at(owner).identity.incarnation;
}

outgoing_message make_report(const entry_table& table, const router_identity& owner, instant now) {
  outgoing_message report;
  report.to = owner.address;
  report.to_incarnation = owner.incarnation;
  wire::running_report* body = report.message.mutable_running_report();
  body->set_sent_at_us(to_wire(now));
  for (auto row = table.running.lower_bound(grant_key{owner, 0});
       row != table.running.end() && row->first.owner == owner; ++row) {
    body->add_grant_ids(row->first.id);
  }
  return report;
}

}  // namespace

void send_running_reports(entry_table& table, const entry_context& context, instant now,
                          outbox& out) {
  if (now < table.next_running_report) {
    return;
  }
  table.next_running_report = now + running_report_interval;
  for (const router_address& owner : known_owners(context)) {
    const router_identity identity{owner, incarnation_of(context, owner)};
    if (identity.incarnation != 0) {
      out.push_back(make_report(table, identity, now));
    }
  }
}

}  // namespace peridot
