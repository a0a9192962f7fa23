#!/usr/bin/env bash
# Run each decoder's target for SECONDS (20) with libFuzzer, guided by coverage, with the address and
# undefined-behaviour sanitizers. Needs clang and its runtime (Debian: clang, libclang-rt-14-dev).
# An input that breaks a promise is left in build-fuzz/ and becomes a seed of its target.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-20}
CC=clang CXX=clang++ cmake -S . -B build-fuzz -G Ninja -DPEPPERBAY_FUZZ=ON -DPEPPERBAY_TESTS=OFF >/dev/null
cmake --build build-fuzz --target pepperbay_fuzz >/dev/null
cd build-fuzz
status=0
PEPPERBAY_FUZZ_TARGET=? ./pepperbay_fuzz -runs=0 2>&1 | sed -n 's/^  \([a-z]\)/\1/p' | while read -r target; do
  mkdir -p "corpus/${target// /_}"
  if PEPPERBAY_FUZZ_TARGET=$target ./pepperbay_fuzz -max_total_time="$seconds" -artifact_prefix="${target// /_}-" \
    -verbosity=0 -print_final_stats=1 "corpus/${target// /_}" >fuzz.log 2>&1 </dev/null; then
    echo "survived $target: $(sed -n 's/stat::number_of_executed_units: *//p' fuzz.log) inputs"
  else
    echo "BROKEN $target"
    tail -n 20 fuzz.log
    exit 1
  fi
done || status=$?
exit $status
