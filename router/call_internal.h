// How a call is processed:
//
//   call_arrival.cc    finds its route, organisation and deadline
//   call_resume.cc     finds the build that began the stream, if it is taken up
//   call_placement.cc  chooses its target, refuses it, ends an attempt, or allows a retry
//   call_attempt.cc    sends it to the target and forwards the response to the caller
//   call_crashes.cc    refuses it if such calls crash targets
//   call_end.cc        sends the error response if there is one, logs the call and counts it
//
// Internal to router/.
#pragma once

#include <string>

#include "router/router_state.h"

namespace peridot {

// How a call ended, for logs and metrics.
enum class call_outcome { answered, refused, failed, caller_left };

// The call of this HTTP exchange; null if it has ended.
active_call* find_call(router_state& router, std::uint64_t exchange_id);

// Sends the call to a target, or ends it if no target can take it.
void place_call(active_call& call);

// Chooses one of the route's pools by weight: the same one for all attempts of a call, and where
// its stream is taken up. Null if the configuration lacks it.
const pool* choose_pool(const active_call& call);

// Places a call that takes a stream up, once the build that began it is known: at once, or when a
// peer has replied. Refuses it if no router knows.
void place_resumed_call(active_call& call);

// True if the call takes a stream up.
bool is_resumed(const active_call& call);

// True if the call's stream may be taken up if it breaks off.
bool is_resumable_stream(const active_call& call);

// Sends the call to the chosen target as its current attempt.
// Precondition: the target is usable and its pool is in the call's configuration.
void start_attempt(active_call& call, const target_state& target, const placement& choice);

// True if the response is a stream that its target has not completed, although the framing says
// that it is complete: it stops within an event, or, without length and chunks, before its first.
// The close of the connection is no proof there: it also closes when the target dies.
// Precondition: the response is complete by its framing.
bool is_cut_stream(const target_attempt& attempt);

// Ends the current attempt: updates the target's load and, unless the result is ignored, its
// health and the pool's failure rate. Closes the connection unless the response is complete.
void end_attempt(active_call& call, call_result result);

// True if the call may be sent to another target now. The retry has then been taken from
// the pool's retry budget.
bool try_acquire_retry(active_call& call);

// Each logs and counts the end of the call and removes it from the active calls.
// end_with_refusal() and end_with_failure() also send the error response;
// end_with_aborted_response() closes the connection in mid-response. `call` stays valid
// until the current callback has returned.
void end_with_refusal(active_call& call, refusal reason, duration retry_after);
void end_with_failure(active_call& call, refusal reason);
void end_answered(active_call& call, int status);
void end_with_aborted_response(active_call& call, refusal reason);
// Ends a call that goes no further, and its current attempt, by whichever of these three is true.
void give_up(active_call& call, refusal reason, duration retry_after);
void end_after_disconnect(active_call& call);

// Refuses a request for which there is no active call yet.
void refuse_on_arrival(router_state& router, http_exchange& exchange, const call_request& request,
                       refusal reason, duration retry_after);

// True if enough live peers accept new calls.
bool peers_accept_calls(const router_state& router);

// How old what this router knows of the others may be, for logs.
duration fleet_view_age(const router_state& router, instant now);

// Ids of the parts of the call's prompt, for logs: hexadecimal, "-" if it has no prompt.
std::string parts_text(const call_request& request);

std::string hex_text(std::uint64_t value);

// Whole milliseconds, for logs.
std::string ms_text(duration time);

// The value with two decimals.
std::string decimal_text(double value);

// Seconds with two decimals, for Retry-After.
std::string seconds_text(duration time);

// The state is created on first use.
pool_state& pool_state_of(router_state& router, const pool_name& name);

// Records that the target broke the current attempt off. It may have crashed, and the call may be
// what crashed it.
void record_interrupted_call(active_call& call);

// Records that a target has completed the call.
void record_completed_call(const active_call& call);

// Computes the suspects anew. Withdraws calls that have become suspect from their targets, in a
// later loop iteration.
void update_crash_suspects(router_state& router);

// Calls update_crash_suspects() in the next loop iteration, once for all that is learned in this
// one.
void schedule_crash_update(router_state& router);

// Refuses the call if such calls crash targets, unless it is due as a trial. True if it was
// refused.
bool refuse_if_suspect(active_call& call);

// True if the call may be sent to another target, as far as crashes of targets are concerned.
bool may_retry_after_crashes(const active_call& call);

// Connecting to the target failed. It may have restarted, so it counts as cold from now on.
void handle_unreachable_target(router_state& router, const target_name& target);

}  // namespace peridot
