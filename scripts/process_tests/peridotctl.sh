#!/usr/bin/env bash
# Tests the commands of peridotctl: check, status, metrics, and the timeline of a call and of
# a configuration version.
source "$(dirname "$0")/lib.sh"
start_fleet 2
shows ': ok$' "$BIN/peridotctl" check "$WORK/router1.toml" || fail "check rejects valid settings"
echo 'colour = 1' | cat "$WORK/router1.toml" - >"$WORK/bad.toml"
status=0
"$BIN/peridotctl" check "$WORK/bad.toml" >"$WORK/bad.txt" || status=$?
[ "$status" -eq 1 ] && grep -q 'colour' "$WORK/bad.txt" || fail "check does not report the unknown setting: $(cat "$WORK/bad.txt")"
curl -sf "http://127.0.0.1:19000/v1/kv-range?path_prefix=op/config" | grep -o '"value":"[^"]*"' | cut -d'"' -f4 | base64 -d >"$WORK/config.json"
"$BIN/peridotctl" config check "$WORK/config.json" || fail "config check finds errors in a sound configuration"
sed 's/"timeout_ms":5000/"timeout_ms":100/; s/"version":1/"version":2/' "$WORK/config.json" >"$WORK/changed.json"
status=0
"$BIN/peridotctl" config check "$WORK/changed.json" --against="$WORK/config.json" >"$WORK/check.txt" || status=$?
[ "$status" -eq 1 ] && grep -q 'error: route chat: latency objective' "$WORK/check.txt" && grep -q 'changed: route chat: timeout_ms 5000 -> 100' "$WORK/check.txt" || fail "config check: $(cat "$WORK/check.txt")"
sleep 1
"$BIN/peridotctl" status 127.0.0.1:18201 127.0.0.1:18202 >"$WORK/status.txt" || fail "the status command failed"
[ "$(grep -c '^router=' "$WORK/status.txt")" -eq 2 ] || fail "status does not list both routers: $(cat "$WORK/status.txt")"
grep -q '^target=i-1 ' "$WORK/status.txt" || fail "status lists no target"
shows '^peridot_config_version 1' "$BIN/peridotctl" metrics 127.0.0.1:18201 || fail "metrics do not show configuration version 1"
! "$BIN/peridotctl" status 127.0.0.1:18299 >/dev/null || fail "status of an address without a router succeeds"
[ "$(http_status -X POST -H 'Host: app.example' -H 'X-Peridotspur-Attempt-Id: timeline_call' http://127.0.0.1:18001/book/1)" = 200 ] || fail "call: status is not 200"
sleep 0.3
"$BIN/peridotctl" timeline --call=timeline_call "$WORK"/router*.log >"$WORK/timeline.txt"
[ "$(wc -l <"$WORK/timeline.txt")" -eq 2 ] && head -1 "$WORK/timeline.txt" | grep -q 'Call sent' && tail -1 "$WORK/timeline.txt" | grep -q 'outcome=answered' || fail "timeline of a call: $(cat "$WORK/timeline.txt")"
shows 'Configuration in force' "$BIN/peridotctl" timeline --version=1 "$WORK"/router*.log || fail "timeline of configuration version 1 does not show that it came into force"
echo passed
