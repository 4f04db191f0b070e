#!/usr/bin/env bash
# The store does not respond, then refuses calls, then resets connections. Calls are
# served meanwhile, but none is sent to a draining target or an evacuated failure domain.
# Once the store responds again, the routers read that the evacuation has ended.
source "$(dirname "$0")/lib.sh"
start_fleet 3
admin=http://127.0.0.1:19000/admin
put_store_item servers/i-1 '{"service":"engines","address":"127.0.0.1:19100","zone":"zone-a","version":"v1","slots":64,"state":"draining","cold_left_ms":0,"call_seq":2}'
put_store_item op/evacuate/zone-b '{}'
sleep 2
for mode in silent busy reset; do
  curl -sf -o /dev/null -X POST "$admin/store?mode=$mode"
  "$BIN/peridot_load" --routers="$(caller_addresses 1 2 3)" --seconds=2 --per_second=60 >"$WORK/load-$mode.txt" || fail "$mode: peridot_load failed: $(cat "$WORK/load-$mode.txt")"
  [ "$(field whole "$WORK/load-$mode.txt")" -eq "$(field calls "$WORK/load-$mode.txt")" ] || fail "$mode: not all calls got a complete response: $(cat "$WORK/load-$mode.txt")"
done
# A router that starts during the outage gets configuration and targets from its peers.
start_router 4
wait_for "router 4" is_ready 4
wait_for "store items from a peer" grep -q 'Items from a peer' "$WORK/router4.log"
"$BIN/peridot_load" --routers="$(caller_addresses 4)" --seconds=2 --per_second=60 >"$WORK/load-4.txt" || fail "router 4: peridot_load failed: $(cat "$WORK/load-4.txt")"
for n in 1 2 3 4; do
  ! grep 'Call sent' "$WORK/router$n.log" | grep -E 'target=i-(1|2|5) ' || fail "router $n sent to a draining or evacuated target"
  grep -q 'Store lost\|Call to the store failed' "$WORK/router$n.log" || fail "router $n did not log the loss of the store"
done
curl -sf -o /dev/null -X POST "$admin/store?mode=ok"
curl -sf -o /dev/null -X DELETE "$admin/item?key=op/evacuate/zone-b"
sleep 2.5
for n in 1 2 3; do
  grep -q 'Store reached again' "$WORK/router$n.log" || fail "router $n did not reach the store again"
  shows '^evacuated' curl -sf "http://127.0.0.1:$((18200 + n))/status" && fail "router $n still reports the evacuation"
done
echo passed
