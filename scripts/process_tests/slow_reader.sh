#!/usr/bin/env bash
# Nobody reads a router's log: its pipe fills up, and calls are served on.
source "$(dirname "$0")/lib.sh"
start_platform
write_settings 1
mkfifo "$WORK/log"
sleep 60 <>"$WORK/log" &
PIDS[holder]=$!
"$BIN/peridot_router" --settings="$WORK/router1.toml" >"$WORK/log" 2>/dev/null &
PIDS[router1]=$!
wait_for "router 1" is_ready 1
"$BIN/peridot_load" --routers="$(callers_of 1)" --seconds=5 --per_second=150 >"$WORK/load.txt" || fail "load: $(cat "$WORK/load.txt")"
[ "$(field whole "$WORK/load.txt")" -eq "$(field calls "$WORK/load.txt")" ] || fail "$(cat "$WORK/load.txt")"
echo passed
