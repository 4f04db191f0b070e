# Helpers of the review's scripts: a small fleet of routers and a platform, on loopback.
#
# Each machine has its own loopback address, 127.NET.0.N with a random NET, so that the ports of
# the template are free. Settings are rendered from deploy/settings.toml with the figures of the
# deployment "ashyq-esik". cleanup() ends every process by its id.
set -euo pipefail
REVIEW_DIR=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
REPO_DIR=$(cd "$REVIEW_DIR/.." && pwd)
CASE_DIR=$(cd "$(dirname "$0")" && pwd)
WORK=$(mktemp -d)
RECORD=$CASE_DIR/record.txt
TROUBLE=${TROUBLE:-1}
ROUTER_COUNT=3
GRACE_S=8
STANDIN_TARGETS=""  # flags of platform_standin
VERDICT=""  # "broken" once a script has found the rule broken
declare -A PIDS=()
declare -A STORE_PATH=()  # by router: the address of a proxy that stands for its path to the store
: >"$RECORD"

note() {
  printf '%s %s\n' "$(date +%H:%M:%S.%3N)" "$*" | tee -a "$RECORD"
}

# A script that fails for another reason than a broken rule could not run: status 2.
cleanup() {
  local status=$? name
  exec 2>/dev/null  # the shell reports each process that was killed
  for name in "${!PIDS[@]}"; do
    kill -CONT "${PIDS[$name]}" 2>/dev/null || true
    kill -KILL "${PIDS[$name]}" 2>/dev/null || true
    wait "${PIDS[$name]}" 2>/dev/null || true
  done
  rm -rf "$WORK"
  if [ "$status" -ne 0 ] && [ "$VERDICT" != broken ]; then exit 2; fi
}
trap cleanup EXIT

# The case cannot run.
give_up() {
  note "cannot run: $*"
  exit 2
}

# write_settings N GRACE_S: the settings file of machine N, as the platform renders it.
write_settings() {
  local n=$1 ip=127.$NET.0.$1
  cat >"$WORK/fields$n" <<END
node=front-almaty-$n
zone=almaty-$(echo abc | cut -c$(((n - 1) % 3 + 1)))
ip=$ip
listen.front=$ip:8783
listen.readiness=$ip:8780
listen.control=$ip:8785
inner_ports=7400,7415
seeds=127.$NET.0.1:8785,127.$NET.0.2:8785,127.$NET.0.3:8785
limits.cpu_share=0.25
bounds.touch_ms=3000
bounds.grace_s=$2
bounds.budget_ratio=0.2
bounds.budget_slack=58
bounds.cold_over=1.5
bounds.cold_slack=5
platform.address=$STORE
END
  awk -f "$REVIEW_DIR/lib/render_settings.awk" "$WORK/fields$n" "$REPO_DIR/deploy/settings.toml" \
    >"$WORK/settings$n.toml"
  if [ -n "${STORE_PATH[$n]:-}" ]; then
    sed -i "s/^store_address = .*/store_address = \"${STORE_PATH[$n]}\"/" "$WORK/settings$n.toml"
  fi
}

start_router() {
  local n=$1
  (cd "$REPO_DIR" && exec target/peridot_router --settings="$WORK/settings$n.toml") \
    >>"$WORK/router$n.log" 2>&1 &
  PIDS[router$n]=$!
}

is_running() {
  kill -0 "${PIDS[$1]}" 2>/dev/null
}

# Whether machine N answers the platform's readiness check with 200.
is_ready() {
  local status
  exec 9<>"/dev/tcp/127.$NET.0.$1/8780" || return 1
  printf 'GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&9
  read -r -t 1 -u 9 _ status _ || status=0
  exec 9>&-
  [ "$status" = 200 ]
} 2>/dev/null

wait_ready() {
  local n=$1 try
  for try in $(seq 100); do
    if is_ready "$n"; then return 0; fi
    sleep 0.1
  done
  give_up "router $n is not ready within 10 s"
}

# Starts the platform's stand-in at addresses that are free.
start_platform() {
  local try
  for try in 1 2 3 4 5; do
    NET=$((RANDOM % 200 + 20))
    STORE=127.$NET.0.250:19000
    "$REPO_DIR/build-review/platform_standin" --store="$STORE" \
      --first_port=$((RANDOM % 9000 + 20000)) $STANDIN_TARGETS >"$WORK/platform.log" 2>&1 &
    PIDS[platform]=$!
    sleep 0.5
    if is_running platform; then return 0; fi
    wait "${PIDS[platform]}" || true
  done
  give_up "the platform's stand-in does not start"
}

# start_store_path N: the path of router N to the store, to be called before start_routers.
start_store_path() {
  STORE_PATH[$1]=127.$NET.0.$((240 + $1)):19000
  "$REPO_DIR/build-review/proxy" "${STORE_PATH[$1]}" "$STORE" &
  PIDS[path$1]=$!
}

start_fleet() {
  start_platform
  start_routers
}

start_routers() {
  local n
  for n in $(seq $ROUTER_COUNT); do
    write_settings "$n" $GRACE_S
    start_router "$n"
  done
  for n in $(seq $ROUTER_COUNT); do wait_ready "$n"; done
}

caller_addresses() {
  local n list=""
  for n in $(seq $ROUTER_COUNT); do list+="${list:+,}127.$NET.0.$n:8783"; done
  echo "$list"
}

# run_load SECONDS PER_SECOND: sets CALLS and SERVED.
run_load() {
  "$REPO_DIR/build-review/peridot_load" --routers="$(caller_addresses)" --seconds="$1" \
    --per_second="$2" >"$WORK/load.txt" 2>&1 || true
  CALLS=$(grep -o '^calls=[0-9]*' "$WORK/load.txt" | cut -d= -f2)
  SERVED=$(grep -o ' whole=[0-9]*' "$WORK/load.txt" | cut -d= -f2)
  note "load: $(head -1 "$WORK/load.txt")"
}

# put_item KEY VALUE: writes an item to the store.
put_item() {
  exec 9<>"/dev/tcp/${STORE%:*}/${STORE#*:}"
  printf 'PUT /admin/item?key=%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "${#2}" "$2" >&9
  cat <&9 >/dev/null
  exec 9>&-
}

# remove_item KEY: removes an item from the store.
remove_item() {
  exec 9<>"/dev/tcp/${STORE%:*}/${STORE#*:}"
  printf 'DELETE /admin/item?key=%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' "$1" >&9
  cat <&9 >/dev/null
  exec 9>&-
}

# start_server N ID POOL SLOTS WORK_MS [VERSION]: a server of the platform that records its runs.
start_server() {
  local n=$1 id=$2 address=127.$NET.0.$((100 + $1)):9000
  "$REPO_DIR/build-review/recording_server" "$address" "$id" "$5" "$WORK/server-$id.txt" \
    "${6:-v1}" &
  PIDS[server$n]=$!
  put_item "servers/$id" "{\"service\":\"$3\",\"address\":\"$address\",\"zone\":\"almaty-a\",\"version\":\"${6:-v1}\",\"slots\":$4,\"state\":\"ready\",\"cold_left_ms\":0,\"call_seq\":1,\"born\":$(date +%s%3N)}"
}

# start_clients NAME CLIENTS SECONDS PAUSE_MS PATH BODY
start_clients() {
  "$REPO_DIR/build-review/recording_client" "$(caller_addresses)" "$2" "$3" "$4" "$5" "$6" \
    "$WORK/$1.txt" &
  PIDS[$1]=$!
}

wait_for() {
  wait "${PIDS[$1]}"
  unset "PIDS[$1]"
}

# Milliseconds of the monotonic clock, as the stand-ins record them.
monotonic_ms() {
  awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime
}
