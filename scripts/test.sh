#!/usr/bin/env bash
# Installs packages, checks format and lint, builds, and runs all tests: the unit
# tests, the unit tests under the address and undefined-behaviour sanitizers, and the
# process tests (scripts/process_tests). The last line is "N passed, N failed".
#
# A failed step counts as one failure, and the next steps run nevertheless. A failed
# step that KNOWN-RED.txt lists as "  bash NAME" is printed and not counted. A unit test case
# that it lists as "  test case: NAME" (no commas) is left out of the unit tests.
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
    echo "known failure: $name"
  else
    failed=$((failed + 1))
    failures+=("$name")
  fi
}

# run_unit_tests FOLDER: runs the unit test programs of a build folder in parallel and counts
# their test cases.
run_unit_tests() {
  local folder=$1 logs binary pids=() names=() index
  logs=$(mktemp -d)
  local known_failures
  known_failures=$(sed -n 's/^  test case: //p' KNOWN-RED.txt | paste -sd, -)
  for binary in "$folder"/*_tests; do
    "$binary" --no-colors=true ${known_failures:+"--test-case-exclude=$known_failures"} >"$logs/$(basename "$binary")" 2>&1 &
    pids+=($!)
    names+=("$binary")
  done
  for index in "${!pids[@]}"; do
    wait "${pids[$index]}"
    count_test_cases "${names[$index]}" $? "$logs/$(basename "${names[$index]}")"
  done
  rm -rf "$logs"
}

# count_test_cases BINARY STATUS LOG: adds the test cases of one program to the totals. A program
# without a passed test case or with a nonzero exit status counts at least one failure.
count_test_cases() {
  local binary=$1 status=$2 log=$3 summary passed_cases failed_cases
  echo "== $binary"
  summary=$(grep -E '^\[doctest\] test cases:' "$log" | tail -1)
  passed_cases=$(sed -nE 's/.*\| *([0-9]+) passed.*/\1/p' <<<"$summary")
  failed_cases=$(sed -nE 's/.*\| *([0-9]+) failed.*/\1/p' <<<"$summary")
  if [ "$status" -ne 0 ] || [ -z "$summary" ] || [ "${passed_cases:-0}" -eq 0 ]; then
    tail -60 "$log"
    [ "${failed_cases:-0}" -gt 0 ] || failed_cases=$((${failed_cases:-0} + 1))
    failures+=("$binary")
  fi
  echo "${summary:-no summary, exit status $status}"
  passed=$((passed + ${passed_cases:-0}))
  failed=$((failed + ${failed_cases:-0}))
}

step "install packages" scripts/install.sh
step "format" scripts/lint.sh format
step "build" scripts/build.sh release
step "lint" scripts/lint.sh tidy
run_unit_tests build
step "build with sanitizers" scripts/build.sh sanitize
run_unit_tests build-sanitize
for script in scripts/process_tests/*.sh; do
  [ -e "$script" ] || continue
  case $(basename "$script") in lib.sh) continue ;; esac
  step "$script" bash "$script"
done

echo "known failures (KNOWN-RED.txt):"
sed -n '2,$p' KNOWN-RED.txt
for name in ${failures[@]+"${failures[@]}"}; do
  echo "failed: $name"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
