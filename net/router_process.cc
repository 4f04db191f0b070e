#include "net/router_process.h"

#include <csignal>
#include <random>
#include <utility>

#include "net/log.h"
#include "net/process_internal.h"

namespace peridot {
namespace {

// Keeps sequence numbers of events above those of earlier incarnations, unless one
// recorded more than these.
constexpr std::uint64_t events_per_millisecond = 1'000;

constexpr std::chrono::milliseconds stop_linger{300};  // for the last answers to leave

std::uint64_t random_incarnation() {
  std::random_device source;
  const std::uint64_t high = source();
  return (high << 32) | source() | 1;
}

// Keeps fencing numbers growing when all routers restart at once.
std::uint64_t wall_clock_milliseconds() {
  const std::chrono::system_clock::duration since_epoch =
      std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

router_options make_options(const router_settings& settings) {
  router_options options;
  options.name = settings.name;
  options.self = router_identity{settings.mesh_address, random_incarnation()};
  options.domain = settings.domain;
  options.http_address = settings.http_address;
  options.seeds = settings.seeds;
  options.fleet_key = settings.fleet_key;
  options.key_life = settings.key_life;
  options.max_keys = settings.max_keys;
  options.key_result_bytes = settings.key_result_bytes;
  options.key_results_total_bytes = settings.key_results_total_bytes;
  options.max_queued = settings.max_queued;
  options.timeline_events = settings.timeline_events;
  options.load_poll = settings.load_poll;
  options.fencing_floor = wall_clock_milliseconds();
  options.first_event = options.fencing_floor * events_per_millisecond;
  return options;
}

void on_exchange(router_process& process, const std::shared_ptr<server_exchange>& exchange) {
  if (exchange->path == "/v1/requests") {
    handle_call(process, exchange);
  } else if (exchange->path == "/v1/keys") {
    handle_key_request(process, exchange);
  } else if (!handle_page(process, exchange)) {
    answer_failure(process, *exchange,
                   {outcome::not_run, refusal::bad_request, {}, "There is no such path."});
  }
}

void on_peer_message(router_process& process, const router_identity& from,
                     const wire::peer_message& message) {
  effects todo;
  router_on_message(process.core, from, message, current_time(), todo);
  carry_out(process, todo);
}

void on_tick(router_process& process) {
  const instant now = current_time();
  receive_messages(*process.peers);
  effects todo;
  router_tick(process.core, now, todo);
  carry_out(process, todo);
  if (!process.core.stopping) {
    keep_watching(process, now);
    return;
  }
  const bool drained =
      is_drained(process.core) && process.calls.empty() && process.forwards.empty();
  if (drained || now >= process.stop_before) {
    process.exit_status = drained ? 0 : 1;
    const timeval linger = to_timeval(stop_linger);
    event_base_loopexit(process.base.get(), &linger);
    process.tick_event.reset();
    log_line(log_part::process, drained ? log_level::info : log_level::error,
             drained ? "All work has ended." : "Stopped before all work had ended.");
  }
}

void on_stop_signal(evutil_socket_t, short, void* argument) {
  router_process& process = *static_cast<router_process*>(argument);
  if (process.core.stopping) {
    return;
  }
  log_line(log_part::process, log_level::info, "Stopping gracefully.");
  const instant now = current_time();
  process.stop_before = now + process.settings.stop_grace;
  effects todo;
  router_stop(process.core, now, todo);
  carry_out(process, todo);
}

// Precondition: no other thread of this process accepts signals.
void block_stop_signal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

leaf::result<void> open_sockets(router_process& process) {
  const mesh_options mesh_settings{process.core.options.self, process.settings.name,
                                   process.settings.fleet_key};
  BOOST_LEAF_ASSIGN(process.peers, start_mesh(process.base.get(), mesh_settings,
                                              [&process](const router_identity& from,
                                                         const wire::peer_message& message) {
                                                on_peer_message(process, from, message);
                                              }));
  server_options http;
  http.address = process.settings.http_address;
  http.max_connections = process.settings.max_connections;
  http.max_header_bytes = process.settings.max_header_bytes;
  http.max_body_bytes = process.settings.max_body_bytes;
  BOOST_LEAF_ASSIGN(process.server,
                    start_server(process.base.get(), http,
                                 [&process](const std::shared_ptr<server_exchange>& exchange) {
                                   on_exchange(process, exchange);
                                 }));
  return {};
}

// Opens the sockets; a failure is logged with its step and peer.
bool try_open_sockets(router_process& process) {
  return leaf::try_handle_all(
      [&process]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(open_sockets(process));
        return true;
      },
      [](const error_step& step, const error_peer& peer, const error_cause& cause) {
        log_line(log_part::process, log_level::error,
                 "Socket cannot be opened. step=" + step.value + " peer=" + peer.value +
                     " cause=" + cause.value);
        return false;
      },
      []() { return false; });
}

}  // namespace

instant current_time() {
  return std::chrono::steady_clock::now();
}

void carry_out(router_process& process, effects& todo) {
  const std::uint64_t newest_event = process.core.events.next_sequence - 1;
  for (const outgoing_message& message : todo.messages) {
    send_message(*process.peers, message, newest_event);
  }
  // What follows may make the core decide more; that is carried out by the callee.
  for (const dispatch& what : todo.dispatches) {
    start_run(process, what);
  }
  for (const decision& what : todo.decisions) {
    std::map<std::uint64_t, std::unique_ptr<caller_call>>::iterator found =
        process.calls.find(what.request);
    if (found != process.calls.end()) {
      end_with_failure(process, *found->second, {what.how, what.why, what.retry_after, ""});
    }
  }
  for (const target_config& target : todo.load_polls) {
    start_load_poll(process, target);
  }
  if (process.peers->readable != nullptr) {
    // Sending may have consumed the edge of the inbound descriptor.
    receive_messages(*process.peers);
  }
}

int run_router(const router_settings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  start_logging(settings.name, settings.log_level);
  router_process process;
  process.settings = settings;
  process.base.reset(event_base_new());
  process.core = make_router(make_options(settings), current_time());
  process.config_watch.kind = wire::document_configuration;
  process.list_watch.kind = wire::document_instance_list;
  if (!try_open_sockets(process)) {
    return 1;
  }
  process.on_tick = [&process]() { on_tick(process); };
  process.tick_event = run_periodically(process.base.get(), settings.tick, &process.on_tick);
  process.stop_event.reset(evsignal_new(process.base.get(), SIGTERM, on_stop_signal, &process));
  event_add(process.stop_event.get(), nullptr);
  log_line(log_part::process, log_level::info,
           "Started. http=" + settings.http_address + " mesh=" + settings.mesh_address.value +
               " domain=" + settings.domain.value);
  event_base_dispatch(process.base.get());
  // The clean-up frees the handler of the signal; a further one must not end the
  // process with another status after all its work has ended.
  block_stop_signal();
  log_line(log_part::process, log_level::info, "Stopped.");
  return process.exit_status;
}

}  // namespace peridot
