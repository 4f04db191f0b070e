#include "standins/engine_model.h"

#include <algorithm>

#include "core/check.h"

namespace peridot::standins {

namespace {

std::uint32_t running_calls(const engine_table& table) {
  std::uint32_t count = 0;
  for (const std::pair<const std::uint64_t, engine_call>& entry : table.calls) {
    count += entry.second.running ? 1 : 0;
  }
  return count;
}

// Time of one step while `running` calls share the engine.
duration step_time(const engine_options& options, std::chrono::microseconds alone,
                   std::uint32_t running) {
  const double others = running == 0 ? 0 : running - 1;
  const double factor = 1 + options.slowdown * others;
  return std::chrono::duration_cast<duration>(alone * factor);
}

// Fills the batch from the waiting calls.
void admit_waiting(engine_table& table, const engine_options& options, instant now) {
  std::uint32_t running = running_calls(table);
  for (std::pair<const std::uint64_t, engine_call>& entry : table.calls) {
    engine_call& call = entry.second;
    if (running >= options.max_batch) {
      return;
    }
    if (call.running) {
      continue;
    }
    ++running;
    call.running = true;
    call.next_token = now + step_time(options, options.first_token, running);
  }
}

void keep_answer(engine_table& table, const engine_options& options, const engine_call& call) {
  std::erase_if(table.answers, [&call](const kept_answer& answer) {
    return answer.request_id == call.request_id;
  });
  const std::uint32_t cached = std::max(call.cached, call.next);
  table.answers.push_back(
      kept_answer{call.request_id, call.organisation, call.prompt_hash, call.tokens, cached});
  if (table.answers.size() > options.kept_answers) {
    table.answers.pop_front();
  }
}

// A token that exists already is sent again at once and costs nothing.
void make_token(engine_table& table, const engine_options& options, engine_call& call,
                std::uint32_t running) {
  if (call.next >= call.cached) {
    ++table.stats.units[call.organisation];
    call.next_token += step_time(options, options.token_gap, running);
  }
  ++call.next;
}

// Appends the events of one running call. True if the engine must crash.
bool run_call(engine_table& table, const engine_options& options, std::uint64_t id,
              std::uint32_t running, instant now, std::vector<engine_event>& events) {
  engine_call& call = table.calls.at(id);
  while (call.next < call.tokens && (call.next < call.cached || call.next_token <= now)) {
    if (call.harm != poison::before_first_token) {
      events.push_back(engine_event{engine_event_kind::token, id, call.next});
      make_token(table, options, call, running);
    }
    if (call.harm != poison::none) {
      events.push_back(engine_event{engine_event_kind::crash, id, 0});
      return true;
    }
  }
  if (call.next >= call.tokens) {
    events.push_back(engine_event{engine_event_kind::finished, id, call.next});
    ++table.completed;
    ++table.stats.completed;
    keep_answer(table, options, call);
    table.calls.erase(id);
  }
  return false;
}

// Moves the due times of all running calls past a pause.
void skip_pause(engine_table& table, duration pause) {
  for (std::pair<const std::uint64_t, engine_call>& entry : table.calls) {
    entry.second.next_token += pause;
  }
}

}  // namespace

std::uint32_t borne_calls(const engine_options& options, std::uint64_t completed) {
  const std::uint64_t raised = options.cold_batch + completed / std::max(options.warm_calls, 1U);
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(raised, options.max_batch));
}

std::uint32_t answer_tokens(const engine_options& options, std::uint64_t prompt_hash,
                            std::optional<std::uint64_t> limit) {
  if (limit) {
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(*limit, 1, 100'000));
  }
  const std::uint64_t range = options.max_tokens - options.min_tokens + 1;
  const std::uint64_t mixed = (prompt_hash ^ (prompt_hash >> 32U)) % range;
  return options.min_tokens + static_cast<std::uint32_t>(mixed);
}

void boot(engine_table& table, const std::string& boot_id, instant now) {
  PERIDOT_CHECK(table.calls.empty(), "an engine starts without calls");
  table.boot_id = boot_id;
  table.up = true;
  table.completed = 0;
  table.answers.clear();
  table.paused_until = now;
  table.last_run = now;
  table.sample = load_sample{boot_id, 0, 0, 0, now};
}

arrival_result add_call(engine_table& table, const engine_options& options,
                        const engine_call& call) {
  PERIDOT_CHECK(table.up, "a crashed engine takes no calls");
  const std::uint64_t id = table.next_call++;
  table.calls.emplace(id, call);
  const std::uint32_t at_once = static_cast<std::uint32_t>(table.calls.size());
  table.stats.max_at_once = std::max(table.stats.max_at_once, at_once);
  const std::uint32_t most = borne_calls(options, table.completed) + options.overload_slack;
  return arrival_result{id, at_once > most};
}

std::vector<engine_event> run_engine(engine_table& table, const engine_options& options,
                                     instant now) {
  std::vector<engine_event> events;
  const duration passed = now - table.last_run;
  table.last_run = now;
  if (!table.up) {
    return events;
  }
  const std::uint32_t running = running_calls(table);
  table.stats.slot_time += passed * running;
  if (now < table.paused_until) {
    skip_pause(table, passed);
    return events;
  }
  std::vector<std::uint64_t> ids;
  for (const std::pair<const std::uint64_t, engine_call>& entry : table.calls) {
    if (entry.second.running) {
      ids.push_back(entry.first);
    }
  }
  for (const std::uint64_t id : ids) {
    if (run_call(table, options, id, running, now, events)) {
      return events;
    }
  }
  admit_waiting(table, options, now);
  return events;
}

void cancel_call(engine_table& table, const engine_options& options, std::uint64_t id) {
  const std::map<std::uint64_t, engine_call>::iterator call = table.calls.find(id);
  if (call == table.calls.end()) {
    return;
  }
  ++table.stats.cancelled;
  keep_answer(table, options, call->second);
  table.calls.erase(call);
}

void crash_engine(engine_table& table, const engine_options& options, crash_cause cause,
                  instant now) {
  ++table.stats.crashes;
  table.stats.overload_crashes += cause == crash_cause::overload ? 1 : 0;
  table.stats.lost_calls += table.calls.size();
  table.calls.clear();
  table.answers.clear();
  table.up = false;
  table.starts_at = now + options.restart;
}

const kept_answer* find_answer(const engine_table& table, const std::string& request_id) {
  if (request_id.empty()) {
    return nullptr;
  }
  for (const kept_answer& answer : table.answers) {
    if (answer.request_id == request_id) {
      return &answer;
    }
  }
  return nullptr;
}

std::optional<std::uint64_t> find_call(const engine_table& table, const std::string& request_id) {
  if (request_id.empty()) {
    return std::nullopt;
  }
  for (const std::pair<const std::uint64_t, engine_call>& entry : table.calls) {
    if (entry.second.request_id == request_id) {
      return entry.first;
    }
  }
  return std::nullopt;
}

void sample_load(engine_table& table, const engine_options& options, instant now) {
  if (now - table.sample.sampled_at < options.report_lag) {
    return;
  }
  const std::uint32_t running = running_calls(table);
  const std::uint32_t waiting = static_cast<std::uint32_t>(table.calls.size()) - running;
  table.sample = load_sample{table.boot_id, running, waiting, table.completed, now};
}

}  // namespace peridot::standins
