// Shared by the units of core/router: contexts over the tables, and the two
// steps that most events end with. Private to core/.
#pragma once

#include <chrono>

#include "core/router.h"

namespace peridot {

// When a caller should come back after a refusal of the router as a whole.
inline constexpr std::chrono::milliseconds no_configuration_retry{2'000};
inline constexpr std::chrono::milliseconds stopping_retry{100};

// Shortest time between two document requests to one peer.
inline constexpr std::chrono::milliseconds document_request_interval{500};

// Routers that a membership table holds. A heartbeat of a further one is dropped.
inline constexpr std::size_t max_members = 4'096;

lease_context make_lease_context(const router_core& core);
scheduler_context make_scheduler_context(const router_core& core);
entry_context make_entry_context(const router_core& core);
local_status make_local_status(const router_core& core, instant now);
const fleet_config& fleet_of(const router_core& core);

// Records an event in the time line and returns its sequence number.
std::uint64_t note(router_core& core, timeline_event event, instant now);

// The same, for an event that follows from a peer's message.
std::uint64_t note_caused(router_core& core, timeline_event event,
                          const wire::peer_message& message, instant now);

// Grants free slots of the held shards.
void schedule(router_core& core, instant now, effects& todo);

// Handles the messages in `todo` that are addressed to this router, and those
// that follow from them, and leaves the others in place and in order.
void deliver_to_self(router_core& core, instant now, effects& todo);

// Handles one message without delivering what follows to self.
void handle_message(router_core& core, const router_identity& from,
                    const wire::peer_message& message, instant now, effects& todo);

}  // namespace peridot
