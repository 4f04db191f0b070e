#!/usr/bin/env bash
# While the store is silent, targets say only in their responses that they leave: no router sends
# them calls later than the platform allows.
source "$(dirname "$0")/lib.sh"
start_fleet 3
admin=http://127.0.0.1:19000/admin
addresses=$(caller_addresses 1 2 3)
sleep 2
curl -sf -o /dev/null -X POST "$admin/store?mode=silent"
"$BIN/peridot_load" --routers="$addresses" --seconds=10 --per_second=120 >"$WORK/load.txt" &
load=$!
sleep 2
for target in i-1 i-4; do curl -sf -o /dev/null -X POST "$admin/says?id=$target&header=Server-Leaving&value=1"; done
wait "$load" || true
head -1 "$WORK/load.txt"
curl -sf "$admin/arrivals?window_ms=1000&after_ms=2000" | grep -E 'target=i-[14] ' >"$WORK/arrivals.txt"
cat "$WORK/arrivals.txt"
[ "$(grep -c 'calls=0$' "$WORK/arrivals.txt")" -eq 2 ] || fail "calls reached a target later than 2 s after it said that it leaves"
[ "$(field whole "$WORK/load.txt")" -eq "$(field calls "$WORK/load.txt")" ] || fail "calls were lost though other targets serve"
echo passed
