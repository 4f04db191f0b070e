#include "core/base/end_process.h"

#include <doctest/doctest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <thread>

using namespace peridot;

namespace {

bool destructor_waits = false;

// Stands for a library that waits for its threads when the process ends.
struct waiting_library {
  ~waiting_library() {
    while (destructor_waits) {
      pause();
    }
  }
};

// The exit status of the child, or -1 if it does not end within two seconds.
int exit_status_of(pid_t child) {
  const std::chrono::steady_clock::time_point deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds{2};
  int status = 0;
  while (std::chrono::steady_clock::now() < deadline) {
    if (waitpid(child, &status, WNOHANG) == child) {
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{5});
  }
  kill(child, SIGKILL);
  waitpid(child, &status, 0);
  return -1;
}

}  // namespace

// Guards against routers that had logged Stopped, but were still there at the end of the grace
// period: a static destructor of the logging library waited for its idle threads.
TEST_CASE("a process ends at once, although a library's static destructor waits") {
  for (int status : {0, 1, 7}) {
    const pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
      static const waiting_library library;
      destructor_waits = true;
      end_process(status);
    }
    CHECK(exit_status_of(child) == status);
  }
}
