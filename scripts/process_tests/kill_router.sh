#!/usr/bin/env bash
# Routers are killed, one after the other and all at once, under load: no call runs
# twice, no cut answer is taken for whole, and an empty fleet serves again.
source "$(dirname "$0")/lib.sh"
start_fleet 4
"$BIN/peridot_load" --routers="$(callers_of 1 2 3 4)" --seconds=9 --per_second=80 >"$WORK/load.txt" &
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
wait "$load" || fail "load: $(cat "$WORK/load.txt")"
cat "$WORK/load.txt"
[ "$(field wrong "$WORK/load.txt")" -eq 0 ] || fail "wrong answers"
[ "$(field whole "$WORK/load.txt")" -ge $(($(field calls "$WORK/load.txt") * 7 / 10)) ] || fail "too few answers"
[ "$(ledger | grep -o 'repeated_ids=[0-9]*')" = repeated_ids=0 ] || fail "ledger: $(ledger)"
# The last router alive serves alone.
for n in 2 3 4; do kill -KILL "${PIDS[router$n]}"; done
"$BIN/peridot_load" --routers="$(callers_of 1)" --seconds=2 --per_second=60 >"$WORK/last.txt" || fail "last router: $(cat "$WORK/last.txt")"
[ "$(field whole "$WORK/last.txt")" -eq "$(field calls "$WORK/last.txt")" ] || fail "the last router alone did not serve all"
echo passed
