// A language-model engine under virtual time, for experiments.
//
// Works in steps: each reads a chunk of the prompts that wait to be read, first come
// first served, and writes one token for every request whose prompt is read. Requests
// that run and parts of prompts that are kept share one memory; the least recently used
// parts yield, and if none is left the newest request starts anew.
//
//   engine_model engine;
//   engine.options = {...};
//   submit(engine, run);
//   step_result done = take_step(engine, now);   // again at now + done.time
//
// Invariants: at most `slots` requests run; memory in use stays within memory_tokens.
// Cost: a step is linear in the requests that run.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "core/base/types.h"
#include "core/calls/call.h"

namespace peridot::experiment {

struct engine_options {
  int slots = 64;
  double memory_tokens = 264'579;
  double step_ms = 5.2;              // a step that neither reads nor writes much
  double step_ms_per_writer = 0.06;  // more for each request that is written
  double read_tokens_per_ms = 49.6;
  double chunk_tokens = 2'048;  // read in one step
};

struct engine_run {
  std::uint64_t id = 0;
  prompt what;
  double tokens_out = 0;  // that it will write
  double unread = 0;
  double written = 0;
  double own_memory = 0;  // tokens that no other request shares
};

// A part of a prompt in memory.
struct kept_part {
  double tokens = 0;  // beyond the part before it
  instant used_at{};
  int users = 0;  // requests that run
};

struct engine_model {
  engine_options options;
  std::deque<engine_run> waiting;
  std::vector<engine_run> running;  // oldest first
  std::unordered_map<std::uint64_t, kept_part> parts;
  double used = 0;  // tokens in memory
  double tokens_read = 0;
  double tokens_kept = 0;  // of prompts, found in memory
  std::uint64_t preempted = 0;
};

struct read_part {
  std::uint64_t hash = 0;
  double tokens = 0;
  bool shared = false;  // not the request's own part
};

struct step_result {
  duration time{};                         // 0: there was nothing to do
  std::vector<read_part> read;             // parts that were not kept
  std::vector<std::uint64_t> first_token;  // requests that wrote their first token
  std::vector<std::uint64_t> ended;
};

void submit(engine_model& engine, engine_run run);

// Starts what fits, reads, writes. What it tells happens at the end of the step.
step_result take_step(engine_model& engine, instant now);

// The caller has left.
void cancel(engine_model& engine, std::uint64_t id, instant now);

}  // namespace peridot::experiment
