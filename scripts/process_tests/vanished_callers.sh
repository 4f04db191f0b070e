#!/usr/bin/env bash
# Callers that read nothing, that leave in the middle of an answer, and that leave
# a call with a key and repeat it.
set -uo pipefail
source "$(dirname "$0")/lib.sh" vanished_callers 550
PERIDOT_ENGINE_FLAGS=--token_bytes=16384
test_begin

resident_kb() { awk '$1 == "VmRSS:" { print $2 }' "/proc/${fleet_pids[$1]}/status"; }

# slow_call TOKENS: sends a call to router 1 on descriptor `slow` and reads nothing.
slow_call() {
  exec {slow}<>"/dev/tcp/127.0.0.1/$(fleet_http_port 1)"
  printf 'POST /v1/requests HTTP/1.1\r\nHost: x\r\nX-Organisation: %s\r\nX-Profile: explain\r\nX-Max-Tokens: %s\r\nContent-Length: 9\r\n\r\nslow %04d' \
    "${fleet_small[0]}" "$1" $((RANDOM % 10000)) >&"$slow"
}

cancelled() { fleet_engine_sum cancelled; }
has_cancelled() { [ "$(cancelled)" != "$1" ]; }

# A caller that reads nothing.
before=$(resident_kb router-1)
slow_calls=()
for ((i = 0; i < 4; i++)); do
  slow_call 1500
  slow_calls+=("$slow")
done
slowest=0
for ((i = 0; i < 40; i++)); do
  began=$(milliseconds)
  call_succeeds 1 autocomplete || fail "another caller is not served"
  took=$(($(milliseconds) - began))
  [ "$took" -gt "$slowest" ] && slowest=$took
  sleep 0.2
done
say "4 callers read nothing of streams of 16 KiB a token"
expect_at_most "KiB that router-1 grew by" $(($(resident_kb router-1) - before)) 8192
expect_at_most "ms of the slowest other call" "$slowest" 2000

# Callers that leave in the middle.
then=$(cancelled)
for slow in "${slow_calls[@]}"; do
  exec {slow}>&-
done
wait_until 5 has_cancelled "$then" || fail "no engine was told that a slow caller left"
curl -s -o /dev/null -m 1 -X POST -H "X-Organisation: ${fleet_small[0]}" -H 'X-Profile: explain' \
  -H 'X-Max-Tokens: 600' -d 'leaves early' "$(router_url 1)/v1/requests"
are_empty() {
  [ "$(for ((i = 1; i <= fleet_engines; i++)); do
    curl -s -m 2 "http://127.0.0.1:$(fleet_engine_port "$i")/load"
  done | grep -c 'running=0 waiting=0')" = "$fleet_engines" ]
}
wait_until 4 are_empty || fail "an engine still runs a call whose caller left"
say "cancelled at engines: $(cancelled), of 5 callers that left"
expect_equal "runs that ended by cancelling" "$(cancelled)" 5.000

# A call with a key whose caller leaves and repeats it.
key=$(take_key 2)
for i in 1 2 3; do
  curl -s -m 2 -X POST "http://127.0.0.1:$(fleet_service_port $i)/control/late_answers?count=1&ms=1500" >/dev/null
done
keyed() {
  curl -s -m "$1" -o "$fleet_folder/keyed-$2.txt" -D "$fleet_folder/keyed-$2.head" \
    -w '%{http_code}' -X POST -H "X-Organisation: ${fleet_small[0]}" -H "X-Profile: $fleet_side_effect" \
    -H "Idempotency-Key: $key" -d 'one place' "$(router_url "$2")/v1/requests"
}
keyed 0.4 2 >/dev/null
expect_equal "status of a repeat while the call runs, at another router" "$(keyed 5 3)" 200
expect_equal "status of a repeat after its end" "$(keyed 5 4)" 200
cmp -s "$fleet_folder/keyed-3.txt" "$fleet_folder/keyed-4.txt" || fail "the repeats got different answers"
fleet_collect_runs || fail "a service does not tell its runs"
expect_equal "runs of the key" "$(awk -v key="$key" '$1 == key { n += $2 } END { print n + 0 }' "$fleet_folder/runs.txt")" 1
test_end
