#include "experiment/fleet_model.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>

#include "core/base/stable_hash.h"
#include "core/routing/admission.h"
#include "core/routing/fair_share.h"
#include "core/routing/placement.h"

namespace peridot::experiment {
namespace {

constexpr milliseconds gossip_interval{200};  // as the routers' setting
constexpr milliseconds news_life{1'500};
constexpr int most_sends = 2;       // a caller comes back once
constexpr double size_floor = 0.3;  // of a call's worth, whatever its size

const instant start = instant{} + std::chrono::hours{1};

enum class event_kind { arrival, step, gossip, give_up };

struct timed_event {
  instant at{};
  std::uint64_t order = 0;  // makes equal times deterministic
  event_kind kind = event_kind::arrival;
  std::size_t index = 0;  // of the call, engine or router
};

bool operator>(const timed_event& left, const timed_event& right) {
  return left.at != right.at ? left.at > right.at : left.order > right.order;
}

struct model_call {
  std::size_t kind = 0;
  std::size_t organisation = 0;
  prompt what;
  double tokens_out = 0;
  double worth = 0;
  instant arrived{};
  std::optional<duration> first;  // the first token, from the first attempt
  int sends = 0;
  int refusals = 0;
  bool ended = false;
  bool gone = false;  // refused for good, or its caller left
  std::size_t router = 0;
  std::size_t engine = 0;
  call_load cost;
  bool at_engine = false;
};

struct model_router {
  load_table loads;
  share_table shares;
};

struct model {
  const scenario* what = nullptr;
  policy how = policy::peridot;
  std::mt19937_64 random;
  std::vector<model_call> calls;
  std::vector<model_router> routers;
  std::vector<engine_model> engines;
  std::vector<bool> stepping;
  std::vector<candidate> candidates;
  std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>> events;
  std::uint64_t order = 0;
  std::set<std::uint64_t> parts_read;  // by any engine
  double shared_again = 0;
  instant now = start;
};

void add_event(model& world, instant at, event_kind kind, std::size_t index) {
  world.events.push({at, world.order++, kind, index});
}

double draw_tokens(std::mt19937_64& random, const chain_level& level) {
  std::normal_distribution<double> normal(-level.spread * level.spread / 2, level.spread);
  return std::max(16.0, level.mean_tokens * std::exp(normal(random)));
}

// Size of a thing, equal for all who share it.
double thing_tokens(const chain_level& level, std::uint64_t thing) {
  std::mt19937_64 random(thing);
  return draw_tokens(random, level);
}

// By the inverse of the distribution's continuous form: P(rank < r) = (r / n)^(1 - skew).
std::uint64_t draw_thing(std::mt19937_64& random, const chain_level& level) {
  const double part = std::uniform_real_distribution<double>(0, 1)(random);
  const double rank = level.things * std::pow(part, 1 / (1 - level.skew));
  return std::min(static_cast<std::uint64_t>(rank), static_cast<std::uint64_t>(level.things - 1));
}

double surge_factor(const scenario& what, surge::what of, int index, instant at) {
  double factor = 1;
  for (const surge& one : what.surges) {
    if (one.of == of && one.index == index && at >= start + one.from &&
        at < start + one.from + one.lasts) {
      factor *= one.times;
    }
  }
  return factor;
}

prompt make_prompt(model& world, const call_kind_model& kind, std::size_t kind_index,
                   std::uint64_t call, instant at) {
  prompt what;
  what.model = "m";
  std::uint64_t hash = kind_index + 1;
  double tokens = 0;
  const double hot =
      surge_factor(*world.what, surge::what::subject, static_cast<int>(kind_index), at);
  const bool is_hot = hot < 1 && std::uniform_real_distribution<double>(0, 1)(world.random) < hot;
  for (const chain_level& level : kind.shared) {
    const std::uint64_t thing = is_hot ? 0 : draw_thing(world.random, level);
    hash = stable_hash(std::to_string(thing), hash);
    tokens += thing_tokens(level, hash);
    what.prefixes.push_back({hash, tokens});
  }
  tokens += draw_tokens(world.random, kind.own);
  what.prefixes.push_back({stable_hash("call", call + 1'000'000), tokens});
  what.prompt_tokens = tokens;
  return what;
}

std::size_t draw_organisation(model& world, instant at) {
  // A few are large: weights fall as 1, 1/2, 1/3, ...
  std::vector<double> weights;
  weights.reserve(static_cast<std::size_t>(world.what->organisations));
  for (int one = 0; one < world.what->organisations; ++one) {
    weights.push_back(surge_factor(*world.what, surge::what::organisation, one, at) / (one + 1));
  }
  return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(world.random);
}

void add_calls_of_kind(model& world, std::size_t index) {
  const call_kind_model& kind = world.what->kinds[index];
  instant at = start;
  while (true) {
    const double rate =
        kind.per_second * surge_factor(*world.what, surge::what::kind, static_cast<int>(index), at);
    at += from_ms(1'000 * std::exponential_distribution<double>(rate)(world.random));
    if (at >= start + world.what->lasts) {
      return;
    }
    model_call call;
    call.kind = index;
    call.organisation = draw_organisation(world, at);
    call.what = make_prompt(world, kind, index, world.calls.size(), at);
    call.tokens_out =
        std::max(1.0, std::round(draw_tokens(world.random, {kind.tokens_out, 0.5, 0})));
    call.what.max_output_tokens = call.tokens_out * 2;
    call.what.expected_output_tokens = call.tokens_out;
    call.arrived = at;
    call.worth = kind.worth;
    world.calls.push_back(std::move(call));
  }
}

// A call is worth a part of its kind's worth at least, the rest by its size.
void scale_worth(model& world) {
  for (std::size_t kind = 0; kind < world.what->kinds.size(); ++kind) {
    double sum = 0;
    double count = 0;
    for (const model_call& call : world.calls) {
      sum += call.kind == kind ? call.what.prompt_tokens + 10 * call.tokens_out : 0;
      count += call.kind == kind ? 1 : 0;
    }
    for (model_call& call : world.calls) {
      if (call.kind == kind) {
        const double size = (call.what.prompt_tokens + 10 * call.tokens_out) / (sum / count);
        call.worth *= std::min(4.0, size_floor + (1 - size_floor) * size);
      }
    }
  }
}

organisation_name name_of(std::size_t organisation) {
  return organisation_name{"org-" + std::to_string(organisation)};
}

void wake(model& world, std::size_t engine) {
  if (!world.stepping[engine]) {
    world.stepping[engine] = true;
    add_event(world, world.now, event_kind::step, engine);
  }
}

placement choose(model& world, model_call& call, bool soonest) {
  model_router& router = world.routers[call.router];
  const call_kind_model& kind = world.what->kinds[call.kind];
  placement where;
  if (world.how == policy::least_connections || world.how == policy::rendezvous) {
    const std::uint64_t subject = call.what.prefixes.size() >= 2
                                      ? call.what.prefixes[call.what.prefixes.size() - 2].hash
                                      : call.what.prefixes.back().hash;
    double best = 0;
    for (const candidate& one : world.candidates) {
      const double score = world.how == policy::rendezvous
                               ? static_cast<double>(stable_hash(one.name.value, subject))
                               : -router.loads.targets[one.name].running_calls;
      if (where.chosen == nullptr || score > best) {
        where.chosen = &one;
        best = score;
      }
    }
    return where;
  }
  milliseconds shortest_aim = kind.aim;
  for (const call_kind_model& other : world.what->kinds) {
    shortest_aim = std::min(shortest_aim, other.aim);
  }
  return choose_engine(router.loads, world.candidates,
                       {.call_prompt = &call.what,
                        .kv_capacity_tokens = world.what->engine.memory_tokens,
                        .min_latency_objective = shortest_aim,
                        .time_left = call.arrived + kind.deadline - world.now,
                        .earliest_first_token = soonest});
}

admission_decision verdict_of(const model& world, const model_call& call, const placement& where,
                              bool spilled, double jitter) {
  const call_kind_model& kind = world.what->kinds[call.kind];
  return admit({.queue_wait = from_ms(where.queue_ms),
                .processing_time = from_ms(where.first_token_ms - where.queue_ms),
                .elapsed = duration{0},
                .latency_objective = kind.aim,
                .time_left = call.arrived + kind.deadline - world.now,
                .share_position =
                    share_position(world.routers[call.router].shares, name_of(call.organisation)),
                .jitter = jitter,
                .is_fallback = spilled});
}

bool is_admitted(const model& world, const model_call& call, const placement& where, bool spilled) {
  return world.how != policy::peridot || verdict_of(world, call, where, spilled, 0).admitted;
}

// The caller comes back once.
void refuse(model& world, std::size_t index, const placement& where) {
  model_call& call = world.calls[index];
  const double jitter = std::uniform_real_distribution<double>(0, 1)(world.random);
  const admission_decision verdict = verdict_of(world, call, where, false, jitter);
  ++call.refusals;
  if (call.sends < most_sends) {
    add_event(world, world.now + verdict.retry_after, event_kind::arrival, index);
  } else {
    call.gone = true;
  }
}

void on_arrival(model& world, std::size_t index) {
  model_call& call = world.calls[index];
  const call_kind_model& kind = world.what->kinds[call.kind];
  if (call.sends == 0) {
    add_event(world, call.arrived + kind.deadline, event_kind::give_up, index);
  }
  ++call.sends;
  call.router = world.random() % world.routers.size();
  model_router& router = world.routers[call.router];
  record_asked_tokens(router.shares, name_of(call.organisation), weighted_tokens(call.what),
                      world.now);
  placement where = choose(world, call, false);
  if (!is_admitted(world, call, where, false)) {
    const placement first = where;
    where = choose(world, call, true);
    if (!is_admitted(world, call, where, true)) {
      refuse(world, index, first);
      return;
    }
  }
  call.engine = static_cast<std::size_t>(where.chosen - world.candidates.data());
  call.cost = record_call_sent(router.loads, where.chosen->name, &call.what,
                               world.what->engine.memory_tokens, world.now);
  call.at_engine = true;
  engine_run run;
  run.id = index;
  run.what = call.what;
  run.tokens_out = call.tokens_out;
  submit(world.engines[call.engine], std::move(run));
  wake(world, call.engine);
}

void leave_engine(model& world, model_call& call) {
  call.at_engine = false;
  record_call_ended(world.routers[call.router].loads, world.candidates[call.engine].name,
                    call.cost);
}

void on_first_token(model& world, std::size_t index, instant when) {
  model_call& call = world.calls[index];
  if (call.first.has_value()) {
    return;  // it was preempted and starts anew
  }
  call.first = when - call.arrived;
  model_router& router = world.routers[call.router];
  record_first_token(router.loads, world.candidates[call.engine].name, call.cost, when);
  record_served_tokens(router.shares, name_of(call.organisation), weighted_tokens(call.what), when);
}

void on_step(model& world, std::size_t engine) {
  const step_result done = take_step(world.engines[engine], world.now);
  for (const read_part& part : done.read) {
    if (part.shared && !world.parts_read.insert(part.hash).second) {
      world.shared_again += part.tokens;
    }
  }
  const instant end = world.now + done.time;
  for (std::uint64_t index : done.first_token) {
    on_first_token(world, index, end);
  }
  for (std::uint64_t index : done.ended) {
    world.calls[index].ended = true;
    leave_engine(world, world.calls[index]);
  }
  world.stepping[engine] = done.time > duration{0};
  if (done.time > duration{0}) {
    add_event(world, end, event_kind::step, engine);
  }
}

void on_give_up(model& world, std::size_t index) {
  model_call& call = world.calls[index];
  if (call.ended || call.gone) {
    return;
  }
  call.gone = true;
  if (call.at_engine) {
    cancel(world.engines[call.engine], index, world.now);
    leave_engine(world, call);
  }
}

// One router tells all others.
void on_gossip(model& world, std::size_t index) {
  model_router& from = world.routers[index];
  const router_address name{std::to_string(index)};
  const instant until = world.now + news_life;
  rotate_prefill_reports(from.loads);
  std::map<std::uint64_t, token_usage> tokens;
  for (const std::pair<const organisation_name, token_usage_window>& entry : from.shares.own) {
    tokens[stable_hash(entry.first.value)] = {entry.second.asked_sum, entry.second.served_sum};
  }
  for (std::size_t other = 0; other < world.routers.size(); ++other) {
    if (other == index) {
      continue;
    }
    model_router& to = world.routers[other];
    for (const std::pair<const target_name, target_load>& entry : from.loads.targets) {
      const target_load& load = entry.second;
      update_peer_load(
          to.loads, name, entry.first,
          {load.running_calls, load.pending_prefill_tokens, load.kv_used_tokens, until},
          load.current_prefill_report.prefixes, load.current_prefill_report.tokens);
    }
    update_peer_usage(to.shares, name, tokens, until);
  }
  expire_peer_loads(from.loads, world.now);
  update_fair_share(from.shares, world.what->tokens_per_s, world.now);
  add_event(world, world.now + gossip_interval, event_kind::gossip, index);
}

void run(model& world) {
  milliseconds longest{0};
  for (const call_kind_model& kind : world.what->kinds) {
    longest = std::max(longest, kind.deadline);
  }
  while (!world.events.empty()) {
    const timed_event next = world.events.top();
    world.events.pop();
    world.now = next.at;
    if (world.now > start + world.what->lasts + longest) {
      return;
    }
    switch (next.kind) {
      case event_kind::arrival:
        on_arrival(world, next.index);
        break;
      case event_kind::step:
        on_step(world, next.index);
        break;
      case event_kind::gossip:
        on_gossip(world, next.index);
        break;
      case event_kind::give_up:
        on_give_up(world, next.index);
        break;
    }
  }
}

double earned(const model& world, const model_call& call) {
  const call_kind_model& kind = world.what->kinds[call.kind];
  if (!call.ended) {
    return 0;
  }
  return call.first <= kind.aim ? call.worth : call.worth * kind.late_worth / kind.worth;
}

// The lowest share earned by a group of calls; small groups say nothing.
template <class Group>
double worst_of(const model& world, Group group) {
  constexpr int least_calls = 30;
  struct sums {
    double earned = 0;
    double worth = 0;
    int calls = 0;
  };
  std::map<std::size_t, sums> groups;
  for (const model_call& call : world.calls) {
    sums& one = groups[group(call)];
    one.earned += earned(world, call);
    one.worth += call.worth;
    ++one.calls;
  }
  double worst = 1;
  for (const std::pair<const std::size_t, sums>& one : groups) {
    worst = one.second.calls < least_calls ? worst
                                           : std::min(worst, one.second.earned / one.second.worth);
  }
  return worst;
}

double largest_tenth_served(const model& world) {
  std::vector<const model_call*> first;
  for (const model_call& call : world.calls) {
    if (call.kind == 0) {
      first.push_back(&call);
    }
  }
  std::sort(first.begin(), first.end(), [](const model_call* left, const model_call* right) {
    return left->what.prompt_tokens > right->what.prompt_tokens;
  });
  first.resize(std::max<std::size_t>(1, first.size() / 10));
  const auto served =
      std::count_if(first.begin(), first.end(), [](const model_call* call) { return call->ended; });
  return static_cast<double>(served) / static_cast<double>(first.size());
}

double quantile(std::vector<double>& values, double part) {
  if (values.empty()) {
    return 0;
  }
  const std::size_t index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

outcome summarize(const model& world) {
  outcome result;
  result.calls = world.calls.size();
  double worth = 0;
  double refused = 0;
  double returned = 0;
  std::vector<double> first;
  for (const model_call& call : world.calls) {
    worth += call.worth;
    result.worth += earned(world, call);
    result.served += call.ended ? 1 : 0;
    refused += call.refusals > 0 ? 1 : 0;
    returned += call.refusals > 0 && call.ended ? 1 : 0;
    if (call.first.has_value()) {
      first.push_back(to_ms(*call.first));
    }
  }
  const double calls = static_cast<double>(world.calls.size());
  result.worth /= worth;
  result.served /= calls;
  result.refused = refused / calls;
  result.returned = refused > 0 ? returned / refused : 1;
  result.first_p50_ms = quantile(first, 0.5);
  result.first_p95_ms = quantile(first, 0.95);
  double read = 0;
  double kept = 0;
  double busiest = 0;
  for (const engine_model& engine : world.engines) {
    read += engine.tokens_read;
    kept += engine.tokens_kept;
    busiest = std::max(busiest, engine.tokens_read);
  }
  result.saved = kept / (kept + read);
  result.shared_again = world.shared_again / (kept + read);
  result.busiest = busiest / read * static_cast<double>(world.engines.size());
  result.worst_organisation =
      worst_of(world, [](const model_call& call) { return call.organisation; });
  result.worst_kind = worst_of(world, [](const model_call& call) { return call.kind; });
  result.largest_tenth = largest_tenth_served(world);
  return result;
}

}  // namespace

const char* to_text(policy value) {
  switch (value) {
    case policy::peridot:
      return "peridotspur";
    case policy::no_admission:
      return "no admission";
    case policy::least_connections:
      return "least connections";
    case policy::rendezvous:
      return "rendezvous";
  }
  return "";
}

outcome play(const scenario& what, policy how, std::uint64_t seed) {
  model world;
  world.what = &what;
  world.how = how;
  world.random.seed(seed);
  for (std::size_t kind = 0; kind < what.kinds.size(); ++kind) {
    add_calls_of_kind(world, kind);
  }
  scale_worth(world);
  world.routers.resize(static_cast<std::size_t>(what.routers));
  world.engines.resize(static_cast<std::size_t>(what.engines));
  world.stepping.resize(world.engines.size(), false);
  for (std::size_t engine = 0; engine < world.engines.size(); ++engine) {
    world.engines[engine].options = what.engine;
    world.candidates.push_back(
        {target_name{"engine-" + std::to_string(engine)}, what.engine.slots, false});
  }
  for (std::size_t call = 0; call < world.calls.size(); ++call) {
    add_event(world, world.calls[call].arrived, event_kind::arrival, call);
  }
  for (std::size_t router = 0; router < world.routers.size(); ++router) {
    add_event(world, start + gossip_interval * router / what.routers, event_kind::gossip, router);
  }
  run(world);
  return summarize(world);
}

}  // namespace peridot::experiment
