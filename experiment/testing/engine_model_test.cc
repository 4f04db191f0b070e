#include "experiment/engine_model.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace peridot;
using namespace peridot::experiment;

namespace {

engine_request make_request(std::uint64_t id, std::uint64_t shared_hash, double shared_tokens,
                            double unique_tokens, double output_tokens) {
  engine_request request;
  request.id = id;
  request.call_prompt.prompt_tokens = shared_tokens + unique_tokens;
  request.call_prompt.prefixes = {{shared_hash, shared_tokens},
                                  {1'000'000 + id, shared_tokens + unique_tokens}};
  request.output_tokens = output_tokens;
  return request;
}

// Returns the virtual time until the engine is idle.
duration run_until_idle(engine_model& engine, std::size_t& completed) {
  instant now{};
  while (true) {
    const step_result step = run_step(engine, now);
    if (step.elapsed <= duration{0}) {
      return now - instant{};
    }
    completed += step.completed_ids.size();
    now += step.elapsed;
  }
}

// KV cache usage, recomputed from the cached segments and the outputs.
double recomputed_kv_used_tokens(const engine_model& engine) {
  double sum = 0;
  for (const std::pair<const std::uint64_t, cached_segment>& segment : engine.cached_segments) {
    sum += segment.second.tokens;
  }
  for (const engine_request& request : engine.running) {
    sum += request.output_kv_tokens;
  }
  return sum;
}

}  // namespace

TEST_CASE("an engine prefills prompts, generates outputs and caches segments") {
  engine_model engine;
  engine.options.step_ms_per_decoding_request = 0;
  std::size_t completed = 0;
  submit(engine, make_request(1, 7, 4'096, 4'096, 10));
  const double first_duration_ms = to_ms(run_until_idle(engine, completed));
  CHECK(completed == 1);
  CHECK(engine.prefilled_tokens == 8'192);
  // Four steps with a chunk each, the last of which generates the first token, then nine more.
  CHECK(first_duration_ms == doctest::Approx(13 * engine.options.base_step_ms +
                                             8'192 / engine.options.prefill_tokens_per_ms));
  SUBCASE("a cached shared segment is not prefilled again") {
    submit(engine, make_request(2, 7, 4'096, 4'096, 10));
    run_until_idle(engine, completed);
    CHECK(engine.cached_tokens == 4'096);
    CHECK(engine.prefilled_tokens == 8'192 + 4'096);
  }
  SUBCASE("the least recently used segment is evicted") {
    engine.options.kv_capacity_tokens = 20'000;
    submit(engine, make_request(3, 8, 8'000, 2'000, 5));
    run_until_idle(engine, completed);
    submit(engine, make_request(4, 9, 8'000, 1'000, 5));
    run_until_idle(engine, completed);
    CHECK_FALSE(engine.cached_segments.contains(7));
    CHECK(engine.cached_segments.contains(9));
  }
}

TEST_CASE("an engine with a full KV cache preempts its newest request") {
  engine_model engine;
  engine.options.kv_capacity_tokens = 2'100;
  std::size_t completed = 0;
  submit(engine, make_request(1, 1, 500, 500, 200));
  submit(engine, make_request(2, 2, 500, 500, 200));
  run_until_idle(engine, completed);
  CHECK(completed == 2);
  CHECK(engine.preemptions >= 1);
}

TEST_CASE("KV cache usage and running requests stay within their bounds under random load") {
  std::mt19937 random(3);
  engine_model engine;
  engine.options.kv_capacity_tokens = 30'000;
  engine.options.slots = 8;
  instant now{};
  for (std::uint64_t id = 0; id < 3'000; ++id) {
    submit(engine, make_request(id, random() % 20, 1'000 + random() % 3'000, 100 + random() % 2'000,
                                1 + random() % 60));
    if (random() % 5 == 0) {
      cancel(engine, random() % (id + 1), now);
    }
    for (int step = 0; step < 6; ++step) {
      now += run_step(engine, now).elapsed;
      CHECK(engine.running.size() <= 8);
      // Output tokens may exceed the capacity (see engine_model.h); up to 8 are allowed here.
      CHECK(engine.kv_used_tokens <= doctest::Approx(engine.options.kv_capacity_tokens + 8));
      CHECK(engine.kv_used_tokens == doctest::Approx(recomputed_kv_used_tokens(engine)));
    }
  }
}
