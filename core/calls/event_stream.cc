#include "core/calls/event_stream.h"

#include <charconv>

namespace peridot {
namespace {

// Length of the first whole event, including the empty line at its end; 0 if there is none.
// Looks for line ends from `search_from` on.
std::size_t first_event_length(std::string_view text, std::size_t search_from) {
  for (std::size_t line_end = text.find('\n', search_from); line_end != std::string_view::npos;
       line_end = text.find('\n', line_end + 1)) {
    const std::string_view remaining = text.substr(line_end + 1);
    if (remaining.starts_with("\n")) {
      return line_end + 2;
    }
    if (remaining.starts_with("\r\n")) {
      return line_end + 3;
    }
  }
  return 0;
}

}  // namespace

bool feed_events(event_splitter& splitter, std::string_view data, const event_handler& on_event) {
  // The empty line may be split between the pending bytes and the new ones.
  std::size_t search_from = splitter.pending.size() < 3 ? 0 : splitter.pending.size() - 3;
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

std::optional<std::uint64_t> event_id(std::string_view event) {
  std::size_t begin = 0;
  while (begin < event.size()) {
    const std::size_t end = event.find('\n', begin);
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
