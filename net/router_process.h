// The router process: the event loop around the decision logic.
//
// Reads what arrives (callers, peers, the platform's service, targets), passes
// it to core/router.h with the time, and carries out what that decides. It makes
// no decision about requests, rights or configuration itself.
//
//   int status = run_router(settings);   // returns after a graceful shutdown
//
// docs/API.md describes the callers' and operators' interface.
// Thread safety: one loop on one thread.
#pragma once

#include "core/settings.h"

namespace peridot {

// Exit status: 0 after a graceful shutdown, 1 if an address cannot be bound.
int run_router(const router_settings& settings);

}  // namespace peridot
