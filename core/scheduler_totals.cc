// Exchange of service totals between the owners of a pool.
//
// Each owner tells the others what it has charged and what it has taken back, per
// organisation, as two counters that only grow; a receiver adds the growth of the
// first to its own tags and takes off that of the second. So a message that
// is lost, doubled or late changes nothing that the next one does not mend.
//
// Counters start at zero when their account is opened. A receiver that has
// listened since before then counts from zero; one that came later takes the
// first total as a baseline, since what was served before it began is no
// reason to hold an organisation back now. A sender that restarted is known by
// its incarnation, and everything that its new self charged counts.
//
// Changed accounts go to every owner each interval; all that were active lately
// go again each `rounds_per_repeat` intervals, against loss.
#include <algorithm>
#include <cmath>

#include "core/check.h"
#include "core/scheduler_internal.h"

namespace peridot {
namespace {

constexpr std::uint64_t rounds_per_repeat = 10;
constexpr std::chrono::seconds repeat_window{10};

void add_total(const account& row, const organisation_name& name, wire::service_totals& message) {
  wire::organisation_total& total = *message.add_totals();
  total.set_organisation(name.value);
  total.set_total(row.charged);
  total.set_refunded(row.refunds);
  total.set_opened_us(to_wire(row.opened));
}

wire::service_totals changed_totals(pool_row& pool) {
  wire::service_totals message;
  for (const organisation_name& name : pool.untold) {
    add_total(pool.accounts.at(name), name, message);
  }
  return message;
}

// Accounts that are younger in activity than `window`.
wire::service_totals active_totals(const pool_row& pool, instant now, duration window) {
  wire::service_totals message;
  for (const std::pair<const organisation_name, account>& row : pool.accounts) {
    if (row.second.charged > 0 && row.second.last_active + window >= now) {
      add_total(row.second, row.first, message);
    }
  }
  return message;
}

void send_pool_totals(pool_row& pool, const pool_name& name,
                      const std::vector<router_address>& other_owners, instant now, outbox& out) {
  std::erase_if(pool.told_owners, [&](const router_address& owner) {
    return std::find(other_owners.begin(), other_owners.end(), owner) == other_owners.end();
  });
  const bool repeat = pool.totals_sent % rounds_per_repeat == 0;
  const wire::service_totals usual =
      repeat ? active_totals(pool, now, repeat_window) : changed_totals(pool);
  for (const router_address& owner : other_owners) {
    const bool first = pool.told_owners.insert(owner).second;
    if (!first && usual.totals().empty()) {
      continue;
    }
    outgoing_message sent;
    sent.to = owner;
    wire::service_totals& message = *sent.message.mutable_service_totals();
    message = first ? active_totals(pool, now, account_life * 2) : usual;
    message.set_pool(name.value);
    message.set_sent_at_us(to_wire(now));
    out.push_back(std::move(sent));
  }
  for (const organisation_name& organisation : pool.untold) {
    account& row = pool.accounts.at(organisation);
    row.told = row.charged;
  }
  pool.untold.clear();
  ++pool.totals_sent;
}

// The state kept of the sender; a new one if it is heard for the first time or
// has restarted.
heard_owner& heard_from(pool_row& pool, const router_identity& from,
                        const wire::service_totals& message) {
  const auto known = pool.heard_totals.find(from.address);
  if (known != pool.heard_totals.end() && known->second.incarnation == from.incarnation) {
    return known->second;
  }
  const bool restarted = known != pool.heard_totals.end();
  heard_owner fresh;
  fresh.incarnation = from.incarnation;
  fresh.counts_from_us = restarted ? 0 : message.sent_at_us();
  heard_owner& row = pool.heard_totals[from.address];
  row = std::move(fresh);
  return row;
}

// Units that the sender charged and took back, and that were not heard of before.
struct heard_growth {
  double charged = 0;
  double refunded = 0;
};

// Raises a counter to what was told; returns by how much. A late or bad value
// raises nothing.
double raise(double& heard, double told) {
  const double grown = told - heard;
  if (!std::isfinite(grown) || grown <= 0) {
    return 0;
  }
  heard = told;
  return grown;
}

heard_growth growth(heard_owner& owner, const wire::organisation_total& total, instant now) {
  const auto inserted = owner.accounts.try_emplace(organisation_name{total.organisation()});
  heard_account& heard = inserted.first->second;
  if (!inserted.second && total.opened_us() < heard.opened_us) {
    return {};  // late, of an account that was opened anew since
  }
  if (inserted.second || total.opened_us() > heard.opened_us) {
    const bool whole = total.opened_us() >= owner.counts_from_us;
    heard.opened_us = total.opened_us();
    heard.total = whole ? 0 : total.total();
    heard.refunded = whole ? 0 : total.refunded();
    heard.changed = now;
  }
  const heard_growth grown{raise(heard.total, total.total()),
                           raise(heard.refunded, total.refunded())};
  if (grown.charged + grown.refunded > 0) {
    heard.changed = now;
  }
  return grown;
}

}  // namespace

void on_service_totals(scheduler_table& table, const router_identity& from,
                       const wire::service_totals& message, const scheduler_context& context) {
  scheduling::refresh_published(table, context, table.latest);
  const auto pool = table.pools.find(pool_name{message.pool()});
  if (pool == table.pools.end() || context.policy != share_policy::fleet_fair) {
    return;
  }
  heard_owner& owner = heard_from(pool->second, from, message);
  for (const wire::organisation_total& total : message.totals()) {
    const organisation_name name{total.organisation()};
    if (!table.weights.contains(name)) {
      continue;
    }
    const heard_growth grown = growth(owner, total, table.latest);
    if (grown.charged + grown.refunded > 0) {
      account& row = scheduling::open_account(table, pool->second, name);
      if (grown.charged > 0) {
        // It was served elsewhere, so its tag was the lowest there.
        pool->second.virtual_time = std::max(pool->second.virtual_time, row.tag);
      }
      row.tag += (grown.charged - grown.refunded) / row.weight;
      row.last_active = table.latest;
      scheduling::reindex(table, pool->second, name, row);
    }
  }
}

void send_totals(scheduler_table& table, const std::vector<router_address>& other_owners,
                 const scheduler_context& context, instant now, outbox& out) {
  scheduling::refresh_published(table, context, now);
  for (std::pair<const pool_name, pool_row>& pool : table.pools) {
    if (now < pool.second.next_totals) {
      continue;
    }
    pool.second.next_totals = now + context.config.fleet.totals_interval;
    send_pool_totals(pool.second, pool.first, other_owners, now, out);
    scheduling::prune_accounts(table, pool.second);
  }
}

}  // namespace peridot
