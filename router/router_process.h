// One router process: the event loop that connects the decisions of core/ to its sockets
// and to the platform's store.
//
//   return run_router(settings, settings_path);
//
// SIGTERM starts a graceful shutdown: the readiness page returns 503, responses announce
// that their connections close, and the process exits when its calls have ended, or
// shortly before the platform would kill it. SIGHUP reloads the settings.
//
// Thread safety: run_router() owns the process; call it once.
#pragma once

#include <string>

#include "core/settings/settings.h"

namespace peridot {

// Runs until SIGTERM and returns the exit status: 0 if all calls had ended, 1 if some had
// not or a required socket could not be opened.
int run_router(const router_settings& settings, const std::string& settings_path);

}  // namespace peridot
