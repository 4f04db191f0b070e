#!/usr/bin/env bash
# Installs what is needed, builds, starts a fleet of nine routers with stand-ins
# on loopback, sends load for 20 s, and prints what became of it. Exits with 0
# only if no call ran twice, no answer was cut or wrong, every "not run" was
# true, and every process ended with 0. scripts/fleet.sh lists the variables.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 1
seconds=${PERIDOT_SECONDS:-20}
seed=${PERIDOT_SEED:-1}

if [ -z "${PERIDOT_BUILD:-}" ]; then
  scripts/install.sh && scripts/build.sh release >/dev/null || exit 1
fi
source scripts/fleet.sh

echo "demo: starts $fleet_routers routers, $fleet_engines engines, $fleet_services services"
fleet_begin
fleet_write_documents
fleet_start_stand_ins || { echo "demo: a stand-in does not listen"; exit 1; }
fleet_start_routers
fleet_wait_ready 30 || exit 1

echo "demo: all routers are ready; sends load of ${#fleet_large[@]} large and ${#fleet_small[@]} small organisations for $seconds s"
fleet_write_mix >"$fleet_folder/mix.txt"
busy_before=$(fleet_engine_sum slot_seconds)
began=$(date +%s.%N)
load_status=0
"$fleet_build/peridot_load" --routers="$(fleet_router_addresses)" --seconds="$seconds" \
  --seed="$seed" --mix="$fleet_folder/mix.txt" --report="$fleet_folder/report.txt" \
  --keyed_calls="$fleet_folder/keyed.txt" || load_status=$?
ended=$(date +%s.%N)
busy_after=$(fleet_engine_sum slot_seconds)

verdict=0
fleet_collect_runs || { echo "demo: a service does not tell its runs"; verdict=1; }
double_runs=$(fleet_double_runs)
false_ends=$(fleet_false_ends "$fleet_folder/keyed.txt")
echo "demo: targets"
awk -v a="$began" -v b="$ended" -v x="$busy_before" -v y="$busy_after" \
  -v slots=$((fleet_engines * fleet_engine_slots)) \
  'BEGIN { printf "  utilisation of engines   %8.0f %%\n", 100 * (y - x) / (slots * (b - a)) }'
printf '  %-24s %8.0f\n' "engine crashes" "$(fleet_engine_sum crashes)" \
  "of these by overload" "$(fleet_engine_sum overload_crashes)" \
  "double runs" "$double_runs" "false \"not run\"" "$false_ends"

stopped=0
fleet_stop_all || stopped=1
[ "$load_status" -eq 0 ] || { echo "demo: failed: cut, broken or wrong answers"; verdict=1; }
[ "$double_runs" -eq 0 ] || { echo "demo: failed: calls ran twice"; verdict=1; }
[ "$false_ends" -eq 0 ] || { echo "demo: failed: an outcome told to a caller was not true"; verdict=1; }
[ "$stopped" -eq 0 ] || { echo "demo: failed: a process did not end with 0"; verdict=1; }
[ "$verdict" -eq 0 ] && echo "demo: passed"
exit "$verdict"
