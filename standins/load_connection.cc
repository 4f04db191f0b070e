// Connections of the load tool, by evhttp: one request each.
//
// The library calls on_end() exactly once for each request that was made, with
// null or status 0 if the connection broke. A connection is never freed from
// within a callback: it is marked as ended and freed in the next tick.
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <cstdlib>

#include "core/check.h"
#include "standins/load_client.h"

namespace peridot::standins {

namespace {

constexpr std::size_t max_text_bytes = 65'536;
constexpr const char* keys_path = "/v1/keys?count=32";
constexpr const char* requests_path = "/v1/requests";

std::string answer_header(evhttp_request* request, const char* name) {
  const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return value == nullptr ? "" : value;
}

int on_headers(evhttp_request* request, void* arg) {
  load_attempt& attempt = *static_cast<load_attempt*>(arg);
  attempt.framed = answer_header(request, "Transfer-Encoding") == "chunked" ||
                   !answer_header(request, "Content-Length").empty();
  attempt.began = evhttp_request_get_response_code(request) == HTTP_OK;
  const std::string total = answer_header(request, "X-Total-Tokens");
  if (!total.empty()) {
    attempt.check.total_tokens = std::strtoull(total.c_str(), nullptr, 10);
  }
  const std::string hash = answer_header(request, "X-Prompt-Hash");
  attempt.check.wrong = attempt.call != 0 && !hash.empty() && hash != attempt.check.body_hash;
  return 0;
}

void on_data(evhttp_request* request, void* arg) {
  load_attempt& attempt = *static_cast<load_attempt*>(arg);
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string data(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, data.data(), data.size());
  if (attempt.began && attempt.call != 0) {
    const std::uint64_t tokens = read_answer(attempt.check, data);
    note_tokens(*attempt.client, attempt, tokens, std::chrono::steady_clock::now());
  } else if (attempt.text.size() + data.size() <= max_text_bytes) {
    attempt.text += data;
  }
}

attempt_end read_end(evhttp_request* request) {
  attempt_end end;
  if (request == nullptr) {
    return end;
  }
  end.status = evhttp_request_get_response_code(request);
  if (end.status == 0) {
    return end;
  }
  end.outcome = answer_header(request, "X-Outcome");
  end.refusal = answer_header(request, "X-Refusal");
  const std::string retry_after = answer_header(request, "Retry-After");
  if (!retry_after.empty()) {
    end.retry_after = std::chrono::seconds(std::strtoul(retry_after.c_str(), nullptr, 10));
  }
  return end;
}

void on_end(evhttp_request* request, void* arg) {
  load_attempt& attempt = *static_cast<load_attempt*>(arg);
  PERIDOT_CHECK(!attempt.ended, "an attempt ends once");
  finish_attempt(*attempt.client, attempt, read_end(request), std::chrono::steady_clock::now());
}

void add_header(evhttp_request* request, const char* name, const std::string& value) {
  evhttp_add_header(evhttp_request_get_output_headers(request), name, value.c_str());
}

void add_call_headers(evhttp_request* request, const caller_config& caller, const load_call& call) {
  add_header(request, "X-Organisation", caller.organisation.value);
  add_header(request, "X-Profile", caller.profile.value);
  if (!call.key.empty()) {
    add_header(request, "Idempotency-Key", call.key);
  }
  if (caller.queue_deadline.count() > 0) {
    add_header(request, "X-Queue-Deadline-Ms", std::to_string(caller.queue_deadline.count()));
  }
  if (caller.max_tokens > 0) {
    add_header(request, "X-Max-Tokens", std::to_string(caller.max_tokens));
  }
  evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
}

// The path of the request; its headers and body are set.
const char* fill_request(load_client& client, load_attempt& attempt) {
  add_header(attempt.request, "Connection", "close");
  if (attempt.call == 0) {
    return keys_path;
  }
  const load_call& call = client.calls.at(attempt.call);
  const caller_config& caller = client.options.callers[call.caller];
  attempt.check.body_hash = hash_text(body_hash(call.body));
  attempt.check.plain = caller.plain;
  add_call_headers(attempt.request, caller, call);
  return client.options.path.empty() ? requests_path : client.options.path.c_str();
}

}  // namespace

void start_attempt(load_client& client, std::uint64_t call, std::size_t router) {
  client.attempts.push_back(std::make_unique<load_attempt>());
  load_attempt& attempt = *client.attempts.back();
  const ip_port& address = client.options.routers[router];
  attempt.client = &client;
  attempt.call = call;
  attempt.router = router;
  attempt.connection =
      evhttp_connection_base_new(client.base, nullptr, address.host.c_str(), address.port);
  PERIDOT_CHECK(attempt.connection != nullptr, "evhttp has no memory");
  const std::chrono::seconds timeout =
      std::chrono::ceil<std::chrono::seconds>(client.options.answer_timeout);
  evhttp_connection_set_timeout(attempt.connection, static_cast<int>(timeout.count()));
  attempt.request = evhttp_request_new(on_end, &attempt);
  evhttp_request_set_header_cb(attempt.request, on_headers);
  evhttp_request_set_chunked_cb(attempt.request, on_data);
  const char* path = fill_request(client, attempt);
  if (evhttp_make_request(attempt.connection, attempt.request, EVHTTP_REQ_POST, path) != 0 &&
      !attempt.ended) {
    finish_attempt(client, attempt, attempt_end{}, std::chrono::steady_clock::now());
  }
}

}  // namespace peridot::standins
