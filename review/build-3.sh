#!/usr/bin/env bash
# Builds the stand-ins of review/11 to 15 into build-review-3/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
out=../../build-review-3
mkdir -p "$out"
for name in extra_answer slow_caller late_entry pipelining_caller old_version; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$name" "$name.cc" rig.cc
done
