#!/usr/bin/env bash
# Installs packages, checks format and lint, builds, and runs all tests: the unit
# tests, the unit tests under the address and undefined-behaviour sanitizers, and the
# process tests (scripts/process_tests). The last line is "N passed, N failed".
#
# A failed step counts as one failure, and the next steps run nevertheless. A failed
# step that KNOWN-RED.txt lists as "  bash NAME" is printed and not counted.
set -uo pipefail
cd "$(dirname "$0")/.."

passed=0
failed=0
failures=()

# step NAME COMMAND...: runs a command and counts it as one test, by its exit status.
step() {
  local name=$1
  shift
  echo "== $name"
  if "$@"; then
    passed=$((passed + 1))
  elif grep -qxF "  bash $name" KNOWN-RED.txt; then
    echo "known to be red: $name"
  else
    failed=$((failed + 1))
    failures+=("$name")
  fi
}

# units FOLDER: runs the unit test programs of a build folder in parallel and counts
# their test cases.
units() {
  local folder=$1 logs binary pids=() names=() index
  logs=$(mktemp -d)
  for binary in "$folder"/*_tests; do
    "$binary" --no-colors=true >"$logs/$(basename "$binary")" 2>&1 &
    pids+=($!)
    names+=("$binary")
  done
  for index in "${!pids[@]}"; do
    wait "${pids[$index]}"
    count_unit "${names[$index]}" $? "$logs/$(basename "${names[$index]}")"
  done
  rm -rf "$logs"
}

# count_unit BINARY STATUS LOG: adds the test cases of one program to the totals. A program
# without a passed test case or with a nonzero exit status counts at least one failure.
count_unit() {
  local binary=$1 status=$2 log=$3 summary good bad
  echo "== $binary"
  summary=$(grep -E '^\[doctest\] test cases:' "$log" | tail -1)
  good=$(sed -nE 's/.*\| *([0-9]+) passed.*/\1/p' <<<"$summary")
  bad=$(sed -nE 's/.*\| *([0-9]+) failed.*/\1/p' <<<"$summary")
  if [ "$status" -ne 0 ] || [ -z "$summary" ] || [ "${good:-0}" -eq 0 ]; then
    tail -60 "$log"
    [ "${bad:-0}" -gt 0 ] || bad=$((${bad:-0} + 1))
    failures+=("$binary")
  fi
  echo "${summary:-no summary, exit status $status}"
  passed=$((passed + ${good:-0}))
  failed=$((failed + ${bad:-0}))
}

step "install packages" scripts/install.sh
step "format" scripts/lint.sh format
step "build" scripts/build.sh release
step "lint" scripts/lint.sh tidy
units build
step "build with sanitizers" scripts/build.sh sanitize
units build-sanitize
for script in scripts/process_tests/*.sh; do
  [ -e "$script" ] || continue
  case $(basename "$script") in lib.sh) continue ;; esac
  step "$script" bash "$script"
done

echo "known to be red (KNOWN-RED.txt):"
sed -n '2,$p' KNOWN-RED.txt
for name in ${failures[@]+"${failures[@]}"}; do
  echo "failed: $name"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
