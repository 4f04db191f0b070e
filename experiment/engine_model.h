// Model of a language-model engine with continuous batching, under virtual time.
//
// The engine works in steps. Each step starts waiting requests that fit, first come,
// first served; prefills up to prefill_chunk_tokens of their prompts in all, oldest request
// first; and generates one output token for every request whose prompt is complete. Running
// requests and cached prompt segments share one KV cache: the least recently used segments without
// a running request are evicted, and if none is left, the newest running request is preempted and
// starts over.
//
//   engine_model engine;
//   engine.options = {...};
//   submit(engine, request);
//   step_result step = run_step(engine, now);   // the next step is at now + step.elapsed
//
// Invariants: at most `slots` requests run; the KV cache stays within kv_capacity_tokens.
// Output tokens of the newest running request may exceed it, as there is no newer request to
// preempt.
// Cost: a step is linear in the running requests; each eviction scans all cached segments.
// Thread safety: none.
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
  double kv_capacity_tokens = 264'579;
  double base_step_ms = 5.2;  // duration of a step that neither prefills nor generates
  double step_ms_per_decoding_request = 0.06;  // for each that generates a token
  double prefill_tokens_per_ms = 49.6;
  double prefill_chunk_tokens = 2'048;  // per step, over all requests
};

struct engine_request {
  std::uint64_t id = 0;
  prompt call_prompt;
  double output_tokens = 0;  // number to generate
  double pending_prefill_tokens = 0;
  double generated_tokens = 0;
  double output_kv_tokens = 0;  // of its output, shared with no other request
};

// A segment of a prompt in the KV cache.
struct cached_segment {
  double tokens = 0;  // without the segments before it
  instant last_used_at{};
  int running_requests = 0;  // that use it
};

struct engine_model {
  engine_options options;
  std::deque<engine_request> waiting;
  std::vector<engine_request> running;  // oldest first
  std::unordered_map<std::uint64_t, cached_segment> cached_segments;
  double kv_used_tokens = 0;  // by cached segments and outputs
  double prefilled_tokens = 0;
  double cached_tokens = 0;  // of prompts, found in the KV cache
  std::uint64_t preemptions = 0;
};

struct uncached_segment {
  std::uint64_t hash = 0;
  double tokens = 0;
  bool shared = false;  // false: the last segment, unique to its request
};

struct step_result {
  duration elapsed{};  // 0: there was no request to run
  // Of the requests that start in this step; their prefill may take more steps.
  std::vector<uncached_segment> uncached_segments;
  // Requests that generated their first token. A request that was preempted afterwards is listed
  // again.
  std::vector<std::uint64_t> first_token_ids;
  std::vector<std::uint64_t> completed_ids;
};

// Queues a request. Precondition: its prompt fits into the KV cache; otherwise it blocks the
// requests behind it until it is cancelled.
void submit(engine_model& engine, engine_request request);

// Runs one step from `now` to now + elapsed. First tokens and completions are at its end.
step_result run_step(engine_model& engine, instant now);

// Removes a waiting or running request; an unknown id is ignored.
void cancel(engine_model& engine, std::uint64_t id, instant now);

}  // namespace peridot::experiment
