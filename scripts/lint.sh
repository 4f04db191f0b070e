#!/usr/bin/env bash
# Checks formatting and lint of all C++ sources that are tracked or new. Exits
# with 1 if a file is not clean. Needs the release build's compile commands.
#   scripts/lint.sh format   formatting only
#   scripts/lint.sh tidy     lint only
#   scripts/lint.sh fix      rewrites the formatting
set -euo pipefail
cd "$(dirname "$0")/.."
what=${1:-all}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '\.pb\.' | sort -u)

if [ "$what" = fix ]; then
  clang-format -i "${sources[@]}"
  exit 0
fi
if [ "$what" = all ] || [ "$what" = format ]; then
  clang-format --dry-run --Werror "${sources[@]}"
fi
if [ "$what" = all ] || [ "$what" = tidy ]; then
  printf '%s\n' "${sources[@]}" | grep '\.cc$' \
    | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2> >(grep -vE 'warnings? (generated|treated)|Suppressed|Use -header-filter' >&2 || true)
fi
