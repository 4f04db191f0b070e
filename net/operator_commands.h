// The commands of the operators' tool, apart from its command line.
//
// Each returns what to print and the exit status: exit_ok, or exit_failed if a
// document has errors, a router cannot be reached or a time line has bad lines.
//
// Thread safety: no shared state; commands block on files and on the network.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "core/timeline.h"

namespace peridot {

inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_usage = 2;

struct command_result {
  int exit_status = exit_ok;
  std::string output;
  std::string problems;  // for the standard error
};

command_result check_config(const std::string& path);
command_result check_settings(const std::string& path);
command_result check_list(const std::string& path);

// Precondition: every router is a valid HTTP address, `timeout` is positive.
command_result show_status(const std::vector<std::string>& routers,
                           std::chrono::milliseconds timeout);

// Merges the time lines of routers and of files, one process a file.
struct timeline_sources {
  std::vector<std::string> routers;
  std::vector<std::string> files;
  std::chrono::milliseconds timeout{2'000};
};
command_result show_timeline(const timeline_sources& sources, const timeline_filter& wanted);

}  // namespace peridot
