#!/usr/bin/env bash
# A failure domain is taken out under load, its engines restart cold meanwhile,
# and it returns. One target of another domain is drained and returns likewise.
set -uo pipefail
source "$(dirname "$0")/lib.sh" failure_domain 470
test_begin

# Engines 1, 4 and 7 are in the first failure domain.
out_engines="1 4 7"
drained_engine=2

# calls_of ENGINES: calls that ended at them and that they hold.
calls_of() {
  local i
  for i in $1; do
    curl -s -m 2 "http://127.0.0.1:$(fleet_engine_port "$i")/load" | tr ' ' '\n' | grep -E '^(running|waiting)='
    curl -s -m 2 "http://127.0.0.1:$(fleet_engine_port "$i")/control/stats" |
      grep -E '^(completed|cancelled|lost_calls)='
  done | awk -F= '{ sum += $2 } END { print sum + 0 }'
}

# True if no engine of the list holds a call.
are_idle() {
  local i
  for i in $1; do
    curl -s -m 2 "http://127.0.0.1:$(fleet_engine_port "$i")/load" | grep -q 'running=0 waiting=0' || return 1
  done
}

# The load fits into the engines that are left; after the return one organisation
# asks for so much that all are needed.
{
  test_mix
  echo "organisation=${fleet_large[0]} profile=explain rate=45 weight=3 retries=6 start_after_ms=16000 stop_after_ms=28000"
} >"$fleet_folder/mix.txt"
load_start 30
sleep 3
fleet_out=${fleet_domains[0]}
fleet_drained=engine-$drained_engine
fleet_publish
say "takes out $fleet_out and drains $fleet_drained"
published=$(milliseconds)
wait_until 5 version_in_force 2 || fail "version 2 is not in force"
say "in force everywhere $(($(milliseconds) - published)) ms after publishing"
sleep 2
wait_until 6 are_idle "$out_engines $drained_engine" || fail "a withdrawn engine still has calls"
expect_at_most "ms until withdrawn engines hold no call" "$(($(milliseconds) - published))" 7000
before=$(calls_of "$out_engines $drained_engine")
sleep 4
expect_equal "new calls at withdrawn engines" "$(($(calls_of "$out_engines $drained_engine") - before))" 0
expect_equal "engine crashes so far" "$(fleet_engine_sum crashes)" 0.000

for i in $out_engines $drained_engine; do
  curl -sf -m 2 -X POST "http://127.0.0.1:$(fleet_engine_port "$i")/control/crash" >/dev/null
done
say "withdrawn engines restart cold"
sleep 3
fleet_out=
fleet_drained=
fleet_publish
returned=$(milliseconds)
wait_until 5 version_in_force 3 || fail "version 3 is not in force"
all_work_again() {
  local i
  for i in $out_engines $drained_engine; do
    [ "$(engine_stat "$i" completed)" -gt "${completed_then[$i]}" ] || return 1
  done
}
completed_then=()
for i in $out_engines $drained_engine; do
  completed_then[i]=$(engine_stat "$i" completed)
done
if ! wait_until 10 all_work_again; then
  for i in $out_engines $drained_engine; do
    say "engine-$i completed $(engine_stat "$i" completed), before its return ${completed_then[$i]}; its holder says:"
    for ((r = 1; r <= fleet_routers; r++)); do
      curl -s -m 2 "$(router_url "$r")/status" | grep "^target name=engine-$i "
    done
  done
  fail "a returned engine gets no work"
fi
say "all returned engines have work again after $(($(milliseconds) - returned)) ms"
load_wait
expect_equal "broken answers" "$(reported broken)" 0
expect_equal "calls that failed" "$(reported failed)" 0
expect_equal "engine crashes by overload" "$(fleet_engine_sum overload_crashes)" 0.000
test_end
