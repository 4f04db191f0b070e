// Replay of traces: events are scheduled on a fleet under virtual time, and what
// was found at its end is compared with what the trace states.
//
// Events act from the outside only: they send calls, end or pause processes, and
// change what is published. Every decision is the routers' own.
#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <optional>

#include "core/keys.h"
#include "experiment/fleet_state.h"
#include "experiment/trace.h"

namespace peridot::experiment {
namespace {

constexpr duration usual_down = std::chrono::seconds{1};
constexpr duration before_waking = std::chrono::milliseconds{1};

// What a replay keeps beside the fleet.
struct replay_notes {
  std::map<std::string, std::uint64_t> calls;  // ids, by name
  std::map<std::uint64_t, watched_call> answers;
  std::map<std::uint64_t, std::uint64_t> open_runs;  // of calls without an answer at the end
  std::uint64_t taken_over = 0;
};

std::uint32_t count_of(const trace_event& event, std::string_view key, std::uint32_t otherwise) {
  return static_cast<std::uint32_t>(number_of(event, key, otherwise));
}

void apply_fleet(const trace_event& event, fleet_options& options) {
  options.seed = static_cast<std::uint64_t>(number_of(event, "seed", 1));
  options.length = millis_of(event, "length_ms", options.length);
  options.routers = count_of(event, "routers", options.routers);
  options.domains = count_of(event, "domains", options.domains);
  options.engines = count_of(event, "engines", options.engines);
  options.services = count_of(event, "services", options.services);
  options.warm_limit = count_of(event, "warm_limit", options.warm_limit);
  options.cold_limit = count_of(event, "cold_limit", options.cold_limit);
  options.shards_per_pool = count_of(event, "shards", options.shards_per_pool);
  options.start_warm = number_of(event, "warm", 0) > 0;
}

void apply_group(const trace_event& event, fleet_options& options) {
  caller_group group;
  group.organisation.value = text_of(event, "organisation", "");
  group.profile.value = text_of(event, "profile", "");
  group.weight = number_of(event, "weight", group.weight);
  group.backlog = count_of(event, "backlog", 0);
  group.every = millis_of(event, "every_ms", duration{});
  group.lowest_cost = number_of(event, "lowest_cost", group.lowest_cost);
  group.highest_cost = number_of(event, "highest_cost", group.highest_cost);
  group.skew = number_of(event, "skew", 0);
  group.keyed = number_of(event, "keyed", 0) > 0;
  group.from = event.at;
  group.until = millis_of(event, "until_ms", group.until);
  options.callers.push_back(group);
}

void cannot(fleet_state& fleet, const trace_event& event, const std::string& why) {
  violated(fleet, "line " + std::to_string(event.line) + " of the trace: " + why);
}

void play_call(fleet_state& fleet, replay_notes& notes, const trace_event& event) {
  const std::vector<caller_group>& groups = fleet.options.callers;
  const std::string organisation = text_of(event, "organisation", "");
  const std::vector<caller_group>::const_iterator group =
      std::find_if(groups.begin(), groups.end(), [&organisation](const caller_group& each) {
        return each.organisation.value == organisation;
      });
  if (group == groups.end()) {
    cannot(fleet, event, "no group of " + organisation);
    return;
  }
  caller_call call;
  call.id = fleet.next_call++;
  call.group = static_cast<std::size_t>(group - groups.begin());
  call.keyed = group->keyed;
  call.poison = number_of(event, "poison", 0) > 0;
  call.cost = number_of(event, "cost", 0);
  call.sent = fleet.queue.now;
  const std::uint64_t id = call.id;
  notes.calls[text_of(event, "name", "")] = id;
  ++fleet.report.calls;
  fleet.report.keyed_calls += call.keyed ? 1 : 0;
  fleet.watched.emplace(id, watched_call{});
  fleet.calls.emplace(id, std::move(call));
  send_call(fleet, id);
}

// The call that the event names, as the fleet knows it; null if there is none.
const caller_call* named_call(const fleet_state& fleet, const replay_notes& notes,
                              const trace_event& event) {
  const std::map<std::string, std::uint64_t>::const_iterator name =
      notes.calls.find(text_of(event, "name", ""));
  if (name == notes.calls.end()) {
    return nullptr;
  }
  const std::map<std::uint64_t, caller_call>::const_iterator open = fleet.calls.find(name->second);
  return open != fleet.calls.end() ? &open->second : &fleet.watched.at(name->second).last;
}

// The caller sends the call again under its key: over a second connection, or
// after an answer that it did not get.
void play_repeat(fleet_state& fleet, const replay_notes& notes, const trace_event& event) {
  const caller_call* known = named_call(fleet, notes, event);
  if (known == nullptr || !known->keyed) {
    cannot(fleet, event, "only a keyed call that was sent may be repeated");
    return;
  }
  const std::uint64_t id = known->id;
  fleet.calls.emplace(id, *known);
  send_call(fleet, id);
}

void play_kill_issuer(fleet_state& fleet, const replay_notes& notes, const trace_event& event) {
  const caller_call* known = named_call(fleet, notes, event);
  for (const driven_router& router : fleet.routers) {
    if (known == nullptr || router.core == nullptr) {
      continue;
    }
    const std::optional<parsed_key> key = parse_key(known->key, router.core->options.fleet_key);
    if (key && key->issuer == router.core->options.self) {
      kill_router(fleet, router.index, millis_of(event, "down_ms", usual_down));
      return;
    }
  }
  cannot(fleet, event, "the call has no key");
}

void play_kill_router(fleet_state& fleet, const trace_event& event) {
  const std::size_t index = count_of(event, "router", 0);
  if (index >= fleet.routers.size()) {
    cannot(fleet, event, "no such router");
    return;
  }
  kill_router(fleet, index, millis_of(event, "down_ms", usual_down));
}

const driven_router* holder_of(const fleet_state& fleet, const shard_key& shard) {
  for (const driven_router& router : fleet.routers) {
    const bool awake = is_running(fleet, router);
    if (awake && holds_now(fleet, router, shard)) {
      return &router;
    }
  }
  return nullptr;
}

// The holder of a shard sleeps. Just before it wakes, another may hold the shard.
void play_pause_holder(fleet_state& fleet, replay_notes& notes, const trace_event& event) {
  const shard_key shard{pool_name{text_of(event, "pool", "")}, count_of(event, "shard", 0)};
  const driven_router* holder = holder_of(fleet, shard);
  if (holder == nullptr) {
    cannot(fleet, event, "nobody holds the shard");
    return;
  }
  const duration time = millis_of(event, "for_ms", usual_down);
  fleet.routers[holder->index].paused_until = fleet.queue.now + time;
  schedule_in(fleet.queue, time - before_waking, [&fleet, &notes, shard]() {
    notes.taken_over += holder_of(fleet, shard) != nullptr ? 1 : 0;
  });
}

void play_restart_target(fleet_state& fleet, const trace_event& event) {
  const target_name name{text_of(event, "target", "")};
  if (!fleet.targets.contains(name)) {
    cannot(fleet, event, "no target " + name.value);
    return;
  }
  lose_runs(fleet, fleet.targets.at(name), millis_of(event, "down_ms", usual_down));
}

void play(fleet_state& fleet, replay_notes& notes, const trace_event& event) {
  if (event.what == "call") {
    play_call(fleet, notes, event);
  } else if (event.what == "repeat") {
    play_repeat(fleet, notes, event);
  } else if (event.what == "kill_issuer") {
    play_kill_issuer(fleet, notes, event);
  } else if (event.what == "kill_router") {
    play_kill_router(fleet, event);
  } else if (event.what == "pause_holder") {
    play_pause_holder(fleet, notes, event);
  } else if (event.what == "restart_target") {
    play_restart_target(fleet, event);
  } else if (event.what == "operator") {
    operator_step(fleet, text_of(event, "step", "") + " " + text_of(event, "name", ""));
  }
}

void schedule_events(fleet_state& fleet, replay_notes& notes,
                     const std::vector<trace_event>& events) {
  for (const trace_event& event : events) {
    schedule_at(fleet.queue, fleet.began + event.at,
                [&fleet, &notes, event]() { play(fleet, notes, event); });
  }
}

void note_end(const fleet_state& fleet, replay_notes& notes) {
  notes.answers = fleet.watched;
  for (const std::pair<const std::uint64_t, watched_call>& entry : fleet.watched) {
    const std::map<std::uint64_t, caller_call>::const_iterator open = fleet.calls.find(entry.first);
    if (open != fleet.calls.end()) {
      notes.open_runs[entry.first] = open->second.runs;
    }
  }
}

void find_calls(const replay_notes& notes, std::vector<found_outcome>& found) {
  for (const std::pair<const std::string, std::uint64_t>& call : notes.calls) {
    const watched_call& answer = notes.answers.at(call.second);
    const std::map<std::uint64_t, std::uint64_t>::const_iterator open =
        notes.open_runs.find(call.second);
    const bool is_open = open != notes.open_runs.end();
    const std::uint64_t runs = is_open ? open->second : answer.last.runs;
    found.push_back({"answer." + call.first, is_open ? "none" : answer.outcome});
    found.push_back({"answers." + call.first, std::to_string(answer.answers)});
    found.push_back({"runs." + call.first, std::to_string(runs)});
  }
}

std::string whole_millis(duration time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::uint64_t sum_of(const std::map<std::string, std::uint64_t>& counts) {
  std::uint64_t sum = 0;
  for (const std::pair<const std::string, std::uint64_t>& entry : counts) {
    sum += entry.second;
  }
  return sum;
}

std::vector<found_outcome> find_outcomes(const replay_notes& notes, const fleet_report& report) {
  std::vector<found_outcome> found = {
      {"violations", std::to_string(report.violations.size())},
      {"double_runs", std::to_string(report.double_runs)},
      {"overloads", std::to_string(report.overloads)},
      {"unsettled", std::to_string(sum_of(report.unsettled))},
      {"keyed_done", std::to_string(report.keyed_done)},
      {"keyed_unknown", std::to_string(report.keyed_unknown)},
      {"taken_over", std::to_string(notes.taken_over)},
      {"gap", std::to_string(std::lround(report.gap.largest))},
      {"gap_within_bound", report.gap.largest <= report.gap_bound ? "yes" : "no"},
      {"utilisation_percent", std::to_string(std::lround(report.utilisation * 100))},
      {"first_unit_p50_ms", whole_millis(report.first_unit_p50)},
      {"first_unit_p95_ms", whole_millis(report.first_unit_p95)},
      {"config_spread_ms", whole_millis(report.longest_config_spread)},
      {"withdrawn_work_ms", whole_millis(report.latest_withdrawn_work)},
  };
  find_calls(notes, found);
  return found;
}

double as_number(const std::string& text) {
  double value = std::nan("");
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

bool is_met(const stated_outcome& stated, const std::string& value) {
  switch (stated.how) {
    case comparison::at_most:
      return as_number(value) <= as_number(stated.value);
    case comparison::at_least:
      return as_number(value) >= as_number(stated.value);
    case comparison::equal:
      break;
  }
  return value == stated.value;
}

std::string_view sign_of(comparison how) {
  return how == comparison::at_most ? "<=" : how == comparison::at_least ? ">=" : "=";
}

void compare(const stated_outcome& stated, replay_result& result) {
  const std::vector<found_outcome>::const_iterator found =
      std::find_if(result.found.begin(), result.found.end(),
                   [&stated](const found_outcome& each) { return each.key == stated.key; });
  const bool known = found != result.found.end();
  if (known && is_met(stated, found->value)) {
    return;
  }
  result.missed.push_back("line " + std::to_string(stated.line) + ": stated " + stated.key +
                          std::string(sign_of(stated.how)) + stated.value + ", found " +
                          (known ? found->value : "no such outcome"));
}

}  // namespace

replay_result replay(const trace& what, const fleet_options& base) {
  fleet_options options = base;
  for (const trace_event& event : what.events) {
    if (event.what == "fleet") {
      apply_fleet(event, options);
    } else if (event.what == "group") {
      apply_group(event, options);
    }
  }
  replay_notes notes;
  options.on_start = [&what, &notes](fleet_state& fleet) {
    schedule_events(fleet, notes, what.events);
  };
  options.on_end = [&notes](const fleet_state& fleet) { note_end(fleet, notes); };
  replay_result result;
  result.report = run_fleet(options);
  result.found = find_outcomes(notes, result.report);
  for (const stated_outcome& stated : what.stated) {
    compare(stated, result);
  }
  // No trace may ask for a broken promise.
  result.missed.insert(result.missed.end(), result.report.violations.begin(),
                       result.report.violations.end());
  return result;
}

}  // namespace peridot::experiment
