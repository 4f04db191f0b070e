// Reading of traces.
#include "experiment/trace.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <sstream>

namespace peridot::experiment {
namespace {

// Fields of an event: "text" keys may hold any word, "number" keys a number.
struct event_form {
  std::string_view what;
  std::vector<std::string_view> required;
  std::vector<std::string_view> optional;
};

const std::vector<event_form>& event_forms() {
  static const std::vector<event_form> forms = {
      {"fleet",
       {"seed", "length_ms"},
       {"routers", "domains", "engines", "services", "warm_limit", "cold_limit", "shards", "warm"}},
      {"group",
       {"organisation", "profile"},
       {"weight", "backlog", "every_ms", "lowest_cost", "highest_cost", "skew", "keyed",
        "until_ms"}},
      {"call", {"name", "organisation", "cost"}, {"poison"}},
      {"repeat", {"name"}, {}},
      {"kill_issuer", {"name"}, {"down_ms"}},
      {"kill_router", {"router"}, {"down_ms"}},
      {"pause_holder", {"pool", "shard", "for_ms"}, {}},
      {"restart_target", {"target"}, {"down_ms"}},
      {"operator", {"step", "name"}, {}},
  };
  return forms;
}

constexpr std::string_view text_keys[] = {"organisation", "profile", "name",
                                          "pool",         "target",  "step"};

constexpr std::string_view operator_verbs[] = {"out", "back", "drain", "undrain", "cut", "heal"};

std::optional<double> read_number(std::string_view text) {
  double value = 0;
  const std::from_chars_result read =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = read.ec == std::errc{} && read.ptr == text.data() + text.size();
  return whole && value >= 0 ? std::optional<double>{value} : std::nullopt;
}

template <typename Range>
bool contains(const Range& range, std::string_view key) {
  return std::find(std::begin(range), std::end(range), key) != std::end(range);
}

std::vector<std::string> split_words(const std::string& line) {
  std::istringstream in(line);
  std::vector<std::string> words;
  std::string word;
  while (in >> word) {
    words.push_back(word);
  }
  return words;
}

void refuse(parsed_trace& parsed, std::size_t line, const std::string& what) {
  parsed.errors.push_back({line, what});
}

void check_field(parsed_trace& parsed, const trace_event& event, const trace_field& field,
                 const event_form& form) {
  if (!contains(form.required, field.key) && !contains(form.optional, field.key)) {
    refuse(parsed, event.line, event.what + " has no field " + field.key);
  } else if (!contains(text_keys, field.key) && !read_number(field.value)) {
    refuse(parsed, event.line, field.key + " must be a number");
  } else if (field.key == "step" && !contains(operator_verbs, field.value)) {
    refuse(parsed, event.line, "operators have no step " + field.value);
  }
}

void check_event(parsed_trace& parsed, const trace_event& event) {
  const std::vector<event_form>& forms = event_forms();
  const std::vector<event_form>::const_iterator form =
      std::find_if(forms.begin(), forms.end(),
                   [&event](const event_form& each) { return each.what == event.what; });
  if (form == forms.end()) {
    refuse(parsed, event.line, "unknown event " + event.what);
    return;
  }
  for (const trace_field& field : event.fields) {
    check_field(parsed, event, field, *form);
  }
  for (std::string_view key : form->required) {
    if (text_of(event, key, "").empty()) {
      refuse(parsed, event.line, event.what + " needs " + std::string(key));
    }
  }
}

void read_event(parsed_trace& parsed, std::size_t line, const std::vector<std::string>& words) {
  const std::optional<double> at = read_number(words.front());
  if (!at || words.size() < 2) {
    refuse(parsed, line, "an event needs its time in ms and its name");
    return;
  }
  trace_event event;
  event.line = line;
  event.at = std::chrono::milliseconds{static_cast<std::int64_t>(*at)};
  event.what = words[1];
  for (std::size_t index = 2; index < words.size(); ++index) {
    const std::size_t sign = words[index].find('=');
    if (sign == std::string::npos) {
      refuse(parsed, line, words[index] + " is not key=value");
      return;
    }
    event.fields.push_back({words[index].substr(0, sign), words[index].substr(sign + 1)});
  }
  if (!parsed.what.events.empty() && event.at < parsed.what.events.back().at) {
    refuse(parsed, line, "events must be in the order of their time");
  }
  check_event(parsed, event);
  parsed.what.events.push_back(std::move(event));
}

void read_outcome(parsed_trace& parsed, std::size_t line, const std::vector<std::string>& words) {
  const std::size_t sign = words.size() == 2 ? words[1].find('=') : std::string::npos;
  if (sign == std::string::npos || sign == 0) {
    refuse(parsed, line, "an outcome is stated as: expect key=value");
    return;
  }
  stated_outcome stated;
  stated.line = line;
  stated.value = words[1].substr(sign + 1);
  const char before = words[1][sign - 1];
  stated.how = before == '<'   ? comparison::at_most
               : before == '>' ? comparison::at_least
                               : comparison::equal;
  stated.key = words[1].substr(0, stated.how == comparison::equal ? sign : sign - 1);
  if (stated.how != comparison::equal && !read_number(stated.value)) {
    refuse(parsed, line, stated.key + " is compared with a number");
  }
  parsed.what.stated.push_back(std::move(stated));
}

void check_whole(parsed_trace& parsed) {
  const std::vector<trace_event>& events = parsed.what.events;
  if (events.empty() || events.front().what != "fleet") {
    refuse(parsed, 1, "the first event must be fleet");
  }
  if (parsed.what.stated.empty()) {
    refuse(parsed, 1, "no outcome is stated");
  }
}

const trace_field* find_field(const trace_event& event, std::string_view key) {
  for (const trace_field& field : event.fields) {
    if (field.key == key) {
      return &field;
    }
  }
  return nullptr;
}

}  // namespace

parsed_trace parse_trace(std::string_view text) {
  parsed_trace parsed;
  std::istringstream in{std::string(text)};
  std::string line;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    const std::vector<std::string> words = split_words(line.substr(0, line.find('#')));
    if (words.empty()) {
      continue;
    }
    if (words.front() == "expect") {
      read_outcome(parsed, number, words);
    } else if (!parsed.what.stated.empty()) {
      refuse(parsed, number, "events come before the stated outcomes");
    } else {
      read_event(parsed, number, words);
    }
  }
  check_whole(parsed);
  return parsed;
}

std::string text_of(const trace_event& event, std::string_view key, std::string_view otherwise) {
  const trace_field* field = find_field(event, key);
  return field == nullptr ? std::string(otherwise) : field->value;
}

double number_of(const trace_event& event, std::string_view key, double otherwise) {
  const trace_field* field = find_field(event, key);
  return field == nullptr ? otherwise : read_number(field->value).value_or(otherwise);
}

duration millis_of(const trace_event& event, std::string_view key, duration otherwise) {
  const trace_field* field = find_field(event, key);
  if (field == nullptr) {
    return otherwise;
  }
  return std::chrono::milliseconds{static_cast<std::int64_t>(number_of(event, key, 0))};
}

}  // namespace peridot::experiment
