// Routing: whether a call is admitted, where it is sent, and whether it may be retried.
//
// In the order in which they first apply to a call:
//
//   crash_suspects.h      calls that crash their targets are refused
//   fleet_rate_limiter.h  which cold and which limited targets may this router send to now?
//   target_health.h       which targets are avoided, and which is due for a trial call?
//   overload.h            is this router instance overloaded?
//   fair_share.h          has its organisation reached its share of the engines' tokens?
//   target_speed.h        how fast a target works, by its own word
//   target_loads.h        what each target is doing, and what was measured of it
//   domain_spillover.h    when calls leave their failure domain, and how many
//   prefix_fetch.h        prompt parts that one engine fetches from another
//   placement.h           the target of lowest expected cost, and the wait there
//   admission.h           admitted, or refused on arrival with a retry delay
//   retry_budget.h        may a call that did not run be sent to another target?
//
// "The platform" is the environment that runs the targets and sets the limits that the
// routers have to keep.
//
// The parts are tables and free functions over an explicit `now`: no input or output,
// no clock of their own, no thread safety (one event loop owns the tables).
//
//   if (time_until_send(limiter, target, allowance, now) <= duration{0}) {
//     candidates.push_back(...);
//   }
//   placement choice = choose_engine(loads, candidates, call);
//   admission_decision decision = admit({.queue_wait = ..., .share_position = ...});
#pragma once

#include "core/routing/admission.h"
#include "core/routing/crash_suspects.h"
#include "core/routing/domain_spillover.h"
#include "core/routing/fair_share.h"
#include "core/routing/fleet_rate_limiter.h"
#include "core/routing/overload.h"
#include "core/routing/placement.h"
#include "core/routing/prefix_fetch.h"
#include "core/routing/retry_budget.h"
#include "core/routing/target_health.h"
#include "core/routing/target_loads.h"
#include "core/routing/target_speed.h"
