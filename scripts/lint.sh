#!/usr/bin/env bash
# Checks all C++ sources that git tracks or would add, except generated protobuf code, with
# clang-format and clang-tidy. Exits with an error if one of them finds something. clang-tidy needs
# build/compile_commands.json of the release build.
#   scripts/lint.sh format   clang-format only
#   scripts/lint.sh tidy     clang-tidy only
#   scripts/lint.sh fix      formats the sources in place
set -euo pipefail
cd "$(dirname "$0")/.."
mode=${1:-all}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '\.pb\.' | sort -u)

if [ "$mode" = fix ]; then
  clang-format -i "${sources[@]}"
  exit 0
fi
if [ "$mode" = all ] || [ "$mode" = format ]; then
  clang-format --dry-run --Werror "${sources[@]}"
fi
if [ "$mode" = all ] || [ "$mode" = tidy ]; then
  printf '%s\n' "${sources[@]}" | grep '\.cc$' \
    | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2> >(grep -vE 'warnings? (generated|treated)|Suppressed|Use -header-filter' >&2 || true)
fi
