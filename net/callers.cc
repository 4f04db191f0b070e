// The callers' interface: reads a call, queues it, and answers refusals.

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

#include "core/check.h"
#include "net/log.h"
#include "net/process_internal.h"

namespace peridot {
namespace {

constexpr std::size_t max_plain_name_bytes = 128;
constexpr std::size_t max_joined = 16;  // repeats that wait for one call
constexpr std::chrono::milliseconds joined_retry{1'000};
constexpr std::uint64_t max_keys_per_request = 100;
constexpr std::chrono::milliseconds key_budget_retry{1'000};
constexpr std::chrono::milliseconds max_caller_deadline{3'600'000};

// Headers of the caller that targets receive.
constexpr std::string_view passed_headers[] = {"Content-Type", "Accept", "X-Max-Tokens",
                                               "traceparent", "tracestate"};

bool is_plain_name(std::string_view text) {
  return !text.empty() && text.size() <= max_plain_name_bytes &&
         std::all_of(text.begin(), text.end(), [](char byte) {
           const unsigned char value = static_cast<unsigned char>(byte);
           return value > 0x20 && value < 0x7f && value != '"' && value != '\\';
         });
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t value = 0;
  const std::from_chars_result end = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || end.ec != std::errc() || end.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

struct read_call {
  new_request request;
  std::vector<http_header> headers;
  std::string problem;  // empty if the call is well formed
};

read_call read_headers(const server_exchange& exchange) {
  read_call call;
  const std::string_view organisation = find_header(exchange.headers, "X-Organisation");
  const std::string_view profile = find_header(exchange.headers, "X-Profile");
  if (!exchange.is_post) {
    call.problem = "Only POST is served here.";
  } else if (!exchange.can_stream) {
    // The end of the answer could not be told from a broken connection.
    call.problem = "HTTP/1.1 is needed.";
  } else if (!is_plain_name(organisation)) {
    call.problem = "The header X-Organisation is missing or not a name.";
  } else if (!is_plain_name(profile)) {
    call.problem = "The header X-Profile is missing or not a name.";
  }
  const std::string_view deadline = find_header(exchange.headers, "X-Queue-Deadline-Ms");
  if (!deadline.empty()) {
    const std::optional<std::uint64_t> value = parse_number(deadline);
    const bool in_range =
        value && *value > 0 && *value <= static_cast<std::uint64_t>(max_caller_deadline.count());
    if (in_range) {
      call.request.queue_deadline = std::chrono::milliseconds(*value);
    } else {
      call.problem = "The header X-Queue-Deadline-Ms must be from 1 to 3600000.";
    }
  }
  call.request.organisation = organisation_name{std::string(organisation)};
  call.request.profile = profile_name{std::string(profile)};
  call.request.fingerprint = stable_hash(exchange.body, stable_hash(organisation));
  for (std::string_view name : passed_headers) {
    const std::string_view value = find_header(exchange.headers, name);
    if (!value.empty()) {
      call.headers.push_back({std::string(name), std::string(value)});
    }
  }
  return call;
}

std::string json_escaped(std::string_view text) {
  std::string result;
  for (char byte : text) {
    const unsigned char value = static_cast<unsigned char>(byte);
    if (byte == '"' || byte == '\\') {
      result.push_back('\\');
      result.push_back(byte);
    } else {
      result.push_back(value < 0x20 ? ' ' : byte);
    }
  }
  return result;
}

// The caller of a call without a key left, or its first caller did.
void on_caller_gone(router_process& process, std::uint64_t id) {
  std::map<std::uint64_t, std::unique_ptr<caller_call>>::iterator found = process.calls.find(id);
  if (found == process.calls.end()) {
    return;
  }
  caller_call& call = *found->second;
  call.exchange.reset();
  ++process.counts.callers_gone;
  if (call.key_sequence) {
    if (call.reading_paused && call.run != nullptr) {
      call.reading_paused = false;
      resume_call(*call.run);
    }
    return;  // it runs to its end, so that a repeat gets the answer
  }
  if (call.run != nullptr) {
    cancel_call(*call.run);
  }
  effects todo;
  router_cancel(process.core, id, static_cast<service_units>(call.chunks), current_time(), todo);
  process.calls.erase(id);
  carry_out(process, todo);
}

void queue_call(router_process& process, const std::shared_ptr<server_exchange>& exchange,
                const read_call& read, const std::optional<parsed_key>& key) {
  const instant now = current_time();
  effects todo;
  const submit_result result = router_submit(process.core, read.request, now, todo);
  if (!result.accepted) {
    if (key) {
      withdraw_call(process.core.keys, key->sequence);
    }
    answer_failure(process, *exchange, {outcome::not_run, result.why, result.retry_after, ""});
    carry_out(process, todo);
    return;
  }
  std::unique_ptr<caller_call> call = std::make_unique<caller_call>();
  call->id = result.id;
  call->exchange = exchange;
  call->organisation = read.request.organisation;
  call->profile = read.request.profile;
  call->headers = read.headers;
  call->body = std::move(exchange->body);
  call->arrived = now;
  if (key) {
    call->key_sequence = key->sequence;
    call->key_text = std::string(find_header(exchange->headers, "Idempotency-Key"));
    process.calls_by_key.emplace(key->sequence, result.id);
  }
  const std::uint64_t id = result.id;
  exchange->on_gone = [&process, id]() { on_caller_gone(process, id); };
  process.calls.emplace(id, std::move(call));
  carry_out(process, todo);
}

void answer_kept(router_process& process, server_exchange& exchange, const kept_answer& answer) {
  if (answer.how != outcome::done) {
    answer_failure(process, exchange, {answer.how, answer.why, {}, "The call has ended before."});
    return;
  }
  std::vector<http_header> headers = {{header_outcome, "done"}, {"X-Replayed", "1"}};
  if (!answer.content_type.empty()) {
    headers.push_back({"Content-Type", answer.content_type});
  }
  if (!answer.body_kept) {
    headers.push_back({"X-Answer-Kept", "0"});
    reply(
        exchange, 409, headers,
        "{\"error\":{\"outcome\":\"done\",\"reason\":\"none\",\"message\":\"The call is done; its "
        "answer was too large to keep.\"}}\n");
    return;
  }
  ++process.counts.answered;
  reply(exchange, answer.status, headers, answer.body);
}

// A repeat that waits holds its connection and no body. One that leaves is
// forgotten; the call runs on.
void join_call(router_process& process, const std::shared_ptr<server_exchange>& exchange,
               std::uint64_t sequence) {
  std::map<std::uint64_t, std::uint64_t>::iterator found = process.calls_by_key.find(sequence);
  PERIDOT_CHECK(found != process.calls_by_key.end(), "a running key has no call");
  const std::uint64_t id = found->second;
  std::vector<std::shared_ptr<server_exchange>>& joined = process.calls.at(id)->joined;
  if (joined.size() >= max_joined) {
    answer_failure(process, *exchange,
                   {outcome::unknown, refusal::overloaded, joined_retry,
                    "The call runs, and many repeats of it wait."});
    return;
  }
  exchange->body.clear();
  exchange->body.shrink_to_fit();
  const server_exchange* left = exchange.get();
  exchange->on_gone = [&process, id, left]() {
    auto call = process.calls.find(id);
    if (call != process.calls.end()) {
      ++process.counts.callers_gone;
      std::erase_if(call->second->joined, [left](const std::shared_ptr<server_exchange>& other) {
        return other.get() == left;
      });
    }
  };
  joined.push_back(exchange);
}

void handle_keyed_call(router_process& process, const std::shared_ptr<server_exchange>& exchange,
                       const read_call& read, std::string_view key_text) {
  const std::optional<parsed_key> key = parse_key(key_text, process.settings.fleet_key);
  if (!key) {
    answer_failure(process, *exchange, {outcome::not_run, refusal::key_invalid, {}, ""});
    return;
  }
  // The profile says where and how the call runs: another one is another call.
  const std::uint64_t fingerprint =
      stable_hash(read.request.profile.value, read.request.fingerprint);
  const begin_result begun = begin_call(process.core.keys, *key, fingerprint, current_time());
  switch (begun.what) {
    case begin_result::kind::start:
      queue_call(process, exchange, read, key);
      return;
    case begin_result::kind::join:
      join_call(process, exchange, key->sequence);
      return;
    case begin_result::kind::replay:
      answer_kept(process, *exchange, *begun.answer);
      return;
    case begin_result::kind::not_mine:
      forward_call(process, exchange, *key);
      return;
    case begin_result::kind::expired:
      answer_failure(process, *exchange, {outcome::unknown, refusal::key_expired, {}, ""});
      return;
    case begin_result::kind::conflict:
      answer_failure(
          process, *exchange,
          {outcome::unknown, refusal::key_invalid, {}, "The key was used for another call."});
      return;
    case begin_result::kind::full:
      answer_failure(process, *exchange,
                     {outcome::not_run, refusal::overloaded, key_budget_retry, ""});
      return;
  }
}

}  // namespace

int http_status(const failure_answer& answer) {
  switch (answer.why) {
    case refusal::bad_request:
    case refusal::key_required:
    case refusal::key_invalid:
      return 400;
    case refusal::unknown_organisation:
      return 403;
    case refusal::unknown_profile:
      return 404;
    case refusal::key_expired:
    case refusal::key_issuer_gone:
      return 410;
    case refusal::suspect:
      return 422;
    case refusal::queue_full:
    case refusal::retry_budget:
      return 429;
    case refusal::target_failed:
    case refusal::target_lost:
      return 502;
    case refusal::none:
    case refusal::no_configuration:
    case refusal::key_issuer_unreachable:
    case refusal::deadline:
    case refusal::stopping:
    case refusal::caller_gone:
    case refusal::overloaded:
      return 503;
    case refusal::internal:
      return 500;
  }
  return 500;
}

void answer_failure(router_process& process, server_exchange& exchange,
                    const failure_answer& answer) {
  ++process.counts.refused[answer.why];
  ++process.counts.not_done[answer.how];
  std::vector<http_header> headers = {{"Content-Type", "application/json"},
                                      {header_outcome, to_text(answer.how)},
                                      {header_refusal, to_text(answer.why)}};
  std::ostringstream body;
  body << "{\"error\":{\"outcome\":\"" << to_text(answer.how) << "\",\"reason\":\""
       << to_text(answer.why) << "\"";
  if (answer.retry_after.count() > 0) {
    // Retry-After counts whole seconds; the body says it to the millisecond.
    const std::chrono::seconds whole = std::chrono::ceil<std::chrono::seconds>(answer.retry_after);
    headers.push_back({"Retry-After", std::to_string(whole.count())});
    body << ",\"retry_after_ms\":" << answer.retry_after.count();
  }
  if (!answer.message.empty()) {
    body << ",\"message\":\"" << json_escaped(answer.message) << "\"";
  }
  body << "}}\n";
  reply(exchange, http_status(answer), headers, body.str());
}

void end_with_failure(router_process& process, caller_call& call, const failure_answer& answer) {
  if (call.exchange != nullptr) {
    call.exchange->on_gone = nullptr;
    if (call.answer_begun) {
      ++process.counts.cut_answers;
      reply_abort(*call.exchange);
    } else {
      answer_failure(process, *call.exchange, answer);
    }
  }
  for (const std::shared_ptr<server_exchange>& repeat : call.joined) {
    answer_failure(process, *repeat, answer);
  }
  if (call.key_sequence) {
    if (answer.how == outcome::not_run) {
      withdraw_call(process.core.keys, *call.key_sequence);
    } else {
      complete_call(process.core.keys, *call.key_sequence,
                    {.status = http_status(answer), .how = answer.how, .why = answer.why});
    }
    process.calls_by_key.erase(*call.key_sequence);
  }
  process.calls.erase(call.id);
}

void handle_call(router_process& process, const std::shared_ptr<server_exchange>& exchange) {
  const read_call read = read_headers(*exchange);
  if (!read.problem.empty()) {
    answer_failure(process, *exchange, {outcome::not_run, refusal::bad_request, {}, read.problem});
    return;
  }
  if (process.core.config == nullptr) {
    answer_failure(process, *exchange,
                   {outcome::not_run, refusal::no_configuration, std::chrono::seconds{2}, ""});
    return;
  }
  const profile_config* profile = find_profile(*process.core.config, read.request.profile);
  if (profile == nullptr) {
    answer_failure(process, *exchange, {outcome::not_run, refusal::unknown_profile, {}, ""});
    return;
  }
  if (exchange->body.size() > profile->max_body_bytes) {
    answer_failure(process, *exchange,
                   {outcome::not_run, refusal::bad_request, {}, "The body is too large."});
    return;
  }
  if (profile->repeatable) {
    queue_call(process, exchange, read, std::nullopt);
    return;
  }
  const std::string_view key = find_header(exchange->headers, "Idempotency-Key");
  if (key.empty()) {
    answer_failure(process, *exchange,
                   {outcome::not_run,
                    refusal::key_required,
                    {},
                    "Take a key by POST /v1/keys and send it as Idempotency-Key."});
    return;
  }
  handle_keyed_call(process, exchange, read, key);
}

void handle_key_request(router_process& process, const std::shared_ptr<server_exchange>& exchange) {
  if (process.core.stopping) {
    answer_failure(process, *exchange,
                   {outcome::not_run, refusal::stopping, std::chrono::milliseconds{100}, ""});
    return;
  }
  const std::string text = query_value(exchange->query, "count");
  const std::optional<std::uint64_t> count = text.empty() ? 1 : parse_number(text);
  if (!exchange->is_post || !count || *count < 1 || *count > max_keys_per_request) {
    answer_failure(process, *exchange,
                   {outcome::not_run,
                    refusal::bad_request,
                    {},
                    "Keys are taken by POST /v1/keys?count=N, N from 1 to 100."});
    return;
  }
  std::string body = "{\"keys\":[";
  for (std::uint64_t index = 0; index < *count; ++index) {
    body += index == 0 ? "\"" : ",\"";
    body += issue_key(process.core.keys, current_time()) + "\"";
  }
  reply(*exchange, 200, {{"Content-Type", "application/json"}}, body + "]}\n");
}

}  // namespace peridot
