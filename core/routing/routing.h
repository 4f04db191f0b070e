// Routing: whether a call is taken on, where it goes, and when it may go again.
//
// In the order in which a call meets them:
//
//   fair_share.h          has its organisation had its share of the engines' tokens?
//   overload.h            is this instance itself behind?
//   cold_start_limiter.h  which cold targets may this router send to now?
//   target_health.h       which targets are avoided, and which is due for a trial?
//   placement.h           the target with the lowest expected cost, and the wait there
//   admission.h           taken on, or refused at once with a time to come back
//   retry_budget.h        may a call that did not run be sent to another target?
//   crash_suspects.h      calls that crash their targets are given up
//
// All are tables and free functions over an explicit `now`: no input or output, no
// clock of their own, no thread safety (one loop owns the tables).
//
//   if (may_send_cold(cold, target, limit, self, peers, now)) { candidates.push_back(...); }
//   placement where = choose_engine(loads, candidates, call, now);
//   admission verdict = admit({.queued = ..., .own = ..., .share_position = ...});
#pragma once

#include "core/routing/admission.h"
#include "core/routing/cold_start_limiter.h"
#include "core/routing/crash_suspects.h"
#include "core/routing/fair_share.h"
#include "core/routing/overload.h"
#include "core/routing/placement.h"
#include "core/routing/retry_budget.h"
#include "core/routing/target_health.h"
