// Text form of the time line: one event a line, `key=value` fields in a fixed
// order, empty ones left out. Bytes that would end a field or a line, and '%',
// are written as %XX. A reader skips keys that it does not know, so that an older
// tool can read a newer router.
#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

#include "core/timeline.h"

namespace peridot {
namespace {

struct kind_text {
  event_kind kind;
  const char* text;
};

constexpr kind_text kind_texts[] = {
    {event_kind::process_started, "process_started"},
    {event_kind::process_stopping, "process_stopping"},
    {event_kind::process_stopped, "process_stopped"},
    {event_kind::peer_alive, "peer_alive"},
    {event_kind::peer_gone, "peer_gone"},
    {event_kind::peer_restarted, "peer_restarted"},
    {event_kind::config_accepted, "config_accepted"},
    {event_kind::config_refused, "config_refused"},
    {event_kind::list_accepted, "list_accepted"},
    {event_kind::lease_acquired, "lease_acquired"},
    {event_kind::lease_lost, "lease_lost"},
    {event_kind::lease_released, "lease_released"},
    {event_kind::request_queued, "request_queued"},
    {event_kind::request_refused, "request_refused"},
    {event_kind::grant_sent, "grant_sent"},
    {event_kind::grant_received, "grant_received"},
    {event_kind::grant_returned, "grant_returned"},
    {event_kind::request_dispatched, "request_dispatched"},
    {event_kind::request_finished, "request_finished"},
    {event_kind::request_retried, "request_retried"},
    {event_kind::key_issued, "key_issued"},
    {event_kind::key_forwarded, "key_forwarded"},
    {event_kind::key_joined, "key_joined"},
    {event_kind::target_cold, "target_cold"},
    {event_kind::target_usable, "target_usable"},
    {event_kind::suspect_marked, "suspect_marked"},
};

constexpr std::string_view hex_digits = "0123456789ABCDEF";

bool needs_escape(unsigned char byte) {
  return byte <= ' ' || byte == 0x7f || byte == '%';
}

void append_field(std::string& line, std::string_view key, std::string_view value) {
  if (value.empty()) {
    return;
  }
  if (!line.empty()) {
    line += ' ';
  }
  line += key;
  line += '=';
  for (char character : value) {
    const unsigned char byte = static_cast<unsigned char>(character);
    if (needs_escape(byte)) {
      line += '%';
      line += hex_digits[byte >> 4];
      line += hex_digits[byte & 0x0f];
    } else {
      line += character;
    }
  }
}

std::int64_t wall_microseconds(const timeline_event& event) {
  return std::chrono::duration_cast<std::chrono::microseconds>(event.wall.time_since_epoch())
      .count();
}

std::string to_line(const std::string& process, const timeline_event& event) {
  std::string line;
  append_field(line, "process", process);
  append_field(line, "seq", std::to_string(event.sequence));
  append_field(line, "kind", to_text(event.kind));
  append_field(line, "mono_us", std::to_string(event.monotonic.count()));
  append_field(line, "wall_us", std::to_string(wall_microseconds(event)));
  append_field(line, "request", event.request);
  append_field(line, "organisation", event.organisation.value);
  append_field(line, "target", event.target.value);
  append_field(line, "peer", event.peer);
  append_field(line, "cause_process", event.cause_process);
  if (event.cause_sequence != 0) {
    append_field(line, "cause_seq", std::to_string(event.cause_sequence));
  }
  append_field(line, "detail", event.detail);
  return line;
}

template <class Integer>
bool parse_number(std::string_view text, Integer& number) {
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return result.ec == std::errc{} && result.ptr == text.data() + text.size();
}

// The value with its escapes resolved, nothing if an escape is malformed.
std::optional<std::string> unescape(std::string_view text) {
  std::string value;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] != '%') {
      value += text[index];
      continue;
    }
    if (index + 2 >= text.size()) {
      return std::nullopt;
    }
    const std::size_t high = hex_digits.find(text[index + 1]);
    const std::size_t low = hex_digits.find(text[index + 2]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    value += static_cast<char>(high * hex_digits.size() + low);
    index += 2;
  }
  return value;
}

bool parse_kind(std::string_view text, event_kind& kind) {
  auto found = std::find_if(std::begin(kind_texts), std::end(kind_texts),
                            [text](const kind_text& entry) { return text == entry.text; });
  if (found == std::end(kind_texts)) {
    return false;
  }
  kind = found->kind;
  return true;
}

// One line while it is read, and which of the fields that every line has were in it.
struct parsed_line {
  std::string process;
  timeline_event event;
  bool has_sequence = false;
  bool has_kind = false;
  bool has_monotonic = false;
  bool has_wall = false;
};

bool set_number_field(std::string_view key, const std::string& value, parsed_line& line) {
  std::int64_t microseconds = 0;
  if (key == "seq") {
    line.has_sequence = true;
    return parse_number(value, line.event.sequence);
  }
  if (key == "cause_seq") {
    return parse_number(value, line.event.cause_sequence);
  }
  if (!parse_number(value, microseconds)) {
    return false;
  }
  if (key == "mono_us") {
    line.has_monotonic = true;
    line.event.monotonic = std::chrono::microseconds{microseconds};
    return true;
  }
  constexpr std::int64_t wall_limit = std::chrono::duration_cast<std::chrono::microseconds>(
                                          std::chrono::system_clock::duration::max())
                                          .count();
  if (microseconds > wall_limit || microseconds < -wall_limit) {
    return false;
  }
  line.has_wall = true;
  line.event.wall = std::chrono::system_clock::time_point{std::chrono::microseconds{microseconds}};
  return true;
}

void set_text_field(std::string_view key, std::string value, timeline_event& event) {
  if (key == "request") {
    event.request = std::move(value);
  } else if (key == "organisation") {
    event.organisation.value = std::move(value);
  } else if (key == "target") {
    event.target.value = std::move(value);
  } else if (key == "peer") {
    event.peer = std::move(value);
  } else if (key == "cause_process") {
    event.cause_process = std::move(value);
  } else if (key == "detail") {
    event.detail = std::move(value);
  }
}

bool set_field(std::string_view field, parsed_line& line) {
  const std::size_t equals = field.find('=');
  if (equals == std::string_view::npos) {
    return false;
  }
  const std::string_view key = field.substr(0, equals);
  std::optional<std::string> value = unescape(field.substr(equals + 1));
  if (!value.has_value()) {
    return false;
  }
  if (key == "seq" || key == "cause_seq" || key == "mono_us" || key == "wall_us") {
    return set_number_field(key, *value, line);
  }
  if (key == "kind") {
    line.has_kind = true;
    return parse_kind(*value, line.event.kind);
  }
  if (key == "process") {
    line.process = std::move(*value);
    return true;
  }
  set_text_field(key, std::move(*value), line.event);
  return true;
}

std::optional<parsed_line> parse_line(std::string_view text) {
  parsed_line line;
  while (!text.empty()) {
    const std::size_t space = std::min(text.find(' '), text.size());
    if (!set_field(text.substr(0, space), line)) {
      return std::nullopt;
    }
    text.remove_prefix(std::min(space + 1, text.size()));
  }
  const bool complete = !line.process.empty() && line.has_sequence && line.has_kind &&
                        line.has_monotonic && line.has_wall;
  return complete ? std::optional<parsed_line>{std::move(line)} : std::nullopt;
}

// True if the line continues the ring: same process, next in its order.
bool continues(const parsed_timeline& ring, const parsed_line& line) {
  if (ring.events.empty()) {
    return true;
  }
  return line.process == ring.process && line.event.sequence > ring.events.back().sequence;
}

}  // namespace

const char* to_text(event_kind kind) {
  auto found = std::find_if(std::begin(kind_texts), std::end(kind_texts),
                            [kind](const kind_text& entry) { return kind == entry.kind; });
  return found == std::end(kind_texts) ? "unknown" : found->text;
}

std::string to_lines(const timeline& ring) {
  std::string lines;
  for (const timeline_event& event : ring.events) {
    lines += to_line(ring.process, event);
    lines += '\n';
  }
  return lines;
}

parsed_timeline parse_lines(const std::string& text) {
  parsed_timeline ring;
  std::string_view rest = text;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('\n'), rest.size());
    const std::string_view raw = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    if (raw.empty()) {
      continue;
    }
    std::optional<parsed_line> line = parse_line(raw);
    if (!line.has_value() || !continues(ring, *line)) {
      ++ring.bad_lines;
      continue;
    }
    ring.process = std::move(line->process);
    ring.events.push_back(std::move(line->event));
  }
  return ring;
}

}  // namespace peridot
