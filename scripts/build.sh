#!/usr/bin/env bash
# build.sh [PRESET]: configures and builds the preset "release" (default) or "sanitize".
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" -- -j "$(nproc)"
