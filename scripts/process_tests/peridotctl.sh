#!/usr/bin/env bash
# The operators' tool peridotctl: check of settings, status, metrics, timeline of a call.
source "$(dirname "$0")/lib.sh"
start_fleet 2
"$BIN/peridotctl" check "$WORK/router1.toml" | grep -q ': ok$' || fail "check rejects valid settings"
echo 'colour = 1' | cat "$WORK/router1.toml" - >"$WORK/bad.toml"
status=0
"$BIN/peridotctl" check "$WORK/bad.toml" >"$WORK/bad.txt" || status=$?
[ "$status" -eq 1 ] && grep -q 'colour' "$WORK/bad.txt" || fail "check does not report the unknown setting: $(cat "$WORK/bad.txt")"
sleep 1
"$BIN/peridotctl" status 127.0.0.1:18201 127.0.0.1:18202 >"$WORK/status.txt" || fail "the status command failed"
[ "$(grep -c '^router=' "$WORK/status.txt")" -eq 2 ] || fail "status does not list both routers: $(cat "$WORK/status.txt")"
grep -q '^target=i-1 ' "$WORK/status.txt" || fail "status lists no target"
"$BIN/peridotctl" metrics 127.0.0.1:18201 | grep -q '^peridot_config_version 1' || fail "metrics do not show configuration version 1"
! "$BIN/peridotctl" status 127.0.0.1:18299 >/dev/null || fail "status of an address without a router succeeds"
[ "$(http_status -X POST -H 'Host: app.example' -H 'X-Peridotspur-Attempt-Id: walk1' http://127.0.0.1:18001/book/1)" = 200 ] || fail "call: status is not 200"
sleep 0.3
"$BIN/peridotctl" timeline --call=walk1 "$WORK"/router*.log >"$WORK/line.txt"
[ "$(wc -l <"$WORK/line.txt")" -eq 2 ] && head -1 "$WORK/line.txt" | grep -q 'Call sent' && tail -1 "$WORK/line.txt" | grep -q 'outcome=answered' || fail "timeline of a call: $(cat "$WORK/line.txt")"
"$BIN/peridotctl" timeline --version=1 "$WORK"/router*.log | grep -q 'Configuration in force' || fail "timeline of a version"
echo passed
