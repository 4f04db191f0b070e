// Runs: from a grant to the end of the run.
//
// A grant is used if it is new, still valid on this router's clock, decided on a
// configuration that is not older than the own one, for a target that the own
// configuration knows and does not withdraw, and if its queue has a request that
// may start. It is returned otherwise, at once, so that the slot idles for one
// round trip at most.
//
// A grant starts one request, also if its message comes twice. A grant that is
// running is recognised for as long as it runs. A grant that ended, or was
// returned, is remembered for as long as it would still be valid: at most
// grant_validity. If max_remembered_grants are remembered, a new grant is dropped
// like a lost message, which its owner has to bear anyway; it is neither used nor
// returned, since a second copy could then be used after it was returned. A grant
// that echoes a time ahead of this router's clock is dropped for the same reason.
//
// What becomes of a request after a run is one function, judge_run(), of the
// values in run_end. docs/design/entry.md shows it as a table.
//
// Retry budget. The first try of a request earns its organisation a share of a
// retry, each retry costs one. So retries add at most that share to the load, and
// a burst, however many targets fail at once.
#include <algorithm>

#include "core/check.h"
#include "core/entry_internal.h"

namespace peridot {
namespace {

constexpr double cost_smoothing = 0.2;  // weight of the newest cost in the average

bool is_known(wire::traffic_class value) {
  return value == wire::class_interactive || value == wire::class_standard ||
         value == wire::class_batch;
}

// Ends the grant at its owner.
void send_finish(const router_identity& owner, const wire::finish& message, outbox& out) {
  outgoing_message outgoing;
  outgoing.to = owner.address;
  outgoing.to_incarnation = owner.incarnation;
  *outgoing.message.mutable_finish() = message;
  out.push_back(std::move(outgoing));
}

void return_grant(const router_identity& owner, const wire::grant& grant, outbox& out) {
  wire::finish message;
  message.set_grant_id(grant.grant_id());
  *message.mutable_shard() = grant.shard();
  message.set_target(grant.target());
  message.set_organisation(grant.organisation());
  message.set_result(wire::finish_returned);
  message.set_estimated_cost(grant.estimated_cost());
  send_finish(owner, message, out);
}

void report_finish(const request_row& row, wire::finish_result result, service_units cost,
                   const std::string& boot_id, outbox& out) {
  const placement& where = *row.running;
  wire::finish message;
  message.set_grant_id(where.grant_id);
  *message.mutable_shard() = to_wire(where.shard);
  message.set_target(where.target.value);
  message.set_organisation(row.organisation.value);
  message.set_result(result);
  message.set_cost(cost);
  message.set_estimated_cost(where.estimated);
  message.set_boot_id(boot_id);
  send_finish(where.owner, message, out);
}

// The echo must be of a demand that this table sent: an earlier self at this
// address was another one.
bool echoes_own_demand(const entry_table& table, const wire::grant& grant) {
  return table.first_demand && grant.demand_sent_at_us() >= to_wire(*table.first_demand);
}

// Counts from the sending time of the demand that the grant echoes: no delay, of
// a message or of this process, can lengthen it. Precondition: that time is not
// ahead of this router's clock.
instant expiry_of(const wire::grant& grant, const fleet_config& fleet) {
  const std::chrono::microseconds longest = fleet.grant_validity;
  const std::uint64_t valid_for =
      std::min(grant.valid_for_us(), static_cast<std::uint64_t>(longest.count()));
  return from_wire(grant.demand_sent_at_us()) +
         std::chrono::microseconds{static_cast<std::int64_t>(valid_for)};
}

// Whether this router's configuration lets the grant's target have new work.
bool is_permitted(const wire::grant& grant, const entry_context& context) {
  static const instance_list empty_list;
  const published_config& config = context.config;
  if (grant.config_version() < config.version || !is_known(grant.traffic_class())) {
    return false;
  }
  const target_config* target = find_target(config, target_name{grant.target()});
  if (target == nullptr ||
      is_withdrawn(config, context.list == nullptr ? empty_list : *context.list, *target)) {
    return false;
  }
  return shard_of(target->pool, target->name, config.fleet.shards_per_pool) ==
         from_wire(grant.shard());
}

// False if the memory is full.
bool remember_grant(grant_memory& memory, const grant_key& grant, instant expires) {
  if (memory.seen.size() >= max_remembered_grants) {
    return false;
  }
  memory.seen.insert(grant);
  memory.by_arrival.push_back(grant_expiry{grant, expires});
  return true;
}

// The owner believes that something is queued, and nothing may start: it is told
// what is true, also if it was not known as an owner.
void correct_owner(entry_table& table, const pool_name& pool, const router_address& owner) {
  mark_demand(table, pool);
  std::vector<router_address>& told = table.demands[pool].told;
  if (std::find(told.begin(), told.end(), owner) == told.end()) {
    told.push_back(owner);
  }
}

void earn_retry(entry_table& table, request_row& row) {
  if (row.earned_retry) {
    return;
  }
  row.earned_retry = true;
  double& tokens = table.organisations[row.organisation].retry_tokens;
  tokens = std::min(tokens + retry_budget_share, retry_budget_burst);
}

dispatch start_run(entry_table& table, request_row& row, const placement& where, instant now) {
  PERIDOT_CHECK(row.repeatable || row.dispatches == 0,
                "a request that may not be repeated is dispatched again");
  remove_queued(table, row, now);
  ++row.dispatches;
  row.run = table.next_run++;
  row.running = where;
  row.started = now;
  const bool added = table.running.emplace(grant_key{where.owner, where.grant_id}, row.id).second;
  PERIDOT_CHECK(added, "a grant starts two requests");
  earn_retry(table, row);
  dispatch result;
  result.request = row.id;
  result.where = where;
  result.run_until = now + row.run_timeout;
  result.run = row.run;
  return result;
}

void stop_run(entry_table& table, request_row& row) {
  const std::size_t removed =
      table.running.erase(grant_key{row.running->owner, row.running->grant_id});
  PERIDOT_CHECK(removed == 1, "a running request has no grant");
  row.running.reset();
}

void learn_cost(entry_table& table, const cost_key& key, service_units cost, instant now) {
  auto found = table.costs.find(key);
  if (found != table.costs.end()) {
    found->second.average += cost_smoothing * (cost - found->second.average);
    found->second.updated = now;
    return;
  }
  if (table.costs.size() >= max_cost_estimates) {
    using entry = std::map<cost_key, cost_estimate>::value_type;
    auto oldest = std::min_element(
        table.costs.begin(), table.costs.end(),
        [](const entry& one, const entry& two) { return one.second.updated < two.second.updated; });
    table.costs.erase(oldest);
  }
  table.costs.emplace(key, cost_estimate{cost, now});
}

// What a run teaches about its fingerprint. Before judge_run(), which needs the
// count with this run's crash.
void learn_suspect(entry_table& table, const request_row& row, const target_result& result,
                   const entry_context& context, instant now) {
  const router_address& self = context.members.self.address;
  if (result.result == wire::finish_lost) {
    record_crash(table.suspects, self, row.organisation, row.fingerprint,
                 context.config.fleet.suspect_request_life, now);
  }
  if (result.result == wire::finish_ok && row.solo) {
    clear_own_crashes(table.suspects, self, row.organisation, row.fingerprint);
  }
}

// A later `unknown` covers an earlier failure, and is not covered by one.
outcome worse(outcome one, outcome two) {
  return one == outcome::unknown || two == outcome::not_run ? one : two;
}

decision queue_again(entry_table& table, request_row& row, const run_verdict& verdict,
                     const target_result& result, bool suspect, instant now) {
  row.solo = row.solo || suspect;
  if (!verdict.nothing_ran) {
    row.earlier_runs =
        worse(row.earlier_runs,
              result.result == wire::finish_failed ? outcome::failed_after_run : outcome::unknown);
    ++row.retries;
    table.organisations[row.organisation].retry_tokens -= 1;
    row.start_before = now + row.longest_wait;
  }
  push_queued(table, row, queue_end::front, now);
  decision again;
  again.what = decision::kind::queued_again;
  again.request = row.id;
  return again;
}

decision give_up_after_run(entry_table& table, const request_row& row, const run_verdict& verdict,
                           const target_result& result, const entry_context& context) {
  std::chrono::milliseconds retry_after{0};
  if (verdict.why == refusal::suspect) {
    retry_after = context.config.fleet.suspect_request_life;
  } else if (verdict.why == refusal::retry_budget) {
    retry_after = default_retry_after;
  }
  const refusal why = result.why == refusal::none ? verdict.why : result.why;
  return give_up(table, row.id, worse(row.earlier_runs, verdict.how), why, retry_after);
}

run_end end_of(const entry_table& table, const request_row& row, const target_result& result,
               instant now) {
  run_end end;
  end.result = result.result;
  end.repeatable = row.repeatable;
  end.answer_begun = result.answer_begun;
  end.crashes = crashes_of(table.suspects, row.organisation, row.fingerprint, now);
  end.retries_left = row.retries < row.max_retries;
  end.budget_left = table.organisations.at(row.organisation).retry_tokens >= 1;
  return end;
}

run_verdict give_up_as(outcome how, refusal why) {
  return run_verdict{decision::kind::give_up, how, why, false};
}

run_verdict retry_or_give_up(const run_end& end, outcome how, refusal why) {
  if (!end.repeatable || end.answer_begun) {
    return give_up_as(how, why);
  }
  if (end.result == wire::finish_lost && end.crashes >= max_crashes) {
    return give_up_as(how, refusal::suspect);
  }
  if (!end.retries_left) {
    return give_up_as(how, why);
  }
  if (!end.budget_left) {
    return give_up_as(how, refusal::retry_budget);
  }
  return run_verdict{decision::kind::queued_again, outcome::done, refusal::none, false};
}

}  // namespace

run_verdict judge_run(const run_end& end) {
  switch (end.result) {
    case wire::finish_ok:
      return run_verdict{decision::kind::answered, outcome::done, refusal::none, false};
    case wire::finish_returned:
    case wire::finish_refused:
      // An answer that has begun contradicts a refusal: nothing is proved.
      if (end.answer_begun) {
        return give_up_as(outcome::unknown, refusal::internal);
      }
      return run_verdict{decision::kind::queued_again, outcome::done, refusal::none, true};
    case wire::finish_failed:
      return retry_or_give_up(end, outcome::failed_after_run, refusal::target_failed);
    case wire::finish_lost:
      return retry_or_give_up(end, outcome::unknown, refusal::target_lost);
    default:
      return give_up_as(outcome::unknown, refusal::caller_gone);
  }
}

service_units expected_cost(const entry_table& table, const cost_key& key, service_units hint) {
  auto found = table.costs.find(key);
  return found == table.costs.end() ? hint : found->second.average;
}

void forget_old_grants(grant_memory& memory, instant now) {
  while (!memory.by_arrival.empty() && memory.by_arrival.front().expires <= now) {
    memory.seen.erase(memory.by_arrival.front().grant);
    memory.by_arrival.pop_front();
  }
}

std::optional<dispatch> on_grant(entry_table& table, const router_identity& from,
                                 const wire::grant& message, const entry_context& context,
                                 instant now, outbox& out) {
  const grant_key grant{from, message.grant_id()};
  if (table.running.contains(grant) || table.grants.seen.contains(grant)) {
    return std::nullopt;
  }
  if (message.demand_sent_at_us() > to_wire(now)) {
    return std::nullopt;
  }
  const instant expires = expiry_of(message, context.config.fleet);
  if (!echoes_own_demand(table, message) || expires <= now) {
    return_grant(from, message, out);
    return std::nullopt;
  }
  forget_old_grants(table.grants, now);
  if (!remember_grant(table.grants, grant, expires)) {
    return std::nullopt;
  }
  if (!is_permitted(message, context)) {
    return_grant(from, message, out);
    return std::nullopt;
  }
  const queue_key key{pool_name{message.shard().pool()}, organisation_name{message.organisation()},
                      from_wire(message.traffic_class()), message.solo()};
  request_row* row = first_startable(table, key, now);
  if (row == nullptr) {
    return_grant(from, message, out);
    correct_owner(table, key.pool, from.address);
    return std::nullopt;
  }
  count_grant(table, key, now);
  placement where;
  where.grant_id = message.grant_id();
  where.shard = from_wire(message.shard());
  where.owner = from;
  where.target = target_name{message.target()};
  where.fencing = message.fencing();
  where.estimated = message.estimated_cost();
  return start_run(table, *row, where, now);
}

decision on_target_done(entry_table& table, std::uint64_t request, const target_result& result,
                        const entry_context& context, instant now, outbox& out) {
  auto found = table.requests.find(request);
  if (found == table.requests.end() || !found->second.running) {
    return decision{};
  }
  request_row& row = found->second;
  if (result.run != 0 && result.run != row.run) {
    return decision{};
  }
  report_finish(row, result.result, result.cost, result.boot_id, out);
  if (result.result == wire::finish_ok && result.cost > 0) {
    learn_cost(table, cost_key{row.organisation, row.profile}, result.cost, now);
  }
  learn_suspect(table, row, result, context, now);
  const run_end end = end_of(table, row, result, now);
  const run_verdict verdict = judge_run(end);
  stop_run(table, row);
  if (verdict.nothing_ran) {
    PERIDOT_CHECK(row.dispatches > 0, "a run ended that was never dispatched");
    --row.dispatches;
  }
  switch (verdict.what) {
    case decision::kind::queued_again:
      return queue_again(table, row, verdict, result, end.crashes > 0, now);
    case decision::kind::give_up:
      return give_up_after_run(table, row, verdict, result, context);
    default:
      break;
  }
  decision answered;
  answered.what = decision::kind::answered;
  answered.request = request;
  table.requests.erase(found);
  return answered;
}

std::optional<placement> cancel(entry_table& table, std::uint64_t request, service_units cost,
                                const entry_context& /*context*/, instant now, outbox& out) {
  auto found = table.requests.find(request);
  if (found == table.requests.end()) {
    return std::nullopt;
  }
  request_row& row = found->second;
  std::optional<placement> where = row.running;
  if (where) {
    report_finish(row, wire::finish_cancelled, cost, std::string{}, out);
    stop_run(table, row);
  } else {
    remove_queued(table, row, now);
  }
  table.requests.erase(found);
  return where;
}

}  // namespace peridot
