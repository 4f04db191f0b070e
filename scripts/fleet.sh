# Starts and stops a fleet on loopback: nine routers in three failure domains,
# nine engines, three services and the configuration service, all stand-ins but
# the routers. To be sourced by scripts/demo.sh and by tests over real processes:
#
#   source scripts/fleet.sh
#   fleet_begin                      # temporary folder, clean-up at exit
#   fleet_write_documents            # configuration, instance list, settings
#   fleet_start_stand_ins && fleet_start_routers && fleet_wait_ready 30
#   fleet_signal KILL router-3       # faults, by the name of a process
#   fleet_stop_all                   # TERM by pid; fails if one ends without 0
#
# Variables that may be set before:
#   PERIDOT_BUILD        folder of the binaries, default "build"
#   PERIDOT_PORT_SHIFT   added to all ports, default 0
#   PERIDOT_DEPLOYMENT   "ashyq-esik" (default) or "cuaderno-quetzal"
#   PERIDOT_KEEP         if set, the temporary folder is kept and named
#   PERIDOT_ENGINE_FLAGS more flags for all engines

fleet_build=${PERIDOT_BUILD:-build}
fleet_shift=${PERIDOT_PORT_SHIFT:-0}
fleet_deployment=${PERIDOT_DEPLOYMENT:-ashyq-esik}
fleet_routers=9
fleet_engines=9
fleet_services=3
fleet_config_port=$((19000 + fleet_shift))
fleet_config_version=1
fleet_stop_seconds=140 # longer than the routers' longest graceful shutdown

# Engines: slots of each, and how fast they warm up.
fleet_engine_slots=8
fleet_warm_calls=2

case $fleet_deployment in
  ashyq-esik)
    fleet_domains=(almaty-a almaty-b almaty-c)
    fleet_large=(almaty-schools turkistan-hosts tour-desks)
    fleet_small=(abay-house burabay-trails charyn-guides esik-museum kolsai-stays medeu-visits
      otrar-digs saryarka-steppe semey-archive shymkent-desk taraz-old-town tamgaly-art zharkent-mosque)
    fleet_side_effect="reserve"
    ;;
  cuaderno-quetzal)
    fleet_domains=(guatemala-a guatemala-b guatemala-c)
    fleet_large=(bank-risk coffee-exporters ministry-finance)
    fleet_small=(antigua-lab atitlan-data bank-audit bank-branches bank-credit cardamom-trade
      coban-growers customs-desk health-survey huehue-mill statistics-office tax-review xela-campus)
    fleet_side_effect="export"
    ;;
  *)
    echo "fleet: PERIDOT_DEPLOYMENT must be ashyq-esik or cuaderno-quetzal" >&2
    exit 2
    ;;
esac

declare -A fleet_pids=()
fleet_order=()

fleet_http_port() { echo $((18000 + fleet_shift + $1)); }
fleet_mesh_port() { echo $((17000 + fleet_shift + $1)); }
fleet_engine_port() { echo $((19000 + fleet_shift + $1)); }
fleet_service_port() { echo $((19020 + fleet_shift + $1)); }
fleet_domain() { echo "${fleet_domains[$((($1 - 1) % 3))]}"; }

# All routers as peridot_load wants them.
fleet_router_addresses() {
  local i list=""
  for ((i = 1; i <= fleet_routers; i++)); do
    list+=${list:+,}127.0.0.1:$(fleet_http_port "$i")
  done
  echo "$list"
}

fleet_begin() {
  fleet_folder=$(mktemp -d)
  trap fleet_end EXIT
}

# Clean-up at exit: what still runs is killed, by pid.
fleet_end() {
  local name
  for name in "${!fleet_pids[@]}"; do
    kill -KILL "${fleet_pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null
  if [ -n "${PERIDOT_KEEP:-}" ]; then
    echo "fleet: files are kept in $fleet_folder"
  else
    rm -rf "$fleet_folder"
  fi
}

# fleet_start NAME COMMAND...: runs a process; its output goes to NAME.log.
fleet_start() {
  local name=$1
  shift
  "$@" >>"$fleet_folder/$name.log" 2>&1 &
  fleet_pids[$name]=$!
  fleet_order+=("$name")
}

# fleet_signal SIGNAL NAME: sends a signal. After KILL the process is forgotten.
fleet_signal() {
  local signal=$1 name=$2
  kill "-$signal" "${fleet_pids[$name]}"
  if [ "$signal" = KILL ]; then
    wait "${fleet_pids[$name]}" 2>/dev/null
    fleet_forget "$name"
  fi
}

fleet_forget() {
  local name kept=()
  unset "fleet_pids[$1]"
  for name in "${fleet_order[@]}"; do
    [ "$name" = "$1" ] || kept+=("$name")
  done
  fleet_order=(${kept[@]+"${kept[@]}"})
}

# fleet_stop NAME: TERM, and waits. Fails if the process ends with another status
# than 0, or has to be killed.
fleet_stop() {
  local name=$1 pid=${fleet_pids[$1]} status=0 deadline=$((SECONDS + fleet_stop_seconds))
  kill -TERM "$pid" 2>/dev/null
  while kill -0 "$pid" 2>/dev/null && [ "$SECONDS" -lt "$deadline" ]; do
    sleep 0.05
  done
  if kill -KILL "$pid" 2>/dev/null; then
    echo "fleet: $name did not stop within $fleet_stop_seconds s and was killed"
  fi
  wait "$pid" 2>/dev/null || status=$?
  fleet_forget "$name"
  [ "$status" -eq 0 ] && return 0
  echo "fleet: $name ended with status $status; the end of its log:"
  tail -n 5 "$fleet_folder/$name.log" | sed 's/^/  /'
  return 1
}

# Routers first and all at once, as a planned stop of the whole system; then the
# stand-ins. Fails if one did not end with 0.
fleet_stop_all() {
  local name failed=0 routers=() others=()
  for name in ${fleet_order[@]+"${fleet_order[@]}"}; do
    case $name in router-*) routers+=("$name") ;; *) others+=("$name") ;; esac
  done
  for name in ${routers[@]+"${routers[@]}"}; do
    kill -TERM "${fleet_pids[$name]}" 2>/dev/null
  done
  for name in ${routers[@]+"${routers[@]}"} ${others[@]+"${others[@]}"}; do
    fleet_stop "$name" || failed=$((failed + 1))
  done
  [ "$failed" -eq 0 ]
}

# fleet_wait_http URL SECONDS: waits until the URL answers 200.
fleet_wait_http() {
  local deadline=$((SECONDS + $2))
  until [ "$(curl -s -o /dev/null -m 1 -w '%{http_code}' "$1")" = 200 ]; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep 0.1
  done
}

# fleet_wait_ready SECONDS: waits until all routers take callers.
fleet_wait_ready() {
  local i url deadline=$((SECONDS + $1))
  for ((i = 1; i <= fleet_routers; i++)); do
    url=http://127.0.0.1:$(fleet_http_port "$i")/ready
    fleet_wait_http "$url" $((deadline > SECONDS ? deadline - SECONDS : 1)) && continue
    echo "fleet: router-$i is not ready: $(curl -s -m 1 "$url")"
    tail -n 5 "$fleet_folder/router-$i.log" | sed 's/^/  /'
    return 1
  done
}

fleet_write_profiles() {
  cat <<PROFILES
[[profile]]
name = "explain"
pool = "model"
path = "/v1/generate"
class = "standard"
queue_deadline_ms = 8000
cost_hint = 36

[[profile]]
name = "autocomplete"
pool = "model"
path = "/v1/generate"
class = "interactive"
queue_deadline_ms = 2000
cost_hint = 8

[[profile]]
name = "status"
pool = "service"
path = "/v1/status"
class = "interactive"
queue_deadline_ms = 2000
cost_hint = 1

[[profile]]
name = "$fleet_side_effect"
pool = "service"
path = "/v1/call"
class = "standard"
queue_deadline_ms = 5000
repeatable = false
cost_hint = 1

PROFILES
}

# fleet_write_target NAME PORT POOL DOMAIN KIND WARM COLD RAMP RESERVED
fleet_write_target() {
  printf '[[target]]\nname = "%s"\naddress = "127.0.0.1:%s"\npool = "%s"\nfailure_domain = "%s"\n' \
    "$1" "$2" "$3" "$4"
  printf 'kind = "%s"\nwarm_limit = %s\ncold_limit = %s\nramp_calls = %s\nreserved_slots = %s\n' \
    "$5" "$6" "$7" "$8" "$9"
  case " ${fleet_drained:-} " in *" $1 "*) echo 'drained = true' ;; esac
  echo
}

# The published configuration. Failure domains named in `fleet_out` are out, and
# targets named in `fleet_drained` are drained.
fleet_write_config() {
  local i name
  printf 'version = %s\n\n[fleet]\nheartbeat_interval_ms = 500\nlease_ms = 2000\n\n' \
    "$fleet_config_version"
  for name in "${fleet_domains[@]}"; do
    printf '[[failure_domain]]\nname = "%s"\n' "$name"
    case " ${fleet_out:-} " in *" $name "*) echo 'out = true' ;; esac
    echo
  done
  fleet_write_profiles
  for name in "${fleet_large[@]}"; do
    printf '[[organisation]]\nname = "%s"\nweight = 3\nmax_queued = 64\n\n' "$name"
  done
  for name in "${fleet_small[@]}"; do
    printf '[[organisation]]\nname = "%s"\nweight = 1\nmax_queued = 64\n\n' "$name"
  done
  for ((i = 1; i <= fleet_engines; i++)); do
    fleet_write_target "engine-$i" "$(fleet_engine_port "$i")" model "$(fleet_domain "$i")" \
      model_engine "$fleet_engine_slots" 1 "$fleet_warm_calls" 1
  done
  for ((i = 1; i <= fleet_services; i++)); do
    fleet_write_target "service-$i" "$(fleet_service_port "$i")" service "$(fleet_domain "$i")" \
      plain_service 16 4 4 2
  done
}

# The instance list. Names in `fleet_leaving` (engine-2, router-5) are leaving.
fleet_write_list() {
  local i name state
  printf 'version = %s\n\n' "$fleet_config_version"
  for ((i = 1; i <= fleet_routers; i++)); do
    state=live
    case " ${fleet_leaving:-} " in *" router-$i "*) state=leaving ;; esac
    printf '[[router]]\naddress = "127.0.0.1:%s"\nhttp_address = "127.0.0.1:%s"\n' \
      "$(fleet_mesh_port "$i")" "$(fleet_http_port "$i")"
    printf 'failure_domain = "%s"\nstate = "%s"\n\n' "$(fleet_domain "$i")" "$state"
  done
  for name in $(seq -f 'engine-%g' "$fleet_engines") $(seq -f 'service-%g' "$fleet_services"); do
    state=live
    case " ${fleet_leaving:-} " in *" $name "*) state=leaving ;; esac
    printf '[[target]]\nname = "%s"\nstate = "%s"\n\n' "$name" "$state"
  done
}

# fleet_write_settings NUMBER KEY: settings of one router.
fleet_write_settings() {
  cat <<SETTINGS
name = "router-$1"
domain = "$(fleet_domain "$1")"
http_address = "127.0.0.1:$(fleet_http_port "$1")"
mesh_address = "127.0.0.1:$(fleet_mesh_port "$1")"
seeds = ["127.0.0.1:$(fleet_mesh_port 1)", "127.0.0.1:$(fleet_mesh_port 2)", "127.0.0.1:$(fleet_mesh_port 3)"]
config_service = "127.0.0.1:$fleet_config_port"
fleet_key = "$2"
SETTINGS
}

fleet_write_documents() {
  local i key
  key=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
  fleet_write_config >"$fleet_folder/config.toml"
  fleet_write_list >"$fleet_folder/instances.toml"
  for ((i = 1; i <= fleet_routers; i++)); do
    fleet_write_settings "$i" "$key" >"$fleet_folder/router-$i.toml"
  done
}

# Publishes configuration and list anew under the next version.
fleet_publish() {
  fleet_config_version=$((fleet_config_version + 1))
  fleet_write_config >"$fleet_folder/config.toml"
  fleet_write_list >"$fleet_folder/instances.toml"
  local url=http://127.0.0.1:$fleet_config_port/control/values
  curl -sf -m 5 -X PUT --data-binary "@$fleet_folder/config.toml" "$url/config" >/dev/null &&
    curl -sf -m 5 -X PUT --data-binary "@$fleet_folder/instances.toml" "$url/instances" >/dev/null
}

fleet_start_engine() {
  # Flags are split at blanks on purpose.
  # shellcheck disable=SC2086
  fleet_start "engine-$1" "$fleet_build/engine_standin" \
    "--address=127.0.0.1:$(fleet_engine_port "$1")" "--max_batch=$fleet_engine_slots" \
    "--warm_calls=$fleet_warm_calls" --first_token_ms=60 --token_gap_ms=20 \
    ${PERIDOT_ENGINE_FLAGS:-}
}

fleet_start_service() {
  fleet_start "service-$1" "$fleet_build/service_standin" \
    "--address=127.0.0.1:$(fleet_service_port "$1")"
}

fleet_start_router() {
  fleet_start "router-$1" "$fleet_build/peridot_router" "--settings=$fleet_folder/router-$1.toml"
}

# Starts all stand-ins and waits until they listen.
fleet_start_stand_ins() {
  local i
  fleet_start config "$fleet_build/config_standin" "--address=127.0.0.1:$fleet_config_port" \
    "--config=$fleet_folder/config.toml" "--instances=$fleet_folder/instances.toml"
  for ((i = 1; i <= fleet_engines; i++)); do
    fleet_start_engine "$i"
  done
  for ((i = 1; i <= fleet_services; i++)); do
    fleet_start_service "$i"
  done
  fleet_wait_http "http://127.0.0.1:$fleet_config_port/control/calls" 10 || return 1
  for ((i = 1; i <= fleet_engines; i++)); do
    fleet_wait_http "http://127.0.0.1:$(fleet_engine_port "$i")/load" 10 || return 1
  done
  for ((i = 1; i <= fleet_services; i++)); do
    fleet_wait_http "http://127.0.0.1:$(fleet_service_port "$i")/load" 10 || return 1
  done
}

fleet_start_routers() {
  local i
  for ((i = 1; i <= fleet_routers; i++)); do
    fleet_start_router "$i"
  done
}

# One line a caller for peridot_load. Small organisations ask for little and enter
# through two routers each; large ones use all. From the eighth second on, the
# first large organisation floods the fleet.
fleet_write_mix() {
  local name
  for name in "${fleet_large[@]}"; do
    echo "organisation=$name profile=explain rate=6 weight=3"
    echo "organisation=$name profile=autocomplete rate=3 weight=3 max_tokens=8"
    echo "organisation=$name profile=status rate=2 weight=3 plain=1"
    echo "organisation=$name profile=$fleet_side_effect rate=3 weight=3 plain=1 keyed=1"
  done
  echo "organisation=${fleet_large[0]} profile=explain rate=40 weight=3 start_after_ms=8000"
  for name in "${fleet_small[@]}"; do
    echo "organisation=$name profile=explain rate=1.2 entry_routers=2"
    echo "organisation=$name profile=autocomplete rate=0.6 entry_routers=2 max_tokens=8"
    echo "organisation=$name profile=status rate=0.5 entry_routers=2 plain=1"
    echo "organisation=$name profile=$fleet_side_effect rate=0.5 entry_routers=2 plain=1 keyed=1"
  done
}

# Sum of the lines "KEY=number" of all engines.
fleet_engine_sum() {
  local i
  for ((i = 1; i <= fleet_engines; i++)); do
    curl -s -m 5 "http://127.0.0.1:$(fleet_engine_port "$i")/control/stats"
  done | awk -F= -v key="$1" '$1 == key { sum += $2 } END { printf "%.3f\n", sum }'
}

# Lines "KEY runs" and the totals of all services, in one file.
fleet_collect_runs() {
  local i
  for ((i = 1; i <= fleet_services; i++)); do
    curl -sf -m 5 "http://127.0.0.1:$(fleet_service_port "$i")/control/runs" || return 1
  done >"$fleet_folder/runs.txt"
}

# Keys that ran more than once, over all services.
fleet_double_runs() {
  awk 'NF == 2 { runs[$1] += $2 } END { for (key in runs) if (runs[key] > 1) n++; print n + 0 }' \
    "$fleet_folder/runs.txt"
}

# fleet_false_ends FILE: of the calls in a file of peridot_load --keyed_calls,
# those that were refused as not run but ran, and those answered that never ran.
fleet_false_ends() {
  awk 'NR == FNR { if (NF == 2) runs[$1] += $2; next }
       $3 == "not_run" && runs[$1] > 0 { n++ }
       $3 == "answered" && runs[$1] == 0 { n++ }
       END { print n + 0 }' "$fleet_folder/runs.txt" "$1"
}
