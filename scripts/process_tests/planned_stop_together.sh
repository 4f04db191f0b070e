#!/usr/bin/env bash
# Stops three of five routers at the same moment under load, on connections that stay in use. Settings
# with another grace are reloaded meanwhile. No call may be lost, and each process has to exit with
# status 0 within the grace that was in force at the signal.
source "$(dirname "$0")/lib.sh"
start_fleet 5
"$BIN/peridot_load" --routers="$(caller_addresses 1 2 3 4 5)" --seconds=12 --per_second=150 >"$WORK/load.txt" &
load=$!
sleep 2
stopped_at=$(date +%s)
for n in 1 2 3; do kill -TERM "${PIDS[router$n]}"; done
sleep 0.5
for n in 1 2 3; do
  STOP_GRACE_MS=60000 write_settings "$n"
  kill -HUP "${PIDS[router$n]}"
done
for n in 1 2 3; do
  status=0
  wait "${PIDS[router$n]}" || status=$?
  [ "$status" -eq 0 ] || fail "router $n exited with $status"
done
[ $(($(date +%s) - stopped_at)) -le 8 ] || fail "the routers took longer than their grace"
for n in 1 2 3; do start_router "$n"; done
wait "$load" || fail "peridot_load failed: $(cat "$WORK/load.txt")"
cat "$WORK/load.txt"
[ "$(field cut "$WORK/load.txt")" -eq 0 ] || fail "responses were truncated"
[ "$(field unanswered "$WORK/load.txt")" -eq 0 ] || fail "calls got no response"
[ "$(field lost_sends "$WORK/load.txt")" -eq 0 ] || fail "a connection closed without a response after the call was sent"
[ "$(ledger | grep -o 'repeated_ids=[0-9]*')" = repeated_ids=0 ] || fail "a call ran twice, or the ledger cannot be read: $(ledger)"
echo passed
