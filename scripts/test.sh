#!/usr/bin/env bash
# Install, build and run all tests; the last line counts them.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
status=0
ctest --test-dir build --output-on-failure -j 4 --output-junit junit.xml || status=$?
# Count single tests, not programs: each program prints its own.
passed=$(grep -o '\[  PASSED  \] [0-9]* test' build/junit.xml | awk '{n += $4} END {print n + 0}')
failed=$(grep -o '\[  FAILED  \] [0-9]* test' build/junit.xml | awk '{n += $4} END {print n + 0}')
echo "$passed passed, $failed failed"
exit "$status"
