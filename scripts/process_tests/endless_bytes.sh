#!/usr/bin/env bash
# Targets send without end, or do not read, at many calls at once. The router stays within the memory
# of the platform's smallest machines and serves the calls to sound targets meanwhile.
source "$(dirname "$0")/lib.sh"
max_memory_mb=88  # of the smallest machine
targets=4
calls=320
uploads=6  # what the router holds of bodies at once

# The sample configuration with two routes to a pool of its own.
config_with_faulty_pool() {
  curl -sf "http://127.0.0.1:19000/v1/kv-range?path_prefix=op/config" | python3 -c '
import base64, json, sys
document = json.loads(base64.b64decode(json.load(sys.stdin)["items"][0]["value"]))
document["version"] = 9
booking = document["routes"][1]
service = next(each for each in document["services"] if each["name"] == booking["service"])
document["services"].append(dict(service, name="faulty", max_conns=1000))
for path, kind in (("/faulty/", "non_idempotent"), ("/stream/", "streaming")):
    document["routes"].append(dict(booking, name=kind, path_prefix=path, kind=kind, service="faulty"))
print(json.dumps(document))'
}

peak_memory_mb() {
  awk '/^VmHWM:/ {print int($2 / 1024)}' "/proc/${PIDS[router1]}/status"
}

start_platform
put_store_item op/config "$(config_with_faulty_pool)"
port=21000
for mode in body head event held slow upload; do
  for n in $(seq 0 $((targets - 1))); do
    put_store_item "servers/i-endless-$n" '{"service":"faulty","address":"127.0.0.1:'$((port + n))'","zone":"zone-a","version":"v1","slots":400,"state":"ready","cold_left_ms":0,"call_seq":1,"born":'$((1700000000000 + port))'}'
  done
  start_router 1
  wait_for "router 1" is_ready 1
  sleep 0.3
  "$BIN/peridot_load" --routers="$(caller_addresses 1)" --seconds=5 --per_second=20 >"$WORK/load-$mode.txt" &
  load=$!
  count=$calls
  [ "$mode" != upload ] || count=$uploads
  python3 "$(dirname "$0")/endless_targets.py" "$mode" 18001 "$port" "$targets" "$count" >"$WORK/ends-$mode.txt"
  wait "$load" || fail "$mode: calls to sound targets failed: $(cat "$WORK/load-$mode.txt")"
  kill -0 "${PIDS[router1]}" 2>/dev/null || fail "$mode: the router ended"
  echo "$mode: peak $(peak_memory_mb) MB; $(tr '\n' ' ' <"$WORK/ends-$mode.txt")"
  [ "$(peak_memory_mb)" -lt "$max_memory_mb" ] || fail "$mode: the router needed $(peak_memory_mb) MB, more than $max_memory_mb"
  [ "$(field cut "$WORK/load-$mode.txt")" -eq 0 ] || fail "$mode: streams of sound targets were cut"
  [ "$(field unanswered "$WORK/load-$mode.txt")" -eq 0 ] || fail "$mode: calls to sound targets got no response"
  kill -KILL "${PIDS[router1]}"
  wait "${PIDS[router1]}" 2>/dev/null || true
  port=$((port + targets))
done
echo passed
