// Passes a call to the router that issued its key, and relays the answer.
//
// Only the issuer may start such a call, so this router starts nothing, queues
// nothing and keeps nothing. If the issuer's address belongs to another
// incarnation, the issuer's process has ended, and the call will never run from
// now on. Only the router at that address can say so; one that gets a forwarded
// call for an address that is not its own says that the issuer was not reached.

#include <strings.h>

#include <algorithm>
#include <initializer_list>
#include <utility>

#include "core/check.h"
#include "net/log.h"
#include "net/process_internal.h"

namespace peridot {
namespace {

constexpr std::chrono::milliseconds unreachable_retry{1'000};
constexpr std::chrono::milliseconds forward_timeout{600'000};
constexpr std::size_t max_forwards = 4'096;

struct forward_state {
  std::shared_ptr<server_exchange> exchange;
  answer_head head;
  bool begun = false;
};

bool is_one_of(std::string_view name, std::initializer_list<std::string_view> names) {
  return std::any_of(names.begin(), names.end(), [name](std::string_view other) {
    return name.size() == other.size() && strncasecmp(name.data(), other.data(), other.size()) == 0;
  });
}

bool is_answer_header(std::string_view name) {
  return is_one_of(
      name, {"Content-Type", "X-Outcome", "X-Refusal", "Retry-After", "X-Request-Id", "X-Target",
             "X-Total-Tokens", "X-Prompt-Hash", "X-Service-Units", "X-Replayed", "X-Answer-Kept"});
}

// Headers of the caller's connection, which say nothing about the next one.
bool is_hop_header(std::string_view name) {
  return is_one_of(name, {"Host", "Connection", "Content-Length", "Transfer-Encoding", "Expect",
                          "Keep-Alive", "TE", "Trailer", "Upgrade", header_forwarded});
}

void begin_relay(forward_state& state) {
  if (state.begun) {
    return;
  }
  state.begun = true;
  std::vector<http_header> headers;
  for (const http_header& header : state.head.headers) {
    if (is_answer_header(header.name)) {
      headers.push_back(header);
    }
  }
  reply_begin(*state.exchange, state.head.status, headers);
}

void answer_unreachable(router_process& process, server_exchange& exchange) {
  answer_failure(process, exchange,
                 {outcome::unknown, refusal::key_issuer_unreachable, unreachable_retry,
                  "The issuer of the key cannot be reached. Repeat with the same key."});
}

// Passes a part of the answer on. Reading pauses while the caller reads more
// slowly than the issuer sends.
void relay_data(router_process& process, forward_state& state, std::uint64_t id,
                std::string_view data) {
  if (find_header(state.head.headers, header_outcome).empty()) {
    return;
  }
  begin_relay(state);
  reply_data(*state.exchange, data);
  auto call = process.forwards.find(id);
  if (call != process.forwards.end() &&
      unsent_bytes(*state.exchange) > process.settings.stream_buffer_bytes) {
    pause_call(*call->second);
  }
}

void end_relay(router_process& process, forward_state& state, std::uint64_t id, call_end end) {
  process.forwards.erase(id);
  state.exchange->on_gone = nullptr;
  state.exchange->on_drained = nullptr;
  // What answers without an outcome is no router: the address has a new owner.
  const bool by_router = !find_header(state.head.headers, header_outcome).empty();
  if (end == call_end::complete && by_router) {
    begin_relay(state);
    reply_end(*state.exchange);
    return;
  }
  if (state.begun) {
    ++process.counts.cut_answers;
    reply_abort(*state.exchange);
    return;
  }
  answer_unreachable(process, *state.exchange);
}

http_call make_forward(const server_exchange& exchange, const parsed_key& key) {
  http_call call;
  call.address = key.issuer_http;
  call.method = http_method::post;
  call.path = "/v1/requests";
  for (const http_header& header : exchange.headers) {
    if (!is_hop_header(header.name)) {
      call.headers.push_back(header);
    }
  }
  call.headers.push_back({header_forwarded, "1"});
  call.body = exchange.body;
  call.idle_timeout = forward_timeout;
  return call;
}

}  // namespace

void forward_call(router_process& process, const std::shared_ptr<server_exchange>& exchange,
                  const parsed_key& key) {
  const bool at_issuers_address = key.issuer_http == process.settings.http_address ||
                                  key.issuer.address == process.core.options.self.address;
  if (at_issuers_address) {
    answer_failure(
        process, *exchange,
        {outcome::unknown,
         refusal::key_issuer_gone,
         {},
         "The router that issued the key has ended. The call will not run from now on."});
    return;
  }
  if (!find_header(exchange->headers, header_forwarded).empty()) {
    answer_unreachable(process, *exchange);
    return;
  }
  if (process.forwards.size() >= max_forwards) {
    answer_failure(process, *exchange,
                   {outcome::unknown, refusal::overloaded, unreachable_retry, ""});
    return;
  }
  const std::uint64_t id = process.next_forward++;
  std::shared_ptr<forward_state> state = std::make_shared<forward_state>();
  state->exchange = exchange;
  call_handlers handlers;
  handlers.on_head = [state](const answer_head& head) { state->head = head; };
  handlers.on_data = [&process, state, id](std::string_view data) {
    relay_data(process, *state, id, data);
  };
  handlers.on_end = [&process, state, id](call_end end) { end_relay(process, *state, id, end); };
  std::shared_ptr<client_call> call =
      start_call(process.base.get(), make_forward(*exchange, key), std::move(handlers));
  exchange->body.clear();
  exchange->body.shrink_to_fit();
  exchange->on_gone = [&process, id]() {
    std::map<std::uint64_t, std::shared_ptr<client_call>>::iterator found =
        process.forwards.find(id);
    if (found != process.forwards.end()) {
      cancel_call(*found->second);
      process.forwards.erase(found);
    }
  };
  exchange->on_drained = [&process, id]() {
    auto paused = process.forwards.find(id);
    if (paused != process.forwards.end()) {
      resume_call(*paused->second);
    }
  };
  process.forwards.emplace(id, std::move(call));
  timeline_event event;
  event.kind = event_kind::key_forwarded;
  event.peer = key.issuer.address.value;
  record(process.core.events, std::move(event), current_time(), std::chrono::system_clock::now());
}

}  // namespace peridot
