#!/usr/bin/env bash
# Install the Debian packages that are missing and build into build/.
# SKIP_INSTALL=1 leaves the machine's packages alone.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${SKIP_INSTALL:-0}" != 1 ]; then
  mapfile -t missing < <(while read -r name; do
    dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'ok installed' || echo "$name"
  done < scripts/packages.txt)
  if [ "${#missing[@]}" -gt 0 ]; then
    sudo=$([ "$(id -u)" = 0 ] || echo sudo)
    $sudo apt-get update -qq
    $sudo apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
  fi
fi
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
