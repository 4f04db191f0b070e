#!/usr/bin/env bash
# Builds the drivers and stand-ins of the cases 6 and above into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/drive.cc; do
  case_number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -g1 -Wall -Wextra -pthread -I. \
    "$source" review/lib-2/*.cc -o "target/review-2/drive-$case_number"
done
