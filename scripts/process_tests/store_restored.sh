#!/usr/bin/env bash
# The store comes back from an older copy and gives revisions out again. What the routers know
# and the copy lacks stays in force: a newer configuration, a draining target, a removed one, an
# evacuation. What is written again takes effect, although its revisions are lower.
source "$(dirname "$0")/lib.sh"
admin=http://127.0.0.1:19000/admin
entry() {
  echo '{"service":"'"$2"'","address":"127.0.0.1:'"$((19099 + $1))"'","zone":"'"$3"'","version":"v1","slots":64,"state":"'"$4"'","cold_left_ms":0,"call_seq":1,"born":1700000000000}'
}
# config VERSION PREFIX: the sample configuration with another version and path of bookings.
config() {
  curl -sf "http://127.0.0.1:19000/v1/kv-range?path_prefix=op/config" | python3 -c '
import base64, json, sys
document = json.loads(base64.b64decode(json.load(sys.stdin)["items"][0]["value"]))
document["version"] = int(sys.argv[1])
document["routes"][1]["path_prefix"] = sys.argv[2]
print(json.dumps(document))' "$1" "$2"
}
booking_status() {
  http_status -X POST -H 'Host: app.example' -H "X-Peridotspur-Attempt-Id: $2-$1" "http://127.0.0.1:$((18000 + $1))/$2/1"
}
# load NAME: two seconds of engine and plain calls through all routers.
load() {
  "$BIN/peridot_load" --routers="$(caller_addresses 1 2 3)" --seconds=2 --per_second=60 >"$WORK/load-$1.txt" || true
}
sent_to() {
  cat "$WORK"/router*.log | grep 'Call sent' | grep -c "target=$1 " || true
}

start_fleet 3
for n in 1 2 3; do put_store_item "servers/i-$n" "$(entry "$n" engines zone-a ready)"; done
put_store_item servers/i-4 "$(entry 4 bookings zone-a ready)"
put_store_item servers/i-5 "$(entry 5 bookings zone-b ready)"
sleep 1
curl -sf -o /dev/null -X POST "$admin/copy"

# After the copy: i-1 drains, i-2 is gone, zone-b is evacuated, version 5 moves the bookings.
put_store_item servers/i-1 "$(entry 1 engines zone-a draining)"
curl -sf -o /dev/null -X DELETE "$admin/item?key=servers/i-2"
put_store_item op/evacuate/zone-b '{}'
put_store_item op/config "$(config 5 /reserve/)"
sleep 2
for n in 1 2 3; do
  [ "$(booking_status $n reserve)" = 200 ] || fail "router $n does not serve version 5"
done
declare -A sent=()
for target in i-1 i-2 i-5; do sent[$target]=$(sent_to $target); done

curl -sf -o /dev/null -X POST "$admin/restore"
sleep 1
load restored
for target in i-1 i-2 i-5; do
  [ "$(sent_to $target)" -eq "${sent[$target]}" ] || fail "calls were sent to $target, which the older copy shows as usable"
done
for n in 1 2 3; do
  [ "$(booking_status $n reserve)" = 200 ] || fail "router $n went back to the older configuration"
done

# Written again, at revisions below those that the routers know.
put_store_item op/config "$(config 6 /order/)"
put_store_item servers/i-2 "$(entry 2 engines zone-a ready | sed 's/"born":1700000000000/"born":1700000009000/')"
put_store_item op/evacuate/zone-b '{}'
put_store_item servers/i-3 "$(entry 3 engines zone-a draining)"  # leaves i-2 as the only engine
sleep 2
for n in 1 2 3; do
  [ "$(booking_status $n order)" = 200 ] || fail "router $n does not serve version 6, which was written after the store was restored"
done
load again
[ "$(sent_to i-2)" -gt "${sent[i-2]}" ] || fail "no call was sent to i-2, which registered again"
[ "$(sent_to i-5)" -eq "${sent[i-5]}" ] || fail "calls were sent to the evacuated failure domain"
curl -sf -o /dev/null -X DELETE "$admin/item?key=op/evacuate/zone-b"
sleep 2
for n in 1 2 3; do
  grep -q 'Store restored from an older copy' "$WORK/router$n.log" || fail "router $n did not log that the store was restored"
  ! shows '^evacuated' curl -sf "http://127.0.0.1:$((18200 + n))/status" || fail "router $n still reports the evacuation"
done
echo passed
