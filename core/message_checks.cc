#include "core/message_checks.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "core/ip_endpoint.h"
#include "core/name_text.h"

namespace peridot {
namespace {

using problem = std::optional<std::string_view>;

bool is_time(std::uint64_t microseconds) {
  return microseconds <= max_message_time_us;
}

bool is_amount(double value, double most) {
  return std::isfinite(value) && value >= 0 && value <= most;
}

bool is_name(const std::string& text) {
  return is_valid_name(text);
}

bool is_absent_or_name(const std::string& text) {
  return text.empty() || is_valid_name(text);
}

bool is_shard(const wire::shard_id& shard) {
  return is_name(shard.pool()) && shard.index() < max_message_shard_index;
}

problem heartbeat_problem(const wire::heartbeat& message) {
  if (!is_name(message.domain()) || !is_name(message.http_address())) {
    return "heartbeat names";
  }
  if (!wire::member_state_IsValid(message.state())) {
    return "heartbeat state";
  }
  if (!is_time(message.sent_at_us()) || !is_time(message.echo_sent_at_us())) {
    return "heartbeat times";
  }
  if (message.owned_size() > max_message_entries || message.suspects_size() > max_message_entries) {
    return "heartbeat lists";
  }
  if (!std::all_of(message.owned().begin(), message.owned().end(), is_shard)) {
    return "heartbeat shards";
  }
  const bool suspects = std::all_of(
      message.suspects().begin(), message.suspects().end(), [](const wire::suspect& suspect) {
        return is_name(suspect.organisation()) && is_time(suspect.expires_in_us());
      });
  return suspects ? problem() : problem("heartbeat suspects");
}

problem lease_request_problem(const wire::lease_request& message) {
  if (message.shards_size() > max_message_entries ||
      message.fencing_size() > message.shards_size()) {
    return "lease lists";
  }
  if (!is_time(message.sent_at_us()) || !is_time(message.lease_us())) {
    return "lease times";
  }
  if (!std::all_of(message.shards().begin(), message.shards().end(), is_shard)) {
    return "lease shards";
  }
  const bool fencing =
      std::all_of(message.fencing().begin(), message.fencing().end(),
                  [](std::uint64_t number) { return number <= max_message_fencing; });
  return fencing ? problem() : problem("lease fencing");
}

problem lease_reply_problem(const wire::lease_reply& message) {
  if (message.verdicts_size() > max_message_entries) {
    return "verdict lists";
  }
  if (!is_time(message.sent_at_us()) || !is_time(message.lease_us())) {
    return "verdict times";
  }
  const bool verdicts = std::all_of(
      message.verdicts().begin(), message.verdicts().end(), [](const wire::lease_verdict& verdict) {
        // A voter adds to the number that it was asked for.
        const bool fencing = verdict.fencing() <= 2 * max_message_fencing &&
                             (!verdict.granted() || verdict.fencing() > 0);
        return is_shard(verdict.shard()) && fencing && is_time(verdict.free_in_us()) &&
               is_absent_or_name(verdict.holder());
      });
  return verdicts ? problem() : problem("verdicts");
}

problem demand_problem(const wire::demand& message) {
  if (!is_name(message.pool()) || !is_time(message.sent_at_us())) {
    return "demand head";
  }
  if (message.lines_size() > max_message_entries) {
    return "demand lists";
  }
  const bool lines = std::all_of(
      message.lines().begin(), message.lines().end(), [](const wire::demand_line& line) {
        return is_name(line.organisation()) && wire::traffic_class_IsValid(line.traffic_class()) &&
               line.queued() <= max_message_queued && line.solo() <= line.queued() &&
               is_amount(line.estimated_cost(), max_message_cost) &&
               is_absent_or_name(line.profile());
      });
  return lines ? problem() : problem("demand lines");
}

problem grant_problem(const wire::grant& message) {
  if (!is_shard(message.shard()) || !is_name(message.target()) ||
      !is_name(message.organisation())) {
    return "grant names";
  }
  if (!wire::traffic_class_IsValid(message.traffic_class())) {
    return "grant class";
  }
  if (!is_time(message.demand_sent_at_us()) || !is_time(message.valid_for_us())) {
    return "grant times";
  }
  if (message.fencing() > 2 * max_message_fencing ||
      !is_amount(message.estimated_cost(), max_message_cost)) {
    return "grant numbers";
  }
  return std::nullopt;
}

problem finish_problem(const wire::finish& message) {
  if (!is_shard(message.shard()) || !is_name(message.target()) ||
      !is_name(message.organisation()) || !is_absent_or_name(message.boot_id())) {
    return "finish names";
  }
  if (!wire::finish_result_IsValid(message.result())) {
    return "finish result";
  }
  if (!is_amount(message.cost(), max_message_cost) ||
      !is_amount(message.estimated_cost(), max_message_cost)) {
    return "finish costs";
  }
  return std::nullopt;
}

problem running_report_problem(const wire::running_report& message) {
  const bool good =
      is_time(message.sent_at_us()) && message.grant_ids_size() <= max_message_entries;
  return good ? problem() : problem("running report");
}

problem totals_problem(const wire::service_totals& message) {
  if (!is_name(message.pool()) || !is_time(message.sent_at_us())) {
    return "totals head";
  }
  if (message.totals_size() > max_message_entries) {
    return "totals lists";
  }
  const bool totals = std::all_of(
      message.totals().begin(), message.totals().end(), [](const wire::organisation_total& total) {
        return is_name(total.organisation()) && is_time(total.opened_us()) &&
               is_amount(total.total(), max_message_total);
      });
  return totals ? problem() : problem("totals");
}

}  // namespace

std::optional<std::string_view> message_problem(const wire::peer_message& message,
                                                const router_identity& from,
                                                const router_address& self) {
  if (from.incarnation == 0 || from.address == self || !parse_ip_endpoint(from.address.value)) {
    return "sender";
  }
  if (!is_absent_or_name(message.from_name())) {
    return "sender's name";
  }
  switch (message.body_case()) {
    case wire::peer_message::kHeartbeat:
      return heartbeat_problem(message.heartbeat());
    case wire::peer_message::kLeaseRequest:
      return lease_request_problem(message.lease_request());
    case wire::peer_message::kLeaseReply:
      return lease_reply_problem(message.lease_reply());
    case wire::peer_message::kDemand:
      return demand_problem(message.demand());
    case wire::peer_message::kGrant:
      return grant_problem(message.grant());
    case wire::peer_message::kFinish:
      return finish_problem(message.finish());
    case wire::peer_message::kRunningReport:
      return running_report_problem(message.running_report());
    case wire::peer_message::kServiceTotals:
      return totals_problem(message.service_totals());
    case wire::peer_message::kDocumentRequest:
      return wire::document_kind_IsValid(message.document_request().kind())
                 ? problem()
                 : problem("document kind");
    case wire::peer_message::kDocument:
      return wire::document_kind_IsValid(message.document().kind()) ? problem()
                                                                    : problem("document kind");
    case wire::peer_message::BODY_NOT_SET:
      return "body";
  }
  return "body";
}

}  // namespace peridot
