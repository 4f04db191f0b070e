# run_case STAND_IN [ROUTER_COUNT]: runs a case of review/11 to 15 from the run.sh in its folder, which sources
# this file. Starts the stand-in, then the router with the command of deploy/system.toml, and ends
# both by their ids. Exits with the stand-in's status: 0 the rule held, 1 it was broken, 2 the case
# could not run. With TROUBLE=0 there is no disruption.
set -uo pipefail
CASE_DIR=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
WORK=$(mktemp -d)
PIDS=()

end_all() {
  local id
  for id in "${PIDS[@]}"; do
    kill -KILL "$id" 2>/dev/null
    wait "$id" 2>/dev/null
  done
  rm -rf "$WORK"
}
trap end_all EXIT

port() {
  sed -n "s/^$1=//p" "$WORK/ports"
}

run_case() {
  local stand_in=build-review-3/$1 router=target/peridot_router try
  if [ ! -x "$stand_in" ] || [ ! -x "$router" ]; then
    echo "not built: run the build of deploy/system.toml and review/build-3.sh" >&2
    exit 2
  fi
  : >"$CASE_DIR/record.txt"
  "$stand_in" "$WORK" "$CASE_DIR/record.txt" "${TROUBLE:-1}" &
  local stand_in_id=$!
  PIDS+=("$stand_in_id")
  for try in $(seq 100); do
    [ -f "$WORK/ports" ] && break
    sleep 0.1
  done
  [ -f "$WORK/ports" ] || exit 2
  cat >"$WORK/settings.toml" <<END
name = "front-zone-a-1"
domain = "zone-a"
callers_address = "127.0.0.1:$(port callers)"
readiness_address = "127.0.0.1:$(port readiness)"
control_address = "127.0.0.1:$(port control)"
mesh_address = "127.0.0.1:$(port mesh)"
seeds = ["127.0.0.1:$(port control)"]
store_address = "127.0.0.1:$(port store)"
fleet_key = "peridotspur fleet 127.0.0.1"
processor_share = 0.25
stop_grace_s = 8
store_touch_ms = 3000
leaving_limit_ms = 2000
heartbeat_interval_ms = 1200
retry_ratio = 0.2
retry_slack = 58
cold_over = 1.5
cold_slack = 5
END
  "$router" --settings="$WORK/settings.toml" >"$WORK/router.log" 2>&1 &
  PIDS+=($!)
  echo $! >"$WORK/router_id"
  wait "$stand_in_id"
  local status=$?
  [ "$status" -le 2 ] || status=2
  grep -E ' (Graceful|Time to stop|Shutdown|Started|Call failed)' "$WORK/router.log" | sed 's/^/router: /' >>"$CASE_DIR/record.txt"
  exit "$status"
}
