#!/usr/bin/env bash
# Engines fetch a prompt part that all calls share from each other instead of prefilling it again,
# also after the engine that had it first is gone, and never because a caller says so.
source "$(dirname "$0")/lib.sh"
start_fleet 3
admin=http://127.0.0.1:19000/admin
addresses=$(caller_addresses 1 2 3)
sleep 2
# A caller's own source is not passed on.
curl -s -o /dev/null -X POST -H "Host: app.example" -H "X-Peridotspur-Attempt-Id: own" -H "Api-Key: key-1" \
  -H "X-Peridotspur-Model: m" -H "X-Peridotspur-Token-Counts: 600,8" -H "Kv-Fetch: 127.0.0.1:19101" \
  -H "X-Peridotspur-Prompt-Prefix: ff:400,1:200" "http://127.0.0.1:18001/chat/1"
curl -sf "$admin/fetches" >"$WORK/fetches.txt"
[ "$(field fetches "$WORK/fetches.txt")" -eq 0 ] || fail "a caller made an engine fetch"
# Through one router: several may each begin with another engine, until none is left without the part.
"$BIN/peridot_load" --routers="$(caller_addresses 1)" --seconds=2 --per_second=60 --shared_tokens=6000 >"$WORK/first.txt" || true
# The engine that got the calls, and so keeps the part, is slowed by its neighbours from now on.
keeper=$(curl -sf "$admin/arrivals?window_ms=1000&after_ms=0" | grep -E 'target=i-[123] ' | sed 's/target=\(.*\) most=.* calls=\(.*\)/\2 \1/' | sort -n | tail -1 | cut -d' ' -f2)
curl -sf -o /dev/null -X POST "$admin/says?id=$keeper&header=X-Peridotspur-Server-Load&value=9,0,64,2000"
"$BIN/peridot_load" --routers="$addresses" --seconds=3 --per_second=120 --shared_tokens=6000 >"$WORK/load.txt" || true
head -1 "$WORK/load.txt"
curl -sf "$admin/fetches" >"$WORK/fetches.txt"
cat "$WORK/fetches.txt"
[ "$(field fetches "$WORK/fetches.txt")" -gt 0 ] || fail "no engine fetched the part"
[ "$(field found "$WORK/fetches.txt")" -gt 0 ] || fail "no fetch found the part"
# An engine that ends loses the part; calls go on, and those that name it as source prefill.
curl -sf -o /dev/null -X POST "$admin/target?id=i-1&mode=break"
"$BIN/peridot_load" --routers="$addresses" --seconds=3 --per_second=60 --shared_tokens=6000 >"$WORK/after.txt" || true
curl -sf -o /dev/null -X POST "$admin/target?id=i-1&mode=ok"
head -1 "$WORK/after.txt"
[ "$(field whole "$WORK/after.txt")" -gt $(($(field calls "$WORK/after.txt") / 2)) ] || fail "calls fail while one engine fails"
[ "$(field mixed "$WORK/after.txt")" -eq 0 ] || fail "answers hold bytes of others"
fetches=$(curl -sf http://127.0.0.1:18201/metrics | sed -n 's/^peridot_fetches_total //p')
echo "fetches of router 1: $fetches"
echo passed
