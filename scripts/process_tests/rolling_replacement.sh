#!/usr/bin/env bash
# Each router in turn ends by TERM under load and starts anew. No answer is cut,
# and whoever is refused succeeds at another router.
set -uo pipefail
source "$(dirname "$0")/lib.sh" rolling_replacement 430
test_begin

# Keys that are taken now and first used when their issuers have been replaced.
old_keys=()
for ((i = 1; i <= fleet_routers; i++)); do
  old_keys+=("$(take_key "$i")")
done

load_start 50 --move_on_when_stopping
sleep 1
for ((i = 1; i <= fleet_routers; i++)); do
  began=$(milliseconds)
  fleet_stop "router-$i" || fail "router-$i did not end with 0"
  ended=$(milliseconds)
  fleet_start_router "$i"
  fleet_wait_ready 10 || fail "router-$i is not ready again"
  say "router-$i ended in $((ended - began)) ms and was ready again after $(($(milliseconds) - ended)) ms"
done
load_stop
load_wait
expect_equal "broken answers" "$(reported broken)" 0
expect_equal "calls that reached no router" "$(reported unreached)" 0
expect_equal "calls refused as not run" "$(reported not_run)" 0
expect_equal "calls that failed" "$(reported failed)" 0
say "calls with a key of a replaced router: $(reported unknown.key_issuer_gone) were told" \
  "key_issuer_gone, $(reported unknown.key_issuer_unreachable) key_issuer_unreachable"
expect_equal "calls without answer for another reason" \
  "$(($(reported unknown) - $(reported unknown.key_issuer_gone) - $(reported unknown.key_issuer_unreachable)))" 0
gone=0
for key in "${old_keys[@]}"; do
  status=$(call 1 "$fleet_side_effect" -H "Idempotency-Key: $key")
  [ "$status" = 410 ] && gone=$((gone + 1))
done
say "of ${#old_keys[@]} unused keys of replaced routers, $gone were refused as key_issuer_gone"
expect_equal "engine crashes" "$(fleet_engine_sum crashes)" 0.000
wait_until 5 holders_are_single || fail "a shard has not one holder at the end"
test_end
