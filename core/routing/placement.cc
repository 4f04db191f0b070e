#include "core/routing/placement.h"

#include <algorithm>
#include <utility>

#include "core/base/check.h"
#include "core/base/stable_hash.h"

namespace peridot {
namespace {

constexpr double reread_weight = 1.6;  // reading again takes the engine from all others
constexpr double delay_weight = 1.5;   // reading delays all streams of the engine
constexpr double write_weight = 0.01;  // of the time that an output takes
constexpr double output_margin = 1.5;  // outputs are often longer than their callers estimate
constexpr double risk_weight = 0.1;    // of the time by which an output would be too late
constexpr double token_memory = 0.03;  // weight of the newest measurement
constexpr double most_token_ms = 500;
constexpr double assumed_token_ms = 10;
constexpr double comfortable_weight = 0.2;     // of a wait that leaves the first token on time
constexpr double long_wait_weight = 3.0;       // of the rest of a wait
constexpr double first_meeting = 0.8;          // pull of the engine where a new subject should live
constexpr double home_pull = 0.1;              // the same once it is kept: replicas are given up
constexpr double base_memory = 0.05;           // weight of the newest measurement
constexpr double crowded_part = 0.85;          // of the slots; beyond, tokens come slowly
constexpr double crowded_ms = 400;             // price of a place beyond that, up to all slots
constexpr double full_ms = 5'000;              // no free slot: waits for a call to end
constexpr double rate_memory = 0.08;           // weight of the newest measurement
constexpr double least_sample_tokens = 2'500;  // shorter waits measure the base, not reading
constexpr double most_base_ms = 400;
constexpr double least_rate = 3;
constexpr double most_rate = 400;
constexpr double service_memory = 0.1;
constexpr double default_service_ms = 60;
constexpr std::size_t max_prefixes = 20'000;  // remembered of one engine, about 0.6 MB
constexpr std::size_t max_new_prefixes = 64;  // told in one cycle of gossip

std::uint32_t short_hash(const prompt_prefix& prefix) {
  return static_cast<std::uint32_t>(prefix.hash);
}

void remember_prefix(target_load& load, std::uint32_t prefix) {
  if (load.prefix_used_at.size() >= max_prefixes) {
    const double limit = load.tokens_read / 2;
    std::erase_if(load.prefix_used_at, [limit](const std::pair<const std::uint32_t, double>& item) {
      return item.second < limit;
    });
    if (load.prefix_used_at.size() >= max_prefixes) {
      load.prefix_used_at.clear();
    }
  }
  load.prefix_used_at[prefix] = load.tokens_read;
}

// What a call would cost at one engine, in milliseconds of delay to itself and others.
struct engine_terms {
  double read_ms = 0;         // of the part of the prompt that is not kept
  double wait_ms = 0;         // until the first token
  double comfortable_ms = 0;  // a wait that leaves the first token on time
  double write_ms = 0;        // of the whole output at the engine's present speed
  double left_ms = 0;         // until the call is given up
  int running = 0;
};

double engine_cost(const candidate& where, const engine_terms& terms) {
  const double used = static_cast<double>(terms.running) / std::max(1, where.slots);
  double cost =
      terms.read_ms * (reread_weight + delay_weight * used) + write_weight * terms.write_ms +
      comfortable_weight * std::min(terms.wait_ms, terms.comfortable_ms) +
      long_wait_weight * std::max(0.0, terms.wait_ms - terms.comfortable_ms) +
      risk_weight * std::max(0.0, terms.wait_ms + terms.write_ms * output_margin - terms.left_ms);
  if (used >= 1) {
    cost += full_ms;
  } else if (used > crowded_part) {
    cost += crowded_ms * (used - crowded_part) / (1 - crowded_part);
  }
  return cost;
}

// Hash of the longest part of the prompt that other calls may share.
std::uint64_t subject_of(const prompt& what) {
  if (what.prefixes.empty()) {
    return 0;
  }
  return what.prefixes.size() >= 2 ? what.prefixes[what.prefixes.size() - 2].hash
                                   : what.prefixes.back().hash;
}

double shared_tokens(const prompt& what) {
  return what.prefixes.size() >= 2 ? what.prefixes[what.prefixes.size() - 2].tokens : 0;
}

double token_ms_of(const load_table& table, const target_load& load) {
  if (load.token_ms > 0) {
    return load.token_ms;
  }
  return table.pool_token_ms > 0 ? table.pool_token_ms : assumed_token_ms;
}

double base_of(const target_load& load) {
  return load.base_ms > 0 ? load.base_ms : first_token_base_ms;
}

const target_load& load_of(const load_table& table, const target_name& name) {
  static const target_load empty;
  auto found = table.targets.find(name);
  return found == table.targets.end() ? empty : found->second;
}

struct engine_view {
  const target_load* load = nullptr;
  double kept = 0;
  std::uint64_t home_score = 0;
};

void add(peer_load& sum, const peer_load& one, int sign) {
  sum.running += sign * one.running;
  sum.unread += sign * one.unread;
  sum.memory += sign * one.memory;
}

}  // namespace

int running_at(const target_load& load) {
  return load.running + load.all_peers.running;
}

double unread_at(const target_load& load) {
  return load.unread + load.all_peers.unread;
}

double memory_at(const target_load& load) {
  return load.memory + load.all_peers.memory;
}

double read_rate_of(const load_table& table, const target_load& load) {
  if (load.read_rate > 0) {
    return load.read_rate;
  }
  return table.pool_read_rate > 0 ? table.pool_read_rate : assumed_read_rate;
}

double kept_window(const target_load& load, double memory_tokens) {
  const double running = memory_at(load);
  return kept_safety * std::max(memory_tokens * least_kept_part, memory_tokens - running);
}

double kept_tokens(const target_load& load, const prompt& what, double memory_tokens) {
  const double oldest = load.tokens_read - kept_window(load, memory_tokens);
  double kept = 0;
  for (const prompt_prefix& prefix : what.prefixes) {
    auto found = load.prefix_used_at.find(short_hash(prefix));
    if (found == load.prefix_used_at.end() || found->second < oldest) {
      break;
    }
    kept = prefix.tokens;
  }
  return std::min(kept, what.tokens_in);
}

placement choose_engine(const load_table& table, const std::vector<candidate>& candidates,
                        const engine_call& call) {
  const prompt& what = *call.what;
  const std::uint64_t subject = subject_of(what);
  const double shared = shared_tokens(what);
  const double comfortable_ms = comfortable_part * to_ms(call.aim);
  std::vector<engine_view> views;
  views.reserve(candidates.size());
  std::size_t home = 0;  // rendezvous: equal on all routers
  bool kept_somewhere = false;
  for (const candidate& where : candidates) {
    const target_load& load = load_of(table, where.name);
    views.push_back({&load, kept_tokens(load, what, call.memory_tokens),
                     stable_hash(where.name.value, subject)});
    kept_somewhere = kept_somewhere || views.back().kept >= shared;
    if (views.back().home_score > views[home].home_score) {
      home = views.size() - 1;
    }
  }
  placement best;
  double best_cost = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const candidate& where = candidates[index];
    const target_load& load = *views[index].load;
    const double rate = read_rate_of(table, load);
    const double read_ms = std::max(0.0, what.tokens_in - views[index].kept) / rate;
    placement choice;
    choice.chosen = &where;
    choice.kept_tokens = views[index].kept;
    choice.unread_ahead = unread_at(load);
    choice.running = running_at(load);
    choice.queue_ms = base_of(load) - first_token_base_ms + choice.unread_ahead / rate;
    choice.first_token_ms = first_token_base_ms + choice.queue_ms + read_ms;
    double cost = engine_cost(where, {.read_ms = read_ms,
                                      .wait_ms = choice.first_token_ms,
                                      .comfortable_ms = comfortable_ms,
                                      .write_ms = what.expected_out * token_ms_of(table, load),
                                      .left_ms = to_ms(call.left),
                                      .running = choice.running});
    if (call.soonest) {
      cost = choice.first_token_ms;
    } else if (index == home) {
      cost -= (kept_somewhere ? home_pull : first_meeting) * shared / rate;
    }
    if (best.chosen == nullptr || cost < best_cost) {
      best = choice;
      best_cost = cost;
    }
  }
  return best;
}

placement choose_plain(const load_table& table, const std::vector<candidate>& candidates,
                       std::uint64_t tie_breaker) {
  placement best;
  double best_cost = 0;
  for (const candidate& where : candidates) {
    const target_load& load = load_of(table, where.name);
    placement choice;
    choice.chosen = &where;
    choice.running = running_at(load);
    const double slots = std::max(1, where.slots);
    const double service = load.service_ms > 0 ? load.service_ms : default_service_ms;
    choice.first_token_ms =
        std::max(0.0, static_cast<double>(choice.running) + 1 - slots) / slots * service;
    const double used = static_cast<double>(choice.running) / slots;
    const double spread =
        static_cast<double>(stable_hash(where.name.value, tie_breaker) % 1'000) / 10'000;
    const double cost = used + spread - (where.same_domain ? 0.1 : 0);
    if (best.chosen == nullptr || cost < best_cost) {
      best = choice;
      best_cost = cost;
    }
  }
  return best;
}

call_cost note_sent(load_table& table, const target_name& target, const prompt* what,
                    double memory_tokens, instant now) {
  target_load& load = table.targets[target];
  call_cost cost;
  cost.sent_at = now;
  ++load.running;
  if (what == nullptr) {
    return cost;
  }
  cost.unread = std::max(0.0, what->tokens_in - kept_tokens(load, *what, memory_tokens));
  cost.memory = cost.unread + what->expected_out;  // kept parts are shared
  cost.ahead = unread_at(load) + cost.unread;
  cost.reading = true;
  load.unread += cost.unread;
  load.memory += cost.memory;
  load.tokens_read += cost.unread;
  load.collecting.tokens += cost.unread;
  for (const prompt_prefix& prefix : what->prefixes) {
    remember_prefix(load, short_hash(prefix));
    if (&prefix != &what->prefixes.back() && load.collecting.prefixes.size() < max_new_prefixes) {
      load.collecting.prefixes.push_back(short_hash(prefix));
    }
  }
  return cost;
}

void note_first_token(load_table& table, const target_name& target, call_cost& cost, instant now) {
  auto found = table.targets.find(target);
  if (!cost.reading || found == table.targets.end()) {
    return;
  }
  cost.reading = false;
  target_load& load = found->second;
  load.unread = std::max(0.0, load.unread - cost.unread);
  if (cost.ahead < least_sample_tokens) {
    const double sample = to_ms(now - cost.sent_at) - cost.ahead / read_rate_of(table, load);
    load.base_ms =
        base_of(load) +
        base_memory * (std::clamp(sample, first_token_base_ms, most_base_ms) - base_of(load));
    return;
  }
  const double elapsed = to_ms(now - cost.sent_at) - base_of(load);
  if (elapsed <= 1) {
    return;
  }
  const double sample = std::clamp(cost.ahead / elapsed, least_rate, most_rate);
  const double before = read_rate_of(table, load);
  const double bounded = std::clamp(sample, before / 3, before * 3);
  load.read_rate = before + rate_memory * (bounded - before);
  table.pool_read_rate =
      table.pool_read_rate <= 0
          ? load.read_rate
          : table.pool_read_rate + rate_memory * (load.read_rate - table.pool_read_rate);
}

void note_event_gap(load_table& table, const target_name& target, duration gap, int tokens) {
  auto found = table.targets.find(target);
  if (found == table.targets.end()) {
    return;
  }
  target_load& load = found->second;
  const double sample = std::min(most_token_ms, to_ms(gap) / std::max(1, tokens));
  const double before = token_ms_of(table, load);
  load.token_ms = before + token_memory * (sample - before);
  table.pool_token_ms =
      table.pool_token_ms <= 0
          ? load.token_ms
          : table.pool_token_ms + token_memory * (load.token_ms - table.pool_token_ms);
}

void note_ended(load_table& table, const target_name& target, call_cost& cost) {
  auto found = table.targets.find(target);
  if (found == table.targets.end()) {
    return;
  }
  target_load& load = found->second;
  load.running = std::max(0, load.running - 1);
  if (cost.reading) {
    load.unread = std::max(0.0, load.unread - cost.unread);
    cost.reading = false;
  }
  load.memory = std::max(0.0, load.memory - cost.memory);
}

void note_service_time(load_table& table, const target_name& target, duration time) {
  target_load& load = table.targets[target];
  const double sample = to_ms(time);
  load.service_ms =
      load.service_ms <= 0 ? sample : load.service_ms + service_memory * (sample - load.service_ms);
}

void begin_telling(load_table& table) {
  for (std::pair<const target_name, target_load>& entry : table.targets) {
    entry.second.telling = std::exchange(entry.second.collecting, {});
  }
}

void note_peer_load(load_table& table, const router_address& peer, const target_name& target,
                    const peer_load& told, const std::vector<std::uint32_t>& prefixes,
                    double tokens_read) {
  target_load& load = table.targets[target];
  peer_load& known = load.peers[peer];
  add(load.all_peers, known, -1);
  add(load.all_peers, told, 1);
  known = told;
  load.tokens_read += tokens_read;
  for (std::uint32_t prefix : prefixes) {
    remember_prefix(load, prefix);
  }
}

void expire_peer_loads(load_table& table, instant now) {
  for (std::pair<const target_name, target_load>& entry : table.targets) {
    target_load& load = entry.second;
    std::erase_if(load.peers, [&load, now](const std::pair<const router_address, peer_load>& peer) {
      const bool expired = now > peer.second.valid_until;
      if (expired) {
        add(load.all_peers, peer.second, -1);
      }
      return expired;
    });
  }
}

void forget_load(load_table& table, const target_name& target) {
  table.targets.erase(target);
}

}  // namespace peridot
