#!/usr/bin/env bash
# run_case.sh NUMBER: runs the driver of a case. Exits with 1 if the rule was broken, 0 if it held, 2
# if the case could not run. TROUBLE=0 leaves the disruption out.
#
# The driver starts the routers and ends them by their ids; they also end if the driver is killed.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
number=$1
router=target/peridot_router  # as in deploy/system.toml
driver=target/review-2/drive-$number
if [ ! -x "$router" ] || [ ! -x "$driver" ]; then
  echo "build first: the command of deploy/system.toml, then review/build-2.sh"
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 2 100 "$driver" "$folder" "$router" "review/$number/record.txt" "${TROUBLE:-1}"
status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
