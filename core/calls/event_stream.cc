#include "core/calls/event_stream.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace peridot {
namespace {

constexpr std::string_view line_end_characters = "\r\n";

// Length of the line end at `at`: 2 for CRLF, otherwise 1. Precondition: a line end is there.
std::size_t line_end_length(std::string_view text, std::size_t at) {
  return text.substr(at).starts_with("\r\n") ? 2 : 1;
}

// Length of the first whole event, including the empty line at its end; 0 if there is none.
// Looks for line ends from `search_from` on. A CR at the end of the text does not end an event
// yet: an LF that belongs to it may follow.
std::size_t first_event_length(std::string_view text, std::size_t search_from) {
  std::size_t at = text.find_first_of(line_end_characters, search_from);
  while (at != std::string_view::npos) {
    const std::size_t next = at + line_end_length(text, at);
    const bool next_line_is_empty =
        next < text.size() && (text[next] == '\n' || text[next] == '\r');
    if (next_line_is_empty) {
      const bool may_be_half_line_end = text[next] == '\r' && next + 1 == text.size();
      return may_be_half_line_end ? 0 : next + line_end_length(text, next);
    }
    at = text.find_first_of(line_end_characters, next);
  }
  return 0;
}

}  // namespace

bool feed_events(event_splitter& splitter, std::string_view data, const event_handler& on_event) {
  // The empty line may be split between the pending bytes and the new ones.
  constexpr std::size_t max_split_bytes = 3;  // CR LF CR
  std::size_t search_from =
      splitter.pending.size() - std::min(splitter.pending.size(), max_split_bytes);
  splitter.pending.append(data);
  std::size_t begin = 0;
  while (true) {
    const std::string_view remaining = std::string_view(splitter.pending).substr(begin);
    const std::size_t length = first_event_length(remaining, search_from);
    if (length == 0) {
      break;
    }
    const std::string_view event = remaining.substr(0, length);
    on_event(event, event_id(event));
    begin += length;
    search_from = 0;
  }
  splitter.pending.erase(0, begin);
  return splitter.pending.size() <= max_event_bytes;
}

std::size_t pending_bytes(const event_splitter& splitter) {
  return splitter.pending.size();
}

bool has_field(std::string_view text) {
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = std::min(text.find_first_of(line_end_characters, begin), text.size());
    if (end > begin && text[begin] != ':') {
      return true;
    }
    begin = end + 1;
  }
  return false;
}

void finish_events(event_splitter& splitter, const event_handler& on_event) {
  const std::string last = std::exchange(splitter.pending, {});
  if (last.ends_with("\r\r") || last.ends_with("\n\r")) {
    on_event(last, event_id(last));
  } else {
    splitter.pending = last;
  }
}

bool ends_within_event(const event_splitter& splitter) {
  return has_field(splitter.pending);
}

std::optional<std::uint64_t> event_id(std::string_view event) {
  std::size_t begin = 0;
  while (begin < event.size()) {
    const std::size_t end = event.find_first_of(line_end_characters, begin);
    std::string_view line = event.substr(begin, end - begin);
    if (line.starts_with("id:")) {
      line.remove_prefix(3);
      while (line.starts_with(" ")) {
        line.remove_prefix(1);
      }
      std::uint64_t value = 0;
      const std::from_chars_result parsed =
          std::from_chars(line.data(), line.data() + line.size(), value);
      if (parsed.ec == std::errc()) {
        return value;
      }
      return std::nullopt;
    }
    if (end == std::string_view::npos) {
      break;
    }
    begin = end + 1;
  }
  return std::nullopt;
}

}  // namespace peridot
