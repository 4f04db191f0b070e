#!/usr/bin/env bash
# Guards against review/5 (RECOVER): a settings file with an error shows before a restart meets it, the
# router starts with it all the same, and one that lacks a required key is refused.
source "$(dirname "$0")/lib.sh"
start_fleet 1
metrics() { curl -sf http://127.0.0.1:18201/metrics; }
log=$WORK/router1.log
settings=$WORK/router1.toml
cp "$settings" "$WORK/valid.toml"

echo 'store_touch_ms = "soon"' >>"$settings"  # without a signal
sleep 12  # the file is checked every 10 s
shows '^peridot_settings_errors 1$' metrics || fail "a changed file with an error does not show"

kill -KILL "${PIDS[router1]}"
wait "${PIDS[router1]}" 2>/dev/null || true
"$BIN/peridot_router" --settings="$settings" >>"$log" 2>&1 &
PIDS[router1]=$!
wait_for "router 1 with an optional key in error" is_ready 1
wait_for "the line that names the default" shows 'the default is in force.*store_touch_ms' cat "$log"

cp "$WORK/valid.toml" "$settings"
kill -HUP "${PIDS[router1]}"
sleep 12
shows '^peridot_settings_errors 0$' metrics || fail "errors are counted after a reload without any"
shows 'Settings reloaded' cat "$log" || fail "the settings were not reloaded"
[ "$(grep -c 'Settings file changed' "$log")" -eq 1 ] || fail "settings that were reloaded are taken for changed without a signal"

sed -i '/^store_address/d' "$settings"
status=0
"$BIN/peridot_router" --settings="$settings" >"$WORK/refused.log" 2>&1 || status=$?
[ "$status" -eq 2 ] || fail "a router without the store's address ended with $status"
shows 'store_address' cat "$WORK/refused.log" || fail "the missing key is not named"
echo passed
