#!/usr/bin/env bash
# Three routers serve every kind of call; invalid requests get the right HTTP status.
source "$(dirname "$0")/lib.sh"
start_fleet 3
"$BIN/peridot_load" --routers="$(caller_addresses 1 2 3)" --seconds=4 --per_second=90 >"$WORK/load.txt" || fail "peridot_load failed: $(cat "$WORK/load.txt")"
cat "$WORK/load.txt"
[ "$(field whole "$WORK/load.txt")" -eq "$(field calls "$WORK/load.txt")" ] || fail "not all calls got a complete response"
[ "$(ledger | grep -o 'repeated_ids=[0-9]*')" = repeated_ids=0 ] || fail "a call ran twice, or the ledger cannot be read: $(ledger)"

url=http://127.0.0.1:18001
[ "$(http_status -H 'Host: app.example' -H 'X-Peridotspur-Attempt-Id: a1' "$url/nowhere/")" = 404 ] || fail "unknown route: status is not 404"
[ "$(http_status -H 'Host: app.example' -H 'Api-Key: wrong' "$url/chat/1")" = 401 ] || fail "unknown API key: status is not 401"
[ "$(http_status -H 'Host: app.example' -H 'X-Peridotspur-Deadline-Ms: soon' "$url/book/1")" = 400 ] || fail "invalid deadline header: status is not 400"
exec 3<>/dev/tcp/127.0.0.1/18001
printf 'POST /book/1 HTTP/1.1\r\nHost: app.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n' >&3
head -1 <&3 | grep -q ' 400 ' || fail "Content-Length with Transfer-Encoding: status is not 400"
exec 3>&-
[ "$(http_status -H 'Host: app.example' -H "X-Long: $(head -c 20000 /dev/zero | tr '\0' x)" "$url/book/1")" = 431 ] || fail "header over the limit: status is not 431"

# A new configuration version takes effect within 2 s. An older version or an unreadable
# document never replaces it.
put_store_item op/config "$(curl -sf http://127.0.0.1:19000/v1/kv-range?path_prefix=op/config | python3 -c '
import base64, json, sys
document = json.loads(base64.b64decode(json.load(sys.stdin)["items"][0]["value"]))
document["version"] = 5
document["routes"][1]["path_prefix"] = "/reserve/"
print(json.dumps(document))')"
sleep 2
for n in 1 2 3; do
  [ "$(http_status -X POST -H 'Host: app.example' -H "X-Peridotspur-Attempt-Id: r$n" "http://127.0.0.1:$((18000 + n))/reserve/1")" = 200 ] || fail "router $n does not serve the new route"
  [ "$(http_status -X POST -H 'Host: app.example' -H "X-Peridotspur-Attempt-Id: o$n" "http://127.0.0.1:$((18000 + n))/book/1")" = 404 ] || fail "router $n still serves the removed route"
done
put_store_item op/config '{"version":3,"routes":[],"services":[]}'
put_store_item op/config 'not a document'
sleep 1
[ "$(http_status -X POST -H 'Host: app.example' -H 'X-Peridotspur-Attempt-Id: n1' "$url/reserve/1")" = 200 ] || fail "an older version or an unreadable document took effect"
shows '^router=router-1' curl -sf http://127.0.0.1:18201/status || fail "status page does not list the router"
shows '^peridot_config_version 5' curl -sf http://127.0.0.1:18201/metrics || fail "metrics page does not show configuration version 5"
echo passed
