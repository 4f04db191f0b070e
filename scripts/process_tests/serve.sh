#!/usr/bin/env bash
# Three routers serve every kind of call; bad requests get clear errors.
source "$(dirname "$0")/lib.sh"
start_fleet 3
"$BIN/peridot_load" --routers="$(callers_of 1 2 3)" --seconds=4 --per_second=90 >"$WORK/load.txt" || fail "load: $(cat "$WORK/load.txt")"
cat "$WORK/load.txt"
[ "$(field whole "$WORK/load.txt")" -eq "$(field calls "$WORK/load.txt")" ] || fail "not all calls were answered"
[ "$(ledger | grep -o 'repeated_ids=[0-9]*')" = repeated_ids=0 ] || fail "ledger: $(ledger)"

url=http://127.0.0.1:18001
[ "$(status_of -H 'Host: app.example' -H 'X-Peridotspur-Attempt-Id: a1' "$url/nowhere/")" = 404 ] || fail "unknown route"
[ "$(status_of -H 'Host: app.example' -H 'Api-Key: wrong' "$url/chat/1")" = 401 ] || fail "unknown key"
[ "$(status_of -H 'Host: app.example' -H 'X-Peridotspur-Deadline-Ms: soon' "$url/book/1")" = 400 ] || fail "bad deadline"
exec 3<>/dev/tcp/127.0.0.1/18001
printf 'POST /book/1 HTTP/1.1\r\nHost: app.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n' >&3
head -1 <&3 | grep -q ' 400 ' || fail "two lengths"
exec 3>&-
[ "$(status_of -H 'Host: app.example' -H "X-Long: $(head -c 20000 /dev/zero | tr '\0' x)" "$url/book/1")" = 431 ] || fail "long header"

# A new version is in force within 2 s, and an older one never again.
set_item op/config "$(curl -sf http://127.0.0.1:19000/v1/kv-range?path_prefix=op/config | python3 -c '
import base64, json, sys
document = json.loads(base64.b64decode(json.load(sys.stdin)["items"][0]["value"]))
document["version"] = 5
document["routes"][1]["path_prefix"] = "/reserve/"
print(json.dumps(document))')"
sleep 2
for n in 1 2 3; do
  [ "$(status_of -X POST -H 'Host: app.example' -H "X-Peridotspur-Attempt-Id: r$n" "http://127.0.0.1:$((18000 + n))/reserve/1")" = 200 ] || fail "new route on router $n"
  [ "$(status_of -X POST -H 'Host: app.example' -H "X-Peridotspur-Attempt-Id: o$n" "http://127.0.0.1:$((18000 + n))/book/1")" = 404 ] || fail "dropped route on router $n"
done
set_item op/config '{"version":3,"routes":[],"services":[]}'
set_item op/config 'not a document'
sleep 1
[ "$(status_of -X POST -H 'Host: app.example' -H 'X-Peridotspur-Attempt-Id: n1' "$url/reserve/1")" = 200 ] || fail "an older version came into force"
curl -sf http://127.0.0.1:18201/status | grep -q '^router=router-1' || fail "status page"
curl -sf http://127.0.0.1:18201/metrics | grep -q '^peridot_config_version 5' || fail "metrics page"
echo passed
