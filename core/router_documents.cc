// Documents from the platform's service and from peers. Versions only grow: an
// older document is ignored wherever it comes from, and a bad one is refused
// whole, so the last good one stays in force.

#include <algorithm>
#include <utility>

#include "core/router_internal.h"

namespace peridot {
namespace {

std::vector<shard_key> all_shards(const published_config& config) {
  std::vector<shard_key> shards;
  for (const pool_name& pool : pools(config)) {
    for (std::uint32_t index = 0; index < config.fleet.shards_per_pool; ++index) {
      const shard_key shard{pool, index};
      const bool has_targets = std::any_of(
          config.targets.begin(), config.targets.end(), [&](const target_config& target) {
            return target.pool == pool &&
                   shard_of(pool, target.name, config.fleet.shards_per_pool) == shard;
          });
      if (has_targets) {
        shards.push_back(shard);
      }
    }
  }
  return shards;
}

document_verdict refuse(router_core& core, const std::vector<document_error>& errors,
                        const std::string& source, instant now) {
  core.refused_config = errors;
  timeline_event event;
  event.kind = event_kind::config_refused;
  event.peer = source;
  event.detail = to_text(errors.front());
  note(core, std::move(event), now);
  return document_verdict::refused;
}

document_verdict accept_config(router_core& core, const std::string& text,
                               const std::string& source, instant now, effects& todo) {
  const config_result result = parse_published_config(text, source);
  if (result.config == nullptr) {
    return refuse(core, result.errors, source, now);
  }
  const published_config& fresh = *result.config;
  const bool newer =
      core.config == nullptr ||
      std::pair(fresh.version, fresh.digest) > std::pair(core.config->version, core.config->digest);
  if (!newer) {
    return document_verdict::not_newer;
  }
  core.config = result.config;
  core.shards = all_shards(fresh);
  core.refused_config.clear();
  note(core,
       {.kind = event_kind::config_accepted,
        .peer = source,
        .detail = "version=" + std::to_string(fresh.version)},
       now);
  for (const decision& refused : refuse_unpublished(core.entry, make_entry_context(core), now)) {
    todo.decisions.push_back(refused);
  }
  send_heartbeats(core.members, fleet_of(core), make_local_status(core, now), now, todo.messages);
  return document_verdict::accepted;
}

document_verdict accept_list(router_core& core, const std::string& text, const std::string& source,
                             instant now) {
  const list_result result = parse_instance_list(text, source);
  if (result.list == nullptr) {
    return refuse(core, result.errors, source, now);
  }
  if (core.list != nullptr && result.list->version <= core.list->version) {
    return document_verdict::not_newer;
  }
  core.list = result.list;
  note(core,
       {.kind = event_kind::list_accepted,
        .peer = source,
        .detail = "version=" + std::to_string(core.list->version)},
       now);
  return document_verdict::accepted;
}

}  // namespace

document_verdict router_on_document(router_core& core, wire::document_kind kind,
                                    const std::string& text, const std::string& source, instant now,
                                    effects& todo) {
  if (kind == wire::document_configuration) {
    return accept_config(core, text, source, now, todo);
  }
  return accept_list(core, text, source, now);
}

}  // namespace peridot
