// One router process: the loop around the decisions of core/ and the adapter.
//
//   return run_router(settings, settings_path);
//
// TERM begins a graceful shutdown: the readiness answer turns to 503, answers
// announce the end of their connections, and the process ends when its calls have,
// or shortly before the platform would kill it. HUP reads the settings again.
//
// Thread safety: run_router() owns the process; call it once.
#pragma once

#include <string>

#include "core/settings/settings.h"

namespace peridot {

// Runs until stopped; the exit status.
int run_router(const router_settings& settings, const std::string& settings_path);

}  // namespace peridot
