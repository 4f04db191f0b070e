#!/usr/bin/env bash
# Streams of two builds break off now and then, and callers take them up at other routers of a fleet
# of ROUTERS (default 24), whose connections to each other are not open yet: streams go on, at the
# build that began them. KILL=1: one router is killed meanwhile.
source "$(dirname "$0")/lib.sh"
routers=${ROUTERS:-24}
seconds=${SECONDS_OF_LOAD:-25}
start_fleet_of_two_builds "$routers"
"$BIN/peridot_load" --routers="$(caller_addresses $(seq "$routers"))" --resume --seconds="$seconds" \
  --per_second="${PER_SECOND:-15}" >"$WORK/load.txt" &
load=$!
if [ "${KILL:-0}" = 1 ]; then
  sleep $((seconds / 2))
  kill -KILL "${PIDS[router5]}"
  wait "${PIDS[router5]}" 2>/dev/null || true
fi
wait "$load" || true
head -1 "$WORK/load.txt"
echo "sources: $(cat "$WORK"/router*.log | grep -o 'Stream is taken up.*' | grep -o 'source=[a-z ]*' | sort | uniq -c | tr '\n' ';')"
not_sent=0
for n in $(seq "$routers"); do
  count=$(curl -sf "http://127.0.0.1:$((18200 + n))/metrics" | grep '^peridot_peer_messages_not_sent_total ' | cut -d' ' -f2 || true)
  not_sent=$((not_sent + ${count%.*} + 0))
done
echo "messages not sent: $not_sent"
[ "$(field mixed "$WORK/load.txt")" -eq 0 ] || fail "streams hold events of two builds"
[ "$(field wrong "$WORK/load.txt")" -eq 0 ] || fail "a response was wrong"
resumed=$(field resumed "$WORK/load.txt")
[ "$resumed" -ge 30 ] || fail "only $resumed streams were taken up: the test shows nothing"
# At least 95 of 100 go on; 90 while a router is killed.
lost_percent=$([ "${KILL:-0}" = 1 ] && echo 10 || echo 5)
[ $((100 * $(field unresumed "$WORK/load.txt"))) -le $((lost_percent * resumed)) ] || fail "too many streams that were taken up did not go on"
echo passed
