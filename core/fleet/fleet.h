// Fleet: what one router believes of configuration, targets and other routers.
//
//   config_and_targets.h  the configuration in force and the table of targets; both are pure
//                         functions of the items that were read, and nothing in them goes back
//   membership.h          which routers run; a hint for shares, on which nothing that must hold
//                         rests
//   peer_messages.h       the messages between routers; each may be lost, doubled or late
//
// Tables and free functions over an explicit `now`; one loop owns the tables.
#pragma once

#include "core/fleet/config_and_targets.h"
#include "core/fleet/membership.h"
#include "core/fleet/peer_messages.h"
