#include "standins/load_client.h"

#include <algorithm>

#include "core/check.h"

namespace peridot::standins {

namespace {

constexpr std::size_t fewest_keys = 16;  // more are asked for below this
constexpr std::chrono::milliseconds key_retry{200};
constexpr std::chrono::milliseconds longest_key_wait{5'000};
constexpr std::chrono::milliseconds resend_delay{100};
constexpr std::chrono::milliseconds most_jitter{200};

const caller_config& caller_of(const load_client& client, const load_call& call) {
  return client.options.callers[call.caller];
}

organisation_counts& organisation_of(load_client& client, const load_call& call) {
  return client.counts.organisations[caller_of(client, call).organisation];
}

void close_call(load_client& client, std::uint64_t id, const char* end) {
  const load_call& call = client.calls.at(id);
  if (caller_of(client, call).keyed) {
    client.keyed_ends.push_back(keyed_end{call.key, hash_text(body_hash(call.body)), end});
  }
  client.calls.erase(id);
}

void send_again(load_client& client, load_call& call, instant when) {
  const std::uint64_t jitter = client.random() % static_cast<std::uint64_t>(most_jitter.count());
  call.next_attempt = when + std::chrono::milliseconds(jitter);
  ++client.counts.sent_again;
}

void count_answer(load_client& client, std::uint64_t id, load_attempt& attempt, instant now) {
  const load_call& call = client.calls.at(id);
  const caller_config& caller = caller_of(client, call);
  organisation_counts& organisation = organisation_of(client, call);
  ++client.counts.answered;
  ++organisation.answered;
  if (caller.plain) {
    ++organisation.units;
    attempt.first_token = now;
  } else {
    add_sample(organisation.first_token, attempt.first_token - call.arrived);
  }
  add_sample(client.counts.first_token[caller.profile], attempt.first_token - call.arrived);
  close_call(client, id, "answered");
}

void on_answer(load_client& client, std::uint64_t id, load_attempt& attempt, instant now) {
  switch (verdict_of(attempt.check)) {
    case answer_verdict::whole:
      count_answer(client, id, attempt, now);
      return;
    case answer_verdict::cut:
      ++client.counts.cut;
      close_call(client, id, "cut");
      return;
    case answer_verdict::wrong:
      ++client.counts.wrong;
      close_call(client, id, "wrong");
      return;
  }
}

void on_broken(load_client& client, std::uint64_t id, const load_attempt& attempt, instant now) {
  load_call& call = client.calls.at(id);
  const bool keyed = caller_of(client, call).keyed;
  const bool may_repeat = keyed || !attempt.began;
  if (may_repeat && call.attempts < client.options.max_attempts) {
    send_again(client, call, now + resend_delay);
    return;
  }
  if (attempt.began) {
    ++client.counts.broken;
    close_call(client, id, "broken");
  } else if (keyed) {
    ++client.counts.unknown["no_answer"];
    close_call(client, id, "unknown");
  } else {
    ++client.counts.unreached;
    close_call(client, id, "unreached");
  }
}

// The old key keeps its own line, so that its end is compared with the ledgers.
void move_on(load_client& client, load_call& call, instant now) {
  if (!call.key.empty()) {
    client.keyed_ends.push_back(keyed_end{call.key, hash_text(body_hash(call.body)), "not_run"});
    call.key.clear();
  }
  send_again(client, call, now);
}

void on_not_run(load_client& client, std::uint64_t id, const attempt_end& end, instant now) {
  load_call& call = client.calls.at(id);
  const bool stopping = end.refusal == "stopping";
  if (stopping && client.options.move_on_when_stopping &&
      call.attempts < client.options.max_attempts) {
    move_on(client, call, now);
    return;
  }
  if (end.retry_after && call.retries < caller_of(client, call).retries) {
    ++call.retries;
    send_again(client, call, now + *end.retry_after);
    return;
  }
  ++client.counts.not_run[end.refusal];
  close_call(client, id, "not_run");
}

void on_unknown(load_client& client, std::uint64_t id, const attempt_end& end, instant now) {
  load_call& call = client.calls.at(id);
  const bool keyed = caller_of(client, call).keyed;
  if (keyed && end.retry_after && call.attempts < client.options.max_attempts) {
    send_again(client, call, now + *end.retry_after);
    return;
  }
  ++client.counts.unknown[end.refusal];
  close_call(client, id, "unknown");
}

void on_refusal(load_client& client, std::uint64_t id, const attempt_end& end, instant now) {
  if (end.outcome == "not_run") {
    on_not_run(client, id, end, now);
  } else if (end.outcome == "unknown") {
    on_unknown(client, id, end, now);
  } else {
    const bool named = end.outcome == "failed_after_run";
    ++client.counts.failed[named ? end.refusal : "status_" + std::to_string(end.status)];
    close_call(client, id, "failed");
  }
}

// Takes the quoted texts of {"keys":["...","..."]}.
void read_keys(load_client& client, const std::string& text) {
  std::size_t at = text.find('[');
  while (at != std::string::npos) {
    const std::size_t begin = text.find('"', at);
    const std::size_t end = begin == std::string::npos ? begin : text.find('"', begin + 1);
    if (end == std::string::npos) {
      return;
    }
    client.keys.push_back(text.substr(begin + 1, end - begin - 1));
    at = end + 1;
  }
}

void add_call(load_client& client, std::size_t caller_index, instant arrived) {
  const caller_config& caller = client.options.callers[caller_index];
  const std::uint64_t id = client.next_call++;
  ++client.counts.calls;
  organisation_counts& organisation = client.counts.organisations[caller.organisation];
  ++organisation.calls;
  organisation.weight = caller.weight;
  if (client.calls.size() >= client.options.max_connections) {
    ++client.counts.not_sent;
    return;
  }
  load_call call;
  call.caller = caller_index;
  call.body = make_body(caller, client.options.seed, id);
  call.arrived = arrived;
  call.next_attempt = arrived;
  if (caller.keyed && !client.options.path.empty()) {
    call.key = "local-" + std::to_string(client.options.seed) + "-" + std::to_string(id);
  }
  client.calls.emplace(id, std::move(call));
}

void add_arrivals(load_client& client, instant now) {
  for (std::size_t index = 0; index < client.options.callers.size(); ++index) {
    const caller_config& caller = client.options.callers[index];
    const instant begun = client.ends - client.options.run_time;
    const bool stops = caller.stop_after.count() > 0;
    const instant end = stops ? std::min(client.ends, begun + caller.stop_after) : client.ends;
    instant& next = client.next_arrival[index];
    while (next <= now && next < end) {
      add_call(client, index, next);
      next += next_gap(caller, client.random);
    }
  }
}

bool needs_key(const load_client& client, const load_call& call) {
  return caller_of(client, call).keyed && call.key.empty();
}

void ask_for_keys(load_client& client, instant now) {
  const bool used = std::any_of(client.options.callers.begin(), client.options.callers.end(),
                                [](const caller_config& caller) { return caller.keyed; });
  const bool enough = client.keys.size() >= fewest_keys;
  if (!used || enough || client.keys_asked || !client.options.path.empty() ||
      now < client.next_key_request) {
    return;
  }
  client.keys_asked = true;
  client.next_key_request = now + key_retry;
  start_attempt(client, 0, client.random() % client.options.routers.size());
}

// Gives the call a key. False if it has to wait or has been given up.
bool take_key(load_client& client, std::uint64_t id, instant now) {
  load_call& call = client.calls.at(id);
  if (!client.keys.empty()) {
    call.key = client.keys.front();
    client.keys.pop_front();
    return true;
  }
  if (now - call.arrived > longest_key_wait) {
    ++client.counts.not_sent;
    close_call(client, id, "not_sent");
  }
  return false;
}

void start_due_attempts(load_client& client, instant now) {
  std::vector<std::uint64_t> due;
  for (const std::pair<const std::uint64_t, load_call>& entry : client.calls) {
    if (!entry.second.running && entry.second.next_attempt <= now) {
      due.push_back(entry.first);
    }
  }
  for (const std::uint64_t id : due) {
    load_call& call = client.calls.at(id);
    if (needs_key(client, call) && !take_key(client, id, now)) {
      continue;
    }
    call.running = true;
    ++call.attempts;
    ++client.counts.attempts;
    call.last_router = choose_router(caller_of(client, call), client.options.routers.size(),
                                     call.last_router, client.random);
    start_attempt(client, id, call.last_router);
  }
}

void free_ended(load_client& client) {
  std::erase_if(client.attempts, [](const std::unique_ptr<load_attempt>& attempt) {
    if (attempt->ended) {
      evhttp_connection_free(attempt->connection);
    }
    return attempt->ended;
  });
}

}  // namespace

void start_load(load_client& client, instant now) {
  PERIDOT_CHECK(client.base != nullptr, "the load client needs an event base");
  client.random.seed(client.options.seed);
  client.ends = now + client.options.run_time;
  client.gives_up_at = client.ends + client.options.drain_time;
  for (const caller_config& caller : client.options.callers) {
    const duration gap = next_gap(caller, client.random);
    client.next_arrival.push_back(now + caller.start_after + gap);
  }
}

bool run_load(load_client& client, instant now) {
  free_ended(client);
  add_arrivals(client, now);
  ask_for_keys(client, now);
  start_due_attempts(client, now);
  const bool drained = now >= client.ends && client.calls.empty();
  return !drained && now < client.gives_up_at;
}

void stop_arrivals(load_client& client, instant now) {
  if (now < client.ends) {
    const duration cut_off = client.ends - now;
    client.options.run_time -= cut_off;
    client.ends -= cut_off;
    client.gives_up_at -= cut_off;
  }
}

void end_load(load_client& client) {
  for (std::unique_ptr<load_attempt>& attempt : client.attempts) {
    evhttp_connection_free(attempt->connection);
  }
  client.attempts.clear();
  client.counts.unfinished += client.calls.size();
  while (!client.calls.empty()) {
    close_call(client, client.calls.begin()->first, "unfinished");
  }
  PERIDOT_CHECK(ended_calls(client.counts) == client.counts.calls, "each call has one end");
}

void note_tokens(load_client& client, load_attempt& attempt, std::uint64_t tokens, instant now) {
  if (tokens == 0) {
    return;
  }
  const load_call& call = client.calls.at(attempt.call);
  organisation_of(client, call).units += tokens;
  if (attempt.first_token == instant{}) {
    attempt.first_token = now;
  } else {
    add_sample(client.counts.token_gaps, now - attempt.last_token);
  }
  attempt.last_token = now;
}

void finish_attempt(load_client& client, load_attempt& attempt, const attempt_end& end,
                    instant now) {
  attempt.ended = true;
  if (attempt.call == 0) {
    client.keys_asked = false;
    if (end.status == EVHTP_RES_OK) {
      read_keys(client, attempt.text);
    }
    return;
  }
  client.calls.at(attempt.call).running = false;
  if (end.status == 0 || (end.status == EVHTP_RES_OK && !attempt.framed)) {
    on_broken(client, attempt.call, attempt, now);
  } else if (end.status == EVHTP_RES_OK) {
    on_answer(client, attempt.call, attempt, now);
  } else {
    on_refusal(client, attempt.call, end, now);
  }
}

}  // namespace peridot::standins
