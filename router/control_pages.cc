// Pages for the load balancer (readiness) and for operators (status, metrics, health).

#include <algorithm>

#include "net/http_message.h"
#include "net/log.h"
#include "platform/wire_headers.h"
#include "router/call_internal.h"

namespace peridot {
namespace {

const std::vector<http_header> plain_text_headers = {{"Content-Type", "text/plain; charset=utf-8"}};

double to_double(std::size_t value) {
  return static_cast<double>(value);
}

std::vector<scalar_metric> scalar_metrics(const router_state& router) {
  const mesh_counters& mesh = router.peer_mesh->counters;
  return {
      {"peridot_config_version", "Version in force.",
       to_double(router.store.config == nullptr ? 0 : router.store.config->version)},
      {"peridot_settings_errors", "Errors in the settings file as it was read last.",
       to_double(router.settings_errors)},
      {"peridot_calls", "Calls in progress.", to_double(router.calls.size())},
      {"peridot_caller_connections", "Open connections of callers.",
       to_double(router.caller_listener->connections.size())},
      {"peridot_target_connections", "Open connections to targets.",
       to_double(router.target_client.all_connections.size())},
      {"peridot_target_connections_opened_total", "Connections opened to targets.",
       to_double(router.target_client.connections_opened), true},
      {"peridot_target_connections_reused_total", "Calls on a connection that was open.",
       to_double(router.target_client.connections_reused), true},
      {"peridot_answers_skipped_total", "Answers to an earlier call.",
       to_double(router.target_client.responses_skipped), true},
      {"peridot_requests_rejected_total", "Requests that could not be read.",
       to_double(router.caller_listener->requests_rejected), true},
      {"peridot_accepts_limited_total", "Loop iterations that left connections in the backlog.",
       to_double(router.caller_listener->iterations_backlogged), true},
      {"peridot_callers_left_unread_total", "Callers that left before their request was read.",
       to_double(router.caller_listener->callers_left_unread), true},
      {"peridot_loop_turn_ms", "Mean time of a turn of the loop.",
       to_ms(router.overload.mean_loop_time)},
      {"peridot_live_peers", "Routers heard from lately.",
       to_double(router.membership.counts.live)},
      {"peridot_targets", "Targets in the table.", to_double(router.store.targets.targets.size())},
      {"peridot_store_calls_total", "Calls to the store.",
       to_double(router.store_client.call_count), true},
      {"peridot_store_failures_total", "Calls to the store that failed.",
       to_double(router.store_client.failure_count), true},
      {"peridot_reads_store", "1 if this router calls the store, 0 if others do so for it.",
       router.store_client.reading ? 1.0 : 0.0},
      {"peridot_uses_delegates", "1 if reports of routers pass through delegates.",
       router.membership.uses_delegates ? 1.0 : 0.0},
      {"peridot_view_age_ms", "Age of what is known of other routers.",
       to_ms(fleet_view_age(router, current_time()))},
      {"peridot_documents_refused_total", "Documents of the store that could not be read.",
       to_double(router.store.rejected_documents), true},
      {"peridot_retries_denied_total", "Further sends that the budget did not allow.",
       to_double(router.call_metrics.retries_denied), true},
      {"peridot_sends_to_other_domains_total", "Calls sent to targets of other failure domains.",
       to_double(router.call_metrics.sends_to_other_domains), true},
      {"peridot_fetches_total", "Prompt parts that engines fetched from others.",
       to_double(router.call_metrics.fetches), true},
      {"peridot_fetches_told_total", "Of these, whose first token told if the part was found.",
       to_double(router.call_metrics.fetches_told), true},
      {"peridot_fetches_not_found_total", "Of those, not found at the source.",
       to_double(router.call_metrics.fetches_not_found), true},
      {"peridot_fetched_tokens_total", "Prompt tokens fetched, as planned.",
       router.call_metrics.fetched_tokens, true},
      {"peridot_fetch_found_fraction", "Fetches that find their part, as expected.",
       router.loads.fetch_found_fraction},
      {"peridot_streams_taken_up_total", "Streams that callers took up at a known build.",
       to_double(router.call_metrics.streams_taken_up), true},
      {"peridot_streams_unknown_total", "Streams refused since the build that began is unknown.",
       to_double(router.call_metrics.streams_unknown), true},
      {"peridot_crash_evidence_total", "Calls broken off by targets that may have crashed.",
       static_cast<double>(router.call_metrics.crash_evidence), true},
      {"peridot_crash_probes_total", "Targets tried after they broke a call off at once.",
       static_cast<double>(router.call_metrics.crash_probes), true},
      {"peridot_crash_probes_refused_total", "Of these, that did not listen any more.",
       static_cast<double>(router.call_metrics.crash_probes_refused), true},
      {"peridot_crash_events", "Crashes of targets that are remembered.",
       to_double(router.crash_suspects.events.size())},
      {"peridot_limited_targets", "Targets that name a limit.",
       to_double(router.statements.limited_count)},
      {"peridot_suspects", "Suspects: what calls that crash targets have in common.",
       to_double(router.crash_suspects.suspects.size())},
      {"peridot_suspects_found_total", "Suspects found.",
       static_cast<double>(router.call_metrics.suspects_found), true},
      {"peridot_suspects_ended_total", "Suspects cleared, told apart from others, or expired.",
       static_cast<double>(router.call_metrics.suspects_ended), true},
      {"peridot_suspect_trials_total", "Trials of suspect calls.",
       static_cast<double>(router.call_metrics.suspect_trials), true},
      {"peridot_peer_messages_sent_total", "Messages to peers.", to_double(mesh.sent), true},
      {"peridot_peer_bytes_sent_total", "Bytes to peers.", to_double(mesh.sent_bytes), true},
      {"peridot_peer_messages_not_sent_total", "Messages to peers that had no connection.",
       to_double(mesh.not_sent), true},
      {"peridot_peer_messages_waited_total", "Messages sent once a connection was established.",
       to_double(mesh.waited), true},
      {"peridot_peer_messages_received_total", "Messages from peers.", to_double(mesh.received),
       true},
      {"peridot_peer_messages_refused_total", "Messages that failed a check.",
       to_double(mesh.invalid_mac + mesh.malformed + mesh.wrong_protocol + mesh.misaddressed +
                 mesh.stale),
       true},
      {"peridot_log_lines_dropped_total", "Log lines that did not fit their budget.",
       to_double(dropped_log_lines()), true},
  };
}

std::string target_status_line(const router_state& router, const target_state& target,
                               instant now) {
  auto load = router.loads.targets.find(target.entry.name);
  const bool has_load = load != router.loads.targets.end();
  const double cold_ms = std::max(0.0, to_ms(target.cold_until - now));
  return "target=" + target.entry.name.value + " address=" + target.entry.address +
         " pool=" + target.entry.pool.value + " domain=" + target.entry.domain.value +
         " leaving=" + (target.leaving ? "1" : "0") +
         " lapsed=" + (target.entry_expired ? "1" : "0") +
         " disputed=" + (target.is_disputed ? "1" : "0") +
         " cold_ms=" + std::to_string(static_cast<std::int64_t>(cold_ms)) +
         " avoided=" + (is_avoided(router.health, target.entry.name, now) ? "1" : "0") +
         " failure_mean=" + std::to_string(failure_rate(router.health, target.entry.name)) +
         " running=" + std::to_string(has_load ? total_running_calls(load->second) : 0) +
         " unread=" +
         std::to_string(
             has_load ? static_cast<std::int64_t>(total_pending_prefill_tokens(load->second)) : 0) +
         " read_rate=" +
         std::to_string(
             has_load ? estimated_prefill_tokens_per_ms(router.loads, load->second, current_time())
                      : 0) +
         " revision=" + to_text(target.entry.revision) + "\n";
}

std::string status_text(const router_state& router) {
  const instant now = current_time();
  std::string text =
      "router=" + router.settings.name + " domain=" + router.settings.domain.value +
      " incarnation=" + std::to_string(router.self.incarnation) +
      " ready=" + (router.ready ? "1" : "0") + " stopping=" + (router.stopping ? "1" : "0") +
      " overloaded=" + (router.overload.shedding ? "1" : "0") +
      " calls=" + std::to_string(router.calls.size()) +
      " store_disturbed=" + (router.store.unavailable ? "1" : "0") + " config=" +
      std::to_string(router.store.config == nullptr ? 0 : router.store.config->version) + "\n";
  for (const failure_domain_name& domain : router.store.targets.evacuated) {
    text += "evacuated=" + domain.value + "\n";
  }
  for (const std::pair<const target_name, target_state>& entry : router.store.targets.targets) {
    text += target_status_line(router, entry.second, now);
  }
  for (const std::pair<const router_address, peer_state>& entry : router.membership.peers) {
    text += "peer=" + entry.first.value + " domain=" + entry.second.domain.value +
            " alive=" + (is_alive(entry.second, now) ? "1" : "0") +
            " leaving=" + (entry.second.leaving ? "1" : "0") +
            " incarnation=" + std::to_string(entry.second.incarnation) + "\n";
  }
  for (const std::pair<const organisation_name, token_usage_window>& entry : router.shares.own) {
    text += "organisation=" + entry.first.value +
            " asked_tokens=" + std::to_string(static_cast<std::int64_t>(entry.second.asked_sum)) +
            " served_tokens=" + std::to_string(static_cast<std::int64_t>(entry.second.served_sum)) +
            " share_position=" + std::to_string(share_position(router.shares, entry.first)) + "\n";
  }
  return text;
}

}  // namespace

void handle_readiness_request(router_state& router,
                              const std::shared_ptr<http_exchange>& exchange) {
  if (!platform::is_readiness_path(path_of(exchange->head.request_target))) {
    send_response(*exchange, 404, plain_text_headers, "no such page\n");
    return;
  }
  const bool ready = router.ready && !router.stopping && !router.overload.shedding;
  const char* text = ready             ? "ready\n"
                     : router.stopping ? "leaving\n"
                     : router.ready    ? "overloaded\n"
                                       : "not ready\n";
  send_response(*exchange, ready ? 200 : 503, plain_text_headers, text);
}

void handle_control_request(router_state& router, const std::shared_ptr<http_exchange>& exchange) {
  const std::string_view path = path_of(exchange->head.request_target);
  if (path == "/status") {
    send_response(*exchange, 200, plain_text_headers, status_text(router));
  } else if (path == "/metrics") {
    send_response(*exchange, 200, plain_text_headers,
                  to_exposition(router.call_metrics, scalar_metrics(router)));
  } else if (path == "/health") {
    send_response(*exchange, 200, plain_text_headers, "ok\n");
  } else {
    send_response(*exchange, 404, plain_text_headers, "no such page\n");
  }
}

}  // namespace peridot
