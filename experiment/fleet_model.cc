#include "experiment/fleet_model.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>

#include "core/base/stable_hash.h"
#include "core/fleet/membership.h"
#include "core/routing/admission.h"
#include "core/routing/fair_share.h"
#include "core/routing/overload.h"
#include "core/routing/placement.h"
#include "experiment/fairness.h"
#include "experiment/router_processor.h"

namespace peridot::experiment {
namespace {

constexpr milliseconds gossip_interval{200};  // default of the router's setting gossip_interval_ms
constexpr int max_sends = 2;                  // per call: a refused call is retried once
constexpr double size_independent_worth_fraction = 0.3;  // the rest grows with size
constexpr milliseconds overload_sample_interval{100};    // the router's tick
constexpr milliseconds reconnect_delay{6};               // a round trip between caller and router
constexpr milliseconds connect_timeout{1'000};           // of a caller
constexpr int max_reconnects = 8;  // of a call whose connections are closed unread

const instant simulation_start = instant{} + std::chrono::hours{1};

enum class event_kind {
  arrival,
  decision,
  step,
  gossip,
  deadline,
  overload_sample,
  readiness_check
};

struct timed_event {
  instant at{};
  std::uint64_t sequence = 0;  // orders events of equal time deterministically
  event_kind kind = event_kind::arrival;
  std::size_t index = 0;  // of the call, engine or router
};

bool operator>(const timed_event& left, const timed_event& right) {
  return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
}

struct simulated_call {
  std::size_t kind_index = 0;
  std::size_t organisation_index = 0;
  prompt call_prompt;
  double output_tokens = 0;
  double worth = 0;
  instant arrived_at{};
  std::optional<duration> time_to_first_token;  // from arrived_at
  int sends = 0;
  int refusals = 0;
  int reconnects = 0;
  bool completed = false;
  bool given_up = false;  // refused for the last time, or past its deadline
  std::size_t router_index = 0;
  std::size_t engine_index = 0;
  call_load added_load;
  bool at_engine = false;
};

struct simulated_router {
  load_table loads;
  share_table shares;
  router_processor processor;
  overload_state overload;
  int unread_calls = 0;                    // whose connection waits to be accepted
  std::vector<std::size_t> pending_peers;  // indexes of those not yet reached in this gossip cycle
};

struct simulation_state {
  const load_scenario* scenario = nullptr;
  routing_policy policy = routing_policy::peridot;
  std::mt19937_64 random;
  std::vector<simulated_call> calls;
  std::vector<simulated_router> routers;
  std::vector<balanced_router> balancer;  // empty: processors are not modelled
  router_costs costs;
  std::vector<engine_model> engines;
  std::vector<bool> step_scheduled;
  std::vector<candidate> candidates;
  std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>> events;
  std::uint64_t next_sequence = 0;
  // Hashes of the shared segments that any engine has prefilled.
  std::set<std::uint64_t> prefilled_segments;
  double repeated_prefill_tokens = 0;
  fairness_log fairness;
  instant now = simulation_start;
};

bool has_admission(routing_policy policy) {
  return policy == routing_policy::peridot || policy == routing_policy::unlimited_accepts;
}

void add_event(simulation_state& state, instant at, event_kind kind, std::size_t index) {
  state.events.push({at, state.next_sequence++, kind, index});
}

double sample_tokens(std::mt19937_64& random, const segment_distribution& segment) {
  std::normal_distribution<double> normal(-segment.log_sigma * segment.log_sigma / 2,
                                          segment.log_sigma);
  return std::max(16.0, segment.mean_tokens * std::exp(normal(random)));
}

// Size of a variant of a segment: the same for all prompts that share it.
double variant_tokens(const segment_distribution& segment, std::uint64_t variant) {
  std::mt19937_64 random(variant);
  return sample_tokens(random, segment);
}

// Inverts the continuous form of the Zipf distribution: P(rank < r) = (r / n)^(1 - exponent).
std::uint64_t sample_variant(std::mt19937_64& random, const segment_distribution& segment) {
  const double fraction = std::uniform_real_distribution<double>(0, 1)(random);
  const double rank = segment.variants * std::pow(fraction, 1 / (1 - segment.zipf_exponent));
  return std::min(static_cast<std::uint64_t>(rank),
                  static_cast<std::uint64_t>(segment.variants - 1));
}

double surge_factor(const load_scenario& scenario, load_surge::scope scope, int index, instant at) {
  double factor = 1;
  for (const load_surge& surge : scenario.surges) {
    if (surge.applies_to == scope && surge.index == index &&
        at >= simulation_start + surge.start_offset &&
        at < simulation_start + surge.start_offset + surge.length) {
      factor *= surge.factor;
    }
  }
  return factor;
}

const organisation_options& organisation_of(const load_scenario& scenario, std::size_t index) {
  static const organisation_options defaults;
  return scenario.organisations.empty() ? defaults : scenario.organisations[index];
}

prompt make_prompt(simulation_state& state, const call_kind_options& kind, std::size_t kind_index,
                   std::uint64_t call_index, double unique_factor, instant at) {
  prompt result;
  result.model = "m";
  std::uint64_t hash = kind_index + 1;
  double tokens = 0;
  // 1: no subject surge is active.
  const double subject_fraction =
      surge_factor(*state.scenario, load_surge::scope::subject, static_cast<int>(kind_index), at);
  const bool is_surge_subject = subject_fraction < 1 && std::uniform_real_distribution<double>(
                                                            0, 1)(state.random) < subject_fraction;
  for (const segment_distribution& segment : kind.shared_segments) {
    const std::uint64_t variant = is_surge_subject ? 0 : sample_variant(state.random, segment);
    hash = stable_hash(std::to_string(variant), hash);
    tokens += variant_tokens(segment, hash);
    result.prefixes.push_back({hash, tokens});
  }
  tokens += unique_factor * sample_tokens(state.random, kind.unique_segment);
  result.prefixes.push_back({stable_hash("call", call_index + 1'000'000), tokens});
  result.prompt_tokens = tokens;
  return result;
}

std::size_t sample_organisation(simulation_state& state, instant at) {
  std::vector<double> weights;
  weights.reserve(static_cast<std::size_t>(state.scenario->organisation_count));
  for (int organisation_index = 0; organisation_index < state.scenario->organisation_count;
       ++organisation_index) {
    const double weight =
        state.scenario->organisations.empty()
            ? 1.0 / (organisation_index + 1)
            : state.scenario->organisations[static_cast<std::size_t>(organisation_index)].weight;
    weights.push_back(weight * surge_factor(*state.scenario, load_surge::scope::organisation,
                                            organisation_index, at));
  }
  return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(state.random);
}

void add_calls_of_kind(simulation_state& state, std::size_t kind_index) {
  const call_kind_options& kind = state.scenario->kinds[kind_index];
  instant at = simulation_start;
  while (true) {
    const double rate =
        kind.calls_per_second *
        surge_factor(*state.scenario, load_surge::scope::kind, static_cast<int>(kind_index), at);
    at += from_ms(1'000 * std::exponential_distribution<double>(rate)(state.random));
    if (at >= simulation_start + state.scenario->length) {
      return;
    }
    simulated_call call;
    call.kind_index = kind_index;
    call.organisation_index = sample_organisation(state, at);
    call.call_prompt =
        make_prompt(state, kind, kind_index, state.calls.size(),
                    organisation_of(*state.scenario, call.organisation_index).prompt_factor, at);
    call.output_tokens =
        std::max(1.0, std::round(sample_tokens(state.random, {kind.mean_output_tokens, 0.5, 0})));
    call.call_prompt.max_output_tokens = call.output_tokens * 2;
    call.call_prompt.expected_output_tokens = call.output_tokens;
    call.arrived_at = at;
    call.worth = kind.worth;
    state.calls.push_back(std::move(call));
  }
}

// Multiplies the worth of each call by min(4, f + (1 - f) * size / mean size of its kind), with
// f = size_independent_worth_fraction. An output token counts as 10 prompt tokens.
void scale_worth(simulation_state& state) {
  for (std::size_t kind_index = 0; kind_index < state.scenario->kinds.size(); ++kind_index) {
    double total_size = 0;
    double count = 0;
    for (const simulated_call& call : state.calls) {
      total_size += call.kind_index == kind_index
                        ? call.call_prompt.prompt_tokens + 10 * call.output_tokens
                        : 0;
      count += call.kind_index == kind_index ? 1 : 0;
    }
    for (simulated_call& call : state.calls) {
      if (call.kind_index == kind_index) {
        const double relative_size =
            (call.call_prompt.prompt_tokens + 10 * call.output_tokens) / (total_size / count);
        call.worth *= std::min(4.0, size_independent_worth_fraction +
                                        (1 - size_independent_worth_fraction) * relative_size);
      }
    }
  }
}

organisation_name organisation_name_of(std::size_t organisation_index) {
  return organisation_name{"org-" + std::to_string(organisation_index)};
}

void schedule_step(simulation_state& state, std::size_t engine_index) {
  if (!state.step_scheduled[engine_index]) {
    state.step_scheduled[engine_index] = true;
    add_event(state, state.now, event_kind::step, engine_index);
  }
}

std::size_t rounds_per_cycle(const simulation_state& state) {
  return gossip_rounds_per_cycle(state.routers.size() - 1);
}

placement place_call(simulation_state& state, simulated_call& call, bool earliest_first_token) {
  simulated_router& router = state.routers[call.router_index];
  const call_kind_options& kind = state.scenario->kinds[call.kind_index];
  placement choice;
  if (state.policy == routing_policy::least_connections ||
      state.policy == routing_policy::rendezvous) {
    const std::uint64_t shared_prefix_hash =
        call.call_prompt.prefixes.size() >= 2
            ? call.call_prompt.prefixes[call.call_prompt.prefixes.size() - 2].hash
            : call.call_prompt.prefixes.back().hash;
    double best = 0;
    for (const candidate& target : state.candidates) {
      const double score =
          state.policy == routing_policy::rendezvous
              ? static_cast<double>(stable_hash(target.name.value, shared_prefix_hash))
              : -router.loads.targets[target.name].running_calls;
      if (choice.chosen == nullptr || score > best) {
        choice.chosen = &target;
        best = score;
      }
    }
    return choice;
  }
  milliseconds min_latency_objective = kind.latency_objective;
  for (const call_kind_options& other : state.scenario->kinds) {
    min_latency_objective = std::min(min_latency_objective, other.latency_objective);
  }
  return choose_engine(
      router.loads, state.candidates,
      {.call_prompt = &call.call_prompt,
       .kv_capacity_tokens = state.scenario->engine.kv_capacity_tokens,
       .min_latency_objective = min_latency_objective,
       .time_left = call.arrived_at + kind.caller_timeout - state.now,
       .earliest_first_token = earliest_first_token,
       .sample_fraction = engine_sample_fraction(rounds_per_cycle(state)),
       .sample_seed = stable_hash("sample", call.call_prompt.prefixes.back().hash)});
}

admission_decision decide_admission(const simulation_state& state, const simulated_call& call,
                                    const placement& choice, bool is_fallback, double jitter) {
  const call_kind_options& kind = state.scenario->kinds[call.kind_index];
  return admit({.queue_wait = from_ms(choice.queue_ms),
                .processing_time = from_ms(choice.first_token_ms - choice.queue_ms),
                .elapsed = duration{0},
                .latency_objective = kind.latency_objective,
                .time_left = call.arrived_at + kind.caller_timeout - state.now,
                .share_position = share_position(state.routers[call.router_index].shares,
                                                 organisation_name_of(call.organisation_index)),
                .level_position = level_position(state.routers[call.router_index].shares,
                                                 organisation_name_of(call.organisation_index)),
                .jitter = jitter,
                .is_fallback = is_fallback});
}

bool is_admitted(const simulation_state& state, const simulated_call& call, const placement& choice,
                 bool is_fallback) {
  return !has_admission(state.policy) ||
         decide_admission(state, call, choice, is_fallback, 0).admitted;
}

double random_fraction(simulation_state& state) {
  return std::uniform_real_distribution<double>(0, 1)(state.random);
}

// A refused call is retried after `delay`, until it has been sent max_sends times.
void refuse_call(simulation_state& state, std::size_t call_index, duration delay) {
  simulated_call& call = state.calls[call_index];
  ++call.refusals;
  record_unmet(state.fairness, call.organisation_index, state.now - simulation_start);
  if (call.sends < max_sends) {
    add_event(state, state.now + delay, event_kind::arrival, call_index);
  } else {
    call.given_up = true;
  }
}

std::size_t sample_entry_router(simulation_state& state, const simulated_call& call) {
  const int entry_routers = organisation_of(*state.scenario, call.organisation_index).entry_routers;
  if (!state.balancer.empty()) {
    const std::uint64_t client = entry_routers == 0
                                     ? state.random()
                                     : state.random() % static_cast<std::uint64_t>(entry_routers);
    return choose_router(state.balancer,
                         stable_hash(organisation_name_of(call.organisation_index).value, client));
  }
  if (entry_routers == 0) {
    return state.random() % state.routers.size();
  }
  // Organisations enter at different routers.
  constexpr std::size_t first_router_stride = 7;
  const std::size_t first = call.organisation_index * first_router_stride;
  return (first + state.random() % static_cast<std::size_t>(entry_routers)) % state.routers.size();
}

bool peers_accept_calls(const simulation_state& state) {
  const auto accepting =
      std::count_if(state.routers.begin(), state.routers.end(),
                    [](const simulated_router& router) { return !router.overload.shedding; });
  return enough_peers_accept_calls(static_cast<std::size_t>(accepting), state.routers.size());
}

// Decides on a call that its router has read.
void on_decision(simulation_state& state, std::size_t call_index) {
  simulated_call& call = state.calls[call_index];
  const call_kind_options& kind = state.scenario->kinds[call.kind_index];
  simulated_router& router = state.routers[call.router_index];
  router.unread_calls -= state.balancer.empty() ? 0 : 1;
  if (call.given_up) {
    return;  // the caller left before its request was read
  }
  const duration time_left = call.arrived_at + kind.caller_timeout - state.now;
  if (has_admission(state.policy) &&
      should_refuse_new_call(router.overload, kind.latency_objective, peers_accept_calls(state))) {
    refuse_call(state, call_index, retry_after(min_retry_after, time_left, random_fraction(state)));
    return;
  }
  record_asked_tokens(router.shares, organisation_name_of(call.organisation_index),
                      weighted_tokens(call.call_prompt), state.now);
  const double fraction =
      has_admission(state.policy)
          ? admitted_fraction(router.shares, organisation_name_of(call.organisation_index))
          : 1;
  if (fraction < 1 && random_fraction(state) >= fraction) {
    refuse_call(state, call_index,
                retry_after(default_retry_after, time_left, random_fraction(state)));
    return;
  }
  placement choice = place_call(state, call, false);
  if (!is_admitted(state, call, choice, false)) {
    // Tries the engine with the earliest first token as fallback. If that is refused too, the
    // retry delay follows the first placement.
    const placement first_choice = choice;
    choice = place_call(state, call, true);
    if (!is_admitted(state, call, choice, true)) {
      refuse_call(
          state, call_index,
          decide_admission(state, call, first_choice, false, random_fraction(state)).retry_after);
      return;
    }
  }
  spend(router.processor, state.costs.served_call - state.costs.refused_call, state.now);
  call.engine_index = static_cast<std::size_t>(choice.chosen - state.candidates.data());
  call.added_load = record_call_sent(router.loads, choice.chosen->name, &call.call_prompt,
                                     state.scenario->engine.kv_capacity_tokens, state.now);
  record_served_tokens(router.shares, organisation_name_of(call.organisation_index),
                       weighted_tokens(call.call_prompt), state.now);
  call.at_engine = true;
  engine_request request;
  request.id = call_index;
  request.call_prompt = call.call_prompt;
  request.output_tokens = call.output_tokens;
  submit(state.engines[call.engine_index], std::move(request));
  schedule_step(state, call.engine_index);
}

void on_arrival(simulation_state& state, std::size_t call_index) {
  simulated_call& call = state.calls[call_index];
  const call_kind_options& kind = state.scenario->kinds[call.kind_index];
  if (call.sends == 0 && call.reconnects == 0) {
    add_event(state, call.arrived_at + kind.caller_timeout, event_kind::deadline, call_index);
  }
  if (call.given_up) {
    return;
  }
  call.router_index = sample_entry_router(state, call);
  simulated_router& router = state.routers[call.router_index];
  if (router.overload.closing_new_connections && call.reconnects < max_reconnects) {
    spend(router.processor, state.costs.closed_connection, state.now);
    ++call.reconnects;
    record_unmet(state.fairness, call.organisation_index, state.now - simulation_start);
    add_event(state, state.now + reconnect_delay, event_kind::arrival, call_index);
    return;
  }
  ++call.sends;
  if (state.policy == routing_policy::peridot && router.unread_calls >= accept_backlog) {
    refuse_call(state, call_index, connect_timeout);  // the connection is not established
    return;
  }
  record_asked(state.fairness, call.organisation_index, state.now - simulation_start,
               weighted_tokens(call.call_prompt));
  if (state.balancer.empty()) {
    on_decision(state, call_index);
  } else {
    ++router.unread_calls;
    add_event(state, spend(router.processor, state.costs.refused_call, state.now),
              event_kind::decision, call_index);
  }
}

void remove_from_engine(simulation_state& state, simulated_call& call) {
  call.at_engine = false;
  record_call_ended(state.routers[call.router_index].loads,
                    state.candidates[call.engine_index].name, call.added_load);
}

void on_first_token(simulation_state& state, std::size_t call_index, instant first_token_at) {
  simulated_call& call = state.calls[call_index];
  if (call.time_to_first_token.has_value()) {
    return;  // a preempted request generates its first token again
  }
  call.time_to_first_token = first_token_at - call.arrived_at;
  record_served(state.fairness, call.organisation_index, first_token_at - simulation_start,
                weighted_tokens(call.call_prompt));
  if (*call.time_to_first_token > state.scenario->kinds[call.kind_index].latency_objective) {
    record_unmet(state.fairness, call.organisation_index, first_token_at - simulation_start);
  }
  simulated_router& router = state.routers[call.router_index];
  record_first_token(router.loads, state.candidates[call.engine_index].name, call.added_load,
                     first_token_at);
}

void on_step(simulation_state& state, std::size_t engine_index) {
  const step_result step = run_step(state.engines[engine_index], state.now);
  for (const uncached_segment& segment : step.uncached_segments) {
    if (segment.shared && !state.prefilled_segments.insert(segment.hash).second) {
      state.repeated_prefill_tokens += segment.tokens;
    }
  }
  const instant end = state.now + step.elapsed;
  for (std::uint64_t call_index : step.first_token_ids) {
    on_first_token(state, call_index, end);
  }
  for (std::uint64_t call_index : step.completed_ids) {
    state.calls[call_index].completed = true;
    remove_from_engine(state, state.calls[call_index]);
  }
  state.step_scheduled[engine_index] = step.elapsed > duration{0};
  if (step.elapsed > duration{0}) {
    add_event(state, end, event_kind::step, engine_index);
  }
}

void on_deadline(simulation_state& state, std::size_t call_index) {
  simulated_call& call = state.calls[call_index];
  if (call.completed || call.given_up) {
    return;
  }
  call.given_up = true;
  if (call.at_engine) {
    cancel(state.engines[call.engine_index], call_index, state.now);
    remove_from_engine(state, call);
  }
}

// The peers of the router's next gossip round. A cycle of rounds reaches each peer once; loads
// that peers reported expire when it starts.
std::vector<std::size_t> next_round_peers(simulation_state& state, std::size_t router_index) {
  simulated_router& router = state.routers[router_index];
  if (router.pending_peers.empty()) {
    rotate_prefill_reports(router.loads);
    expire_peer_loads(router.loads, state.now);
    for (std::size_t peer = 0; peer < state.routers.size(); ++peer) {
      if (peer != router_index) {
        router.pending_peers.push_back(peer);
      }
    }
  }
  const std::size_t count = std::min(router.pending_peers.size(), max_peers_per_round);
  std::vector<std::size_t> peers(router.pending_peers.end() - static_cast<std::ptrdiff_t>(count),
                                 router.pending_peers.end());
  router.pending_peers.resize(router.pending_peers.size() - count);
  return peers;
}

// Sends the router's loads and token usage to the peers of one round, and updates its fair
// share.
void on_gossip(simulation_state& state, std::size_t router_index) {
  simulated_router& sender = state.routers[router_index];
  const router_address sender_address{std::to_string(router_index)};
  const instant valid_until = state.now + report_ttl_for(gossip_interval, rounds_per_cycle(state));
  const std::vector<std::size_t> peers = next_round_peers(state, router_index);
  std::map<std::uint64_t, token_usage> reported_tokens;
  for (const std::pair<const organisation_name, token_usage_window>& entry : sender.shares.own) {
    reported_tokens[stable_hash(entry.first.value)] = {entry.second.asked_sum,
                                                       entry.second.served_sum};
  }
  for (std::size_t receiver_index : peers) {
    simulated_router& receiver = state.routers[receiver_index];
    reported_targets reported;
    reported.valid_until = valid_until;
    for (const std::pair<const target_name, target_load>& entry : sender.loads.targets) {
      const target_load& load = entry.second;
      if (load.running_calls == 0 && load.current_prefill_report.prefixes.empty()) {
        continue;
      }
      reported.targets.push_back(entry.first);
      update_peer_load(
          receiver.loads, sender_address, entry.first,
          {load.running_calls, load.pending_prefill_tokens, load.kv_used_tokens, valid_until},
          load.current_prefill_report.prefixes, load.current_prefill_report.tokens);
    }
    complete_peer_report(receiver.loads, sender_address, std::move(reported));
    update_peer_usage(receiver.shares, sender_address, reported_tokens, valid_until);
  }
  update_fair_share(sender.shares, state.scenario->capacity_tokens_per_s, rounds_per_cycle(state),
                    state.now);
  add_event(state, state.now + gossip_interval, event_kind::gossip, router_index);
}

duration loop_time(const simulation_state& state, const simulated_router& router) {
  const duration all_tasks = backlog(router.processor, state.now);
  return state.policy == routing_policy::peridot
             ? std::min(all_tasks, scaled(state.costs.refused_call * max_accepts_per_iteration,
                                          1 / router.processor.cores))
             : all_tasks;
}

void on_overload_sample(simulation_state& state, std::size_t router_index) {
  simulated_router& router = state.routers[router_index];
  if (has_admission(state.policy)) {
    record_loop_time(router.overload, loop_time(state, router), peers_accept_calls(state),
                     state.now);
  }
  add_event(state, state.now + overload_sample_interval, event_kind::overload_sample, router_index);
}

void on_readiness_check(simulation_state& state, std::size_t router_index) {
  record_check(state.balancer[router_index], !state.routers[router_index].overload.shedding);
  add_event(state, state.now + readiness_check_interval, event_kind::readiness_check, router_index);
}

void process_events(simulation_state& state) {
  milliseconds max_caller_timeout{0};
  for (const call_kind_options& kind : state.scenario->kinds) {
    max_caller_timeout = std::max(max_caller_timeout, kind.caller_timeout);
  }
  while (!state.events.empty()) {
    const timed_event next = state.events.top();
    state.events.pop();
    state.now = next.at;
    if (state.now > simulation_start + state.scenario->length + max_caller_timeout) {
      return;
    }
    switch (next.kind) {
      case event_kind::arrival:
        on_arrival(state, next.index);
        break;
      case event_kind::decision:
        on_decision(state, next.index);
        break;
      case event_kind::overload_sample:
        on_overload_sample(state, next.index);
        break;
      case event_kind::readiness_check:
        on_readiness_check(state, next.index);
        break;
      case event_kind::step:
        on_step(state, next.index);
        break;
      case event_kind::gossip:
        on_gossip(state, next.index);
        break;
      case event_kind::deadline:
        on_deadline(state, next.index);
        break;
    }
  }
}

double earned_worth(const simulation_state& state, const simulated_call& call) {
  const call_kind_options& kind = state.scenario->kinds[call.kind_index];
  if (!call.completed) {
    return 0;
  }
  return call.time_to_first_token <= kind.latency_objective
             ? call.worth
             : call.worth * kind.late_worth / kind.worth;
}

// Lowest fraction of its worth that a group of calls earned. Small groups are left out, as their
// fractions vary too much.
template <class Group>
double worst_worth_fraction(const simulation_state& state, Group group_of) {
  constexpr int min_calls_per_group = 30;
  struct group_totals {
    double earned = 0;
    double worth = 0;
    int calls = 0;
  };
  std::map<std::size_t, group_totals> groups;
  for (const simulated_call& call : state.calls) {
    group_totals& totals = groups[group_of(call)];
    totals.earned += earned_worth(state, call);
    totals.worth += call.worth;
    ++totals.calls;
  }
  double worst = 1;
  for (const std::pair<const std::size_t, group_totals>& entry : groups) {
    worst = entry.second.calls < min_calls_per_group
                ? worst
                : std::min(worst, entry.second.earned / entry.second.worth);
  }
  return worst;
}

double largest_tenth_served(const simulation_state& state) {
  std::vector<const simulated_call*> calls;
  for (const simulated_call& call : state.calls) {
    if (call.kind_index == 0) {
      calls.push_back(&call);
    }
  }
  std::sort(calls.begin(), calls.end(),
            [](const simulated_call* left, const simulated_call* right) {
              return left->call_prompt.prompt_tokens > right->call_prompt.prompt_tokens;
            });
  calls.resize(std::max<std::size_t>(1, calls.size() / 10));
  const auto served = std::count_if(calls.begin(), calls.end(),
                                    [](const simulated_call* call) { return call->completed; });
  return static_cast<double>(served) / static_cast<double>(calls.size());
}

double quantile(std::vector<double>& values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  const std::size_t index =
      static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

simulation_result summarize(const simulation_state& state) {
  simulation_result result;
  result.calls = state.calls.size();
  double worth = 0;
  double refused_calls = 0;
  double served_after_refusal = 0;
  std::vector<double> first_token_ms;
  for (const simulated_call& call : state.calls) {
    worth += call.worth;
    result.worth_fraction += earned_worth(state, call);
    result.served_fraction += call.completed ? 1 : 0;
    refused_calls += call.refusals > 0 ? 1 : 0;
    served_after_refusal += call.refusals > 0 && call.completed ? 1 : 0;
    if (call.time_to_first_token.has_value()) {
      first_token_ms.push_back(to_ms(*call.time_to_first_token));
    }
  }
  const double calls = static_cast<double>(state.calls.size());
  result.worth_fraction /= worth;
  result.served_fraction /= calls;
  result.refused_fraction = refused_calls / calls;
  result.served_after_refusal_fraction =
      refused_calls > 0 ? served_after_refusal / refused_calls : 1;
  result.first_token_p50_ms = quantile(first_token_ms, 0.5);
  result.first_token_p95_ms = quantile(first_token_ms, 0.95);
  double prefilled = 0;
  double cached = 0;
  double max_prefilled = 0;
  for (const engine_model& engine : state.engines) {
    prefilled += engine.prefilled_tokens;
    cached += engine.cached_tokens;
    max_prefilled = std::max(max_prefilled, engine.prefilled_tokens);
  }
  result.cached_prompt_fraction = cached / (cached + prefilled);
  result.repeated_prefill_fraction = state.repeated_prefill_tokens / (cached + prefilled);
  result.busiest_to_mean_prefill =
      max_prefilled / prefilled * static_cast<double>(state.engines.size());
  result.worst_organisation_worth_fraction = worst_worth_fraction(
      state, [](const simulated_call& call) { return call.organisation_index; });
  result.worst_kind_worth_fraction =
      worst_worth_fraction(state, [](const simulated_call& call) { return call.kind_index; });
  result.usage = state.fairness;
  result.largest_tenth_served_fraction = largest_tenth_served(state);
  return result;
}

// Gives the routers their cores, and starts overload detection and readiness checks.
void start_processors(simulation_state& state) {
  const std::vector<double>& cores = state.scenario->router_cores;
  state.balancer.resize(cores.size());
  for (std::size_t router_index = 0; router_index < cores.size(); ++router_index) {
    const double phase = static_cast<double>(router_index) / static_cast<double>(cores.size());
    state.routers[router_index].processor.cores = cores[router_index];
    add_event(state, simulation_start + scaled(overload_sample_interval, phase),
              event_kind::overload_sample, router_index);
    add_event(state, simulation_start + scaled(readiness_check_interval, phase),
              event_kind::readiness_check, router_index);
  }
}

}  // namespace

const char* to_text(routing_policy value) {
  switch (value) {
    case routing_policy::peridot:
      return "peridotspur";
    case routing_policy::unlimited_accepts:
      return "unlimited accepts";
    case routing_policy::no_admission:
      return "no admission";
    case routing_policy::least_connections:
      return "least connections";
    case routing_policy::rendezvous:
      return "rendezvous";
  }
  return "";
}

simulation_result simulate(const load_scenario& scenario, routing_policy policy,
                           std::uint64_t seed) {
  simulation_state state;
  state.scenario = &scenario;
  state.policy = policy;
  state.random.seed(seed);
  state.fairness =
      make_fairness_log(static_cast<std::size_t>(scenario.organisation_count), scenario.length);
  for (std::size_t kind_index = 0; kind_index < scenario.kinds.size(); ++kind_index) {
    add_calls_of_kind(state, kind_index);
  }
  scale_worth(state);
  state.routers.resize(static_cast<std::size_t>(scenario.router_count));
  state.engines.resize(static_cast<std::size_t>(scenario.engine_count));
  state.step_scheduled.resize(state.engines.size(), false);
  for (std::size_t engine_index = 0; engine_index < state.engines.size(); ++engine_index) {
    state.engines[engine_index].options = scenario.engine;
    state.candidates.push_back(
        {target_name{"engine-" + std::to_string(engine_index)}, scenario.engine.slots, false});
  }
  for (std::size_t call_index = 0; call_index < state.calls.size(); ++call_index) {
    add_event(state, state.calls[call_index].arrived_at, event_kind::arrival, call_index);
  }
  for (std::size_t router_index = 0; router_index < state.routers.size(); ++router_index) {
    add_event(state, simulation_start + gossip_interval * router_index / scenario.router_count,
              event_kind::gossip, router_index);
  }
  start_processors(state);
  process_events(state);
  return summarize(state);
}

}  // namespace peridot::experiment
