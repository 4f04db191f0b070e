#!/usr/bin/env bash
# A holder of shards is stopped for longer than two leases and wakes up with its
# old facts, while a new configuration was published.
set -uo pipefail
source "$(dirname "$0")/lib.sh" pause_router 350
test_begin

load_start 18 --allow_broken
sleep 3
paused=$(a_holder)
say "pauses router-$paused, which holds $(shards_held | awk -v r="$paused" '$1 == r { print $2 }' | xargs)"
fleet_signal STOP "router-$paused"
sleep 3
fleet_publish || fail "the configuration service takes no version"
sleep 3
fleet_signal CONT "router-$paused"
woken=$(milliseconds)
wait_until 6 holders_are_single || fail "a shard has not one holder after the pause"
say "each shard has one holder $(($(milliseconds) - woken)) ms after the pause"
wait_until 6 version_in_force 2 || fail "version 2 is not in force everywhere"
load_wait
wait_until 2 holders_are_single || fail "a shard has not one holder at the end"
version_in_force 2 || fail "version 2 did not stay in force"
expect_equal "broken answers" "$(reported broken)" 0
expect_equal "engine crashes by overload" "$(fleet_engine_sum overload_crashes)" 0.000
test_end
