#include "standins/load_mix.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include "standins/http_server.h"

namespace peridot::standins {

namespace {

constexpr std::uint32_t retries_of_keyed_calls = 3;

// Reads a decimal number, whole or not as the type says. False if it is none.
template <class Number>
bool read_number(const std::string& text, Number& output) {
  const char* end = text.data() + text.size();
  const std::from_chars_result result = std::from_chars(text.data(), end, output);
  return result.ec == std::errc() && result.ptr == end;
}

bool read_flag(const std::string& text, bool& output) {
  output = text == "1";
  return output || text == "0";
}

bool read_milliseconds(const std::string& text, std::chrono::milliseconds& output) {
  std::uint32_t count = 0;
  const bool valid = read_number(text, count);
  output = std::chrono::milliseconds(count);
  return valid;
}

// Sets one field. False if there is no such key or the value is malformed.
bool read_field(const std::string& key, const std::string& value, caller_config& caller) {
  if (key == "organisation") {
    caller.organisation.value = value;
    return !value.empty();
  }
  if (key == "profile") {
    caller.profile.value = value;
    return !value.empty();
  }
  if (key == "body_prefix") {
    caller.body_prefix = value;
    return true;
  }
  if (key == "rate") {
    return read_number(value, caller.rate) && caller.rate > 0;
  }
  if (key == "weight") {
    return read_number(value, caller.weight) && caller.weight > 0;
  }
  if (key == "keyed") {
    return read_flag(value, caller.keyed);
  }
  if (key == "plain") {
    return read_flag(value, caller.plain);
  }
  if (key == "same_body") {
    return read_flag(value, caller.same_body);
  }
  if (key == "start_after_ms") {
    return read_milliseconds(value, caller.start_after);
  }
  if (key == "stop_after_ms") {
    return read_milliseconds(value, caller.stop_after);
  }
  if (key == "queue_deadline_ms") {
    return read_milliseconds(value, caller.queue_deadline);
  }
  if (key == "entry_routers") {
    return read_number(value, caller.entry_routers);
  }
  if (key == "retries") {
    return read_number(value, caller.retries);
  }
  if (key == "max_tokens") {
    return read_number(value, caller.max_tokens);
  }
  return key == "body_bytes" && read_number(value, caller.body_bytes);
}

// Returns what is wrong with the line; empty if nothing is.
std::string read_caller(const std::string& line, caller_config& caller) {
  std::istringstream words(line);
  std::string word;
  bool retries_given = false;
  while (words >> word) {
    const std::size_t equals = word.find('=');
    const std::string key = word.substr(0, equals);
    const std::string value = equals == std::string::npos ? "" : word.substr(equals + 1);
    if (!read_field(key, value, caller)) {
      return "unknown key or bad value: " + word;
    }
    retries_given = retries_given || key == "retries";
  }
  if (caller.organisation.value.empty() || caller.profile.value.empty()) {
    return "a caller needs an organisation and a profile: " + line;
  }
  if (caller.keyed && !retries_given) {
    caller.retries = retries_of_keyed_calls;
  }
  return "";
}

}  // namespace

mix_result parse_mix(std::string text) {
  std::replace(text.begin(), text.end(), ';', '\n');
  mix_result result;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line) && result.problem.empty()) {
    line = line.substr(0, line.find('#'));
    if (line.find_first_not_of(" \t\r") == std::string::npos) {
      continue;
    }
    caller_config caller;
    result.problem = read_caller(line, caller);
    result.callers.push_back(caller);
  }
  if (result.problem.empty() && result.callers.empty()) {
    result.problem = "the mix has no callers";
  }
  return result;
}

duration next_gap(const caller_config& caller, std::mt19937_64& random) {
  std::exponential_distribution<double> gap(caller.rate);
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random)));
}

std::string make_body(const caller_config& caller, std::uint64_t seed, std::uint64_t number) {
  std::string body = caller.body_prefix;
  const std::uint64_t shown = caller.same_body ? 0 : number;
  body += " call " + std::to_string(seed) + "-" + std::to_string(shown) + " of ";
  body += caller.organisation.value + ":";
  while (body.size() < caller.body_bytes) {
    body += " listing";
  }
  return body;
}

std::size_t choose_router(const caller_config& caller, std::size_t routers, std::size_t avoid,
                          std::mt19937_64& random) {
  const std::size_t wanted = caller.entry_routers;
  const std::size_t used = wanted == 0 ? routers : std::min(wanted, routers);
  const std::size_t first = wanted == 0 ? 0 : body_hash(caller.organisation.value) % routers;
  const std::size_t router = (first + random() % used) % routers;
  return router == avoid ? (router + 1) % routers : router;
}

}  // namespace peridot::standins
