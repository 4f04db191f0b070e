#!/usr/bin/env bash
# More routers than the calls per second that each target takes: the targets' limits hold over the
# whole fleet, are used, and callers beyond them are refused at once. One router restarts meanwhile.
source "$(dirname "$0")/lib.sh"
routers=7
engines=8
limit=3          # calls per second, as each engine names it
allowed=23       # in 4 s: one and a half times the limit, and 5
load_seconds=14
start_platform --engines="$engines"
for n in $(seq "$routers"); do start_router "$n"; done
for n in $(seq "$routers"); do wait_for "router $n" is_ready "$n"; done
admin=http://127.0.0.1:19000/admin
addresses=$(caller_addresses $(seq "$routers"))
sleep 2.5  # the routers know each other

for n in $(seq "$engines"); do curl -sf -o /dev/null -X POST "$admin/says?id=i-$n&header=Server-Limit&value=$limit"; done
"$BIN/peridot_load" --routers="$addresses" --seconds="$load_seconds" --per_second=200 >"$WORK/load.txt" &
load=$!
sleep 5
kill_and_restart_router "$routers"
wait "$load" || true
cat "$WORK/load.txt" | grep -v '^unanswered:'
[ "$(field wrong "$WORK/load.txt")" -eq 0 ] || fail "a response was wrong"

curl -sf "$admin/arrivals?window_ms=4000&after_ms=3000" | head -n "$engines" >"$WORK/arrivals.txt"
cat "$WORK/arrivals.txt"
used=0
while read -r target most calls; do
  [ "${most#most=}" -le "$allowed" ] || fail "$target got ${most#most=} calls in 4 s, $allowed are allowed"
  used=$((used + ${calls#calls=}))
done <"$WORK/arrivals.txt"
# Three quarters of what the limits allow in the seconds that are counted.
[ "$used" -ge $((engines * limit * (load_seconds - 3) * 3 / 4)) ] || fail "only $used calls reached engines: the limits are not used"

# A limit ends with the first responses that omit it.
curl -sf -o /dev/null -X POST "$admin/says?id=all&header=Server-Limit&value="
sleep 1
"$BIN/peridot_load" --routers="$addresses" --seconds=4 --per_second=90 >"$WORK/free.txt" || true
head -1 "$WORK/free.txt"
[ "$(field whole "$WORK/free.txt")" -ge $(($(field calls "$WORK/free.txt") * 8 / 10)) ] || fail "calls are still refused after the limits have ended"
echo passed
