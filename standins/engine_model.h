// Model of an engine that batches continuously: queue, batch, cold start, crash.
//
// Calls are admitted in the order of arrival, without priorities, and at most
// `max_batch` run at once. A call yields its first token after `first_token` and
// the others `token_gap` apart; both grow with the number of running calls.
//
// After a start the engine bears `cold_batch` calls at once, and one more with
// every `warm_calls` completed calls, up to `max_batch`. More calls than it
// bears plus `overload_slack`, running and waiting together, crash it: all calls
// are lost, and after `restart` it starts again, cold, under a new boot id.
//
//   engine_table table;
//   boot(table, "boot-1", now);
//   arrival_result result = add_call(table, options, call, now);
//   for (const engine_event& event : run_engine(table, options, now)) { ... }
//
// Thread safety: none; functions over plain tables with an explicit `now`.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"

namespace peridot::standins {

struct engine_options {
  std::uint32_t max_batch = 8;
  std::uint32_t cold_batch = 1;
  std::uint32_t warm_calls = 4;
  std::uint32_t overload_slack = 1;
  std::uint32_t min_tokens = 8;
  std::uint32_t max_tokens = 64;
  std::chrono::microseconds first_token{30'000};
  std::chrono::microseconds token_gap{8'000};
  double slowdown = 0.05;  // of both, for each other running call
  std::chrono::milliseconds restart{2'000};
  std::chrono::milliseconds report_lag{200};
  std::size_t kept_answers = 256;
};

// What a call does to the engine that runs it.
enum class poison {
  none,
  before_first_token,  // crashes it without any part of an answer
  after_first_token,
};

struct engine_call {
  std::string request_id;
  organisation_name organisation;
  std::uint64_t prompt_hash = 0;
  std::uint32_t tokens = 0;  // of the whole answer
  std::uint32_t next = 0;    // index of the next token to send
  std::uint32_t cached = 0;  // tokens below this index exist already
  poison harm = poison::none;
  bool running = false;
  instant next_token{};
};

// What an answer that ended or was broken off needs to be resumed.
struct kept_answer {
  std::string request_id;
  organisation_name organisation;
  std::uint64_t prompt_hash = 0;
  std::uint32_t tokens = 0;
  std::uint32_t cached = 0;
};

// One load report. It is served until the next sample is taken.
struct load_sample {
  std::string boot_id;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t completed = 0;
  instant sampled_at{};
};

// Counts over all starts of the process.
struct engine_stats {
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t crashes = 0;
  std::uint64_t overload_crashes = 0;
  std::uint64_t lost_calls = 0;  // by crashes
  std::uint32_t max_at_once = 0;
  std::chrono::duration<double> slot_time{0};  // sum of the time of running calls
  std::map<organisation_name, std::uint64_t> units;
};

struct engine_table {
  std::string boot_id;
  bool up = false;
  instant starts_at{};                         // while down
  instant paused_until{};                      // no token is made before
  instant last_run{};                          // of run_engine()
  std::uint64_t completed = 0;                 // since the last start
  std::uint64_t next_call = 1;                 // id of the next call
  std::map<std::uint64_t, engine_call> calls;  // by id, which is the order of arrival
  std::deque<kept_answer> answers;             // oldest first
  load_sample sample;
  engine_stats stats;
};

enum class crash_cause { overload, request, control };

struct arrival_result {
  std::uint64_t id = 0;
  bool overload = false;  // the engine must crash now
};

enum class engine_event_kind { token, finished, crash };

struct engine_event {
  engine_event_kind kind = engine_event_kind::token;
  std::uint64_t call = 0;
  std::uint32_t token = 0;
};

// Calls that the engine bears at once after `completed` calls since its start.
std::uint32_t borne_calls(const engine_options& options, std::uint64_t completed);

// Length of the answer to a prompt: a function of its hash alone, unless the
// caller sets a limit, which is then the length.
std::uint32_t answer_tokens(const engine_options& options, std::uint64_t prompt_hash,
                            std::optional<std::uint64_t> limit);

// Starts the engine: cold, with no calls and no kept answers.
void boot(engine_table& table, const std::string& boot_id, instant now);

// Precondition: the engine is up.
arrival_result add_call(engine_table& table, const engine_options& options,
                        const engine_call& call);

// Makes all tokens that are due. The caller must carry out a `crash` event,
// which is the last one, by crash_engine().
std::vector<engine_event> run_engine(engine_table& table, const engine_options& options,
                                     instant now);

// Ends a call whose caller left. No effect if there is no such call.
void cancel_call(engine_table& table, const engine_options& options, std::uint64_t id);

// Loses all calls and kept answers; the engine is down for `restart`.
void crash_engine(engine_table& table, const engine_options& options, crash_cause cause,
                  instant now);

// Each is null if no kept answer or no current call has this request id. Calls
// without a request id are never found.
const kept_answer* find_answer(const engine_table& table, const std::string& request_id);
std::optional<std::uint64_t> find_call(const engine_table& table, const std::string& request_id);

// Takes a new sample if the last one is older than `report_lag`.
void sample_load(engine_table& table, const engine_options& options, instant now);

}  // namespace peridot::standins
