#!/usr/bin/env bash
# Engines end their streams within an event, without length and chunks, by an orderly close. A
# stream goes on at another engine; if all engines do so, no caller may take its stream for whole.
source "$(dirname "$0")/lib.sh"
start_fleet 3
admin=http://127.0.0.1:19000/admin
# ends FRAMING END: the number of targets' responses that ended so, over all routers.
ends() {
  local n sum=0 count
  for n in 1 2 3; do
    count=$(curl -sf "http://127.0.0.1:$((18200 + n))/metrics" | grep -F "peridot_target_responses_total{framing=\"$1\",end=\"$2\"}" | cut -d' ' -f2)
    sum=$((sum + ${count:-0}))
  done
  echo "$sum"
}
# load NAME SECONDS: calls of every kind; peridot_load fails if a call is not answered whole.
load() {
  "$BIN/peridot_load" --routers="$(caller_addresses 1 2 3)" --seconds="$2" --per_second=30 >"$WORK/load-$1.txt" || true
  cat "$WORK/load-$1.txt"
}

# Cached prompts keep the calls at one engine: that one breaks off its streams.
load before 1
busiest=$(cat "$WORK"/router*.log | grep -o 'Call sent.*target=i-[123] ' | grep -o 'i-[123]' | sort | uniq -c | sort -rn | awk 'NR == 1 { print $2 }')
curl -sf -o /dev/null -X POST "$admin/target?id=$busiest&mode=cut"
load one 3
[ "$(field whole "$WORK/load-one.txt")" -eq "$(field calls "$WORK/load-one.txt")" ] || fail "not all streams went on at another engine"
[ "$(ends until_close cut)" -gt 0 ] || fail "no stream ended within an event: the test shows nothing"

for engine in i-1 i-2 i-3; do curl -sf -o /dev/null -X POST "$admin/target?id=$engine&mode=cut"; done
load all 3
[ "$(field wrong "$WORK/load-all.txt")" -eq 0 ] || fail "a cut stream reached its caller as if it were whole"
[ "$(field cut "$WORK/load-all.txt")" -gt 0 ] || fail "no caller saw an interrupted stream: the test shows nothing"

curl -sf -o /dev/null -X POST "$admin/target?id=all&mode=ok"
sleep 1
load ok 2
[ "$(field whole "$WORK/load-ok.txt")" -eq "$(field calls "$WORK/load-ok.txt")" ] || fail "not all calls got a complete response afterwards"
echo passed
