#!/usr/bin/env bash
# Callers take streams that broke off up again at other routers, one of which is killed: each stream
# goes on at a target of the build that began it, or is refused.
source "$(dirname "$0")/lib.sh"
routers=5
start_fleet_of_two_builds "$routers"
"$BIN/peridot_load" --routers="$(caller_addresses $(seq "$routers"))" --resume --seconds=12 --per_second=150 >"$WORK/load.txt" &
load=$!
for round in 1 2; do
  sleep 4
  kill_and_restart_router "$round"
done
wait "$load" || true
head -1 "$WORK/load.txt"
[ "$(field mixed "$WORK/load.txt")" -eq 0 ] || fail "streams hold events of two builds"
[ "$(field wrong "$WORK/load.txt")" -eq 0 ] || fail "a response was wrong"
resumed=$(field resumed "$WORK/load.txt")
[ "$resumed" -ge 50 ] || fail "only $resumed streams were taken up: the test shows nothing"
[ "$(field unresumed "$WORK/load.txt")" -le $((resumed / 5)) ] || fail "too many streams that were taken up did not go on"
echo passed
