#!/usr/bin/env bash
# Kills one router under load, then all at once, then all but one. No call may run twice,
# no truncated response may pass for a complete one, and the fleet has to serve again
# after all routers have lost their state.
source "$(dirname "$0")/lib.sh"
start_fleet 4
"$BIN/peridot_load" --routers="$(caller_addresses 1 2 3 4)" --seconds=9 --per_second=80 >"$WORK/load.txt" &
load=$!
sleep 2
kill -KILL "${PIDS[router1]}"
sleep 1
start_router 1
wait_for "router 1" is_ready 1
for n in 1 2 3 4; do kill -KILL "${PIDS[router$n]}"; done
sleep 0.5
for n in 1 2 3 4; do start_router "$n"; done
for n in 1 2 3 4; do wait_for "router $n" is_ready "$n"; done
wait "$load" || fail "peridot_load failed: $(cat "$WORK/load.txt")"
cat "$WORK/load.txt"
[ "$(field wrong "$WORK/load.txt")" -eq 0 ] || fail "wrong responses"
[ "$(field whole "$WORK/load.txt")" -ge $(($(field calls "$WORK/load.txt") * 7 / 10)) ] || fail "fewer than 70 % of the calls got a complete response"
[ "$(ledger | grep -o 'repeated_ids=[0-9]*')" = repeated_ids=0 ] || fail "a call ran twice, or the ledger cannot be read: $(ledger)"
# The only router left serves all calls.
for n in 2 3 4; do kill -KILL "${PIDS[router$n]}"; done
"$BIN/peridot_load" --routers="$(caller_addresses 1)" --seconds=2 --per_second=60 >"$WORK/last.txt" || fail "peridot_load failed with the only router: $(cat "$WORK/last.txt")"
[ "$(field whole "$WORK/last.txt")" -eq "$(field calls "$WORK/last.txt")" ] || fail "the only router did not serve all calls"
echo passed
