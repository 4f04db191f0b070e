#include "net/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <map>
#include <memory>
#include <sstream>
#include <utility>

namespace peridot {
namespace {

const char* part_name(log_part part) {
  switch (part) {
    case log_part::process:
      return "process";
    case log_part::config:
      return "config";
    case log_part::mesh:
      return "mesh";
    case log_part::http:
      return "http";
    case log_part::target:
      return "target";
  }
  return "process";
}

log4cplus::LogLevel to_log4cplus_level(log_level level) {
  switch (level) {
    case log_level::debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
      return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
      return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

log_level parse_level(const std::string& text) {
  if (text == "debug") {
    return log_level::debug;
  }
  if (text == "warn") {
    return log_level::warn;
  }
  return text == "error" ? log_level::error : log_level::info;
}

std::string replace_control_characters(std::string_view text) {
  std::string result(text);
  for (char& byte : result) {
    const unsigned char value = static_cast<unsigned char>(byte);
    if (value < 0x20 || value == 0x7f) {
      byte = '?';
    }
  }
  return result;
}

// Log lines that are not yet written.
struct log_buffer {
  std::string bytes;
  std::uint64_t dropped = 0;           // in total
  std::uint64_t dropped_reported = 0;  // of these, reported in the log
  std::chrono::steady_clock::time_point window_start{};
  std::map<std::pair<log_part, log_level>, int> lines_in_window;  // since window_start
};

log_buffer& buffer() {
  static log_buffer instance;
  return instance;
}

// Appends lines to the buffer; a line that does not fit is dropped and counted.
class buffer_appender : public log4cplus::Appender {
 public:
  ~buffer_appender() override {
    destructorImpl();
  }
  void close() override {}

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    if (buffer().bytes.size() + line.str().size() > max_log_buffer_bytes) {
      ++buffer().dropped;
      return;
    }
    buffer().bytes += line.str();
  }
};

log4cplus::Logger& logger() {
  static log4cplus::Logger instance = log4cplus::Logger::getInstance("peridot");
  return instance;
}

// Counts a line of this part and level. False if the limit of the current second is
// exceeded; the line is then counted as dropped.
bool consume_line_budget(log_part part, log_level level) {
  log_buffer& pending = buffer();
  const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
  if (now - pending.window_start >= std::chrono::seconds{1}) {
    pending.window_start = now;
    pending.lines_in_window.clear();
  }
  if (++pending.lines_in_window[{part, level}] <= max_log_lines_per_second) {
    return true;
  }
  ++pending.dropped;
  return false;
}

// Writes up to max_write_bytes if standard output is ready; false if it is not. A pipe that
// is ready accepts PIPE_BUF bytes without blocking.
bool write_some(std::string& bytes, std::size_t& written) {
  constexpr std::size_t max_write_bytes = 4'096;
  pollfd stdout_poll{STDOUT_FILENO, POLLOUT, 0};
  if (poll(&stdout_poll, 1, 0) != 1 || (stdout_poll.revents & POLLOUT) == 0) {
    return false;
  }
  const std::size_t length = std::min(max_write_bytes, bytes.size() - written);
  const ssize_t written_now = write(STDOUT_FILENO, bytes.data() + written, length);
  if (written_now <= 0) {
    return false;
  }
  written += static_cast<std::size_t>(written_now);
  return true;
}

}  // namespace

void start_logging(const std::string& process_name, const std::string& level) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr appender(new buffer_appender);
  const std::string pattern = "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p " + process_name + " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  logger().addAppender(appender);
  logger().setAdditivity(false);
  logger().setLogLevel(to_log4cplus_level(parse_level(level)));
}

bool reserve_log_line(log_part part, log_level level) {
  return logger().isEnabledFor(to_log4cplus_level(level)) && consume_line_budget(part, level);
}

void log_reserved_line(log_part part, log_level level, std::string_view text) {
  logger().log(to_log4cplus_level(level),
               std::string(part_name(part)) + ": " + replace_control_characters(text));
}

void log_line(log_part part, log_level level, std::string_view text) {
  if (reserve_log_line(part, level)) {
    log_reserved_line(part, level, text);
  }
}

void flush_log() {
  log_buffer& pending = buffer();
  if (pending.dropped != pending.dropped_reported &&
      pending.bytes.size() < max_log_buffer_bytes / 2) {
    const std::uint64_t newly_dropped = pending.dropped - pending.dropped_reported;
    pending.dropped_reported = pending.dropped;
    logger().log(log4cplus::WARN_LOG_LEVEL,
                 "process: Log lines dropped. count=" + std::to_string(newly_dropped));
  }
  std::size_t written = 0;
  while (written < pending.bytes.size() && write_some(pending.bytes, written)) {
  }
  pending.bytes.erase(0, written);
}

std::uint64_t dropped_log_lines() {
  return buffer().dropped;
}

}  // namespace peridot
