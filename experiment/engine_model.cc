#include "experiment/engine_model.h"

#include <algorithm>

#include "core/base/check.h"

namespace peridot::experiment {
namespace {

double part_tokens(const prompt& what, std::size_t index) {
  return what.prefixes[index].tokens - (index == 0 ? 0 : what.prefixes[index - 1].tokens);
}

// Frees memory for `wanted` tokens, least recently used parts first. False if it cannot.
bool make_room(engine_model& engine, double wanted) {
  while (engine.used + wanted > engine.options.memory_tokens) {
    auto oldest = engine.parts.end();
    for (auto part = engine.parts.begin(); part != engine.parts.end(); ++part) {
      if (part->second.users == 0 &&
          (oldest == engine.parts.end() || part->second.used_at < oldest->second.used_at)) {
        oldest = part;
      }
    }
    if (oldest == engine.parts.end()) {
      return false;
    }
    engine.used -= oldest->second.tokens;
    engine.parts.erase(oldest);
  }
  return true;
}

double kept_tokens_of(const engine_model& engine, const prompt& what) {
  double kept = 0;
  for (const prompt_prefix& prefix : what.prefixes) {
    if (!engine.parts.contains(prefix.hash)) {
      break;
    }
    kept = prefix.tokens;
  }
  return kept;
}

// Takes the request's parts into memory. False if there is no room for them now.
bool start_run(engine_model& engine, engine_run& run, instant now, std::vector<read_part>& read) {
  const double kept = kept_tokens_of(engine, run.what);
  for (const prompt_prefix& prefix : run.what.prefixes) {
    if (prefix.tokens <= kept) {
      ++engine.parts[prefix.hash].users;  // kept while room is made
    }
  }
  const bool fits = make_room(engine, run.what.prompt_tokens - kept + 1);
  for (std::size_t index = 0; index < run.what.prefixes.size(); ++index) {
    const prompt_prefix& prefix = run.what.prefixes[index];
    if (!fits) {
      if (prefix.tokens <= kept) {
        --engine.parts[prefix.hash].users;
      }
      continue;
    }
    kept_part& part = engine.parts[prefix.hash];
    if (prefix.tokens > kept) {
      // Two requests that read one part at once hold it twice; the model holds it once.
      engine.used += part.tokens > 0 ? 0 : part_tokens(run.what, index);
      part.tokens = part_tokens(run.what, index);
      ++part.users;
      read.push_back({prefix.hash, part.tokens, index + 1 < run.what.prefixes.size()});
    }
    part.used_at = now;
  }
  if (fits) {
    run.unread = run.what.prompt_tokens - kept;
    run.written = 0;
    run.own_memory = 0;
    engine.tokens_kept += kept;
    engine.tokens_read += run.unread;
  }
  return fits;
}

void release(engine_model& engine, const engine_run& run, instant now) {
  for (const prompt_prefix& prefix : run.what.prefixes) {
    kept_part& part = engine.parts[prefix.hash];
    --part.users;
    part.used_at = now;
    PERIDOT_CHECK(part.users >= 0, "a part is released twice");
  }
  engine.used -= run.own_memory;
}

// The newest request starts anew, as there is no memory for what is written.
void preempt_newest(engine_model& engine, instant now) {
  release(engine, engine.running.back(), now);
  engine.waiting.push_front(engine.running.back());
  engine.running.pop_back();
  ++engine.preempted;
}

double read_chunk(engine_model& engine) {
  double left = engine.options.chunk_tokens;
  for (engine_run& run : engine.running) {
    const double part = std::min(left, run.unread);
    run.unread -= part;
    left -= part;
  }
  return engine.options.chunk_tokens - left;
}

}  // namespace

void submit(engine_model& engine, engine_run run) {
  engine.waiting.push_back(std::move(run));
}

step_result take_step(engine_model& engine, instant now) {
  step_result result;
  while (!engine.waiting.empty() &&
         engine.running.size() < static_cast<std::size_t>(engine.options.slots) &&
         start_run(engine, engine.waiting.front(), now, result.read)) {
    engine.running.push_back(std::move(engine.waiting.front()));
    engine.waiting.pop_front();
  }
  if (engine.running.empty()) {
    return result;
  }
  const double read = read_chunk(engine);
  int writers = 0;
  for (std::size_t index = 0; index < engine.running.size(); ++index) {
    engine_run& run = engine.running[index];
    if (run.unread > 0) {
      continue;
    }
    while (!make_room(engine, 1) && engine.running.size() > index + 1) {
      preempt_newest(engine, now);
    }
    ++writers;
    ++run.written;
    ++run.own_memory;
    ++engine.used;
    if (run.written == 1) {
      result.first_token.push_back(run.id);
    }
    if (run.written >= run.tokens_out) {
      result.ended.push_back(run.id);
    }
  }
  result.time = from_ms(engine.options.step_ms + engine.options.step_ms_per_writer * writers +
                        read / engine.options.read_tokens_per_ms);
  for (std::uint64_t id : result.ended) {
    cancel(engine, id, now);
  }
  return result;
}

void cancel(engine_model& engine, std::uint64_t id, instant now) {
  std::erase_if(engine.waiting, [id](const engine_run& run) { return run.id == id; });
  auto found = std::find_if(engine.running.begin(), engine.running.end(),
                            [id](const engine_run& run) { return run.id == id; });
  if (found != engine.running.end()) {
    release(engine, *found, now);
    engine.running.erase(found);
  }
}

}  // namespace peridot::experiment
