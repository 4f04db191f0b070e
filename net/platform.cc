// The platform's configuration service and list, and the targets' load reports.
//
// Only routers that should watch hold a waiting watch; the others learn of new
// versions from their peers. A failed watch is tried again after a pause that
// doubles up to a bound, so that a service that is down is not called in a loop. So
// is one that answers with a copy of no use, old or bad; that bound is shorter, as
// a better copy may come at any time. A bad copy is logged once, not at each answer.

#include <algorithm>
#include <charconv>
#include <utility>

#include "core/name_text.h"
#include "net/log.h"
#include "net/process_internal.h"

namespace peridot {
namespace {

constexpr std::chrono::milliseconds no_backoff{0};
constexpr std::chrono::milliseconds first_backoff{250};
constexpr std::chrono::milliseconds longest_backoff{5'000};
constexpr std::chrono::milliseconds longest_useless_backoff{2'000};
constexpr std::chrono::milliseconds watch_slack{2'000};  // beyond the wait that was asked for
constexpr std::chrono::milliseconds load_timeout{1'000};
constexpr std::size_t max_load_report_bytes = 4'096;
constexpr std::uint64_t max_reported_calls = 1'000'000;
constexpr std::uint64_t max_reported_completed = std::uint64_t{1} << 60;
constexpr std::chrono::milliseconds max_report_age{86'400'000};

std::uint64_t known_version(const router_core& core, wire::document_kind kind) {
  if (kind == wire::document_configuration) {
    return core.config == nullptr ? 0 : core.config->version;
  }
  return core.list == nullptr ? 0 : core.list->version;
}

const char* value_name(wire::document_kind kind) {
  return kind == wire::document_configuration ? "config" : "instances";
}

// True if the copy differs from the one that was refused last, and notes it.
bool is_new_refusal(value_watch& watch) {
  const std::uint64_t hash = stable_hash(watch.text);
  return std::exchange(watch.refused_hash, hash) != hash;
}

void accept_document(router_process& process, value_watch& watch) {
  effects todo;
  const document_verdict verdict = router_on_document(
      process.core, watch.kind, watch.text, process.settings.config_service, current_time(), todo);
  carry_out(process, todo);
  const std::string what = value_name(watch.kind);
  if (verdict == document_verdict::accepted) {
    watch.refused_hash = 0;
    log_line(log_part::config, log_level::info,
             "Document is in force. value=" + what +
                 " version=" + std::to_string(known_version(process.core, watch.kind)));
  } else if (verdict == document_verdict::refused && is_new_refusal(watch)) {
    log_line(log_part::config, log_level::error,
             "Document is refused. value=" + what +
                 " problem=" + to_text(process.core.refused_config.front()));
  }
}

void end_watch(router_process& process, value_watch& watch, call_end end) {
  watch.call.reset();
  const instant now = current_time();
  const bool answered = end == call_end::complete && (watch.status == 200 || watch.status == 304);
  if (!answered) {
    watch.backoff = std::clamp(watch.backoff * 2, first_backoff, longest_backoff);
    watch.next_try = now + watch.backoff;
    return;
  }
  const std::uint64_t before = known_version(process.core, watch.kind);
  if (watch.status == 200) {
    accept_document(process, watch);
  }
  const bool useless = watch.status == 200 && known_version(process.core, watch.kind) == before;
  watch.backoff =
      useless ? std::clamp(watch.backoff * 2, first_backoff, longest_useless_backoff) : no_backoff;
  watch.next_try = now + watch.backoff;
}

void start_watch(router_process& process, value_watch& watch) {
  const bool uninformed = known_version(process.core, watch.kind) == 0;
  const std::chrono::milliseconds wait =
      uninformed ? std::chrono::milliseconds{0} : process.settings.watch_wait;
  http_call call;
  call.address = process.settings.config_service;
  call.path = std::string("/v1/values/") + value_name(watch.kind) +
              "?after=" + std::to_string(known_version(process.core, watch.kind)) +
              "&wait_ms=" + std::to_string(wait.count());
  call.idle_timeout = std::max(process.settings.service_timeout, wait + watch_slack);
  watch.text.clear();
  watch.status = 0;
  ++watch.calls;
  call_handlers handlers;
  handlers.on_head = [&watch](const answer_head& head) { watch.status = head.status; };
  handlers.on_data = [&watch](std::string_view data) {
    // What is beyond the bound must not be left out: the rest may read as a whole
    // document. One byte more has it refused.
    watch.text += data.substr(0, max_document_bytes + 1 - watch.text.size());
  };
  handlers.on_end = [&process, &watch](call_end end) { end_watch(process, watch, end); };
  watch.call = start_call(process.base.get(), call, std::move(handlers));
}

// A decimal number, 0 if there is none, `most` if it is larger.
std::uint64_t parse_count(std::string_view text, std::uint64_t most) {
  std::uint64_t value = 0;
  const std::from_chars_result end = std::from_chars(text.data(), text.data() + text.size(), value);
  return end.ec == std::errc::result_out_of_range ? most : std::min(value, most);
}

// Reads `key=value` words separated by spaces or newlines.
std::string_view word_value(std::string_view text, std::string_view key) {
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t end = std::min(text.find_first_of(" \n", at), text.size());
    const std::string_view word = text.substr(at, end - at);
    if (word.size() > key.size() && word.substr(0, key.size()) == key && word[key.size()] == '=') {
      return word.substr(key.size() + 1);
    }
    at = end + 1;
  }
  return {};
}

void end_load_poll(router_process& process, const target_name& target, call_end end) {
  std::map<target_name, load_poll>::iterator found = process.polls.find(target);
  if (found == process.polls.end()) {
    return;
  }
  const load_poll poll = std::move(found->second);
  process.polls.erase(found);
  const std::string_view boot_id = word_value(poll.text, "boot_id");
  if (end != call_end::complete || poll.text.size() > max_load_report_bytes ||
      !is_valid_name(boot_id)) {
    return;
  }
  load_report report;
  report.target = target;
  report.boot_id = std::string(boot_id);
  report.running =
      static_cast<std::uint32_t>(parse_count(word_value(poll.text, "running"), max_reported_calls));
  report.waiting =
      static_cast<std::uint32_t>(parse_count(word_value(poll.text, "waiting"), max_reported_calls));
  report.completed = parse_count(word_value(poll.text, "completed"), max_reported_completed);
  const std::uint64_t age = parse_count(word_value(poll.text, "age_ms"), max_report_age.count());
  report.sampled_at = poll.started - std::chrono::milliseconds(age);
  effects todo;
  router_on_load_report(process.core, report, current_time(), todo);
  carry_out(process, todo);
}

}  // namespace

void keep_watching(router_process& process, instant now) {
  for (value_watch* watch : {&process.config_watch, &process.list_watch}) {
    const bool wanted = wants_watch(process.core);
    if (wanted && watch->call == nullptr && now >= watch->next_try) {
      start_watch(process, *watch);
    } else if (!wanted && watch->call != nullptr) {
      cancel_call(*watch->call);
      watch->call.reset();
    }
  }
}

void start_load_poll(router_process& process, const target_config& target) {
  if (process.polls.contains(target.name)) {
    return;  // the last one has not been answered yet
  }
  http_call call;
  call.address = target.address;
  call.path = "/load";
  call.idle_timeout = load_timeout;
  const target_name name = target.name;
  call_handlers handlers;
  handlers.on_head = [](const answer_head&) {};
  handlers.on_data = [&process, name](std::string_view data) {
    std::map<target_name, load_poll>::iterator found = process.polls.find(name);
    if (found != process.polls.end()) {
      std::string& text = found->second.text;
      text += data.substr(0, max_load_report_bytes + 1 - text.size());
    }
  };
  handlers.on_end = [&process, name](call_end end) { end_load_poll(process, name, end); };
  load_poll& poll = process.polls[name];
  poll.started = current_time();
  poll.call = start_call(process.base.get(), call, std::move(handlers));
}

}  // namespace peridot
