#include "router/router_process.h"

#include <csignal>
#include <random>
#include <utility>

#include "core/base/ip_endpoint.h"
#include "core/base/version.h"
#include "net/log.h"
#include "router/call_internal.h"

namespace peridot {
namespace {

constexpr milliseconds tick{100};
constexpr milliseconds turn_probe{1};  // the shortest time that is not in the same turn
// From TERM: the balancer sends no new connections after two missed questions, one a
// second; the rest is for callers that reuse connections.
constexpr milliseconds close_idle_after{2'600};
constexpr milliseconds refuse_after{2'800};  // what is taken later might not end in time
constexpr milliseconds least_idle{300};      // a request on its way takes less
constexpr milliseconds exit_margin{400};     // before the platform would kill the process
constexpr std::size_t max_pages = 32;        // connections of operators and the balancer

std::uint64_t random_incarnation() {
  std::random_device source;
  const std::uint64_t high = source();
  return (high << 32) | source() | 1;
}

caller_limits limits_in_force(const router_state& router) {
  return router.store.config == nullptr ? caller_limits{} : router.store.config->limits;
}

// Seeds are control addresses; peers use one mesh port on all instances.
std::vector<router_address> mesh_seeds(const router_settings& settings) {
  std::vector<router_address> result;
  const std::optional<ip_endpoint> own = parse_ip_endpoint(settings.mesh_address.value);
  for (const std::string& seed : settings.seeds) {
    const std::optional<ip_endpoint> endpoint = parse_ip_endpoint(seed);
    if (endpoint.has_value() && own.has_value()) {
      result.push_back(router_address{endpoint->ip + ":" + std::to_string(own->port)});
    }
  }
  return result;
}

void update_ready(router_state& router) {
  const bool ready = platform::has_config_and_targets(router.store);
  if (ready != router.ready) {
    router.ready = ready;
    log_line(log_part::process, log_level::info,
             std::string(ready ? "Ready." : "Not ready.") + " config=" +
                 std::to_string(router.store.config == nullptr ? 0 : router.store.config->version) +
                 " targets=" + std::to_string(router.store.targets.targets.size()));
  }
}

// Forgets what belongs to targets that are gone.
void clean_up(router_state& router) {
  if (router.cleanup_generation == router.store.targets.generation) {
    return;
  }
  router.cleanup_generation = router.store.targets.generation;
  const std::map<target_name, target_state>& known = router.store.targets.targets;
  std::erase_if(router.loads.targets,
                [&known](const std::pair<const target_name, target_load>& item) {
                  return !known.contains(item.first) && item.second.running_calls == 0;
                });
  std::erase_if(router.health.targets,
                [&known](const std::pair<const target_name, target_health>& item) {
                  return !known.contains(item.first);
                });
  std::erase_if(router.cold_limiter.last_sent_at,
                [&known](const std::pair<const target_name, instant>& item) {
                  return !known.contains(item.first);
                });
  for (const std::pair<const target_name, target_state>& entry : known) {
    if (entry.second.leaving) {
      close_idle_connections_to(router.target_client, entry.second.entry.address);
    }
  }
}

void advance_shutdown(router_state& router, instant now) {
  const duration elapsed = now - router.stop_started_at;
  if (elapsed >= close_idle_after) {
    close_idle_connections(*router.caller_listener, least_idle);
  }
  if (elapsed >= refuse_after && !router.refusing_calls) {
    router.refusing_calls = true;  // with an answer that says "not run", until the end
  }
  const bool quiet =
      router.refusing_calls && router.calls.empty() && router.caller_listener->connections.empty();
  // The socket is closed one tick before the end: what was accepted is still answered,
  // and who comes later finds no connection instead of one that breaks.
  const bool drained = quiet && router.caller_listener->socket == nullptr;
  if (quiet) {
    stop_accepting(*router.caller_listener);
  }
  const bool late = elapsed >= router.settings.stop_grace - exit_margin;
  if (drained || late) {
    router.exit_status = router.calls.empty() ? 0 : 1;
    log_line(log_part::process, router.calls.empty() ? log_level::info : log_level::error,
             "Shutdown ends. calls_left=" + std::to_string(router.calls.size()));
    event_base_loopbreak(router.base.get());
  }
}

// Takes over how long a turn of the loop took, and tells the balancer and callers.
void update_overload(router_state& router, duration turn, instant now) {
  const overload_state before = router.overload;
  record_loop_time(router.overload, turn, peers_accept_calls(router, now), now);
  const overload_state& after = router.overload;
  if (after.shedding == before.shedding &&
      after.closing_new_connections == before.closing_new_connections) {
    return;
  }
  set_close_after_response(*router.caller_listener, after.shedding || router.stopping);
  const std::uint64_t turned_away =
      set_rejecting_connections(*router.caller_listener, after.closing_new_connections);
  log_line(log_part::process, log_level::warn,
           std::string("Instance overload changed. shedding=") + (after.shedding ? "1" : "0") +
               " closing=" + (after.closing_new_connections ? "1" : "0") + " turn_ms=" +
               ms_text(after.mean_loop_time) + " calls=" + std::to_string(router.calls.size()) +
               " connections=" + std::to_string(router.caller_listener->connections.size()) +
               " turned_away=" + std::to_string(turned_away));
}

void on_tick(router_state& router) {
  const instant now = current_time();
  // Runs in the loop's next turn, after all sockets that are ready in this one.
  run_after(router.base.get(), turn_probe, [&router, now]() {
    const instant next = current_time();
    update_overload(router, next - now - turn_probe, next);
  });
  receive_messages(*router.peer_mesh);
  platform::remove_expired_targets(router.store, now);
  clean_up(router);
  update_ready(router);
  update_fair_share(router.shares,
                    router.store.config == nullptr ? 0 : router.store.config->tokens_per_second,
                    now);
  expire_peer_loads(router.loads, now);
  expire_crash_suspects(router.crash_suspects, now);
  platform::set_live_peer_count(router.store_client, live_peer_count(router.membership, now), now);
  close_stale_connections(router.target_client, now);
  close_stale_connections(router.store_client.http, now);
  if (router.stopping) {
    advance_shutdown(router, now);
  }
  flush_log();
}

void on_term(evutil_socket_t, short, void* argument) {
  router_state& router = *static_cast<router_state*>(argument);
  if (router.stopping) {
    return;
  }
  router.stopping = true;
  router.stop_started_at = current_time();
  set_close_after_response(*router.caller_listener, true);
  log_line(log_part::process, log_level::info,
           "Stopping gracefully. calls=" + std::to_string(router.calls.size()) +
               " connections=" + std::to_string(router.caller_listener->connections.size()));
  send_gossip(router);
}

// Takes over what may change in a running process; addresses may not.
void on_hup(evutil_socket_t, short, void* argument) {
  router_state& router = *static_cast<router_state*>(argument);
  const settings_result loaded = load_settings(router.settings_path);
  for (const document_error& error : loaded.errors) {
    log_line(log_part::process, log_level::error, "Settings refused. " + to_text(error));
  }
  if (!loaded.errors.empty()) {
    return;
  }
  const router_settings old = std::exchange(router.settings, loaded.settings);
  router.settings.name = old.name;
  router.settings.domain = old.domain;
  router.settings.mesh_address = old.mesh_address;
  router.settings.callers_address = old.callers_address;
  router.membership.seeds = mesh_seeds(router.settings);
  for (const router_address& seed : router.membership.seeds) {
    if (seed != router.self.address) {
      router.membership.peers.try_emplace(seed).first->second.discovered_at = current_time();
    }
  }
  log_line(log_part::process, log_level::info, "Settings read again.");
}

leaf::result<std::unique_ptr<http_listener>> open_pages(
    router_state& router, const std::string& address,
    void (*handle)(router_state&, const std::shared_ptr<http_exchange>&)) {
  listener_options options;
  options.address = address;
  options.max_connections = max_pages;
  return start_listener(
      router.base.get(), options, []() { return caller_limits{}; },
      [&router, handle](const std::shared_ptr<http_exchange>& exchange) {
        handle(router, exchange);
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
  BOOST_LEAF_ASSIGN(router.readiness_listener,
                    open_pages(router, settings.readiness_address, handle_readiness_request));
  if (!settings.control_address.empty()) {
    BOOST_LEAF_ASSIGN(router.control_listener,
                      open_pages(router, settings.control_address, handle_control_request));
  }
  listener_options callers;
  callers.address = settings.callers_address;
  callers.max_connections = settings.max_connections;
  callers.max_body_total = settings.max_body_total;
  BOOST_LEAF_ASSIGN(router.caller_listener,
                    start_listener(
                        router.base.get(), callers, [&router]() { return limits_in_force(router); },
                        [&router](const std::shared_ptr<http_exchange>& exchange) {
                          handle_call(router, exchange);
                        }));
  return {};
}

// Runs `open`; a failure is logged with its step and peer.
template <class Open>
bool try_open(Open open) {
  return leaf::try_handle_all(
      [&open]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(open());
        return true;
      },
      [](const error_step& step, const error_subject& peer, const error_cause& cause) {
        log_line(log_part::process, log_level::error,
                 "Socket cannot be opened. step=" + step.value + " peer=" + peer.value +
                     " cause=" + cause.value);
        return false;
      },
      []() { return false; });
}

void open_metrics(router_state& router) {
  if (router.settings.metrics_address.empty()) {
    return;
  }
  // A router serves without its metrics; the failure is in the log.
  try_open([&router]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(router.metrics_listener,
                      open_pages(router, router.settings.metrics_address, handle_control_request));
    return {};
  });
}

event_ptr watch_signal(router_state& router, int number, event_callback_fn handler) {
  event_ptr handle(evsignal_new(router.base.get(), number, handler, &router));
  event_add(handle.get(), nullptr);
  return handle;
}

void start_timers(router_state& router) {
  router.on_tick = [&router]() { on_tick(router); };
  router.tick_timer = run_periodically(router.base.get(), tick, &router.on_tick);
  router.on_gossip = [&router]() { send_gossip(router); };
  router.gossip_timer =
      run_periodically(router.base.get(), router.settings.gossip_interval, &router.on_gossip);
  router.term_signal = watch_signal(router, SIGTERM, on_term);
  router.hup_signal = watch_signal(router, SIGHUP, on_hup);
}

// Precondition: no other thread of this process accepts signals.
void block_stop_signal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

}  // namespace

int run_router(const router_settings& settings, const std::string& settings_path) {
  std::signal(SIGPIPE, SIG_IGN);
  start_logging(settings.name, settings.log_level);
  router_state router;
  router.settings = settings;
  router.settings_path = settings_path;
  router.base.reset(event_base_new());
  router.self = {settings.mesh_address, random_incarnation()};
  router.random.seed(static_cast<std::minstd_rand::result_type>(router.self.incarnation));
  router.started_at = current_time();
  router.target_client.base = router.base.get();
  router.membership = make_membership(router.self, mesh_seeds(settings), settings.gossip_interval,
                                      router.started_at);
  if (!try_open([&router]() { return open_sockets(router); })) {
    flush_log();
    return 1;
  }
  open_metrics(router);
  log_line(log_part::process, log_level::info,
           std::string("Started. version=") + program_version +
               " callers=" + settings.callers_address + " mesh=" + settings.mesh_address.value +
               " domain=" + settings.domain.value +
               " incarnation=" + std::to_string(router.self.incarnation));
  platform::start_store_client(router.store_client, router.base.get(), settings.store_address,
                               router.store, [&router]() {
                                 clean_up(router);
                                 update_ready(router);
                               });
  start_timers(router);
  event_base_dispatch(router.base.get());
  // A further signal must not end the process with another status.
  block_stop_signal();
  platform::stop_store_client(router.store_client);
  log_line(log_part::process, log_level::info, "Stopped.");
  flush_log();
  return router.exit_status;
}

}  // namespace peridot
