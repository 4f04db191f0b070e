// peridotctl: the operators' tool. Checks documents offline, and shows what
// routers believe and what they have decided.
//
// Flags are defined with Abseil and set through its reflection interface rather
// than by absl::ParseCommandLine(), which exits with 1 for an unknown flag and
// for --help; here 1 means that a check failed.
#include <absl/flags/commandlineflag.h>
#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "core/ip_endpoint.h"
#include "core/version.h"
#include "net/operator_commands.h"

ABSL_FLAG(std::vector<std::string>, routers, {}, "HTTP addresses of routers, IP:port,IP:port,...");
ABSL_FLAG(std::string, request, "", "show only events of this request id");
ABSL_FLAG(std::string, organisation, "", "show only events of this organisation");
ABSL_FLAG(std::string, target, "", "show only events of this target");
ABSL_FLAG(std::string, process, "", "show only events of this process");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(2), "longest wait for routers, e.g. 500ms");

namespace {

constexpr std::size_t max_routers = 1'000;
constexpr absl::Duration max_timeout = absl::Seconds(30);

constexpr char usage[] = R"(Usage: peridotctl COMMAND [ARGUMENTS] [--flag=value ...]

  check-config FILE     checks a published configuration
  check-list FILE       checks an instance list
  check-settings FILE   checks the settings of a router
  status                shows what routers say about themselves
  timeline [FILE...]    merges time lines of routers and of saved files

Flags:
)";

constexpr char exit_help[] = R"(
Exit status: 0 success; 1 a document has errors, a router cannot be reached or a
time line has malformed lines; 2 the command line is wrong.
)";

// A command and what it accepts.
struct command_form {
  std::string_view name;
  std::size_t least_files = 0;
  std::size_t most_files = 0;
  std::vector<std::string_view> flags;
};

const std::vector<command_form>& command_forms() {
  static const std::vector<command_form> forms = {
      {"check-config", 1, 1, {}},
      {"check-list", 1, 1, {}},
      {"check-settings", 1, 1, {}},
      {"status", 0, 0, {"routers", "timeout"}},
      {"timeline",
       0,
       1'000,
       {"routers", "timeout", "request", "organisation", "target", "process"}},
  };
  return forms;
}

constexpr std::string_view flag_names[] = {"routers",      "timeout", "request",
                                           "organisation", "target",  "process"};

// What the command line asks for. `problem` is empty if it is well-formed.
struct arguments {
  std::vector<std::string> words;  // command and files
  std::vector<std::string> flags;  // names of the flags that were given
  bool help = false;
  bool version = false;
  std::string problem;
};

std::string help_text() {
  std::string text = usage;
  for (std::string_view name : flag_names) {
    const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(std::string{name});
    text += "  --" + std::string{name} + ": " + flag->Help();
    text += flag->DefaultValue().empty() ? "\n" : " (default " + flag->DefaultValue() + ")\n";
  }
  text += "  --help, --version\n";
  return text + exit_help;
}

bool is_flag(const std::string& name) {
  return std::find(std::begin(flag_names), std::end(flag_names), name) != std::end(flag_names);
}

// Sets one flag. Returns the problem, empty if there is none. Precondition: is_flag(name).
std::string set_flag(const std::string& name, const std::string& value) {
  std::string error;
  if (!absl::FindCommandLineFlag(name)->ParseFrom(value, &error)) {
    return "--" + name + ": " + error;
  }
  return "";
}

arguments parse_arguments(int count, char** values) {
  arguments parsed;
  for (int index = 1; index < count && parsed.problem.empty(); ++index) {
    const std::string word = values[index];
    if (!word.starts_with("--")) {
      parsed.words.push_back(word);
      continue;
    }
    const std::size_t equals = std::min(word.find('='), word.size());
    const std::string name = word.substr(2, equals - 2);
    if (name == "help" || name == "version") {
      (name == "help" ? parsed.help : parsed.version) = true;
      continue;
    }
    if (!is_flag(name)) {
      parsed.problem = "unknown flag --" + name;
      continue;
    }
    if (equals == word.size() && index + 1 == count) {
      parsed.problem = "--" + name + " needs a value";
      continue;
    }
    const std::string value = equals == word.size() ? values[++index] : word.substr(equals + 1);
    parsed.flags.push_back(name);
    parsed.problem = set_flag(name, value);
  }
  return parsed;
}

// Returns what is wrong with the values of the flags, empty if nothing is.
std::string check_flag_values() {
  const std::vector<std::string> routers = absl::GetFlag(FLAGS_routers);
  if (routers.size() > max_routers) {
    return "--routers: more than " + std::to_string(max_routers) + " addresses";
  }
  for (const std::string& router : routers) {
    const std::string problem = peridot::endpoint_problem(router);
    if (!problem.empty()) {
      return absl::StrCat("--routers: \"", router, "\" ", problem);
    }
  }
  const absl::Duration timeout = absl::GetFlag(FLAGS_timeout);
  if (timeout < absl::Milliseconds(1) || timeout > max_timeout) {
    return "--timeout: must be from 1ms to " + absl::FormatDuration(max_timeout);
  }
  return "";
}

// Returns what is wrong with the command, empty if nothing is.
std::string check_command(const arguments& parsed) {
  if (parsed.words.empty()) {
    return "a command is missing";
  }
  const std::string& name = parsed.words.front();
  auto form = std::find_if(command_forms().begin(), command_forms().end(),
                           [&name](const command_form& entry) { return entry.name == name; });
  if (form == command_forms().end()) {
    return "unknown command " + name;
  }
  const std::size_t files = parsed.words.size() - 1;
  if (files < form->least_files || files > form->most_files) {
    return name + (files < form->least_files ? " needs a FILE" : " has too many arguments");
  }
  for (const std::string& flag : parsed.flags) {
    if (std::find(form->flags.begin(), form->flags.end(), flag) == form->flags.end()) {
      return absl::StrCat("--", flag, " does not apply to ", name);
    }
  }
  const bool reads_routers = !form->flags.empty();
  if (reads_routers && files == 0 && absl::GetFlag(FLAGS_routers).empty()) {
    return name + " needs --routers" + (form->most_files > 0 ? " or a FILE" : "");
  }
  return check_flag_values();
}

// Precondition: check_command() found nothing wrong.
peridot::command_result run_command(const arguments& parsed) {
  const std::string& name = parsed.words.front();
  if (name == "check-config") {
    return peridot::check_config(parsed.words[1]);
  }
  if (name == "check-list") {
    return peridot::check_list(parsed.words[1]);
  }
  if (name == "check-settings") {
    return peridot::check_settings(parsed.words[1]);
  }
  const std::chrono::milliseconds timeout =
      absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout));
  if (name == "status") {
    return peridot::show_status(absl::GetFlag(FLAGS_routers), timeout);
  }
  peridot::timeline_sources sources;
  sources.routers = absl::GetFlag(FLAGS_routers);
  sources.files.assign(parsed.words.begin() + 1, parsed.words.end());
  sources.timeout = timeout;
  peridot::timeline_filter wanted;
  wanted.request = absl::GetFlag(FLAGS_request);
  wanted.organisation.value = absl::GetFlag(FLAGS_organisation);
  wanted.target.value = absl::GetFlag(FLAGS_target);
  wanted.process = absl::GetFlag(FLAGS_process);
  return peridot::show_timeline(sources, wanted);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const arguments parsed = parse_arguments(argc, argv);
  if (parsed.problem.empty() && parsed.help) {
    std::cout << help_text();
    return peridot::exit_ok;
  }
  if (parsed.problem.empty() && parsed.version) {
    std::cout << "peridotctl " << peridot::program_version << "\n";
    return peridot::exit_ok;
  }
  const std::string problem = parsed.problem.empty() ? check_command(parsed) : parsed.problem;
  if (!problem.empty()) {
    std::cerr << "peridotctl: " << problem << "\nTry peridotctl --help.\n";
    return peridot::exit_usage;
  }
  const peridot::command_result result = run_command(parsed);
  std::cout << result.output << std::flush;
  std::cerr << result.problems;
  return result.exit_status;
}
