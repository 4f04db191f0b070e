#include "experiment/engine_model.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace peridot;
using namespace peridot::experiment;

namespace {

engine_run make_run(std::uint64_t id, std::uint64_t subject, double shared, double own,
                    double tokens_out) {
  engine_run run;
  run.id = id;
  run.what.prompt_tokens = shared + own;
  run.what.prefixes = {{subject, shared}, {1'000'000 + id, shared + own}};
  run.tokens_out = tokens_out;
  return run;
}

// Runs until the engine is idle; the time that it took.
duration finish_all(engine_model& engine, std::size_t& ended) {
  instant now{};
  while (true) {
    const step_result done = take_step(engine, now);
    if (done.time <= duration{0}) {
      return now - instant{};
    }
    ended += done.ended.size();
    now += done.time;
  }
}

// Memory counted anew from what is kept and written.
double memory_of(const engine_model& engine) {
  double sum = 0;
  for (const std::pair<const std::uint64_t, kept_part>& part : engine.parts) {
    sum += part.second.tokens;
  }
  for (const engine_run& run : engine.running) {
    sum += run.own_memory;
  }
  return sum;
}

}  // namespace

TEST_CASE("an engine reads, writes and keeps") {
  engine_model engine;
  engine.options.step_ms_per_writer = 0;
  std::size_t ended = 0;
  submit(engine, make_run(1, 7, 4'096, 4'096, 10));
  const double first = to_ms(finish_all(engine, ended));
  CHECK(ended == 1);
  CHECK(engine.tokens_read == 8'192);
  // Four chunks with a step each, the last one writes the first token, then nine more.
  CHECK(first ==
        doctest::Approx(13 * engine.options.step_ms + 8'192 / engine.options.read_tokens_per_ms));
  SUBCASE("a shared part is not read again") {
    submit(engine, make_run(2, 7, 4'096, 4'096, 10));
    finish_all(engine, ended);
    CHECK(engine.tokens_kept == 4'096);
    CHECK(engine.tokens_read == 8'192 + 4'096);
  }
  SUBCASE("the least recently used part yields") {
    engine.options.memory_tokens = 20'000;
    submit(engine, make_run(3, 8, 8'000, 2'000, 5));
    finish_all(engine, ended);
    submit(engine, make_run(4, 9, 8'000, 1'000, 5));
    finish_all(engine, ended);
    CHECK_FALSE(engine.parts.contains(7));
    CHECK(engine.parts.contains(9));
  }
}

TEST_CASE("an engine without memory for what is written starts its newest request anew") {
  engine_model engine;
  engine.options.memory_tokens = 2'100;
  std::size_t ended = 0;
  submit(engine, make_run(1, 1, 500, 500, 200));
  submit(engine, make_run(2, 2, 500, 500, 200));
  finish_all(engine, ended);
  CHECK(ended == 2);
  CHECK(engine.preempted >= 1);
}

TEST_CASE("memory and places stay within their bounds, whatever comes") {
  std::mt19937 random(3);
  engine_model engine;
  engine.options.memory_tokens = 30'000;
  engine.options.slots = 8;
  instant now{};
  for (std::uint64_t id = 0; id < 3'000; ++id) {
    submit(engine, make_run(id, random() % 20, 1'000 + random() % 3'000, 100 + random() % 2'000,
                            1 + random() % 60));
    if (random() % 5 == 0) {
      cancel(engine, random() % (id + 1), now);
    }
    for (int step = 0; step < 6; ++step) {
      now += take_step(engine, now).time;
      CHECK(engine.running.size() <= 8);
      CHECK(engine.used <= doctest::Approx(engine.options.memory_tokens + 8));
      CHECK(engine.used == doctest::Approx(memory_of(engine)));
    }
  }
}
