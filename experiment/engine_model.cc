#include "experiment/engine_model.h"

#include <algorithm>

#include "core/base/check.h"

namespace peridot::experiment {
namespace {

double segment_tokens(const prompt& call_prompt, std::size_t index) {
  return call_prompt.prefixes[index].tokens -
         (index == 0 ? 0 : call_prompt.prefixes[index - 1].tokens);
}

// Evicts segments that no running request uses, least recently used first, until
// `required_tokens` fit. Returns false if they cannot fit.
bool evict_to_fit(engine_model& engine, double required_tokens) {
  while (engine.kv_used_tokens + required_tokens > engine.options.kv_capacity_tokens) {
    auto least_recent = engine.cached_segments.end();
    for (auto segment = engine.cached_segments.begin(); segment != engine.cached_segments.end();
         ++segment) {
      if (segment->second.running_requests == 0 &&
          (least_recent == engine.cached_segments.end() ||
           segment->second.last_used_at < least_recent->second.last_used_at)) {
        least_recent = segment;
      }
    }
    if (least_recent == engine.cached_segments.end()) {
      return false;
    }
    engine.kv_used_tokens -= least_recent->second.tokens;
    engine.cached_segments.erase(least_recent);
  }
  return true;
}

double cached_prefix_tokens(const engine_model& engine, const prompt& call_prompt) {
  double cached = 0;
  for (const prompt_prefix& prefix : call_prompt.prefixes) {
    if (!engine.cached_segments.contains(prefix.hash)) {
      break;
    }
    cached = prefix.tokens;
  }
  return cached;
}

// Adds the request's segments to the KV cache. Returns false if they do not fit now.
bool start_request(engine_model& engine, engine_request& request, instant now,
                   std::vector<uncached_segment>& uncached_segments) {
  const double cached = cached_prefix_tokens(engine, request.call_prompt);
  for (const prompt_prefix& prefix : request.call_prompt.prefixes) {
    if (prefix.tokens <= cached) {
      ++engine.cached_segments[prefix.hash].running_requests;  // protects it from eviction below
    }
  }
  const bool fits = evict_to_fit(engine, request.call_prompt.prompt_tokens - cached + 1);
  for (std::size_t index = 0; index < request.call_prompt.prefixes.size(); ++index) {
    const prompt_prefix& prefix = request.call_prompt.prefixes[index];
    if (!fits) {
      if (prefix.tokens <= cached) {
        --engine.cached_segments[prefix.hash].running_requests;
      }
      continue;
    }
    cached_segment& segment = engine.cached_segments[prefix.hash];
    if (prefix.tokens > cached) {
      // An engine holds a segment twice while two requests prefill it; the model holds it once.
      engine.kv_used_tokens += segment.tokens > 0 ? 0 : segment_tokens(request.call_prompt, index);
      segment.tokens = segment_tokens(request.call_prompt, index);
      ++segment.running_requests;
      uncached_segments.push_back(
          {prefix.hash, segment.tokens, index + 1 < request.call_prompt.prefixes.size()});
    }
    segment.last_used_at = now;
  }
  if (fits) {
    request.pending_prefill_tokens = request.call_prompt.prompt_tokens - cached;
    request.generated_tokens = 0;
    request.output_kv_tokens = 0;
    engine.cached_tokens += cached;
    engine.prefilled_tokens += request.pending_prefill_tokens;
  }
  return fits;
}

void release_segments(engine_model& engine, const engine_request& request, instant now) {
  for (const prompt_prefix& prefix : request.call_prompt.prefixes) {
    cached_segment& segment = engine.cached_segments[prefix.hash];
    --segment.running_requests;
    segment.last_used_at = now;
    PERIDOT_CHECK(segment.running_requests >= 0,
                  "a cached segment is released more often than used");
  }
  engine.kv_used_tokens -= request.output_kv_tokens;
}

// Puts the newest running request back at the head of the queue; it starts over.
void preempt_newest(engine_model& engine, instant now) {
  release_segments(engine, engine.running.back(), now);
  engine.waiting.push_front(engine.running.back());
  engine.running.pop_back();
  ++engine.preemptions;
}

double prefill_chunk(engine_model& engine) {
  double budget = engine.options.prefill_chunk_tokens;
  for (engine_request& request : engine.running) {
    const double tokens = std::min(budget, request.pending_prefill_tokens);
    request.pending_prefill_tokens -= tokens;
    budget -= tokens;
  }
  return engine.options.prefill_chunk_tokens - budget;
}

}  // namespace

void submit(engine_model& engine, engine_request request) {
  engine.waiting.push_back(std::move(request));
}

step_result run_step(engine_model& engine, instant now) {
  step_result result;
  while (!engine.waiting.empty() &&
         engine.running.size() < static_cast<std::size_t>(engine.options.slots) &&
         start_request(engine, engine.waiting.front(), now, result.uncached_segments)) {
    engine.running.push_back(std::move(engine.waiting.front()));
    engine.waiting.pop_front();
  }
  if (engine.running.empty()) {
    return result;
  }
  const double prefilled_tokens = prefill_chunk(engine);
  int decoding_requests = 0;
  for (std::size_t index = 0; index < engine.running.size(); ++index) {
    engine_request& request = engine.running[index];
    if (request.pending_prefill_tokens > 0) {
      continue;
    }
    while (!evict_to_fit(engine, 1) && engine.running.size() > index + 1) {
      preempt_newest(engine, now);
    }
    ++decoding_requests;
    ++request.generated_tokens;
    ++request.output_kv_tokens;
    ++engine.kv_used_tokens;
    if (request.generated_tokens == 1) {
      result.first_token_ids.push_back(request.id);
    }
    if (request.generated_tokens >= request.output_tokens) {
      result.completed_ids.push_back(request.id);
    }
  }
  result.elapsed = from_ms(engine.options.base_step_ms +
                           engine.options.step_ms_per_decoding_request * decoding_requests +
                           prefilled_tokens / engine.options.prefill_tokens_per_ms);
  for (std::uint64_t id : result.completed_ids) {
    cancel(engine, id, now);
  }
  return result;
}

void cancel(engine_model& engine, std::uint64_t id, instant now) {
  std::erase_if(engine.waiting, [id](const engine_request& request) { return request.id == id; });
  auto found = std::find_if(engine.running.begin(), engine.running.end(),
                            [id](const engine_request& request) { return request.id == id; });
  if (found != engine.running.end()) {
    release_segments(engine, *found, now);
    engine.running.erase(found);
  }
}

}  // namespace peridot::experiment
