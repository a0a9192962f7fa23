#!/usr/bin/env bash
# Install, build and run all tests; the last line counts them.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
status=0
ctest --test-dir build --output-on-failure -j 4 || status=$?
# Count single tests, not programs: each program prints its own. No match is no error.
count() { { grep -o "\[  $1  \] [0-9]* test" build/Testing/Temporary/LastTest.log || true; } | awk '{n += $4} END {print n + 0}'; }
failed=$(count FAILED)
if [ "$status" -ne 0 ] && [ "$failed" -eq 0 ]; then
  failed=1 # a program that crashed or ran out of time prints no count
fi
echo "$(count PASSED) passed, $failed failed"
exit "$status"
