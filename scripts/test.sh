#!/usr/bin/env bash
# Install, build and run all tests; the last line counts them. Tests that KNOWN-RED.txt lists are
# passed over and printed; a line there that names no test is an error.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
known=KNOWN-RED.txt
red=()
if [ -s "$known" ]; then
  mapfile -t red < <(cut -d'|' -f1 "$known" | tr -d ' ')
fi
# Suite.Test/parameter passes over one case of a test with parameters.
for it in "${red[@]}"; do
  test=${it%%/*} parameter=${it#"${it%%/*}"}
  mapfile -t files < <(grep -rlE "(TEST|TEST_F|TEST_P|RC_GTEST_PROP|RC_GTEST_FIXTURE_PROP)\(${test%%.*}, *${test#*.}\b" \
    --include='*_test.cpp' src platform tests)
  if [ "${#files[@]}" -eq 0 ] || { [ -n "$parameter" ] && ! grep -qF "\"${parameter#/}\"" "${files[@]}"; }; then
    echo "$known names a test that does not exist: '$it'; allowed: Suite.Test[/parameter] | command and seed | seen | issue"
    exit 1
  fi
done
if [ "${#red[@]}" -gt 0 ]; then
  # A test with parameters has its instance before its name and the parameter behind it.
  GTEST_FILTER="-$(printf '%s:' "${red[@]}")$(printf '*/%s:' "${red[@]}")$(printf '*/%s/*:' "${red[@]}")"
  export GTEST_FILTER
fi
status=0
ctest --test-dir build --output-on-failure -j 4 || status=$?
# Count single tests, not programs: each program prints its own. No match is no error.
count() { { grep -o "\[  $1  \] [0-9]* test" build/Testing/Temporary/LastTest.log || true; } | awk '{n += $4} END {print n + 0}'; }
failed=$(count FAILED)
if [ "$status" -ne 0 ] && [ "$failed" -eq 0 ]; then
  failed=1 # a program that crashed or ran out of time prints no count
fi
if [ "${#red[@]}" -gt 0 ]; then
  echo "known failures, not run here:"
  sed 's/^/  /' "$known"
fi
echo "$(count PASSED) passed, $failed failed"
exit "$status"
