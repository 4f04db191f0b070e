#!/usr/bin/env bash
# Routers are replaced one after the other under load: no call is lost, each process
# exits with 0 within its grace.
source "$(dirname "$0")/lib.sh"
start_fleet 3
"$BIN/peridot_load" --routers="$(callers_of 1 2 3)" --seconds=16 --per_second=80 >"$WORK/load.txt" &
load=$!
for n in 1 2 3; do
  sleep 0.5
  kill -TERM "${PIDS[router$n]}"
  sleep 0.2
  is_ready "$n" && fail "router $n still says that it is ready"
  status=0
  wait "${PIDS[router$n]}" || status=$?
  [ "$status" -eq 0 ] || fail "router $n exited with $status"
  start_router "$n"
  wait_for "router $n" is_ready "$n"
done
wait "$load" || fail "load: $(cat "$WORK/load.txt")"
cat "$WORK/load.txt"
[ "$(field cut "$WORK/load.txt")" -eq 0 ] || fail "answers were cut"
[ "$(field unanswered "$WORK/load.txt")" -eq 0 ] || fail "calls were lost"
[ "$(field lost_sends "$WORK/load.txt")" -eq 0 ] || fail "a call that was read got no answer"
[ "$(ledger | grep -o 'repeated_ids=[0-9]*')" = repeated_ids=0 ] || fail "ledger: $(ledger)"
echo passed
