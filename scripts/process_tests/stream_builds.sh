#!/usr/bin/env bash
# Targets of two builds break their streams off: within one answer, each stream goes on at a target
# of the build that began it.
source "$(dirname "$0")/lib.sh"
start_platform --engines=8
for n in 1 2 3; do start_router "$n"; done
for n in 1 2 3; do wait_for "router $n" is_ready "$n"; done
admin=http://127.0.0.1:19000/admin
for n in 2 4 6 8; do curl -sf -o /dev/null -X POST "$admin/build?id=i-$n&build=v2"; done
curl -sf -o /dev/null -X POST "$admin/target?id=all&mode=flaky"
sleep 3  # the routers know each other and the builds
"$BIN/peridot_load" --routers="$(caller_addresses 1 2 3)" --seconds=8 --per_second=150 >"$WORK/load.txt" || true
head -1 "$WORK/load.txt"
[ "$(field mixed "$WORK/load.txt")" -eq 0 ] || fail "streams hold events of two builds"
[ "$(field wrong "$WORK/load.txt")" -eq 0 ] || fail "a response was wrong"
# Half of the streams break off; with a second send most of them go on.
[ "$(field whole "$WORK/load.txt")" -ge $(($(field calls "$WORK/load.txt") * 7 / 10)) ] || fail "too few streams went on"
echo passed
