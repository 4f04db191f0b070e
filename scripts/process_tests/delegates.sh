#!/usr/bin/env bash
# Twenty-four routers in three failure domains: reports pass through delegates, two routers of
# each domain read the store, and the others get its changes from them, also after delegates
# were killed.
source "$(dirname "$0")/lib.sh"
routers=24
start_fleet "$routers"

metric() {
  curl -sf "http://127.0.0.1:$((18200 + $1))/metrics" | grep "^$2 " | cut -d' ' -f2
}

# all_routers_have METRIC VALUE [ROUTER...]: by default all routers.
all_routers_have() {
  local name=$1 value=$2 n
  shift 2
  for n in "${@:-$(seq "$routers")}"; do
    [ "$(metric "$n" "$name")" = "$value" ] || return 1
  done
}

# store_readers ROUTER...: those that read the store.
store_readers() {
  local n
  for n in "$@"; do
    [ "$(metric "$n" peridot_reads_store)" = 1 ] && echo "$n"
  done
  true
}

set_version() {
  put_store_item op/config "$(curl -sf http://127.0.0.1:19000/v1/kv-range?path_prefix=op/config | python3 -c '
import base64, json, sys
document = json.loads(base64.b64decode(json.load(sys.stdin)["items"][0]["value"]))
document["version"] = int(sys.argv[1])
print(json.dumps(document))' "$1")"
}

all=$(seq "$routers")
wait_for "all routers know each other" all_routers_have peridot_live_peers $((routers - 1)) $all
sleep 2
readers=$(store_readers $all)
[ "$(wc -w <<<"$readers")" -eq 6 ] || fail "not two routers of each domain read the store: $readers"

set_version 7
sleep 2
all_routers_have peridot_config_version 7 $all || fail "a configuration did not reach all routers within 2 s"

# The readers are the delegates. Half of them are killed at once.
killed=$(head -3 <<<"$readers")
rest=$all
for n in $killed; do
  kill -KILL "${PIDS[router$n]}"
  wait "${PIDS[router$n]}" 2>/dev/null || true
  unset "PIDS[router$n]"
  rest=$(grep -vx "$n" <<<"$rest")
done
set_version 9
sleep 3
all_routers_have peridot_config_version 9 $rest || fail "after delegates were killed, a configuration did not reach all routers within 3 s"
wait_for "the routers notice the loss" all_routers_have peridot_live_peers $((routers - 1 - 3)) $rest
for n in $killed; do start_router "$n"; done
for n in $killed; do wait_for "router $n" is_ready "$n"; done
wait_for "all routers know each other again" all_routers_have peridot_live_peers $((routers - 1)) $all
all_routers_have peridot_config_version 9 $all || fail "a router that restarted has another configuration"
sleep 2
readers=$(store_readers $all)
[ "$(wc -w <<<"$readers")" -eq 6 ] || fail "after the restart, not two routers of each domain read the store: $readers"

"$BIN/peridot_load" --routers="$(caller_addresses $all)" --seconds=3 --per_second=90 >"$WORK/load.txt" || fail "peridot_load failed: $(cat "$WORK/load.txt")"
cat "$WORK/load.txt"
[ "$(field whole "$WORK/load.txt")" -eq "$(field calls "$WORK/load.txt")" ] || fail "not all calls got a complete response"
echo passed
