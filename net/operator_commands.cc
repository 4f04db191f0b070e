#include "net/operator_commands.h"

#include <array>
#include <charconv>
#include <utility>

#include "core/config_checker.h"
#include "core/document_file.h"
#include "core/settings.h"
#include "core/status_report.h"
#include "core/timeline_report.h"
#include "net/http_get.h"

namespace peridot {
namespace {

constexpr std::size_t max_status_bytes = 1 << 20;
constexpr std::size_t max_timeline_bytes = 64 << 20;

command_result failure(const std::vector<document_error>& errors) {
  command_result result;
  result.exit_status = exit_failed;
  for (const document_error& error : errors) {
    result.problems += to_text(error) + "\n";
  }
  return result;
}

void add_problem(command_result& result, const std::string& problem) {
  result.exit_status = exit_failed;
  result.problems += problem + "\n";
}

std::string hex_text(std::uint64_t number) {
  std::array<char, 16> digits{};
  const std::to_chars_result end =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
  return {digits.data(), end.ptr};
}

// "2 targets", "1 target".
std::string counted(std::size_t count, const std::string& noun) {
  return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

// Adds a time line from one source, and what is wrong with it.
void add_ring(command_result& result, std::vector<parsed_timeline>& rings,
              const std::string& source, const std::string& text) {
  parsed_timeline ring = parse_lines(text);
  if (ring.bad_lines > 0) {
    add_problem(result, source + ": " + counted(ring.bad_lines, "line") + " left out as malformed");
  }
  rings.push_back(std::move(ring));
}

}  // namespace

command_result check_config(const std::string& path) {
  const file_result file = read_document_file(path);
  if (!file.errors.empty()) {
    return failure(file.errors);
  }
  const config_result parsed = parse_published_config(file.text, path);
  if (!parsed.errors.empty()) {
    return failure(parsed.errors);
  }
  const published_config& config = *parsed.config;
  command_result result;
  result.output = path + ": valid, version " + std::to_string(config.version) + ", digest " +
                  hex_text(config.digest) + ", " +
                  counted(config.domains.size(), "failure domain") + ", " +
                  counted(config.profiles.size(), "profile") + ", " +
                  counted(config.organisations.size(), "organisation") + ", " +
                  counted(config.targets.size(), "target") + "\n";
  return result;
}

command_result check_settings(const std::string& path) {
  const settings_result loaded = load_settings(path);
  if (!loaded.errors.empty()) {
    return failure(loaded.errors);
  }
  command_result result;
  result.output = path + ": valid, router " + loaded.settings.name + "\n";
  return result;
}

command_result check_list(const std::string& path) {
  const file_result file = read_document_file(path);
  if (!file.errors.empty()) {
    return failure(file.errors);
  }
  const list_result parsed = parse_instance_list(file.text, path);
  if (!parsed.errors.empty()) {
    return failure(parsed.errors);
  }
  command_result result;
  result.output = path + ": valid, version " + std::to_string(parsed.list->version) + ", " +
                  counted(parsed.list->routers.size(), "router") + ", " +
                  counted(parsed.list->targets.size(), "target") + "\n";
  return result;
}

command_result show_status(const std::vector<std::string>& routers,
                           std::chrono::milliseconds timeout) {
  command_result result;
  std::vector<router_status> statuses;
  const std::vector<http_get_result> answers =
      http_get_all(routers, "/status", timeout, max_status_bytes);
  for (std::size_t index = 0; index < routers.size(); ++index) {
    if (answers[index].error.has_value()) {
      add_problem(result, "cannot be reached: " + to_text(*answers[index].error));
    } else {
      statuses.push_back({routers[index], answers[index].body});
    }
  }
  result.output = status_tables(statuses);
  return result;
}

command_result show_timeline(const timeline_sources& sources, const timeline_filter& wanted) {
  command_result result;
  std::vector<parsed_timeline> rings;
  const std::vector<http_get_result> answers =
      http_get_all(sources.routers, "/timeline", sources.timeout, max_timeline_bytes);
  for (std::size_t index = 0; index < answers.size(); ++index) {
    if (answers[index].error.has_value()) {
      add_problem(result, "cannot be reached: " + to_text(*answers[index].error));
    } else {
      add_ring(result, rings, sources.routers[index], answers[index].body);
    }
  }
  for (const std::string& path : sources.files) {
    const file_result file = read_document_file(path, max_timeline_bytes);
    if (file.errors.empty()) {
      add_ring(result, rings, path, file.text);
    } else {
      add_problem(result, to_text(file.errors.front()));
    }
  }
  result.output = timeline_report(filter(merge(rings), wanted));
  return result;
}

}  // namespace peridot
