#!/usr/bin/env bash
# Installs packages, builds, starts three routers and a stand-in for the platform, sends
# 90 calls per second for 10 seconds and prints their results. The exit status is that
# of peridot_load.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh release
source scripts/process_tests/lib.sh
start_fleet 3
echo "Three routers are ready: callers at $(caller_addresses 1 2 3), status at http://127.0.0.1:18201/status"
status=0
"$BIN/peridot_load" --routers="$(caller_addresses 1 2 3)" --seconds=10 --per_second=90 || status=$?
echo "Runs counted by the targets: $(ledger)"
exit "$status"
