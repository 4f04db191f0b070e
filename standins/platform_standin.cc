#include "standins/platform_standin.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace peridot::standin {
namespace {

using json = nlohmann::json;

constexpr double read_rate = 50;  // prompt tokens a millisecond
constexpr int tokens_per_event = 4;
constexpr milliseconds event_pause{10};
constexpr milliseconds plain_time{15};
constexpr std::size_t page_items = 50;

const std::vector<http_header> json_type = {{"Content-Type", "application/json"}};

json item_document(const std::string& key, const stored& item) {
  if (item.removed) {
    return {{"key", key}, {"revision", item.revision}, {"removed", true}};
  }
  return {{"key", key},
          {"value", absl::Base64Escape(item.value)},
          {"revision", item.revision},
          {"create_revision", item.revision},
          {"lease", 0}};
}

std::string decode_query(const std::string& text) {
  std::string result;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      result += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
      at += 2;
    } else {
      result += text[at];
    }
  }
  return result;
}

json events_after(const platform& what, const std::string& prefix, std::uint64_t after) {
  json events = json::array();
  for (const std::pair<const std::string, stored>& item : what.items) {
    if (item.first.starts_with(prefix) && item.second.revision > after) {
      events.push_back(item_document(item.first, item.second));
    }
  }
  return events;
}

void answer_watch(platform& what, waiting_watch& watch) {
  const json answer = {{"events", events_after(what, watch.prefix, watch.after)},
                       {"as_of", what.revision}};
  send_response(*watch.exchange, 200, json_type, answer.dump());
}

// Answers the watches that a change concerns.
void notify(platform& what) {
  std::erase_if(what.watches, [&what](const std::unique_ptr<waiting_watch>& watch) {
    if (watch->exchange->connection == nullptr) {
      return true;
    }
    if (what.mode != store_mode::ok || events_after(what, watch->prefix, watch->after).empty()) {
      return false;
    }
    answer_watch(what, *watch);
    return true;
  });
}

void on_watch_time(evutil_socket_t, short, void* argument) {
  waiting_watch* watch = static_cast<waiting_watch*>(argument);
  platform& what = *watch->owner;
  auto found = std::find_if(
      what.watches.begin(), what.watches.end(),
      [watch](const std::unique_ptr<waiting_watch>& one) { return one.get() == watch; });
  if (found == what.watches.end()) {
    return;
  }
  const std::unique_ptr<waiting_watch> ended = std::move(*found);
  what.watches.erase(found);
  if (what.mode == store_mode::ok) {
    answer_watch(what, *ended);
  }
}

void serve_watch(platform& what, const std::shared_ptr<http_exchange>& exchange) {
  std::unique_ptr<waiting_watch> watch = std::make_unique<waiting_watch>();
  watch->exchange = exchange;
  watch->prefix = decode_query(query_value(exchange->head.request_target, "path_prefix"));
  watch->after =
      std::strtoull(query_value(exchange->head.request_target, "after").c_str(), nullptr, 10);
  if (!events_after(what, watch->prefix, watch->after).empty()) {
    answer_watch(what, *watch);
    return;
  }
  const milliseconds wait{
      std::atoll(query_value(exchange->head.request_target, "wait_ms").c_str())};
  const timeval time = to_timeval(wait);
  watch->owner = &what;
  watch->timer.reset(evtimer_new(what.base, on_watch_time, watch.get()));
  event_add(watch->timer.get(), &time);
  what.watches.push_back(std::move(watch));
}

void serve_range(platform& what, const http_exchange& exchange,
                 const std::shared_ptr<http_exchange>& answer) {
  const std::string prefix = decode_query(query_value(exchange.head.request_target, "path_prefix"));
  const std::string after = decode_query(query_value(exchange.head.request_target, "after"));
  json items = json::array();
  bool has_more = false;
  for (const std::pair<const std::string, stored>& item : what.items) {
    if (!item.first.starts_with(prefix) || item.first <= after || item.second.removed) {
      continue;
    }
    if (items.size() == page_items) {
      has_more = true;
      break;
    }
    items.push_back(item_document(item.first, item.second));
  }
  const json document = {{"items", items}, {"has_more", has_more}, {"as_of", what.revision}};
  send_response(*answer, 200, json_type, document.dump());
}

std::string ledger_text(const platform& what) {
  std::size_t repeated = 0;
  std::string lines;
  for (const std::pair<const std::string, int>& run : what.runs) {
    if (run.second > 1) {
      ++repeated;
      lines += "id=" + run.first + " runs=" + std::to_string(run.second) + "\n";
    }
  }
  return "runs=" + std::to_string(what.runs.size()) + " repeated_ids=" + std::to_string(repeated) +
         "\n" + lines;
}

void serve_admin(platform& what, const std::shared_ptr<http_exchange>& exchange) {
  const std::string_view target = exchange->head.request_target;
  const std::string_view path = path_of(target);
  const std::string mode = query_value(target, "mode");
  if (path == "/admin/item") {
    const std::string key = decode_query(query_value(target, "key"));
    if (exchange->head.method == "DELETE") {
      remove_item(what, key);
    } else {
      set_item(what, key, exchange->body);
    }
  } else if (path == "/admin/store") {
    what.mode = mode == "silent"  ? store_mode::silent
                : mode == "busy"  ? store_mode::busy
                : mode == "reset" ? store_mode::reset
                                  : store_mode::ok;
  } else if (path == "/admin/target") {
    const std::string id = query_value(target, "id");
    for (const std::unique_ptr<fake_target>& one : what.targets) {
      if (one->id == id || id == "all") {
        one->mode = mode == "fail"    ? target_mode::fail
                    : mode == "shed"  ? target_mode::shed
                    : mode == "break" ? target_mode::broken
                                      : target_mode::ok;
      }
    }
  } else if (path == "/admin/ledger") {
    send_response(*exchange, 200, {}, ledger_text(what));
    return;
  } else {
    send_response(*exchange, 404, {}, "no such path\n");
    return;
  }
  send_response(*exchange, 200, {}, "ok\n");
}

void serve_store(platform& what, const std::shared_ptr<http_exchange>& exchange) {
  const std::string_view path = path_of(exchange->head.request_target);
  if (path.starts_with("/admin/")) {
    serve_admin(what, exchange);
    return;
  }
  switch (what.mode) {
    case store_mode::silent:
      return;  // the exchange stays open until its caller gives up
    case store_mode::busy:
      send_response(*exchange, 503, {}, "");
      return;
    case store_mode::reset:
      abort_response(*exchange);
      return;
    case store_mode::ok:
      break;
  }
  if (path == "/v1/kv-watch") {
    serve_watch(what, exchange);
  } else if (path == "/v1/kv-range") {
    serve_range(what, *exchange, exchange);
  } else {
    send_response(*exchange, 404, {}, "");
  }
}

// A stream that is being written.
struct running_stream {
  fake_target* target;
  std::shared_ptr<http_exchange> exchange;
  std::vector<http_header> headers;
  int next = 1;
  int last = 1;
  event_ptr timer;
};

void on_stream_time(evutil_socket_t, short, void* argument) {
  running_stream* stream = static_cast<running_stream*>(argument);
  http_exchange& exchange = *stream->exchange;
  if (exchange.connection == nullptr) {
    delete stream;  // its caller has left
    return;
  }
  if (!exchange.response_started) {
    start_response(exchange, 200, stream->headers, std::nullopt);
  }
  send_response_data(exchange, "id: " + std::to_string(stream->next) + "\ndata: piece " +
                                   std::to_string(stream->next) + "\n\n");
  if (++stream->next > stream->last) {
    finish_response(exchange);
    delete stream;
    return;
  }
  const timeval time = to_timeval(event_pause);
  event_add(stream->timer.get(), &time);
}

struct plain_answer {
  std::shared_ptr<http_exchange> exchange;
  std::vector<http_header> headers;
};

void on_plain_time(evutil_socket_t, short, void* argument) {
  const std::unique_ptr<plain_answer> answer(static_cast<plain_answer*>(argument));
  send_response(*answer->exchange, 200, answer->headers, "{\"done\":true}\n");
}

void start_stream(fake_target& target, const std::shared_ptr<http_exchange>& exchange,
                  std::vector<http_header> headers) {
  headers.push_back({"Content-Type", "text/event-stream"});
  const std::string counts(find_header(exchange->head.headers, "X-Peridotspur-Token-Counts"));
  const double tokens_in = std::atof(counts.c_str());
  const std::size_t comma = counts.find(',');
  const int tokens_out = comma == std::string::npos ? 8 : std::atoi(counts.c_str() + comma + 1);
  const std::string last(find_header(exchange->head.headers, "Last-Event-Id"));
  const instant now = std::chrono::steady_clock::now();
  target.reads_until = std::max(target.reads_until, now) + from_ms(tokens_in / read_rate);
  running_stream* stream = new running_stream{};
  stream->target = &target;
  stream->exchange = exchange;
  stream->headers = std::move(headers);
  stream->next = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
  stream->last = std::max(stream->next, tokens_out / tokens_per_event);
  stream->timer.reset(evtimer_new(target.owner->base, on_stream_time, stream));
  const timeval time = to_timeval(std::chrono::ceil<milliseconds>(target.reads_until - now));
  event_add(stream->timer.get(), &time);
}

void serve_call(fake_target& target, const std::shared_ptr<http_exchange>& exchange) {
  platform& what = *target.owner;
  const std::vector<http_header>& headers = exchange->head.headers;
  const std::string id(find_header(headers, "X-Peridotspur-Attempt-Id"));
  std::vector<http_header> answer = {{"X-Peridotspur-Attempt-Id", id}};
  const std::string_view expected = find_header(headers, "X-Peridotspur-Expect-Instance");
  if (!expected.empty() && expected != target.id) {
    answer.push_back({"X-Peridotspur-Instance-Id", target.id});
    send_response(*exchange, 421, answer, "");
    return;
  }
  if (target.mode == target_mode::shed) {
    answer.push_back({"X-Peridotspur-Not-Run", "1"});
    send_response(*exchange, 503, answer, "");
    return;
  }
  ++what.runs[id];
  answer.push_back(
      {"X-Peridotspur-Server-Stamp", target.id + "." + std::to_string(what.next_stamp++)});
  if (target.mode == target_mode::fail) {
    send_response(*exchange, 500, answer, "failed\n");
  } else if (target.mode == target_mode::broken) {
    abort_response(*exchange);
  } else if (target.engine) {
    start_stream(target, exchange, std::move(answer));
  } else {
    const timeval time = to_timeval(plain_time);
    event_base_once(what.base, -1, EV_TIMEOUT, on_plain_time,
                    new plain_answer{exchange, std::move(answer)}, &time);
  }
}

leaf::result<void> add_target(platform& what, const platform_options& options, int index) {
  std::unique_ptr<fake_target> target = std::make_unique<fake_target>();
  target->owner = &what;
  target->engine = index < options.engines;
  target->pool = target->engine ? "engines" : "bookings";
  target->id = "i-" + std::to_string(index + 1);
  target->domain = options.domains[static_cast<std::size_t>(index) % options.domains.size()];
  target->address = "127.0.0.1:" + std::to_string(options.first_port + index);
  fake_target* self = target.get();
  listener_options listen;
  listen.address = target->address;
  BOOST_LEAF_ASSIGN(target->listener, start_listener(
                                          what.base, listen, []() { return caller_limits{}; },
                                          [self](const std::shared_ptr<http_exchange>& exchange) {
                                            serve_call(*self, exchange);
                                          }));
  const json entry = {{"service", target->pool},
                      {"address", target->address},
                      {"zone", target->domain},
                      {"version", "v1"},
                      {"slots", target->engine ? 64 : 6},
                      {"state", "ready"},
                      {"cold_left_ms", 0},
                      {"call_seq", 1}};
  set_item(what, "servers/" + target->id, entry.dump());
  what.targets.push_back(std::move(target));
  return {};
}

}  // namespace

void set_item(platform& what, const std::string& key, const std::string& value) {
  what.items[key] = {value, ++what.revision, false};
  notify(what);
}

void remove_item(platform& what, const std::string& key) {
  auto found = what.items.find(key);
  if (found != what.items.end()) {
    found->second = {"", ++what.revision, true};
    notify(what);
  }
}

std::string sample_config(std::uint64_t version) {
  const json engine = {{"slots", 64}, {"kv_capacity", 250'000}};
  const json document = {{"version", version},
                         {"routes",
                          {{{"name", "chat"},
                            {"host", "app.example"},
                            {"path_prefix", "/chat/"},
                            {"kind", "streaming"},
                            {"timeout_ms", 5'000},
                            {"target_latency_ms", 600},
                            {"priority", 1},
                            {"service", "engines"},
                            {"max_attempts", 2},
                            {"public", false},
                            {"sticky", true},
                            {"resumable", true},
                            {"gap_aim_ms", 500}},
                           {{"name", "book"},
                            {"host", "app.example"},
                            {"path_prefix", "/book/"},
                            {"kind", "non_idempotent"},
                            {"timeout_ms", 2'000},
                            {"target_latency_ms", 300},
                            {"priority", 2},
                            {"service", "bookings"},
                            {"max_attempts", 1},
                            {"public", true}},
                           {{"name", "hours"},
                            {"host", "app.example"},
                            {"path_prefix", "/hours/"},
                            {"kind", "idempotent"},
                            {"timeout_ms", 2'000},
                            {"target_latency_ms", 300},
                            {"priority", 2},
                            {"service", "bookings"},
                            {"max_attempts", 2},
                            {"public", true}}}},
                         {"services",
                          {{{"name", "engines"},
                            {"health_path", "/health"},
                            {"max_conns", 200},
                            {"cold_s", 1.0},
                            {"cold_per_s", 12.0},
                            {"engine", engine}},
                           {{"name", "bookings"},
                            {"health_path", "/health"},
                            {"max_conns", 100},
                            {"cold_s", 0.0},
                            {"cold_per_s", 0.0}}}},
                         {"limits",
                          {{"max_header_bytes", 16'384},
                           {"max_body_bytes", 4'194'304},
                           {"header_timeout_ms", 3'000},
                           {"idle_timeout_ms", 15'000},
                           {"tokens_per_s", 200'000}}},
                         {"tenants",
                          {{{"name", "org-1"}, {"api_keys", {"key-1"}}, {"priority", 1}},
                           {{"name", "org-2"}, {"api_keys", {"key-2"}}, {"priority", 1}}}}};
  return document.dump();
}

leaf::result<std::unique_ptr<platform>> start_platform(event_base* base,
                                                       const platform_options& options) {
  std::unique_ptr<platform> what = std::make_unique<platform>();
  what->base = base;
  platform* self = what.get();
  listener_options listen;
  listen.address = options.store_address;
  BOOST_LEAF_ASSIGN(what->store, start_listener(
                                     base, listen, []() { return caller_limits{}; },
                                     [self](const std::shared_ptr<http_exchange>& exchange) {
                                       serve_store(*self, exchange);
                                     }));
  set_item(*what, "op/config", sample_config(1));
  for (int index = 0; index < options.engines + options.plain_targets; ++index) {
    BOOST_LEAF_CHECK(add_target(*what, options, index));
  }
  return what;
}

}  // namespace peridot::standin
