#!/usr/bin/env bash
# The store turns three of nine routers away while a server of a new software version starts and
# crashes: at which version do its streams go on? See claim.txt.
source "$(dirname "$0")/../lib/lib.sh"
STANDIN_TARGETS="--engines=0 --plain_targets=0"
ROUTER_COUNT=9
CLIENTS=240
TURNED_AWAY="7 8 9"  # routers, one in each zone
SILENT_S=5
CRASH_AFTER_S=0.4
STREAM_AGE_S=8       # longer than streams run: timeout_ms of the route and some margin
MAX_MIXED=2

start_platform
for n in $TURNED_AWAY; do start_store_path "$n"; done
for n in 1 2 3; do start_server "$n" "s-$n" engines 64 20 v1; done
start_routers
for n in $(seq $ROUTER_COUNT); do wait_ready "$n"; done
sleep $STREAM_AGE_S
"$REPO_DIR/build-review/stream_client" "$(caller_addresses)" $CLIENTS $((5 + SILENT_S)) \
  "$WORK/streams.txt" &
PIDS[clients]=$!
sleep 4

if [ "$TROUBLE" != 0 ]; then
  for n in $TURNED_AWAY; do kill -STOP "${PIDS[path$n]}"; done
  note "the store is silent for routers $TURNED_AWAY"
fi
start_server 4 s-4 engines 64 20 v2
note "a server of version v2 starts"
if [ "$TROUBLE" != 0 ]; then
  sleep $CRASH_AFTER_S
  kill -KILL "${PIDS[server4]}"
  note "the server of version v2 crashes"
  sleep $SILENT_S
  remove_item servers/s-4
  for n in $TURNED_AWAY; do kill -CONT "${PIDS[path$n]}"; done
  note "the store answers all routers again"
fi
wait_for clients

note "streams: $(awk '{ ++count[$1] } END { for (what in count) printf "%s=%d; ", what, count[what] }' "$WORK/streams.txt")"
mixed=$(grep -c '^mixed' "$WORK/streams.txt" || true)
grep '^mixed' "$WORK/streams.txt" | head -3 >"$WORK/mixed.txt" || true
while read -r line; do note "$line"; done <"$WORK/mixed.txt"
if [ "$mixed" -gt $MAX_MIXED ]; then
  note "ORDER broken: $mixed streams hold events of two versions"
  VERDICT=broken
  exit 1
fi
note "held: $mixed streams hold events of two versions"
