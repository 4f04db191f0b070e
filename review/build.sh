#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start, into build-review/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake -S . -B build-review -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DPERIDOT_TESTS=OFF
cmake --build build-review -j8 --target platform_standin peridot_load
for program in recording_server recording_client stream_client proxy; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -I. "review/standins/$program.cc" -o "build-review/$program"
done
