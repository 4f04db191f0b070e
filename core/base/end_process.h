// Ends the process.
#pragma once

namespace peridot {

// Ends the process at once with this exit status. Destructors of static objects do not run: those
// of libraries may wait for the library's idle threads, which delays a graceful shutdown until
// the platform kills the process. Precondition: nothing is left to be written.
// Thread safety: safe to call from any thread.
[[noreturn]] void end_process(int exit_status);

}  // namespace peridot
