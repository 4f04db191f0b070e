#!/usr/bin/env bash
# The platform's settings give grace_s as a fraction, and all routers are killed afterwards: does
# the system serve again? See claim.txt.
source "$(dirname "$0")/../lib/lib.sh"
RECOVER_S=12
RESTART_DELAY_S=0.5

# restart_until SECONDS: the platform starts each process again that has ended.
restart_until() {
  local end=$((SECONDS + $1)) n starts=0
  while [ "$SECONDS" -lt "$end" ]; do
    for n in $(seq $ROUTER_COUNT); do
      if ! is_running "router$n"; then
        wait "${PIDS[router$n]}" 2>/dev/null || true
        start_router "$n"
        starts=$((starts + 1))
      fi
    done
    sleep $RESTART_DELAY_S
  done
  note "processes started again: $starts"
}

start_fleet
run_load 4 30
before_calls=$CALLS
before_served=$SERVED
[ $((4 * before_served)) -ge "$before_calls" ] || give_up "less than a quarter is served before"

grace_s=8
[ "$TROUBLE" = 0 ] || grace_s=7.5
for n in $(seq $ROUTER_COUNT); do
  write_settings "$n" $grace_s
done
note "settings of all machines changed: grace_s=$grace_s, without a signal"
sleep 2

for n in $(seq $ROUTER_COUNT); do kill -KILL "${PIDS[router$n]}"; done
note "all routers killed"
sleep $RESTART_DELAY_S
restart_until $RECOVER_S
run_load 5 30
for n in $(seq $ROUTER_COUNT); do
  note "router $n running=$(is_running "router$n" && echo 1 || echo 0): $(tail -n 1 "$WORK/router$n.log" | sed "s|$WORK/||")"
done

if [ $((4 * SERVED)) -lt "$CALLS" ]; then
  note "RECOVER broken: $SERVED of $CALLS calls served later than $RECOVER_S s after the restart"
  VERDICT=broken
  exit 1
fi
note "held: $SERVED of $CALLS calls served"
