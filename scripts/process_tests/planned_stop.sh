#!/usr/bin/env bash
# Restarts the routers one after the other under load. No call may be lost, and each
# process has to exit with status 0 within its grace period.
source "$(dirname "$0")/lib.sh"
start_fleet 3
"$BIN/peridot_load" --routers="$(caller_addresses 1 2 3)" --seconds=16 --per_second=80 >"$WORK/load.txt" &
load=$!
for n in 1 2 3; do
  sleep 0.5
  kill -TERM "${PIDS[router$n]}"
  sleep 0.2
  is_ready "$n" && fail "router $n still reports ready after SIGTERM"
  status=0
  wait "${PIDS[router$n]}" || status=$?
  [ "$status" -eq 0 ] || fail "router $n exited with $status"
  start_router "$n"
  wait_for "router $n" is_ready "$n"
done
wait "$load" || fail "peridot_load failed: $(cat "$WORK/load.txt")"
cat "$WORK/load.txt"
[ "$(field cut "$WORK/load.txt")" -eq 0 ] || fail "responses were truncated"
[ "$(field unanswered "$WORK/load.txt")" -eq 0 ] || fail "calls got no response"
[ "$(field lost_sends "$WORK/load.txt")" -eq 0 ] || fail "a connection closed without a response after the call was sent"
[ "$(ledger | grep -o 'repeated_ids=[0-9]*')" = repeated_ids=0 ] || fail "a call ran twice, or the ledger cannot be read: $(ledger)"
echo passed
