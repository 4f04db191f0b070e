#!/usr/bin/env bash
# Calls are served although nobody reads the router's log and its pipe is full.
source "$(dirname "$0")/lib.sh"
start_platform
write_settings 1
mkfifo "$WORK/log"
# Keeps the pipe open, but never reads from it.
sleep 60 <>"$WORK/log" &
PIDS[fifo_holder]=$!
"$BIN/peridot_router" --settings="$WORK/router1.toml" >"$WORK/log" 2>/dev/null &
PIDS[router1]=$!
wait_for "router 1" is_ready 1
"$BIN/peridot_load" --routers="$(caller_addresses 1)" --seconds=5 --per_second=150 >"$WORK/load.txt" || fail "peridot_load failed: $(cat "$WORK/load.txt")"
[ "$(field whole "$WORK/load.txt")" -eq "$(field calls "$WORK/load.txt")" ] || fail "not all calls got a complete response: $(cat "$WORK/load.txt")"
echo passed
