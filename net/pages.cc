// Pages for balancers and operators: health, readiness, status, time line,
// metrics.

#include <utility>

#include "net/process_internal.h"

namespace peridot {
namespace {

const std::vector<http_header> plain_text = {{"Content-Type", "text/plain; charset=utf-8"}};

double as_number(std::size_t value) {
  return static_cast<double>(value);
}

std::vector<gauge> gauges(const router_process& process) {
  const router_core& core = process.core;
  const mesh_counters& mesh = process.peers->counters;
  return {
      {"peridot_config_version", "Version in force.",
       as_number(core.config == nullptr ? 0 : core.config->version)},
      {"peridot_queued_requests", "Requests that wait for a target.", as_number(core.entry.queued)},
      {"peridot_requests", "Requests that wait or run.", as_number(core.entry.requests.size())},
      {"peridot_connections", "Open connections of callers.",
       as_number(process.server->connections)},
      {"peridot_owned_shards", "Shards this router schedules.", as_number(core.own_shards.size())},
      {"peridot_outstanding_grants", "Grants that have not been finished.",
       as_number(core.scheduler.grants.size())},
      {"peridot_used_keys", "Idempotency keys remembered.", as_number(core.keys.used.size())},
      {"peridot_peer_messages_sent_total", "Messages to peers.", as_number(mesh.sent), true},
      {"peridot_peer_bytes_sent_total", "Bytes to peers.", as_number(mesh.sent_bytes), true},
      {"peridot_peer_messages_received_total", "Messages from peers.", as_number(mesh.received),
       true},
      {"peridot_peer_bytes_received_total", "Bytes from peers.", as_number(mesh.received_bytes),
       true},
      {"peridot_peer_messages_refused_total", "Messages that failed a check.",
       as_number(mesh.bad_seal + mesh.malformed + mesh.wrong_version + mesh.misaddressed +
                 mesh.repeated),
       true},
      {"peridot_peer_messages_malformed_total", "Messages of peers with impossible contents.",
       as_number(core.malformed_messages), true},
      {"peridot_peer_messages_not_sent_total", "Messages without a connection.",
       as_number(mesh.not_sent), true},
      {"peridot_service_calls_total", "Calls to the platform's service.",
       as_number(process.config_watch.calls + process.list_watch.calls), true},
  };
}

}  // namespace

bool handle_page(router_process& process, const std::shared_ptr<server_exchange>& exchange) {
  const std::string& path = exchange->path;
  if (path == "/health") {
    reply(*exchange, 200, plain_text, "alive\n");
  } else if (path == "/ready") {
    const bool ready = is_ready(process.core);
    const char* text = process.core.stopping ? "leaving\n" : ready ? "ready\n" : "not ready\n";
    reply(*exchange, ready ? 200 : 503, plain_text, text);
  } else if (path == "/status") {
    reply(*exchange, 200, plain_text, status_text(process.core, current_time()));
  } else if (path == "/timeline") {
    reply(*exchange, 200, plain_text, to_lines(process.core.events));
  } else if (path == "/metrics") {
    reply(*exchange, 200, {{"Content-Type", "text/plain; version=0.0.4"}},
          to_exposition(process.counts, gauges(process)));
  } else {
    return false;
  }
  return true;
}

}  // namespace peridot
