#!/usr/bin/env bash
# All targets run one build, so that routers tell each other of no stream. Callers take streams up at
# routers that have just started too: these learn from others that there is one build only.
source "$(dirname "$0")/lib.sh"
start_fleet 3
sleep 7  # longer than the route's streams run
curl -sf -o /dev/null -X POST "http://127.0.0.1:19000/admin/target?id=all&mode=flaky"
"$BIN/peridot_load" --routers="$(caller_addresses 1 2 3)" --resume --seconds=6 --per_second=150 >"$WORK/load.txt" &
load=$!
for round in 1 2; do
  sleep 2
  kill_and_restart_router "$round"
done
wait "$load" || true
head -1 "$WORK/load.txt"
[ "$(field wrong "$WORK/load.txt")" -eq 0 ] || fail "a response was wrong"
[ "$(field resumed "$WORK/load.txt")" -ge 50 ] || fail "too few streams were taken up: the test shows nothing"
grep -hq 'source=only build by a peer' "$WORK"/router*.log || fail "no router that had just started took a stream up: the test shows nothing"
unknown=$(cat "$WORK"/router*.log | grep -c 'Stream is taken up.*build=unknown' || true)
[ "$unknown" -le 5 ] || fail "$unknown streams were refused although there is one build only"
echo passed
