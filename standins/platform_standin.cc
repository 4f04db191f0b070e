#include "standins/platform_standin.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace peridot::standin {
namespace {

using json = nlohmann::json;

constexpr double prefill_tokens_per_ms = 50;  // of each engine
constexpr double fetch_tokens_per_ms = 500;
constexpr int tokens_per_event = 4;
constexpr milliseconds event_interval{10};
constexpr int cut_event = 3;     // in which target_mode::cut_stream ends a stream
constexpr int flaky_events = 3;  // that target_mode::flaky_stream lets through
constexpr milliseconds plain_response_time{15};
constexpr std::size_t max_items_per_page = 50;
constexpr milliseconds restart_time{2'000};  // of a crashed engine

// Sends a response of the store. All of them carry its era.
void send_store_response(const platform_standin& platform, http_exchange& exchange, int status,
                         const std::string& body) {
  send_response(exchange, status,
                {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(platform.era)}},
                body);
}

json item_to_json(const std::string& key, const stored_item& item) {
  if (item.removed) {
    return {{"key", key}, {"revision", item.revision}, {"removed", true}};
  }
  return {{"key", key},
          {"value", absl::Base64Escape(item.value)},
          {"revision", item.revision},
          {"create_revision", item.revision},
          {"lease", 0}};
}

std::string decode_percent_encoding(const std::string& text) {
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

json events_after(const platform_standin& platform, const std::string& prefix,
                  std::uint64_t revision) {
  json events = json::array();
  auto first = std::partition_point(
      platform.history.begin(), platform.history.end(),
      [revision](const store_event& event) { return event.item.revision <= revision; });
  for (; first != platform.history.end(); ++first) {
    if (first->key.starts_with(prefix)) {
      events.push_back(item_to_json(first->key, first->item));
    }
  }
  return events;
}

void respond_to_watch(platform_standin& platform, pending_watch& watch) {
  const json response = {{"events", events_after(platform, watch.prefix, watch.after_revision)},
                         {"as_of", platform.revision}};
  send_store_response(platform, *watch.exchange, 200, response.dump());
}

// Responds to the watches that have events now, and drops those whose caller disconnected.
void respond_to_changed_watches(platform_standin& platform) {
  std::erase_if(platform.pending_watches, [&platform](const std::unique_ptr<pending_watch>& watch) {
    if (watch->exchange->connection == nullptr) {
      return true;
    }
    if (platform.mode != store_mode::ok ||
        events_after(platform, watch->prefix, watch->after_revision).empty()) {
      return false;
    }
    respond_to_watch(platform, *watch);
    return true;
  });
}

void on_watch_timeout(evutil_socket_t, short, void* argument) {
  pending_watch* watch = static_cast<pending_watch*>(argument);
  platform_standin& platform = *watch->platform;
  auto found = std::find_if(platform.pending_watches.begin(), platform.pending_watches.end(),
                            [watch](const std::unique_ptr<pending_watch>& candidate) {
                              return candidate.get() == watch;
                            });
  if (found == platform.pending_watches.end()) {
    return;
  }
  const std::unique_ptr<pending_watch> expired = std::move(*found);
  platform.pending_watches.erase(found);
  if (platform.mode == store_mode::ok) {
    respond_to_watch(platform, *expired);
  }
}

void serve_watch(platform_standin& platform, const std::shared_ptr<http_exchange>& exchange) {
  std::unique_ptr<pending_watch> watch = std::make_unique<pending_watch>();
  watch->exchange = exchange;
  watch->prefix =
      decode_percent_encoding(query_value(exchange->head.request_target, "path_prefix"));
  watch->after_revision =
      std::strtoull(query_value(exchange->head.request_target, "after").c_str(), nullptr, 10);
  if (watch->after_revision > platform.revision) {
    send_store_response(platform, *exchange, 410, "");
    return;
  }
  if (!events_after(platform, watch->prefix, watch->after_revision).empty()) {
    respond_to_watch(platform, *watch);
    return;
  }
  const milliseconds wait{
      std::atoll(query_value(exchange->head.request_target, "wait_ms").c_str())};
  const timeval time = to_timeval(wait);
  watch->platform = &platform;
  watch->timer.reset(evtimer_new(platform.base, on_watch_timeout, watch.get()));
  event_add(watch->timer.get(), &time);
  platform.pending_watches.push_back(std::move(watch));
}

void serve_range(platform_standin& platform, const http_exchange& request,
                 const std::shared_ptr<http_exchange>& exchange) {
  const std::string prefix =
      decode_percent_encoding(query_value(request.head.request_target, "path_prefix"));
  const std::string after =
      decode_percent_encoding(query_value(request.head.request_target, "after"));
  json items = json::array();
  bool has_more = false;
  for (const std::pair<const std::string, stored_item>& item : platform.items) {
    if (!item.first.starts_with(prefix) || item.first <= after || item.second.removed) {
      continue;
    }
    if (items.size() == max_items_per_page) {
      has_more = true;
      break;
    }
    items.push_back(item_to_json(item.first, item.second));
  }
  const json document = {{"items", items}, {"has_more", has_more}, {"as_of", platform.revision}};
  send_store_response(platform, *exchange, 200, document.dump());
}

std::string ledger_text(const platform_standin& platform) {
  std::size_t repeated = 0;
  std::string lines;
  for (const std::pair<const std::string, int>& run : platform.runs_by_attempt_id) {
    if (run.second > 1) {
      ++repeated;
      lines += "id=" + run.first + " runs=" + std::to_string(run.second) + "\n";
    }
  }
  return "runs=" + std::to_string(platform.runs_by_attempt_id.size()) +
         " repeated_ids=" + std::to_string(repeated) + "\n" + lines;
}

// Writes the target's entry to the store.
void publish_target(target_standin& target) {
  const json entry = {{"service", target.pool},
                      {"address", target.address},
                      {"zone", target.domain},
                      {"version", target.build},
                      {"slots", target.is_engine ? 64 : 6},
                      {"state", "ready"},
                      {"cold_left_ms", 0},
                      {"call_seq", 1}};
  set_item(*target.platform, "servers/" + target.id, entry.dump());
}

// "target=I most=N calls=M" for each target; see the header.
std::string arrivals_text(const platform_standin& platform, milliseconds window,
                          milliseconds after) {
  std::string lines;
  for (const std::unique_ptr<target_standin>& target : platform.targets) {
    const instant begin = target->headers_changed_at + after;
    auto first = std::lower_bound(target->arrivals.begin(), target->arrivals.end(), begin);
    const std::ptrdiff_t calls = target->arrivals.end() - first;
    std::ptrdiff_t most = 0;
    for (auto last = first; last != target->arrivals.end(); ++last) {
      while (*last - *first >= window) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    lines += "target=" + target->id + " most=" + std::to_string(most) +
             " calls=" + std::to_string(calls) + "\n";
  }
  return lines;
}

// Adds the header to all responses of the target, or takes it away if the value is empty.
void change_said_header(target_standin& target, const std::string& header,
                        const std::string& value) {
  if (value.empty()) {
    target.said_headers.erase(header);
  } else {
    target.said_headers[header] = value;
  }
  target.headers_changed_at = current_time();
  target.arrivals.clear();
}

target_mode mode_named(const std::string& mode) {
  return mode == "fail"    ? target_mode::fail
         : mode == "shed"  ? target_mode::shed
         : mode == "break" ? target_mode::break_connection
         : mode == "cut"   ? target_mode::cut_stream
         : mode == "flaky" ? target_mode::flaky_stream
                           : target_mode::ok;
}

// Changes the mode, the build or the headers of one target or of all.
void change_targets(platform_standin& platform, std::string_view request_target) {
  const std::string_view path = path_of(request_target);
  const std::string id = query_value(request_target, "id");
  for (const std::unique_ptr<target_standin>& target : platform.targets) {
    if (target->id != id && id != "all") {
      continue;
    }
    if (path == "/admin/target") {
      target->mode = mode_named(query_value(request_target, "mode"));
    } else if (path == "/admin/build") {
      target->build = query_value(request_target, "build");
      publish_target(*target);
    } else {
      change_said_header(*target, query_value(request_target, "header"),
                         decode_percent_encoding(query_value(request_target, "value")));
    }
  }
}

void serve_admin(platform_standin& platform, const std::shared_ptr<http_exchange>& exchange) {
  const std::string_view request_target = exchange->head.request_target;
  const std::string_view path = path_of(request_target);
  const std::string mode = query_value(request_target, "mode");
  if (path == "/admin/item") {
    const std::string key = decode_percent_encoding(query_value(request_target, "key"));
    if (exchange->head.method == "DELETE") {
      remove_item(platform, key);
    } else {
      set_item(platform, key, exchange->body);
    }
  } else if (path == "/admin/store") {
    platform.mode = mode == "silent"  ? store_mode::silent
                    : mode == "busy"  ? store_mode::busy
                    : mode == "reset" ? store_mode::reset
                                      : store_mode::ok;
  } else if (path == "/admin/copy") {
    copy_store(platform);
  } else if (path == "/admin/restore") {
    restore_store(platform);
  } else if (path == "/admin/target" || path == "/admin/build" || path == "/admin/says") {
    change_targets(platform, request_target);
  } else if (path == "/admin/arrivals") {
    const milliseconds window{std::atoll(query_value(request_target, "window_ms").c_str())};
    const milliseconds after{std::atoll(query_value(request_target, "after_ms").c_str())};
    send_response(*exchange, 200, {}, arrivals_text(platform, window, after));
    return;
  } else if (path == "/admin/fetches") {
    send_response(*exchange, 200, {},
                  "fetches=" + std::to_string(platform.fetches) +
                      "\nfound=" + std::to_string(platform.fetches_found) + "\nprefilled=" +
                      std::to_string(static_cast<std::int64_t>(platform.prefilled_tokens)) + "\n");
    return;
  } else if (path == "/admin/crash") {
    platform.crashing_part = query_value(request_target, "part");
  } else if (path == "/admin/crashes") {
    send_response(*exchange, 200, {}, "crashes=" + std::to_string(platform.crashes) + "\n");
    return;
  } else if (path == "/admin/ledger") {
    send_response(*exchange, 200, {}, ledger_text(platform));
    return;
  } else {
    send_response(*exchange, 404, {}, "no such path\n");
    return;
  }
  send_response(*exchange, 200, {}, "ok\n");
}

void serve_store(platform_standin& platform, const std::shared_ptr<http_exchange>& exchange) {
  const std::string_view path = path_of(exchange->head.request_target);
  if (path.starts_with("/admin/")) {
    serve_admin(platform, exchange);
    return;
  }
  switch (platform.mode) {
    case store_mode::silent:
      return;  // the exchange stays open until the caller times out
    case store_mode::busy:
      send_store_response(platform, *exchange, 503, "");
      return;
    case store_mode::reset:
      abort_response(*exchange);
      return;
    case store_mode::ok:
      break;
  }
  if (path == "/v1/kv-watch") {
    serve_watch(platform, exchange);
  } else if (path == "/v1/kv-range") {
    serve_range(platform, *exchange, exchange);
  } else {
    send_store_response(platform, *exchange, 404, "");
  }
}

// An event stream in progress; on_stream_timer() deletes it after the last event, or once the
// caller has disconnected.
struct event_stream_response {
  target_standin* target;
  std::shared_ptr<http_exchange> exchange;
  std::vector<http_header> headers;
  int next_event = 1;
  int last_event = 1;
  int break_before_event = 0;  // the connection breaks there; 0: nowhere
  std::string build;           // of the target when the stream began
  event_ptr timer;
};

leaf::result<void> start_target(target_standin& target);

// True if a part of the prompt but the last one is the platform's crashing part.
bool has_crashing_part(const platform_standin& platform, const http_exchange& exchange) {
  const std::string prefix(find_header(exchange.head.headers, "X-Peridotspur-Prompt-Prefix"));
  const std::string entry = platform.crashing_part + ":";
  return !platform.crashing_part.empty() &&
         (prefix.starts_with(entry) || prefix.find("," + entry) != std::string::npos) &&
         prefix.rfind("," + entry) != prefix.rfind(',');
}

// Closes all connections of the target, and starts it again later.
void crash(target_standin& target) {
  platform_standin& platform = *target.platform;
  ++platform.crashes;
  target.listener.reset();
  remove_item(platform, "servers/" + target.id);
  run_after(platform.base, restart_time, [&target]() {
    leaf::try_handle_all([&target]() { return start_target(target); }, []() {});
  });
}

void on_stream_timer(evutil_socket_t, short, void* argument) {
  event_stream_response* stream = static_cast<event_stream_response*>(argument);
  http_exchange& exchange = *stream->exchange;
  if (exchange.connection == nullptr) {
    delete stream;  // the caller disconnected, or the target has crashed
    return;
  }
  if (!exchange.response_started && has_crashing_part(*stream->target->platform, exchange)) {
    crash(*stream->target);
    delete stream;
    return;
  }
  const bool cut = stream->target->mode == target_mode::cut_stream;
  if (!exchange.response_started) {
    if (cut) {
      exchange.head.minor_version = 0;  // the response has neither length nor chunks
    }
    start_response(exchange, 200, stream->headers, std::nullopt);
  }
  if (cut && stream->next_event >= cut_event) {
    send_response_data(exchange, "id: " + std::to_string(stream->next_event) + "\ndata: pi");
    finish_response(exchange);
    delete stream;
    return;
  }
  if (stream->next_event == stream->break_before_event) {
    abort_response(exchange);
    delete stream;
    return;
  }
  send_response_data(exchange, "id: " + std::to_string(stream->next_event) + "\ndata: piece " +
                                   std::to_string(stream->next_event) + " of " + stream->build +
                                   "\n\n");
  if (++stream->next_event > stream->last_event) {
    finish_response(exchange);
    delete stream;
    return;
  }
  const timeval time = to_timeval(event_interval);
  event_add(stream->timer.get(), &time);
}

struct plain_response {
  std::shared_ptr<http_exchange> exchange;
  std::vector<http_header> headers;
};

void on_plain_timer(evutil_socket_t, short, void* argument) {
  const std::unique_ptr<plain_response> response(static_cast<plain_response*>(argument));
  send_response(*response->exchange, 200, response->headers, "{\"done\":true}\n");
}

// A prefix of a prompt that other prompts may share.
struct shared_prefix {
  std::string segments;  // as the header lists them
  double tokens = 0;
};

// The shared prefixes that a call names, shortest first: without its own last segment.
std::vector<shared_prefix> shared_prefixes(const http_exchange& exchange) {
  const std::string_view list = find_header(exchange.head.headers, "X-Peridotspur-Prompt-Prefix");
  std::vector<shared_prefix> result;
  double tokens = 0;
  std::size_t begin = 0;
  for (std::size_t comma = list.find(','); comma != std::string_view::npos;
       comma = list.find(',', begin)) {
    const std::string segment(list.substr(begin, comma - begin));
    tokens += std::atof(segment.c_str() + segment.find(':') + 1);
    result.push_back({std::string(list.substr(0, comma)), tokens});
    begin = comma + 1;
  }
  return result;
}

// Tokens of the longest of the prefixes that the target keeps now.
double kept_tokens(const target_standin& target, const std::vector<shared_prefix>& prefixes,
                   instant now) {
  double tokens = 0;
  for (const shared_prefix& prefix : prefixes) {
    auto kept = target.kept_prefixes.find(prefix.segments);
    if (kept != target.kept_prefixes.end() && kept->second <= now) {
      tokens = prefix.tokens;
    }
  }
  return tokens;
}

// What the engine named by the call keeps of the prompt beyond the target.
double fetched_tokens(const target_standin& target, const http_exchange& exchange,
                      const std::vector<shared_prefix>& prefixes, double kept, instant now) {
  const std::string_view source_address = find_header(exchange.head.headers, "Kv-Fetch");
  if (source_address.empty()) {
    return 0;
  }
  platform_standin& platform = *target.platform;
  ++platform.fetches;
  for (const std::unique_ptr<target_standin>& source : platform.targets) {
    if (source->address == source_address && source->is_engine) {
      const double tokens = std::max(0.0, kept_tokens(*source, prefixes, now) - kept);
      platform.fetches_found += tokens > 0 ? 1 : 0;
      return tokens;
    }
  }
  return 0;
}

// Prefills or fetches what the target does not keep of the prompt, after the prefills before it.
void prefill_prompt(target_standin& target, const http_exchange& exchange, double prompt_tokens,
                    instant now) {
  const std::vector<shared_prefix> prefixes = shared_prefixes(exchange);
  const double kept = kept_tokens(target, prefixes, now);
  const double fetched = fetched_tokens(target, exchange, prefixes, kept, now);
  const double prefilled = std::max(0.0, prompt_tokens - kept - fetched);
  target.platform->prefilled_tokens += prefilled;
  target.prefill_busy_until =
      std::max(target.prefill_busy_until, now + from_ms(fetched / fetch_tokens_per_ms)) +
      from_ms(prefilled / prefill_tokens_per_ms);
  for (const shared_prefix& prefix : prefixes) {
    target.kept_prefixes.try_emplace(prefix.segments, target.prefill_busy_until);
  }
}

void start_stream(target_standin& target, const std::shared_ptr<http_exchange>& exchange,
                  std::vector<http_header> headers) {
  headers.push_back({"Content-Type", "text/event-stream"});
  const std::string token_counts(find_header(exchange->head.headers, "X-Peridotspur-Token-Counts"));
  const double prompt_tokens = std::atof(token_counts.c_str());
  const std::size_t comma = token_counts.find(',');
  const int max_output_tokens =
      comma == std::string::npos ? 8 : std::atoi(token_counts.c_str() + comma + 1);
  const std::string last_event_id(find_header(exchange->head.headers, "Last-Event-Id"));
  const instant now = std::chrono::steady_clock::now();
  prefill_prompt(target, *exchange, prompt_tokens, now);
  event_stream_response* stream = new event_stream_response{};
  stream->target = &target;
  stream->exchange = exchange;
  stream->headers = std::move(headers);
  stream->next_event = last_event_id.empty() ? 1 : std::atoi(last_event_id.c_str()) + 1;
  stream->last_event = std::max(stream->next_event, max_output_tokens / tokens_per_event);
  stream->build = target.build;
  if (target.mode == target_mode::flaky_stream && ++target.streams % 2 == 0) {
    stream->break_before_event = stream->next_event + flaky_events;
  }
  stream->timer.reset(evtimer_new(target.platform->base, on_stream_timer, stream));
  const timeval time_to_first_token =
      to_timeval(std::chrono::ceil<milliseconds>(target.prefill_busy_until - now));
  event_add(stream->timer.get(), &time_to_first_token);
}

void serve_call(target_standin& target, const std::shared_ptr<http_exchange>& exchange) {
  platform_standin& platform = *target.platform;
  const std::vector<http_header>& headers = exchange->head.headers;
  const std::string id(find_header(headers, "X-Peridotspur-Attempt-Id"));
  std::vector<http_header> response_headers = {{"X-Peridotspur-Attempt-Id", id}};
  for (const std::pair<const std::string, std::string>& said : target.said_headers) {
    response_headers.push_back({said.first, said.second});
  }
  const std::string_view expected_instance = find_header(headers, "X-Peridotspur-Expect-Instance");
  if (!expected_instance.empty() && expected_instance != target.id) {
    response_headers.push_back({"X-Peridotspur-Instance-Id", target.id});
    send_response(*exchange, 421, response_headers, "");
    return;
  }
  target.arrivals.push_back(current_time());
  if (target.mode == target_mode::shed) {
    response_headers.push_back({"X-Peridotspur-Not-Run", "1"});
    send_response(*exchange, 503, response_headers, "");
    return;
  }
  ++platform.runs_by_attempt_id[id];
  response_headers.push_back(
      {"X-Peridotspur-Server-Stamp", target.id + "." + std::to_string(platform.next_stamp++)});
  if (target.mode == target_mode::fail) {
    send_response(*exchange, 500, response_headers, "failed\n");
  } else if (target.mode == target_mode::break_connection) {
    abort_response(*exchange);
  } else if (target.is_engine) {
    start_stream(target, exchange, std::move(response_headers));
  } else {
    const timeval time = to_timeval(plain_response_time);
    event_base_once(platform.base, -1, EV_TIMEOUT, on_plain_timer,
                    new plain_response{exchange, std::move(response_headers)}, &time);
  }
}

leaf::result<void> add_target(platform_standin& platform, const platform_options& options,
                              int index) {
  std::unique_ptr<target_standin> target = std::make_unique<target_standin>();
  target->platform = &platform;
  target->is_engine = index < options.engine_count;
  target->pool = target->is_engine ? "engines" : "bookings";

  target->domain =
      options.failure_domains[static_cast<std::size_t>(index) % options.failure_domains.size()];
  target->address = "127.0.0.1:" + std::to_string(options.first_target_port + index);
  BOOST_LEAF_CHECK(start_target(*target));
  platform.targets.push_back(std::move(target));
  return {};
}

// Starts the target under a new id and registers it.
leaf::result<void> start_target(target_standin& target) {
  platform_standin& platform = *target.platform;
  target.id = "i-" + std::to_string(++platform.starts);
  target.prefill_busy_until = instant{};
  target.kept_prefixes.clear();
  listener_options target_listener_options;
  target_listener_options.address = target.address;
  BOOST_LEAF_ASSIGN(target.listener,
                    start_listener(
                        platform.base, target_listener_options, []() { return caller_limits{}; },
                        [&target](const std::shared_ptr<http_exchange>& exchange) {
                          serve_call(target, exchange);
                        }));
  publish_target(target);
  return {};
}

}  // namespace

void set_item(platform_standin& platform, const std::string& key, const std::string& value) {
  platform.items[key] = {value, ++platform.revision, false};
  platform.history.push_back({key, platform.items[key]});
  respond_to_changed_watches(platform);
}

void remove_item(platform_standin& platform, const std::string& key) {
  auto found = platform.items.find(key);
  if (found != platform.items.end()) {
    found->second = {"", ++platform.revision, true};
    platform.history.push_back({key, found->second});
    respond_to_changed_watches(platform);
  }
}

void copy_store(platform_standin& platform) {
  platform.copy = {platform.items, platform.history, platform.revision};
}

void restore_store(platform_standin& platform) {
  platform.items = platform.copy.items;
  platform.history = platform.copy.history;
  platform.revision = platform.copy.revision;
  ++platform.era;
  cut_watches(platform);
}

void cut_watches(platform_standin& platform) {
  for (const std::unique_ptr<pending_watch>& watch : platform.pending_watches) {
    abort_response(*watch->exchange);
  }
  platform.pending_watches.clear();
}

std::string sample_config(std::uint64_t version) {
  const json engine = {
      {"slots", 64}, {"kv_capacity", 250'000}, {"kv_token_bytes", 20'000}, {"link_mbps", 100'000}};
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

leaf::result<std::unique_ptr<platform_standin>> start_platform(event_base* base,
                                                               const platform_options& options) {
  std::unique_ptr<platform_standin> platform = std::make_unique<platform_standin>();
  platform->base = base;
  platform_standin* self = platform.get();
  listener_options store_listener_options;
  store_listener_options.address = options.store_address;
  BOOST_LEAF_ASSIGN(platform->store_listener,
                    start_listener(
                        base, store_listener_options, []() { return caller_limits{}; },
                        [self](const std::shared_ptr<http_exchange>& exchange) {
                          serve_store(*self, exchange);
                        }));
  set_item(*platform, "op/config", sample_config(1));
  for (int index = 0; index < options.engine_count + options.plain_target_count; ++index) {
    BOOST_LEAF_CHECK(add_target(*platform, options, index));
  }
  return platform;
}

}  // namespace peridot::standin
