#!/usr/bin/env bash
# Format and lint; any finding fails. `scripts/lint.sh --fix` formats in place.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cpp' '*.hpp')
if [ "${1:-}" = --fix ]; then
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cpp$' |
  xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2>/tmp/pepperbay-tidy.err || {
  grep -E 'error:' /tmp/pepperbay-tidy.err || true
  exit 1
}
echo "format and lint: clean"
