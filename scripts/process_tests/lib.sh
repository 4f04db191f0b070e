# Helpers of the process tests, which run a fleet of real processes on loopback.
#
# Ports: store 19000, targets from 19100, router N: callers 18000+N, readiness
# 18100+N, control 18200+N, mesh 127.0.0.N:18300. stop_all ends every process by its id.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
BIN=${PERIDOT_BIN:-build}
WORK=$(mktemp -d)
declare -A PIDS=()

stop_all() {
  local name
  for name in "${!PIDS[@]}"; do
    kill -KILL "${PIDS[$name]}" 2>/dev/null || true
    wait "${PIDS[$name]}" 2>/dev/null || true
  done
  rm -rf "$WORK"
}
trap stop_all EXIT

fail() {
  echo "FAILED: $*"
  tail -n 5 "$WORK"/*.log || true
  exit 1
}

start_platform() {
  "$BIN/platform_standin" --store=127.0.0.1:19000 --first_port=19100 "$@" >"$WORK/platform.log" 2>&1 &
  PIDS[platform]=$!
  wait_for "the store" curl -sf -o /dev/null http://127.0.0.1:19000/admin/ledger
}

write_settings() {
  local n=$1 domain
  domain=zone-$(echo abc | cut -c$((n % 3 + 1)))
  cat >"$WORK/router$n.toml" <<END
name = "router-$n"
domain = "$domain"
callers_address = "127.0.0.1:$((18000 + n))"
readiness_address = "127.0.0.1:$((18100 + n))"
control_address = "127.0.0.1:$((18200 + n))"
mesh_address = "127.0.0.$n:18300"
seeds = ["127.0.0.1:18201", "127.0.0.2:18202"]
store_address = "127.0.0.1:19000"
fleet_key = "key of the process tests"
stop_grace_ms = ${STOP_GRACE_MS:-8000}
END
}

start_router() {
  local n=$1
  write_settings "$n"
  "$BIN/peridot_router" --settings="$WORK/router$n.toml" >>"$WORK/router$n.log" 2>&1 &
  PIDS[router$n]=$!
}

# Kills a router and starts it again at the same addresses.
kill_and_restart_router() {
  local n=$1
  kill -KILL "${PIDS[router$n]}"
  wait "${PIDS[router$n]}" 2>/dev/null || true
  start_router "$n"
}

is_ready() {
  curl -sf -o /dev/null "http://127.0.0.1:$((18100 + $1))/v1/readiness"
}

# wait_for DESCRIPTION COMMAND...: retries the command until it succeeds, for up to 10 s, then fails.
wait_for() {
  local description=$1 try
  shift
  for try in $(seq 100); do
    if "$@"; then return 0; fi
    sleep 0.1
  done
  fail "$description: not available within 10 s"
}

start_fleet() {
  local n
  start_platform
  for n in $(seq "$1"); do start_router "$n"; done
  for n in $(seq "$1"); do wait_for "router $n" is_ready "$n"; done
}

# start_fleet_of_two_builds N: the routers know each other and the builds, and targets break streams off.
start_fleet_of_two_builds() {
  local n admin=http://127.0.0.1:19000/admin
  start_platform --engines=8
  for n in $(seq "$1"); do start_router "$n"; done
  for n in $(seq "$1"); do wait_for "router $n" is_ready "$n"; done
  for n in 2 4 6 8; do curl -sf -o /dev/null -X POST "$admin/build?id=i-$n&build=v2"; done
  curl -sf -o /dev/null -X POST "$admin/target?id=all&mode=flaky"
  sleep 4
}

caller_addresses() {
  local n list=""
  for n in "$@"; do list+="${list:+,}127.0.0.1:$((18000 + n))"; done
  echo "$list"
}

put_store_item() {
  curl -sf -o /dev/null -X PUT --data-binary "$2" "http://127.0.0.1:19000/admin/item?key=$1"
}

# The first line of the record of calls that targets ran: "runs=N repeated_ids=N".
ledger() {
  curl -sf http://127.0.0.1:19000/admin/ledger | head -1
}

# field NAME FILE: the value of name=value in the file's first line that has it.
field() {
  grep -o "\b$1=[0-9]*" "$2" | head -1 | cut -d= -f2
}

# shows PATTERN COMMAND...: the command succeeds, and a line of its output matches. The output is read
# whole: grep -q at the end of a pipe would leave the command writing to nobody, which fails.
shows() {
  local pattern=$1 output
  shift
  output=$("$@") && grep -q "$pattern" <<<"$output"
}

http_status() {
  curl -s -o /dev/null -w '%{http_code}' "$@"
}
