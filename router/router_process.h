// One router process: runs the event loop, and connects the routing logic in core/ with the
// sockets and the platform's store.
//
//   return run_router(loaded, settings_path);
//
// SIGTERM starts a graceful shutdown: the readiness page returns 503, responses announce
// that their connections close, and the process exits when its calls have ended, or
// shortly before the platform would kill it. SIGHUP reloads the settings. A settings file that
// changes without a signal is checked, and its errors are logged and counted.
//
// Thread safety: run_router() owns the process; call it once.
#pragma once

#include <string>

#include "core/settings/settings.h"

namespace peridot {

// Runs until the shutdown after SIGTERM has finished. Precondition: `loaded` is usable. Returns the
// exit status: 0 if all calls had ended, 1 if calls were still active or a required socket could
// not be opened. The log has been written by then.
int run_router(const settings_result& loaded, const std::string& settings_path);

}  // namespace peridot
