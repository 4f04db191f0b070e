// What a router believes, as text for the operators' tool.

#include <sstream>

#include "core/router_internal.h"

namespace peridot {
namespace {

const char* state_text(member_state state) {
  switch (state) {
    case member_state::unknown:
      return "unknown";
    case member_state::alive:
      return "alive";
    case member_state::leaving:
      return "leaving";
    case member_state::gone:
      return "gone";
  }
  return "unknown";
}

void write_targets(const router_core& core, std::ostringstream& out) {
  for (const std::pair<const shard_key, shard_row>& shard : core.scheduler.shards) {
    for (const std::pair<const target_name, target_row>& entry : shard.second.targets) {
      const target_row& row = entry.second;
      const target_config* config = find_target(*core.config, entry.first);
      const std::uint32_t limit = config == nullptr ? 0 : current_limit(*config, row.completed);
      const bool withdrawn = config == nullptr || (core.list != nullptr &&
                                                   is_withdrawn(*core.config, *core.list, *config));
      out << "target name=" << entry.first.value << " pool=" << shard.first.pool.value
          << " shard=" << shard.first.index << " in_flight=" << row.in_flight
          << " foreign=" << row.foreign_in_flight << " limit=" << limit << " usable=" << row.usable
          << " withdrawn=" << withdrawn << " completed=" << row.completed
          << " boot_id=" << row.boot_id << "\n";
    }
  }
}

void write_queues(const router_core& core, instant now, std::ostringstream& out) {
  for (const std::pair<const queue_key, std::deque<std::uint64_t>>& entry : core.entry.queues) {
    if (entry.second.empty()) {
      continue;
    }
    const request_row& head = core.entry.requests.at(entry.second.front());
    const std::chrono::milliseconds waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - head.queued);
    out << "queue pool=" << entry.first.pool.value
        << " organisation=" << entry.first.organisation.value << " queued=" << entry.second.size()
        << " head_waits_ms=" << waited.count() << "\n";
  }
}

}  // namespace

std::string status_text(const router_core& core, instant now) {
  std::ostringstream out;
  out << "router name=" << core.options.name << " address=" << core.options.self.address.value
      << " http=" << core.options.http_address << " domain=" << core.options.domain.value
      << " incarnation=" << std::hex << core.options.self.incarnation << std::dec
      << " ready=" << is_ready(core) << " stopping=" << core.stopping
      << " config_version=" << (core.config == nullptr ? 0 : core.config->version)
      << " list_version=" << (core.list == nullptr ? 0 : core.list->version)
      << " queued=" << core.entry.queued << " requests=" << core.entry.requests.size()
      << " keys_used=" << core.keys.used.size() << " watches=" << wants_watch(core) << "\n";
  for (const std::pair<const router_address, member>& entry : core.members.members) {
    const member& peer = entry.second;
    const std::chrono::milliseconds silence =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - peer.last_heard);
    out << "member address=" << entry.first.value << " state=" << state_text(peer.state)
        << " domain=" << peer.domain.value << " silent_ms=" << silence.count()
        << " config_version=" << peer.config_version << " owns=" << peer.owned.size() << "\n";
  }
  for (const shard_key& shard : core.own_shards) {
    out << "shard pool=" << shard.pool.value << " index=" << shard.index << "\n";
  }
  if (core.config != nullptr) {
    write_targets(core, out);
    write_queues(core, now, out);
  }
  for (const document_error& error : core.refused_config) {
    out << "refused_document problem=" << to_text(error) << "\n";
  }
  return out.str();
}

}  // namespace peridot
