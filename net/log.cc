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

const char* prefix(log_part part) {
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

log4cplus::LogLevel to_library(log_level level) {
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

std::string printable(std::string_view text) {
  std::string result(text);
  for (char& byte : result) {
    const unsigned char value = static_cast<unsigned char>(byte);
    if (value < 0x20 || value == 0x7f) {
      byte = '?';
    }
  }
  return result;
}

// Lines that wait for their reader.
struct log_buffer {
  std::string bytes;
  std::uint64_t dropped = 0;       // all
  std::uint64_t dropped_told = 0;  // of these, told in the log
  std::chrono::steady_clock::time_point second{};
  std::map<std::pair<log_part, log_level>, int> lines;  // in the current second
};

log_buffer& buffer() {
  static log_buffer instance;
  return instance;
}

// Gathers lines in the buffer; a line that does not fit is dropped and counted.
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

// True if the part's budget of this second allows one more line.
bool take_line(log_part part, log_level level) {
  log_buffer& lines = buffer();
  const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
  if (now - lines.second >= std::chrono::seconds{1}) {
    lines.second = now;
    lines.lines.clear();
  }
  if (++lines.lines[{part, level}] <= max_log_lines_per_second) {
    return true;
  }
  ++lines.dropped;
  return false;
}

// Writes one piece if the reader takes it now. A pipe that is ready takes PIPE_BUF
// bytes without blocking.
bool write_piece(std::string& bytes, std::size_t& written) {
  constexpr std::size_t piece = 4'096;
  pollfd ready{STDOUT_FILENO, POLLOUT, 0};
  if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
    return false;
  }
  const std::size_t length = std::min(piece, bytes.size() - written);
  const ssize_t done = write(STDOUT_FILENO, bytes.data() + written, length);
  if (done <= 0) {
    return false;
  }
  written += static_cast<std::size_t>(done);
  return true;
}

}  // namespace

void start_logging(const std::string& process, const std::string& level) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr appender(new buffer_appender);
  const std::string pattern = "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p " + process + " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  logger().addAppender(appender);
  logger().setAdditivity(false);
  logger().setLogLevel(to_library(parse_level(level)));
}

void log_line(log_part part, log_level level, std::string_view text) {
  const log4cplus::LogLevel library_level = to_library(level);
  if (logger().isEnabledFor(library_level) && take_line(part, level)) {
    logger().log(library_level, std::string(prefix(part)) + ": " + printable(text));
  }
}

void flush_log() {
  log_buffer& lines = buffer();
  if (lines.dropped != lines.dropped_told && lines.bytes.size() < max_log_buffer_bytes / 2) {
    const std::uint64_t news = lines.dropped - lines.dropped_told;
    lines.dropped_told = lines.dropped;
    logger().log(log4cplus::WARN_LOG_LEVEL,
                 "process: Log lines dropped. count=" + std::to_string(news));
  }
  std::size_t written = 0;
  while (written < lines.bytes.size() && write_piece(lines.bytes, written)) {
  }
  lines.bytes.erase(0, written);
}

std::uint64_t dropped_log_lines() {
  return buffer().dropped;
}

}  // namespace peridot
