# Shared by the tests over real processes. To be sourced:
#
#   source "$(dirname "$0")/lib.sh" kill_router 310   # name, port shift of its own
#   test_begin
#   load_start 20 --allow_broken       # seconds, more flags of peridot_load
#   load_wait
#   test_end                           # checks that always hold; exits with 0 or 1
#
# Each test starts a fleet of its own by scripts/fleet.sh and stops it by pid.
# Sourcing sets the working directory to the root of the repository.

cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 1
test_name=$1
PERIDOT_PORT_SHIFT=$2
source scripts/fleet.sh
test_failures=0
load_pid=

say() { echo "$test_name: $*"; }

fail() {
  echo "$test_name: failed: $*"
  test_failures=$((test_failures + 1))
}

# expect_equal WHAT ACTUAL EXPECTED
expect_equal() {
  say "$1: $2"
  [ "$2" = "$3" ] || fail "$1 is $2, expected $3"
}

# expect_at_most WHAT ACTUAL LIMIT: whole numbers.
expect_at_most() {
  say "$1: $2"
  [ "$2" -le "$3" ] || fail "$1 is $2, expected at most $3"
}

# expect_at_least WHAT ACTUAL LIMIT: whole numbers.
expect_at_least() {
  say "$1: $2"
  [ "$2" -ge "$3" ] || fail "$1 is $2, expected at least $3"
}

# Starts a whole fleet and waits until it is ready.
test_begin() {
  fleet_begin
  fleet_write_documents
  fleet_start_stand_ins || { fail "a stand-in does not listen"; exit 1; }
  fleet_start_routers
  fleet_wait_ready 30 || { fail "the fleet does not become ready"; exit 1; }
  wait_until 5 holders_are_single || { fail "the shards have no holders"; exit 1; }
  all_shards=$(shards_held | awk '{ print $2 }' | sort)
  say "a fleet of $fleet_routers routers is ready"
}

milliseconds() { date +%s%3N; }

# wait_until SECONDS COMMAND...: repeats the command until it succeeds.
wait_until() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep 0.1
  done
}

router_url() { echo "http://127.0.0.1:$(fleet_http_port "$1")"; }

# status_field ROUTER KEY: from the router's own line.
status_field() {
  curl -s -m 2 "$(router_url "$1")/status" | head -n 1 | tr ' ' '\n' | sed -n "s/^$2=//p"
}

# Lines "ROUTER POOL/INDEX" of the shards that routers say they hold, by the
# operators' tool.
shards_held() {
  "$fleet_build/peridotctl" status --routers="$(fleet_router_addresses)" --timeout=1s 2>/dev/null |
    awk '$1 == "shard" && NF == 1 { inside = 1; next }
         NF <= 1 { inside = 0 }
         inside && $1 != "router" { print $1, $2 "/" $3 }' | sed -E 's/^127\.0\.0\.1:([0-9]+)/\1/' |
    awk -v base=$((18000 + fleet_shift)) '{ print $1 - base, $2 }'
}

# True if each shard has one holder, and no shard of the start is missing.
holders_are_single() {
  local held
  held=$(shards_held | awk '{ print $2 }' | sort)
  [ -n "$held" ] && [ -z "$(uniq -d <<<"$held")" ] &&
    { [ -z "${all_shards:-}" ] || [ "$held" = "$all_shards" ]; }
}

# One router that holds a shard, not router-1.
a_holder() { shards_held | awk '$1 != 1 { print $1; exit }'; }

# One router that holds none, not router-1.
a_non_holder() {
  local holders
  holders=$(shards_held | awk '{ printf " %s ", $1 }')
  local i
  for ((i = 2; i <= fleet_routers; i++)); do
    case $holders in *" $i "*) ;; *) echo "$i"; return ;; esac
  done
}

# Callers of models, of status checks and of calls that may not be repeated.
test_mix() {
  local name
  for name in "${fleet_large[@]}"; do
    echo "organisation=$name profile=explain rate=4 weight=3 retries=6"
    echo "organisation=$name profile=autocomplete rate=2 weight=3 max_tokens=8 retries=6"
    echo "organisation=$name profile=status rate=2 weight=3 plain=1 retries=6"
    echo "organisation=$name profile=$fleet_side_effect rate=6 weight=3 plain=1 keyed=1 retries=6"
  done
  for name in "${fleet_small[@]}"; do
    echo "organisation=$name profile=explain rate=0.4 retries=6"
    echo "organisation=$name profile=$fleet_side_effect rate=0.5 plain=1 keyed=1 retries=6"
  done
}

# load_start SECONDS FLAGS...: load in the background.
load_start() {
  local seconds=$1
  shift
  [ -s "$fleet_folder/mix.txt" ] || test_mix >"$fleet_folder/mix.txt"
  "$fleet_build/peridot_load" --routers="$(fleet_router_addresses)" --seconds="$seconds" \
    --drain_seconds=20 --max_attempts=12 --mix="$fleet_folder/mix.txt" \
    --report="$fleet_folder/report.txt" --keyed_calls="$fleet_folder/keyed.txt" "$@" \
    >"$fleet_folder/load.log" 2>&1 &
  load_pid=$!
  fleet_pids[load]=$load_pid
}

# load_stop: no more arrivals.
load_stop() { kill -TERM "$load_pid" 2>/dev/null; }

# Waits for the load, says what became of it, and checks what always holds:
# nothing wrong, nothing cut that passes for whole, nothing run twice, and no
# outcome told to a caller that was not true.
load_wait() {
  wait "$load_pid"
  unset "fleet_pids[load]"
  say "calls $(reported calls), answered $(reported answered), not run $(reported not_run)," \
    "failed $(reported failed), unknown $(reported unknown), broken $(reported broken)," \
    "unreached $(reported unreached), not sent $(reported not_sent), unfinished $(reported unfinished)"
  grep -E '^(not_run|failed|unknown)\.' "$fleet_folder/report.txt" | sed "s/^/$test_name:   /"
  expect_equal "wrong answers" "$(reported wrong)" 0
  expect_equal "cut answers" "$(reported cut)" 0
  expect_equal "unfinished calls" "$(reported unfinished)" 0
  fleet_collect_runs || fail "a service does not tell its runs"
  expect_equal "keys that ran twice" "$(fleet_double_runs)" 0
  expect_equal "bodies that ran twice" \
    "$(awk -F= '$1 == "double_bodies" { sum += $2 } END { print sum + 0 }' "$fleet_folder/runs.txt")" 0
  expect_equal "outcomes that were not true" "$(fleet_false_ends "$fleet_folder/keyed.txt")" 0
  expect_at_least "keyed calls answered" \
    "$(awk '$3 == "answered" { n++ } END { print n + 0 }' "$fleet_folder/keyed.txt")" 50
}

# A number of the load's report, 0 if it is not there.
reported() {
  local value
  value=$(sed -n "s/^$1=//p" "$fleet_folder/report.txt")
  echo "${value:-0}"
}

# call ROUTER PROFILE [CURL_FLAGS...]: one call; prints its status.
call() {
  local router=$1 profile=$2
  shift 2
  curl -s -o /dev/null -w '%{http_code}' -m 5 -X POST -H "X-Organisation: ${fleet_small[0]}" \
    -H "X-Profile: $profile" -H 'X-Max-Tokens: 2' -d "probe $RANDOM $RANDOM" "$@" \
    "$(router_url "$router")/v1/requests"
}

# take_key ROUTER: an idempotency key of this router.
take_key() {
  curl -s -m 2 -X POST "$(router_url "$1")/v1/keys" | sed -E 's/.*\["([^"]+)"\].*/\1/'
}

call_succeeds() { [ "$(call "$1" "$2")" = 200 ]; }

# engine_stat NUMBER KEY
engine_stat() {
  curl -s -m 2 "http://127.0.0.1:$(fleet_engine_port "$1")/control/stats" | sed -n "s/^$2=//p"
}

# True if all routers have at least this version of the configuration.
version_in_force() {
  local i
  for ((i = 1; i <= fleet_routers; i++)); do
    [ "$(status_field "$i" config_version)" = "$1" ] || return 1
  done
}

# Stops the fleet, and ends with 0 if nothing failed.
test_end() {
  fleet_stop_all || fail "a process did not end with 0"
  say "took $SECONDS s"
  [ "$test_failures" -eq 0 ] && say "passed"
  exit $((test_failures > 0))
}
