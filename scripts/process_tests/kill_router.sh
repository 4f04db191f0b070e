#!/usr/bin/env bash
# Two routers, one of them a holder of shards, are killed under load. Callers
# repeat through others. The shards are taken over, and service goes on.
set -uo pipefail
source "$(dirname "$0")/lib.sh" kill_router 310
test_begin

load_start 18 --allow_broken
sleep 4
holder=$(a_holder)
other=$(a_non_holder)
say "kills router-$holder, which holds $(shards_held | awk -v r="$holder" '$1 == r { print $2 }' | xargs), and router-$other"
fleet_signal KILL "router-$holder"
fleet_signal KILL "router-$other"
killed=$(milliseconds)
for profile in autocomplete status; do
  wait_until 10 call_succeeds 1 "$profile" || fail "$profile is not served"
  say "$profile is served $(($(milliseconds) - killed)) ms after the kill"
done
wait_until 10 holders_are_single || fail "the shards are not taken over"
taken=$(($(milliseconds) - killed))
expect_at_most "ms until all shards have one holder" "$taken" 8000
sleep 2
for profile in autocomplete status; do
  call_succeeds 1 "$profile" || fail "$profile is not served after the takeover"
done

fleet_start_router "$holder"
fleet_start_router "$other"
fleet_wait_ready 10 || fail "killed routers do not become ready again"
version_in_force 1 || fail "a restarted router has no configuration"
load_wait
wait_until 5 holders_are_single || fail "a shard has not one holder at the end"
say "calls with a key of a killed router: $(reported unknown.key_issuer_gone) were told key_issuer_gone"
expect_equal "engine crashes by overload" "$(fleet_engine_sum overload_crashes)" 0.000
test_end
