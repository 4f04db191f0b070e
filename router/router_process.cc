#include "router/router_process.h"

#include <csignal>
#include <random>
#include <utility>

#include "core/base/ip_endpoint.h"
#include "core/base/keep_first.h"
#include "core/base/stable_hash.h"
#include "core/base/version.h"
#include "net/log.h"
#include "router/call_internal.h"
#include "router/planned_stop.h"

namespace peridot {
namespace {

constexpr milliseconds tick_interval{100};
// The shortest delay after which a timer fires in a later loop iteration.
constexpr milliseconds loop_probe_delay{1};
constexpr std::size_t max_internal_connections = 32;  // per listener: readiness, control, metrics

constexpr milliseconds share_log_interval{1'000};
constexpr std::chrono::seconds settings_check_interval{10};  // a small local file
// A router that starts learns within this time whether others read the store for it.
constexpr milliseconds first_watch_delay{1'500};
constexpr std::size_t max_logged_organisations = 4;  // those that were served most tokens

std::string tokens_text(double tokens) {
  return std::to_string(static_cast<std::int64_t>(tokens));
}

std::uint64_t random_incarnation() {
  std::random_device source;
  const std::uint64_t high = source();
  return (high << 32) | source() | 1;
}

caller_limits current_caller_limits(const router_state& router) {
  return router.store.config == nullptr ? caller_limits{} : router.store.config->limits;
}

// The mesh addresses of the seeds. The settings list their control addresses; all instances
// use the same mesh port.
std::vector<router_address> mesh_seeds(const router_settings& settings) {
  std::vector<router_address> result;
  const std::optional<ip_endpoint> mesh_endpoint = parse_ip_endpoint(settings.mesh_address.value);
  for (const std::string& seed : settings.seeds) {
    const std::optional<ip_endpoint> endpoint = parse_ip_endpoint(seed);
    if (endpoint.has_value() && mesh_endpoint.has_value()) {
      result.push_back(router_address{endpoint->ip + ":" + std::to_string(mesh_endpoint->port)});
    }
  }
  return result;
}

void update_readiness(router_state& router) {
  const bool ready = platform::has_config_and_targets(router.store);
  if (ready != router.ready) {
    router.ready = ready;
    log_line(log_part::process, log_level::info,
             std::string(ready ? "Ready." : "Not ready.") + " config=" +
                 std::to_string(router.store.config == nullptr ? 0 : router.store.config->version) +
                 " targets=" + std::to_string(router.store.targets.targets.size()));
  }
}

// Removes the load (once none of this router's calls runs there), health and cold-start state
// of targets that are no longer in the table, and closes idle connections to leaving targets.
void remove_stale_target_state(router_state& router) {
  if (router.cleanup_generation == router.store.targets.generation) {
    return;
  }
  router.cleanup_generation = router.store.targets.generation;
  const std::map<target_name, target_state>& known_targets = router.store.targets.targets;
  std::erase_if(router.loads.targets,
                [&known_targets](const std::pair<const target_name, target_load>& item) {
                  return !known_targets.contains(item.first) && item.second.running_calls == 0;
                });
  std::erase_if(router.health.targets,
                [&known_targets](const std::pair<const target_name, target_health>& item) {
                  return !known_targets.contains(item.first);
                });
  mark_leaving_targets(router.statements, router.store.targets);
  record_leaving_entries(router.statements, router.store.targets, current_time());
  forget_targets(router.statements, router.store.targets, current_time());
  std::erase_if(router.rate_limiter.schedules,
                [&known_targets](const std::pair<const target_name, send_schedule>& item) {
                  return !known_targets.contains(item.first);
                });
  for (const std::pair<const target_name, target_state>& entry : known_targets) {
    if (entry.second.leaving) {
      close_idle_connections_to(router.target_client, entry.second.entry.address);
    }
  }
}

// Tokens per second of all engines, less what the limits that some of them name take off; 0:
// unknown.
double engine_capacity(const router_state& router) {
  if (router.store.config == nullptr) {
    return 0;
  }
  const fleet_config& config = *router.store.config;
  if (router.statements.limited_count == 0) {
    return config.tokens_per_second;
  }
  std::size_t engine_count = 0;
  std::vector<double> limits;
  for (const std::pair<const target_name, target_state>& entry : router.store.targets.targets) {
    const pool* target_pool = find_pool(config, entry.second.entry.pool);
    if (target_pool == nullptr || !target_pool->has_engines ||
        !is_usable(router.store.targets, entry.second)) {
      continue;
    }
    ++engine_count;
    const std::optional<double> limit = rate_limit(router.statements, entry.second.entry);
    if (limit.has_value()) {
      limits.push_back(*limit);
    }
  }
  return capacity_under_limits(config.tokens_per_second, engine_count, limits,
                               router.shares.mean_call_tokens);
}

// Records how long a loop iteration took. If the overload state changes, responses start or
// stop announcing the end of their connections, and new connections may be rejected.
void update_overload(router_state& router, duration loop_time, instant now) {
  const overload_state before = router.overload;
  record_loop_time(router.overload, loop_time, peers_accept_calls(router), now);
  const overload_state& after = router.overload;
  if (after.shedding == before.shedding &&
      after.closing_new_connections == before.closing_new_connections) {
    return;
  }
  set_close_after_response(*router.caller_listener, after.shedding || router.stopping);
  const std::uint64_t connections_rejected =
      set_rejecting_connections(*router.caller_listener, after.closing_new_connections);
  log_line(log_part::process, log_level::warn,
           std::string("Overload state of the instance changed. shedding=") +
               (after.shedding ? "1" : "0") +
               " closing=" + (after.closing_new_connections ? "1" : "0") + " turn_ms=" +
               ms_text(after.mean_loop_time) + " calls=" + std::to_string(router.calls.size()) +
               " connections=" + std::to_string(router.caller_listener->connections.size()) +
               " turned_away=" + std::to_string(connections_rejected));
}

// Logs the usage of the organisations that this router serves, at most once per
// share_log_interval and only while demand exceeds the capacity.
void log_shares(router_state& router, instant now) {
  const share_table& shares = router.shares;
  if (shares.fair_share_per_window <= 0 || now - router.shares_logged_at < share_log_interval) {
    return;
  }
  router.shares_logged_at = now;
  using named_usage = std::pair<organisation_name, token_usage>;
  std::vector<named_usage> most_served;
  for (const std::pair<const organisation_name, token_usage_window>& entry : shares.own) {
    auto total = shares.totals.find(stable_hash(entry.first.value));
    if (total != shares.totals.end()) {
      most_served.emplace_back(entry.first, total->second);
    }
  }
  keep_first(most_served, max_logged_organisations,
             [](const named_usage& left, const named_usage& right) {
               return left.second.served > right.second.served;
             });
  std::string text =
      "Demand exceeds capacity. reports=" + std::to_string(shares.peer_usage.size()) +
      " fair_share=" + tokens_text(shares.fair_share_per_window) +
      " admission_level=" + tokens_text(shares.admission_level_per_window) +
      " view_age_ms=" + ms_text(fleet_view_age(router, now));
  for (const named_usage& usage : most_served) {
    text += " " + usage.first.value + "=" + tokens_text(usage.second.served) + "/" +
            tokens_text(usage.second.asked);
  }
  log_line(log_part::process, log_level::info, text);
}

// Notes which text of the settings file was read just now, and logs and counts its errors.
void record_settings_read(router_state& router, const settings_result& loaded,
                          const std::string& effect) {
  router.settings_text_hash = loaded.text_hash;
  router.settings_errors = loaded.errors.size();
  for (const document_error& error : loaded.errors) {
    log_line(log_part::process, log_level::error, effect + " " + to_text(error));
  }
}

// Reads the settings file again, so that errors show before a restart meets them if it has changed
// without a signal. The settings in force stay.
void check_settings_file(router_state& router, instant now) {
  if (now - router.settings_checked_at < settings_check_interval) {
    return;
  }
  router.settings_checked_at = now;
  const settings_result loaded = load_settings(router.settings_path);
  if (loaded.text_hash == router.settings_text_hash) {
    return;
  }
  log_line(log_part::process, log_level::info,
           "Settings file changed; not in force before SIGHUP or a restart. errors=" +
               std::to_string(loaded.errors.size()) + " usable=" + (loaded.usable ? "1" : "0"));
  record_settings_read(router, loaded, "Changed settings file has an error.");
}

void on_tick(router_state& router) {
  const instant now = current_time();
  // Measures the duration of a loop iteration: the callback runs in the next one, after all
  // sockets that are ready in this one.
  run_after(router.base.get(), loop_probe_delay, [&router, now]() {
    const instant probed_at = current_time();
    update_overload(router, probed_at - now - loop_probe_delay, probed_at);
  });
  receive_messages(*router.peer_mesh);
  refresh_peer_counts(router.membership, now);
  update_senders(router.rate_limiter, possibly_active_peers(router.membership, now));
  platform::remove_expired_targets(router.store, now);
  remove_stale_target_state(router);
  update_readiness(router);
  update_fair_share(router.shares, engine_capacity(router), router.membership.rounds_per_cycle,
                    now);
  log_shares(router, now);
  expire_peer_loads(router.loads, now);
  update_crash_suspects(router);
  update_witnesses(router, now);
  send_due_streams(router, now);
  router.store_client.turn = position_in_fleet(router.membership.counts);
  platform::set_live_peer_count(router.store_client, expected_store_readers(router.membership) - 1,
                                now);
  close_stale_connections(router.target_client, now);
  close_stale_connections(router.store_client.http, now);
  check_settings_file(router, now);
  if (router.stopping) {
    advance_stop(router, now);
  }
  flush_log();
}

void on_term(evutil_socket_t, short, void* argument) {
  router_state& router = *static_cast<router_state*>(argument);
  if (!router.stopping) {
    begin_stop(router, current_time());
    send_gossip(router);
  }
}

void apply_removal_times(router_state& router) {
  platform::set_removal_times(
      router.store, make_removal_times(router.settings.heartbeat_interval,
                                       router.settings.leaving_limit, router.settings.store_touch));
}

// Reloads the settings. The name, the failure domain, and the mesh and callers addresses keep
// their values. Other settings that are only read at start take effect after a restart: the
// readiness, control, metrics and store addresses, fleet_key, log_level, gossip_interval_ms,
// max_connections and max_body_total.
void on_hup(evutil_socket_t, short, void* argument) {
  router_state& router = *static_cast<router_state*>(argument);
  const settings_result loaded = load_settings(router.settings_path);
  record_settings_read(router, loaded, "Settings rejected.");
  if (!loaded.errors.empty()) {
    return;
  }
  const router_settings previous = std::exchange(router.settings, loaded.settings);
  router.settings.name = previous.name;
  router.settings.domain = previous.domain;
  router.settings.mesh_address = previous.mesh_address;
  router.settings.callers_address = previous.callers_address;
  apply_removal_times(router);
  router.membership.seeds = mesh_seeds(router.settings);
  for (const router_address& seed : router.membership.seeds) {
    if (seed != router.self.address) {
      router.membership.peers.try_emplace(seed).first->second.discovered_at = current_time();
    }
  }
  log_line(log_part::process, log_level::info, "Settings reloaded.");
}

leaf::result<std::unique_ptr<http_listener>> open_internal_listener(
    router_state& router, const std::string& address,
    void (*handler)(router_state&, const std::shared_ptr<http_exchange>&)) {
  listener_options options;
  options.address = address;
  options.max_connections = max_internal_connections;
  return start_listener(
      router.base.get(), options, []() { return caller_limits{}; },
      [&router, handler](const std::shared_ptr<http_exchange>& exchange) {
        handler(router, exchange);
      });
}

leaf::result<void> open_sockets(router_state& router) {
  const router_settings& settings = router.settings;
  const mesh_options mesh_settings{router.self, settings.name, settings.fleet_key};
  BOOST_LEAF_ASSIGN(router.peer_mesh, start_mesh(router.base.get(), mesh_settings,
                                                 [&router](const router_identity& from,
                                                           const wire::peer_message& message) {
                                                   on_peer_message(router, from, message);
                                                 }));
  BOOST_LEAF_ASSIGN(
      router.readiness_listener,
      open_internal_listener(router, settings.readiness_address, handle_readiness_request));
  if (!settings.control_address.empty()) {
    BOOST_LEAF_ASSIGN(
        router.control_listener,
        open_internal_listener(router, settings.control_address, handle_control_request));
  }
  listener_options caller_options;
  caller_options.address = settings.callers_address;
  caller_options.max_connections = settings.max_connections;
  caller_options.max_body_total = settings.max_body_total;
  caller_options.max_accepts_per_iteration = max_accepts_per_iteration;
  caller_options.backlog = accept_backlog;
  BOOST_LEAF_ASSIGN(
      router.caller_listener,
      start_listener(
          router.base.get(), caller_options, [&router]() { return current_caller_limits(router); },
          [&router](const std::shared_ptr<http_exchange>& exchange) {
            handle_call(router, exchange);
          }));
  return {};
}

// Calls `open`. Returns false if it failed, and logs the step, address and cause of the error.
template <class Open>
bool try_open(Open open) {
  return leaf::try_handle_all(
      [&open]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(open());
        return true;
      },
      [](const error_step& step, const error_subject& subject, const error_cause& cause) {
        log_line(log_part::process, log_level::error,
                 "Socket cannot be opened. step=" + step.value + " peer=" + subject.value +
                     " cause=" + cause.value);
        return false;
      },
      []() { return false; });
}

void open_metrics_listener(router_state& router) {
  if (router.settings.metrics_address.empty()) {
    return;
  }
  // The router also runs without this listener; try_open() has logged the failure.
  try_open([&router]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(
        router.metrics_listener,
        open_internal_listener(router, router.settings.metrics_address, handle_control_request));
    return {};
  });
}

event_ptr add_signal_handler(router_state& router, int number, event_callback_fn handler) {
  event_ptr signal_event(evsignal_new(router.base.get(), number, handler, &router));
  event_add(signal_event.get(), nullptr);
  return signal_event;
}

void start_timers_and_signal_handlers(router_state& router) {
  router.tick_timer_callback = [&router]() { on_tick(router); };
  router.tick_timer =
      run_periodically(router.base.get(), tick_interval, &router.tick_timer_callback);
  router.gossip_timer_callback = [&router]() { send_gossip(router); };
  router.gossip_timer = run_periodically(router.base.get(), router.settings.gossip_interval,
                                         &router.gossip_timer_callback);
  router.term_signal = add_signal_handler(router, SIGTERM, on_term);
  router.hup_signal = add_signal_handler(router, SIGHUP, on_hup);
}

// Precondition: no other thread of this process accepts signals.
void block_term_signal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

}  // namespace

int run_router(const settings_result& loaded, const std::string& settings_path) {
  const router_settings& settings = loaded.settings;
  std::signal(SIGPIPE, SIG_IGN);
  start_logging(settings.name, settings.log_level);
  router_state router;
  router.settings = settings;
  router.settings_path = settings_path;
  record_settings_read(router, loaded, "Error in the settings; the default is in force.");
  router.base.reset(event_base_new());
  router.self = {settings.mesh_address, random_incarnation()};
  router.random.seed(static_cast<std::minstd_rand::result_type>(router.self.incarnation));
  router.started_at = current_time();
  router.rate_limiter.self = router.self.address;
  router.rate_limiter.started_at = router.started_at;
  apply_removal_times(router);
  router.target_client.base = router.base.get();
  router.membership = make_membership(router.self, mesh_seeds(settings), settings.gossip_interval,
                                      router.started_at);
  router.membership.domain = settings.domain;
  router.membership.processor_percent = static_cast<int>(settings.processor_share * 100);
  if (!router.membership.peers.empty()) {
    router.store_client.first_watch_delay = first_watch_delay;
  }
  if (!try_open([&router]() { return open_sockets(router); })) {
    flush_log();
    return 1;
  }
  open_metrics_listener(router);
  log_line(log_part::process, log_level::info,
           std::string("Started. version=") + program_version +
               " callers=" + settings.callers_address + " mesh=" + settings.mesh_address.value +
               " domain=" + settings.domain.value +
               " incarnation=" + std::to_string(router.self.incarnation));
  platform::start_store_client(
      router.store_client, router.base.get(), settings.store_address, router.store, [&router]() {
        router.view.store_answered_at = router.store_client.targets_answered_at;
        remove_stale_target_state(router);
        update_readiness(router);
        pass_on_items(router);
      });
  start_timers_and_signal_handlers(router);
  event_base_dispatch(router.base.get());
  // A second SIGTERM must not end the process with another exit status.
  block_term_signal();
  platform::stop_store_client(router.store_client);
  log_line(log_part::process, log_level::info, "Stopped.");
  flush_log();
  return router.exit_status;
}

}  // namespace peridot
