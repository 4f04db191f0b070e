// Steps of a call:
//
//   call_arrival.cc    from its arrival: route, organisation, time left
//   call_placement.cc  where it goes, or that it is refused; whether it is sent again
//   call_attempt.cc    the send, and the target's answer back to the caller
//   call_crashes.cc    targets that crash while they run it
//   call_end.cc        its end: answer, log line, counts
//
// Internal to router/.
#pragma once

#include <string>

#include "router/router_state.h"

namespace peridot {

// How a call ended, for logs and metrics.
enum class call_outcome { answered, refused, failed, caller_left };

active_call* find_call(router_state& router, std::uint64_t exchange_id);

// Sends the call to a target, or ends it if none can take it.
void place_call(active_call& call);

// Starts `current`'s send; the callbacks are call_attempt.cc's.
void start_attempt(active_call& call, const target_state& target, const placement& choice);

// The current attempt is over: corrects load and health, and closes its connection
// unless its answer is complete.
void end_attempt(active_call& call, call_result result);

// True if the call may be sent to one more target now; takes it from the budget.
bool try_acquire_retry(active_call& call);

// Final answers. Afterwards the call is gone.
void end_with_refusal(active_call& call, refusal reason, duration retry_after);
void end_with_failure(active_call& call, refusal reason);
void end_answered(active_call& call, int status);
void end_with_aborted_response(active_call& call, refusal reason);
void end_caller_left(active_call& call);

// Refuses before there is a call.
void refuse_on_arrival(router_state& router, http_exchange& exchange, const call_request& request,
                       refusal reason, duration retry_after);

// True if enough live peers take new calls.
bool peers_accept_calls(const router_state& router, instant now);

// Whole milliseconds, for logs.
std::string ms_text(duration time);

// With two decimals.
std::string decimal_text(double value);

// Seconds with fractions, as in Retry-After.
std::string seconds_text(duration time);

pool_state& pool_state_of(router_state& router, const pool_name& name);

// A target may have crashed while it ran the call.
void record_interrupted_call(active_call& call);
void handle_unreachable_target(router_state& router, const target_name& target);

}  // namespace peridot
