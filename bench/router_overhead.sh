#!/usr/bin/env bash
# A router's own cost over real processes on loopback: the same closed loop of
# short calls straight to a target that answers at once, and through one router,
# in turns. Prints the latencies, and the router's processor time from /proc.
#
#   bench/router_overhead.sh [rounds]
#
# PERIDOT_BUILD names the folder of the binaries. Bounded: at most `max_calls`
# calls and `seconds` for each run, two runs at each of four loads a round.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 1
rounds=${1:-3}
seconds=4
max_calls=20000
PERIDOT_PORT_SHIFT=${PERIDOT_PORT_SHIFT:-400}
source scripts/fleet.sh
fleet_routers=1
fleet_engines=0
fleet_services=1

# As fleet_write_config, with one target that bears many calls.
overhead_write_config() {
  printf 'version = 1\n\n[[failure_domain]]\nname = "%s"\n\n' "${fleet_domains[0]}"
  printf '[[profile]]\nname = "status"\npool = "service"\npath = "/v1/status"\n\n'
  printf '[[organisation]]\nname = "bench"\nweight = 1\n\n'
  fleet_write_target target-1 "$(fleet_service_port 1)" service "${fleet_domains[0]}" \
    plain_service 64 64 1 0
}

# Processor time of the router so far, in clock ticks.
router_ticks() {
  awk '{ print $14 + $15 }' "/proc/${fleet_pids[router-1]}/stat"
}

# overhead_run LABEL PORT PATH CONNECTIONS PAUSE_MS: one run, and the router's share of it.
overhead_run() {
  local before after line
  before=$(router_ticks)
  line=$("$fleet_build/overhead_bench" --port="$2" --path="$3" --connections="$4" \
    --pause_ms="$5" --seconds="$seconds" --max_calls="$max_calls") || echo "overhead: calls failed"
  after=$(router_ticks)
  echo "$line" | awk -v label="$1" -v connections="$4" -v pause="$5" -v ticks=$((after - before)) \
    -v hertz="$(getconf CLK_TCK)" '{
      split($1, calls, "="); cpu = ticks / hertz
      printf "%-7s connections=%d pause_ms=%d %s router_cpu_s=%.2f", label, connections, pause, $0, cpu
      if (label == "router" && cpu > 0) printf " calls_per_core_second=%.0f", calls[2] / cpu
      print "" }'
}

fleet_begin
fleet_write_settings 1 "a fleet key for the bench" |
  sed 's/^seeds = .*//' >"$fleet_folder/router-1.toml"
overhead_write_config >"$fleet_folder/config.toml"
fleet_write_list | sed '/service-/,$d;/\[\[target\]\]/d' >"$fleet_folder/instances.toml"
fleet_start config "$fleet_build/config_standin" "--address=127.0.0.1:$fleet_config_port" \
  "--config=$fleet_folder/config.toml" "--instances=$fleet_folder/instances.toml"
fleet_start target "$fleet_build/overhead_target" --port="$(fleet_service_port 1)"
fleet_start_router 1
fleet_wait_ready 20 || exit 1
sleep 1
for ((round = 1; round <= rounds; round++)); do
  idle_before=$(router_ticks)
  sleep "$seconds"
  echo "idle    seconds=$seconds router_cpu_ticks=$(($(router_ticks) - idle_before))"
  for load in "1 5" "1 0" "16 5" "16 0"; do
    read -r connections pause <<<"$load"
    overhead_run direct "$(fleet_service_port 1)" /v1/status "$connections" "$pause"
    overhead_run router "$(fleet_http_port 1)" /v1/requests "$connections" "$pause"
  done
done
fleet_stop_all
