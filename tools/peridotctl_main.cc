// peridotctl: tool for operators: checks settings, prints status and metrics of routers,
// merges logs.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>

#include "core/base/ip_endpoint.h"
#include "core/base/log_lines.h"
#include "core/fleet/config_check.h"
#include "core/settings/document_file.h"
#include "core/settings/settings.h"
#include "net/http_client.h"
#include "platform/config_report.h"
#include "platform/documents.h"

ABSL_FLAG(std::string, call, "", "timeline: only lines about this call.");
ABSL_FLAG(std::string, target, "", "timeline: only lines about this target.");
ABSL_FLAG(std::string, domain, "", "timeline: only lines about this failure domain.");
ABSL_FLAG(std::string, version, "", "timeline: only lines about this configuration version.");
ABSL_FLAG(std::string, against, "", "config check: file with the version in force.");
ABSL_FLAG(bool, json, false, "config check: print JSON.");

namespace {

using peridot::milliseconds;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr milliseconds page_timeout{2'000};  // to connect, and for each wait for data

int usage_error(const char* problem) {
  std::fprintf(stderr, "peridotctl: %s\nSee peridotctl --help.\n", problem);
  return exit_usage;
}

int check_settings(const std::vector<std::string>& files) {
  if (files.empty()) {
    return usage_error("check: at least one settings file is required");
  }
  bool all_ok = true;
  for (const std::string& file : files) {
    const peridot::settings_result loaded = peridot::load_settings(file);
    for (const peridot::document_error& error : loaded.errors) {
      std::printf("%s\n", peridot::to_text(error).c_str());
    }
    if (loaded.errors.empty()) {
      std::printf("%s: ok\n", file.c_str());
    }
    all_ok = all_ok && loaded.errors.empty();
  }
  return all_ok ? 0 : exit_failed;
}

// A configuration as routers read it; null after a message if they would reject it.
std::shared_ptr<const peridot::fleet_config> read_config(const std::string& file) {
  const peridot::file_result read = peridot::read_document_file(file);
  for (const peridot::document_error& error : read.errors) {
    std::fprintf(stderr, "%s\n", peridot::to_text(error).c_str());
  }
  if (!read.errors.empty()) {
    return nullptr;
  }
  const peridot::platform::config_result decoded = peridot::platform::decode_config(read.text);
  if (decoded.config == nullptr) {
    std::fprintf(stderr, "%s: rejected: %s\n", file.c_str(), decoded.problem.c_str());
  }
  return decoded.config;
}

void print_config_check(const std::vector<peridot::config_finding>& findings,
                        const std::vector<peridot::config_change>& changes) {
  if (!absl::GetFlag(FLAGS_json)) {
    for (const peridot::config_finding& finding : findings) {
      std::printf("%s: %s: %s\n", to_text(finding.severity), finding.subject.c_str(),
                  finding.text.c_str());
    }
    for (const peridot::config_change& change : changes) {
      std::printf("%s: %s%s%s\n", to_text(change.kind), change.subject.c_str(),
                  change.text.empty() ? "" : ": ", change.text.c_str());
    }
    return;
  }
  std::printf("%s\n", peridot::platform::config_report_json(findings, changes).c_str());
}

int check_config_file(const std::vector<std::string>& arguments) {
  if (arguments.size() != 2 || arguments[0] != "check") {
    return usage_error("config: expected check FILE");
  }
  const std::shared_ptr<const peridot::fleet_config> config = read_config(arguments[1]);
  if (config == nullptr) {
    return exit_failed;
  }
  std::vector<peridot::config_finding> findings = peridot::check_config(*config);
  std::vector<peridot::config_change> changes;
  const std::string against = absl::GetFlag(FLAGS_against);
  if (!against.empty()) {
    const std::shared_ptr<const peridot::fleet_config> in_force = read_config(against);
    if (in_force == nullptr) {
      return exit_failed;
    }
    const std::vector<peridot::config_finding> version = peridot::check_version(*in_force, *config);
    findings.insert(findings.end(), version.begin(), version.end());
    changes = peridot::config_changes(*in_force, *config);
  }
  print_config_check(findings, changes);
  const bool has_error =
      std::any_of(findings.begin(), findings.end(), [](const peridot::config_finding& finding) {
        return finding.severity == peridot::finding_severity::error;
      });
  return has_error ? exit_failed : 0;
}

struct page_result {
  int status = 0;
  std::string text;
  std::string problem;
};

page_result fetch_page(const std::string& address, const std::string& path) {
  const peridot::event_base_ptr base(event_base_new());
  peridot::http_client client;
  client.base = base.get();
  page_result result;
  peridot::http_request request;
  request.address = address;
  request.request_target = path;
  request.headers = {{"Host", address}};
  request.connect_timeout = page_timeout;
  request.idle_timeout = page_timeout;
  std::shared_ptr<peridot::client_call> handle;
  peridot::call_handlers handlers;
  handlers.on_head = [&](const peridot::message_head& head) { result.status = head.status; };
  handlers.on_data = [&](std::string_view data) { result.text.append(data); };
  handlers.on_end = [&](peridot::client_call_result end_result) {
    if (end_result != peridot::client_call_result::complete) {
      result.problem = handle->problem;
    }
    event_base_loopbreak(base.get());
  };
  handle = peridot::start_call(client, std::move(request), std::move(handlers));
  event_base_dispatch(base.get());
  return result;
}

int print_pages(const std::string& path, const std::vector<std::string>& addresses) {
  if (addresses.empty()) {
    return usage_error("at least one control address (IP:PORT) is required");
  }
  bool all_ok = true;
  for (const std::string& address : addresses) {
    const std::string problem = peridot::endpoint_problem(address);
    if (!problem.empty()) {
      std::string text = address;
      text += ": ";
      text += problem;
      return usage_error(text.c_str());
    }
    const page_result page = fetch_page(address, path);
    std::printf("== %s\n%s", address.c_str(), page.text.c_str());
    if (page.status != 200) {
      std::printf("request failed: %s\n", page.problem.c_str());
      all_ok = false;
    }
  }
  return all_ok ? 0 : exit_failed;
}

// True if the line matches every filter that is set.
bool matches_filters(const std::string& text) {
  const std::pair<const char*, std::string> filters[] = {
      {"call", absl::GetFlag(FLAGS_call)},
      {"target", absl::GetFlag(FLAGS_target)},
      {"domain", absl::GetFlag(FLAGS_domain)},
  };
  for (const std::pair<const char*, std::string>& filter : filters) {
    if (!filter.second.empty() && peridot::log_field(text, filter.first) != filter.second) {
      return false;
    }
  }
  const std::string version = absl::GetFlag(FLAGS_version);
  return version.empty() || peridot::log_field(text, "version") == version ||
         peridot::log_field(text, "config") == version;
}

void read_lines(std::istream& input, std::vector<peridot::log_line_record>& records) {
  std::string line;
  while (std::getline(input, line)) {
    peridot::log_line_record record;
    if (peridot::parse_log_line(line, record) && matches_filters(record.line)) {
      records.push_back(std::move(record));
    }
  }
}

int print_timeline(const std::vector<std::string>& files) {
  std::vector<peridot::log_line_record> records;
  if (files.empty()) {
    read_lines(std::cin, records);
  }
  for (const std::string& file : files) {
    std::ifstream input(file);
    if (!input) {
      return usage_error((file + ": cannot be read").c_str());
    }
    read_lines(input, records);
  }
  for (const peridot::log_line_record& record : peridot::merge_log_lines(std::move(records))) {
    std::printf("%s\n", record.line.c_str());
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Checks settings, and shows what routers report and log.\n\n"
      "  peridotctl check FILE...        checks settings files\n"
      "  peridotctl config check FILE [--against=CURRENT] [--json]\n"
      "                                  checks a configuration before it is sent\n"
      "  peridotctl status ADDRESS...    prints the status of routers; ADDRESS: control address\n"
      "  peridotctl metrics ADDRESS...   prints the metrics of routers\n"
      "  peridotctl timeline [--call=ID] [--target=NAME] [--domain=NAME] [--version=N] [FILE...]\n"
      "                                  merges logs by time; without FILE reads the\n"
      "                                  standard input");
  const std::vector<char*> positional_args = absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  if (positional_args.size() < 2) {
    return usage_error("a command is required");
  }
  const std::string command = positional_args[1];
  const std::vector<std::string> arguments(positional_args.begin() + 2, positional_args.end());
  if (command == "check") {
    return check_settings(arguments);
  }
  if (command == "config") {
    return check_config_file(arguments);
  }
  if (command == "status" || command == "metrics") {
    return print_pages("/" + command, arguments);
  }
  if (command == "timeline") {
    return print_timeline(arguments);
  }
  return usage_error(("unknown command: " + command).c_str());
}
