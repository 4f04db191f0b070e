#!/usr/bin/env bash
# Exit status and messages of the operators' tool on good and bad input.
set -uo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0

# expect STATUS TEXT ARGUMENTS...: runs peridotctl; its output must hold TEXT.
expect() {
  local status=$1 text=$2 output actual
  shift 2
  output=$(build/peridotctl "$@" 2>&1)
  actual=$?
  if [ "$actual" -ne "$status" ] || ! grep -qF -- "$text" <<<"$output"; then
    echo "peridotctl $*: expected status $status and \"$text\", got $actual and: $output"
    failures=$((failures + 1))
  fi
}

printf 'version = 3\n[[organisation]]\nname = "bank"\n' >"$work/good.toml"
printf 'version = 3\n[[organisation]]\nname = "bank"\nweight = 0\n' >"$work/bad.toml"
printf 'process=a seq=1 kind=peer_alive mono_us=1 wall_us=1\n' >"$work/a.txt"
printf 'process=b seq=1 kind=peer_gone mono_us=1 wall_us=0\nbroken\n' >"$work/b.txt"

expect 0 'good.toml: valid, version 3' check-config "$work/good.toml"
expect 1 'bad.toml:4: organisation[0].weight: must be from' check-config "$work/bad.toml"
expect 1 'fleet_key: is missing' check-settings "$work/good.toml"
expect 1 'organisation: unknown key' check-list "$work/good.toml"
expect 1 'cannot be opened' check-list "$work/absent.toml"
expect 0 'a#1 peer_alive' timeline "$work/a.txt"
expect 1 '1 line left out as malformed' timeline "$work/a.txt" "$work/b.txt"
expect 1 'cannot be reached: 127.0.0.1:1' status --routers=127.0.0.1:1
expect 0 'Usage: peridotctl' --help
expect 0 'peridotctl 0.1.0' --version
expect 2 'a command is missing'
expect 2 'unknown command stop' stop
expect 2 'check-config needs a FILE' check-config
expect 2 'unknown flag --router' status --router=127.0.0.1:1
expect 2 '--routers: "host:1" must be IP:port' status --routers=host:1
expect 2 '--timeout: ' status --routers=127.0.0.1:1 --timeout=soon
expect 2 '--timeout: must be from 1ms to 30s' status --routers=127.0.0.1:1 --timeout=1h
expect 2 '--target does not apply to status' status --routers=127.0.0.1:1 --target=x
expect 2 'timeline needs --routers or a FILE' timeline
[ "$failures" -eq 0 ]
