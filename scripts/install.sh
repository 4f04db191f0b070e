#!/usr/bin/env bash
# Installs the Debian packages of packages.txt, which the build, the tests and the demo
# need. Does nothing if all are installed; otherwise needs root or sudo.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done < scripts/packages.txt
[ ${#missing[@]} -eq 0 ] && exit 0

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
