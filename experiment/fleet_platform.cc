// The platform of a run: published documents, the lagging list, and operators.

#include <algorithm>
#include <sstream>
#include <utility>

#include "experiment/fleet_state.h"

namespace peridot::experiment {
namespace {

constexpr duration service_way = std::chrono::milliseconds{2};
constexpr duration watch_poll = std::chrono::milliseconds{100};  // stands for a waiting watch
constexpr duration watch_wait = std::chrono::seconds{10};
constexpr duration failed_watch_pause = std::chrono::seconds{1};
constexpr std::chrono::milliseconds grant_validity{400};
constexpr std::chrono::milliseconds lease{2'000};

void write_domains(const fleet_state& fleet, std::ostringstream& out) {
  for (std::uint32_t index = 0; index < fleet.options.domains; ++index) {
    const domain_name domain{"domain-" + std::to_string(index)};
    out << "[[failure_domain]]\nname = \"" << domain.value
        << "\"\nout = " << (fleet.platform.out.contains(domain) ? "true" : "false") << "\n";
  }
}

void write_targets(const fleet_state& fleet, std::ostringstream& out) {
  for (const std::pair<const target_name, fake_target>& entry : fleet.targets) {
    const target_config& target = entry.second.config;
    out << "[[target]]\nname = \"" << target.name.value << "\"\naddress = \"" << target.address
        << "\"\npool = \"" << target.pool.value << "\"\nfailure_domain = \"" << target.domain.value
        << "\"\nkind = \"model_engine\"\nwarm_limit = " << target.warm_limit
        << "\ncold_limit = " << target.cold_limit << "\nramp_calls = " << target.ramp_calls
        << "\nreserved_slots = 0\ndrained = "
        << (fleet.platform.drained.contains(target.name) ? "true" : "false") << "\n";
  }
}

void write_callers(const fleet_state& fleet, std::ostringstream& out) {
  std::set<profile_name> profiles;
  std::set<organisation_name> organisations;
  for (const caller_group& group : fleet.options.callers) {
    if (profiles.insert(group.profile).second) {
      out << "[[profile]]\nname = \"" << group.profile.value << "\"\npool = \""
          << (group.keyed ? "booking" : "explain")
          << "\"\nrepeatable = " << (group.keyed ? "false" : "true")
          << "\nqueue_deadline_ms = 20000\n";
    }
    if (organisations.insert(group.organisation).second) {
      out << "[[organisation]]\nname = \"" << group.organisation.value
          << "\"\nweight = " << std::fixed << group.weight << "\nmax_queued = 1000\n";
    }
  }
}

bool answers(const fleet_state& fleet) {
  return fleet.queue.now >= fleet.platform.down_until;
}

void receive_document(fleet_state& fleet, std::size_t index, std::uint64_t generation,
                      wire::document_kind kind, const std::string& text) {
  schedule_in(fleet.queue, service_way, [&fleet, index, generation, kind, text]() {
    on_router(fleet, index, generation, [&fleet, index, kind, text](driven_router& router) {
      if (fleet.options.stale_routers_keep_config && router.core->config != nullptr) {
        return;
      }
      effects todo;
      const document_verdict verdict = router_on_document(
          *router.core, kind, text, "platform", local_time(router, fleet.queue.now), todo);
      if (verdict == document_verdict::refused) {
        violated(fleet,
                 "a good document was refused: " + to_text(router.core->refused_config.front()));
      }
      check_versions(fleet, router);
      carry_out(fleet, index, todo);
    });
  });
}

void read_values(fleet_state& fleet, std::size_t index, std::uint64_t generation) {
  const bool stale = fleet.queue.now < fleet.platform.stale_until;
  const std::string& config = stale ? fleet.platform.old_config_text : fleet.platform.config_text;
  receive_document(fleet, index, generation, wire::document_configuration, config);
  receive_document(fleet, index, generation, wire::document_instance_list,
                   fleet.platform.list_text);
}

void update_withdrawn(fleet_state& fleet) {
  for (const std::pair<const target_name, fake_target>& entry : fleet.targets) {
    const bool withdrawn = fleet.platform.out.contains(entry.second.config.domain) ||
                           fleet.platform.drained.contains(entry.first);
    if (withdrawn) {
      fleet.platform.withdrawn_by.emplace(entry.first, fleet.platform.config_version);
    } else {
      fleet.platform.withdrawn_by.erase(entry.first);
    }
  }
}

}  // namespace

std::string make_config_text(const fleet_state& fleet) {
  std::ostringstream out;
  out << "version = " << fleet.platform.config_version
      << "\n[fleet]\nshards_per_pool = " << fleet.options.shards_per_pool
      << "\nlease_ms = " << lease.count() << "\ngrant_validity_ms = " << grant_validity.count()
      << "\n";
  write_domains(fleet, out);
  write_callers(fleet, out);
  write_targets(fleet, out);
  return out.str();
}

std::string make_list_text(const fleet_state& fleet) {
  std::ostringstream out;
  out << "version = " << fleet.platform.list_version << "\n";
  for (const driven_router& router : fleet.routers) {
    out << "[[router]]\naddress = \"" << router.address.value
        << "\"\nhttp_address = \"127.0.0.1:" << 8000 + router.index << "\"\nfailure_domain = \""
        << router.domain.value << "\"\nstate = \"live\"\n";
  }
  for (const std::pair<const target_name, fake_target>& entry : fleet.targets) {
    out << "[[target]]\nname = \"" << entry.first.value << "\"\nstate = \"live\"\n";
  }
  return out.str();
}

void publish_config(fleet_state& fleet) {
  fake_platform& platform = fleet.platform;
  if (fleet.queue.now >= platform.stale_until) {
    platform.old_config_text = platform.config_text;
  }
  ++platform.config_version;
  platform.config_text = make_config_text(fleet);
  update_withdrawn(fleet);
}

void publish_list(fleet_state& fleet) {
  ++fleet.platform.list_version;
  fleet.platform.list_text = make_list_text(fleet);
}

// A waiting watch is polled here at a fine grain, and counted as the calls that a
// real one makes: one when it begins, and one more each time it ends.
void watch_platform(fleet_state& fleet, std::size_t index, std::uint64_t generation) {
  driven_router& router = fleet.routers[index];
  if (router.core == nullptr || router.generation != generation) {
    return;
  }
  duration next = watch_poll;
  const bool awake = fleet.queue.now >= router.paused_until;
  if (awake && !router.core->stopping && wants_watch(*router.core)) {
    const std::uint64_t have = router.core->config == nullptr ? 0 : router.core->config->version;
    const bool news = answers(fleet) && (have != fleet.platform.config_version);
    if (news) {
      fleet.platform.calls += 2;  // configuration and list
      read_values(fleet, index, generation);
    } else if (!answers(fleet)) {
      fleet.platform.calls += 2;
      next = failed_watch_pause;
    } else if (chance(fleet.random, std::chrono::duration<double>(watch_poll) /
                                        std::chrono::duration<double>(watch_wait))) {
      fleet.platform.calls += 2;
    }
  }
  schedule_in(fleet.queue, next,
              [&fleet, index, generation]() { watch_platform(fleet, index, generation); });
}

void operator_step(fleet_state& fleet, const std::string& step) {
  const std::size_t space = step.find(' ');
  const std::string verb = step.substr(0, space);
  const std::string name = step.substr(space + 1);
  if (verb == "out") {
    fleet.platform.out.insert(domain_name{name});
  } else if (verb == "back") {
    fleet.platform.out.erase(domain_name{name});
  } else if (verb == "drain") {
    fleet.platform.drained.insert(target_name{name});
  } else if (verb == "undrain") {
    fleet.platform.drained.erase(target_name{name});
  } else if (verb == "service_down") {
    fleet.platform.down_until = fleet.queue.now + std::chrono::seconds{std::stoi(name)};
  } else if (verb == "cut") {
    for (driven_router& router : fleet.routers) {
      router.group = router.domain == domain_name{name} ? 1 : 0;
    }
  } else if (verb == "heal") {
    for (driven_router& router : fleet.routers) {
      router.group = 0;
    }
  } else if (verb == "restart") {
    // Every target of the failure domain turns cold without warning.
    for (std::pair<const target_name, fake_target>& entry : fleet.targets) {
      if (entry.second.config.domain == domain_name{name}) {
        lose_runs(fleet, entry.second, std::chrono::seconds{2});
      }
    }
  } else {
    violated(fleet, "unknown operator step: " + step);
  }
  if (verb == "out" || verb == "back" || verb == "drain" || verb == "undrain") {
    publish_config(fleet);
  }
}

}  // namespace peridot::experiment
