#!/usr/bin/env bash
# One part of prompts crashes each engine that begins to answer it; the engine is back after 2 s. Calls
# with it, no two alike, come at all routers beside sound ones. The fleet stops sending them, sound
# calls go on, and a router that restarts learns of the crashes from its peers.
source "$(dirname "$0")/lib.sh"
start_platform --engines=6
for n in 1 2 3; do start_router "$n"; done
for n in 1 2 3; do wait_for "router $n" is_ready "$n"; done
admin=http://127.0.0.1:19000/admin
crashes() { curl -sf "$admin/crashes" | grep -o '[0-9]*'; }
# bad_call N ROUTER: sends the Nth call with the part, and prints its status.
bad_call() {
  http_status -X POST --data "call $1" -H 'Host: app.example' -H 'Api-Key: key-2' -H "X-Peridotspur-Attempt-Id: bad$1" \
    -H 'X-Peridotspur-Model: m' -H 'X-Peridotspur-Token-Counts: 600,40' -H 'X-Peridotspur-Deadline-Ms: 4000' \
    -H "X-Peridotspur-Prompt-Prefix: 11:200,bad1:300,$((7000 + $1)):100" "http://127.0.0.1:$((18000 + $2))/chat/x" || true
}
curl -sf -o /dev/null -X POST "$admin/crash?part=bad1"
"$BIN/peridot_load" --routers="$(caller_addresses 1 2 3)" --seconds=14 --per_second=28 >"$WORK/load.txt" &
load=$!
sleep 2
for call in $(seq 30); do
  bad_call "$call" $((call % 3 + 1)) >>"$WORK/bad.txt" &
  PIDS[bad$call]=$!
  sleep 0.33
done
crashed=$(crashes)
for call in $(seq 101 106); do
  status=$(bad_call "$call" $((call % 3 + 1)))
  [ "$status" = 503 ] || fail "a call with the part got $status after $crashed crashes"
done
kill -KILL "${PIDS[router2]}"
start_router 2
wait_for "router 2" is_ready 2
sleep 1
status=$(bad_call 107 2)
[ "$status" = 503 ] || fail "the restarted router answered $status: it has not learned of the crashes"
wait "$load" || true
cat "$WORK/load.txt"
echo "crashes=$(crashes)"
[ "$crashed" -ge 3 ] || fail "only $crashed engines crashed: the test shows nothing"
[ "$crashed" -le 8 ] || fail "$crashed engines crashed, more than three after the fifth"
[ "$(crashes)" -eq "$crashed" ] || fail "engines crashed after the part was refused"
[ "$(field wrong "$WORK/load.txt")" -eq 0 ] || fail "wrong responses"
[ "$(field whole "$WORK/load.txt")" -ge $(($(field calls "$WORK/load.txt") * 9 / 10)) ] || fail "fewer than 90 % of the sound calls got a complete response"
for n in 1 3; do
  shows '^peridot_suspects 1$' curl -sf "http://127.0.0.1:$((18200 + n))/metrics" || fail "router $n does not show one suspect"
done
echo passed
