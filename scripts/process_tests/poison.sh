#!/usr/bin/env bash
# One organisation sends a prompt that crashes each engine that runs it, again
# and again. Two crashes are enough to refuse it; others go on.
set -uo pipefail
source "$(dirname "$0")/lib.sh" poison 510
test_begin

load_start 14 --allow_broken
sleep 3
statuses=()
refused_ms=0
for ((try = 1; try <= 20; try++)); do
  began=$(milliseconds)
  status=$(curl -s -o "$fleet_folder/poison.txt" -w '%{http_code}' -m 10 -X POST \
    -H "X-Organisation: ${fleet_small[1]}" -H 'X-Profile: explain' \
    -d 'crash-before-first-token of one caller' "$(router_url $((try % fleet_routers + 1)))/v1/requests")
  refused_ms=$(($(milliseconds) - began))
  statuses+=("$status")
  sleep 0.2
done
say "the caller got ${statuses[*]}"
say "the last answer: $(cat "$fleet_folder/poison.txt")"
expect_equal "last status" "${statuses[-1]}" 422
expect_at_most "ms to the last refusal" "$refused_ms" 500
crashes=$(fleet_engine_sum crashes)
expect_at_most "engine crashes" "${crashes%.*}" 2
expect_at_least "engine crashes" "${crashes%.*}" 1
call_succeeds 1 autocomplete || fail "others are not served"
load_wait
expect_equal "engine crashes by overload" "$(fleet_engine_sum overload_crashes)" 0.000
expect_equal "others refused as suspects" "$(reported not_run.suspect)" 0
test_end
