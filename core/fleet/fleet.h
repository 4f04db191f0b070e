// The state of the fleet as one router knows it: configuration, targets and other routers.
//
//   config_and_targets.h  the active configuration and the table of targets, built from the
//                         items of the platform's store. An item is never replaced by an
//                         older revision.
//   entry_history.h       which version of a target's entry counts, if the store does writes late.
//   ended_incarnations.h  incarnations of targets that have ended, also as peers report.
//   membership.h          which routers are alive. This is approximate and used for fair
//                         shares and load estimates; no safety property may depend on it.
//   target_view.h         whether what a router knows of the targets is current.
//   target_statements.h   what targets say in their responses and what binds all routers.
//   stream_builds.h       which build began a stream, wherever its caller takes it up.
//   peer_messages.h       messages between routers. Each may be lost, duplicated or delayed.
//
// The modules are tables and free functions that take the current time as `now`. One event
// loop owns the tables.
#pragma once

#include "core/fleet/config_and_targets.h"
#include "core/fleet/membership.h"
#include "core/fleet/peer_messages.h"
#include "core/fleet/stream_builds.h"
#include "core/fleet/target_statements.h"
#include "core/fleet/target_view.h"
