#!/usr/bin/env bash
# All targets turn calls away and say how long: each router sends each of them at most two calls
# within that time, and callers are refused at once and told when to come back.
source "$(dirname "$0")/lib.sh"
start_fleet 3
admin=http://127.0.0.1:19000/admin
addresses=$(caller_addresses 1 2 3)
sleep 2
"$BIN/peridot_load" --routers="$addresses" --seconds=2 --per_second=60 >"$WORK/before.txt" || fail "calls fail before the test"
begun=$SECONDS
for header in says\?id=all\&header=Retry-After\&value=15 target\?id=all\&mode=shed; do curl -sf -o /dev/null -X POST "$admin/$header"; done
"$BIN/peridot_load" --routers="$addresses" --seconds=1 --per_second=200 >"$WORK/first.txt" || true  # each target says so
# sent_by ROUTER TARGET: the calls that the router has sent to the target, by its log.
sent_by() {
  grep -c "Call sent.* target=$2 " "$WORK/router$1.log" || true
}
declare -A sent=()
for n in 1 2 3; do for target in i-1 i-2 i-3 i-4 i-5 i-6; do sent[$n$target]=$(sent_by "$n" "$target"); done; done
"$BIN/peridot_load" --routers="$addresses" --seconds=1 --per_second=400 >"$WORK/load.txt" || true
for n in 1 2 3; do
  for target in i-1 i-2 i-3 i-4 i-5 i-6; do
    calls=$(($(sent_by "$n" "$target") - sent[$n$target]))
    [ "$calls" -le 2 ] || fail "router $n sent $target $calls calls while it wanted none"
  done
done
head -1 "$WORK/load.txt"
# All targets have said so in the first second; the time ends 15 s after that.
[ $((SECONDS - begun)) -lt 15 ] || fail "the load took so long that the time has ended: the test shows nothing"
curl -sf "$admin/arrivals?window_ms=3000&after_ms=2500" >"$WORK/arrivals.txt"
cat "$WORK/arrivals.txt"
# Two for each of three routers.
while read -r target most calls; do
  [ "${calls#calls=}" -le 6 ] || fail "$target got ${calls#calls=} calls while it wanted none"
done <"$WORK/arrivals.txt"
# A caller that comes back in the meantime is told when to come back, and all end once targets serve.
curl -s -o /dev/null -D "$WORK/head.txt" -X POST -H "Host: app.example" -H "X-Peridotspur-Attempt-Id: told" "http://127.0.0.1:18001/book/1"
grep -i '^retry-after:' "$WORK/head.txt" || fail "a refused caller is not told when to come back"
curl -sf -o /dev/null -X POST "$admin/target?id=all&mode=ok"
curl -sf -o /dev/null -X POST "$admin/says?id=all&header=Retry-After&value="
sleep $((begun + 17 - SECONDS))
"$BIN/peridot_load" --routers="$addresses" --seconds=2 --per_second=60 >"$WORK/after.txt" || true
[ "$(field whole "$WORK/after.txt")" -eq "$(field calls "$WORK/after.txt")" ] || fail "targets get no calls after that time"
echo passed
