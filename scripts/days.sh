#!/usr/bin/env bash
# Play the day files of tests/days/ with the users' bench and list what came out.
#
#   scripts/days.sh BENCH SITE [GLOB] > table
#
# BENCH and SITE are paths; the bench is not part of this repository and CI does not need it.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2 glob=${3:-*}
play() {
  day=$(basename "$3" .toml)
  line=$("$1" run "$2" "$3" --jobs 1 --why "kinds of trouble: $day" 2>&1 | grep -E "^$day " || true)
  echo "${line:-$day did not play}"
}
export -f play
find tests/days -name "$glob.toml" | sort | xargs -P "${JOBS:-3}" -I{} bash -c 'play "$@"' _ "$bench" "$site" {}
