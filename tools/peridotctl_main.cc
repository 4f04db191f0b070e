// peridotctl: settings checked, beliefs shown, logs read, for operators.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>

#include "core/base/ip_endpoint.h"
#include "core/base/log_lines.h"
#include "core/settings/settings.h"
#include "net/http_client.h"

ABSL_FLAG(std::string, call, "", "timeline: only lines of this call.");
ABSL_FLAG(std::string, target, "", "timeline: only lines of this target.");
ABSL_FLAG(std::string, domain, "", "timeline: only lines of this failure domain.");
ABSL_FLAG(std::string, version, "", "timeline: only lines of this configuration version.");

namespace {

using peridot::milliseconds;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr milliseconds page_timeout{2'000};  // of one page of one router

int usage(const char* problem) {
  std::fprintf(stderr, "peridotctl: %s\nSee peridotctl --help.\n", problem);
  return exit_usage;
}

int check_settings(const std::vector<std::string>& files) {
  if (files.empty()) {
    return usage("check needs the settings files");
  }
  bool good = true;
  for (const std::string& file : files) {
    const peridot::settings_result loaded = peridot::load_settings(file);
    for (const peridot::document_error& error : loaded.errors) {
      std::printf("%s\n", peridot::to_text(error).c_str());
    }
    if (loaded.errors.empty()) {
      std::printf("%s: ok\n", file.c_str());
    }
    good = good && loaded.errors.empty();
  }
  return good ? 0 : exit_failed;
}

struct page_result {
  int status = 0;
  std::string text;
  std::string problem;
};

page_result fetch(const std::string& address, const std::string& path) {
  const peridot::event_base_ptr base(event_base_new());
  peridot::http_client client;
  client.base = base.get();
  page_result result;
  peridot::http_request call;
  call.address = address;
  call.request_target = path;
  call.headers = {{"Host", address}};
  call.connect_timeout = page_timeout;
  call.idle_timeout = page_timeout;
  std::shared_ptr<peridot::client_call> handle;
  peridot::call_handlers handlers;
  handlers.on_head = [&](const peridot::message_head& head) { result.status = head.status; };
  handlers.on_data = [&](std::string_view data) { result.text.append(data); };
  handlers.on_end = [&](peridot::client_call_result end) {
    if (end != peridot::client_call_result::complete) {
      result.problem = handle->problem;
    }
    event_base_loopbreak(base.get());
  };
  handle = peridot::start_call(client, std::move(call), std::move(handlers));
  event_base_dispatch(base.get());
  return result;
}

int show_pages(const std::string& path, const std::vector<std::string>& addresses) {
  if (addresses.empty()) {
    return usage("the control addresses of routers are needed");
  }
  bool good = true;
  for (const std::string& address : addresses) {
    const std::string problem = peridot::endpoint_problem(address);
    if (!problem.empty()) {
      std::string text = address;
      text += ": ";
      text += problem;
      return usage(text.c_str());
    }
    const page_result page = fetch(address, path);
    std::printf("== %s\n%s", address.c_str(), page.text.c_str());
    if (page.status != 200) {
      std::printf("no answer: %s\n", page.problem.c_str());
      good = false;
    }
  }
  return good ? 0 : exit_failed;
}

// True if the line matches every filter that is set.
bool is_wanted(const std::string& text) {
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
    if (peridot::parse_log_line(line, record) && is_wanted(record.text)) {
      records.push_back(std::move(record));
    }
  }
}

int show_timeline(const std::vector<std::string>& files) {
  std::vector<peridot::log_line_record> records;
  if (files.empty()) {
    read_lines(std::cin, records);
  }
  for (const std::string& file : files) {
    std::ifstream input(file);
    if (!input) {
      return usage((file + ": cannot be read").c_str());
    }
    read_lines(input, records);
  }
  for (const peridot::log_line_record& record : peridot::merge_log_lines(std::move(records))) {
    std::printf("%s\n", record.text.c_str());
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Tools for operators.\n\n"
      "  peridotctl check FILE...        checks settings\n"
      "  peridotctl status ADDRESS...    what routers believe, from their control addresses\n"
      "  peridotctl metrics ADDRESS...   their counters and histograms\n"
      "  peridotctl timeline [--call=ID] [--target=NAME] [--domain=NAME] [--version=N] [FILE...]\n"
      "                                  logs of all processes as one time line; without\n"
      "                                  files from the standard input");
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  if (rest.size() < 2) {
    return usage("a command is needed");
  }
  const std::string command = rest[1];
  const std::vector<std::string> arguments(rest.begin() + 2, rest.end());
  if (command == "check") {
    return check_settings(arguments);
  }
  if (command == "status" || command == "metrics") {
    return show_pages("/" + command, arguments);
  }
  if (command == "timeline") {
    return show_timeline(arguments);
  }
  return usage(("no such command: " + command).c_str());
}
