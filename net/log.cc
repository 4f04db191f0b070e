#include "net/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

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
    case log_part::lease:
      return "lease";
    case log_part::keys:
      return "keys";
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

log4cplus::Logger& logger() {
  static log4cplus::Logger instance = log4cplus::Logger::getInstance("peridot");
  return instance;
}

}  // namespace

void start_logging(const std::string& process, const std::string& level) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
  const std::string pattern = "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p " + process + " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  logger().addAppender(appender);
  logger().setAdditivity(false);
  logger().setLogLevel(to_library(parse_level(level)));
}

void log_line(log_part part, log_level level, std::string_view text) {
  const log4cplus::LogLevel library_level = to_library(level);
  if (logger().isEnabledFor(library_level)) {
    logger().log(library_level, std::string(prefix(part)) + ": " + printable(text));
  }
}

}  // namespace peridot
