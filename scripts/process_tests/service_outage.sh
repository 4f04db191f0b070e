#!/usr/bin/env bash
# The configuration service is down for long, then serves an old version, then a
# bad one, then a new one.
set -uo pipefail
source "$(dirname "$0")/lib.sh" service_outage 390
test_begin
service=http://127.0.0.1:$fleet_config_port/control

faults() { curl -sf -m 2 -X POST "$service/faults?$1" >/dev/null || fail "no fault could be set"; }

cp "$fleet_folder/config.toml" "$fleet_folder/old.toml"
fleet_publish
wait_until 5 version_in_force 2 || fail "version 2 is not in force"
load_start 28 --move_on_when_stopping
sleep 1
faults down=1
say "the configuration service is down"
sleep 4
fleet_stop router-4 || fail "router-4 did not end with 0"
fleet_start_router 4
fleet_wait_ready 10 || fail "a router restarted in the outage is not ready"
expect_equal "version of a router that restarted in the outage" "$(status_field 4 config_version)" 2
call_succeeds 4 autocomplete || fail "the restarted router serves no calls"
sleep 4
version_in_force 2 || fail "a version was lost in the outage"

curl -sf -m 5 -X PUT --data-binary "@$fleet_folder/old.toml" "$service/values/config" >/dev/null ||
  fail "the old version could not be put"
faults down=0
say "the service is back, and serves version 1"
fleet_stop router-7 || fail "router-7 did not end with 0"
fleet_start_router 7
fleet_wait_ready 10 || fail "a router restarted beside a stale service is not ready"
sleep 3
version_in_force 2 || fail "a stale service reverted a version"

sed -e 's/^version = .*/version = 3/' -e 's/^heartbeat_interval_ms = .*/heartbeat_interval_ms = 0/' \
  "$fleet_folder/config.toml" >"$fleet_folder/bad.toml"
curl -sf -m 5 -X PUT --data-binary "@$fleet_folder/bad.toml" "$service/values/config" >/dev/null ||
  fail "the bad version could not be put"
say "the service serves a bad version 3"
sleep 4
version_in_force 2 || fail "a bad version is in force"
refusals=$(cat "$fleet_folder"/router-*.log | grep -c 'Document is refused')
expect_at_least "times that a router logged the refusal" "$refusals" 1
expect_at_most "times that a router logged the refusal" "$refusals" "$fleet_routers"

fleet_publish
published=$(milliseconds)
wait_until 6 version_in_force 3 || fail "version 3 is not in force"
expect_at_most "ms until version 3 is in force everywhere" "$(($(milliseconds) - published))" 5000
load_wait
expect_equal "broken answers" "$(reported broken)" 0
test_end
