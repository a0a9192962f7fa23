#!/usr/bin/env bash
# Processor time of a node for each request and each token, from two loads in one run.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
start_platform --hosts=4 --token_ms=10 --first_token_ms=20 --slots=400
printf 'requests:\n  slots_per_replica: 400\n' >"$work/more.yaml"
start_nodes 1 levis "$work/more.yaml"
publish_first 1.0
ticks() { awk '{ print $14 + $15 }' "/proc/${NODE_PIDS[0]}/stat"; }
measure() { # TOKENS RATE: requests answered and ticks used
  local before after whole
  before=$(ticks)
  whole=$(build/pepperbay_load --nodes="$NODES" --rate="$2" --seconds=10 --tokens="$1" --json |
    grep -o '"whole":[0-9]*' | head -1 | cut -d: -f2)
  after=$(ticks)
  echo "$whole $((after - before))"
}
idle_before=$(ticks)
sleep 10
idle=$(($(ticks) - idle_before))
read -r few_n few_t < <(measure 1 150)
read -r many_n many_t < <(measure 101 50)
awk -v i="$idle" -v a="$few_n" -v b="$few_t" -v c="$many_n" -v d="$many_t" 'BEGIN {
  one = (b - i) * 10 / a; many = (d - i * 1.1) * 10 / c;
  printf "idle %.1f ms/s | %d requests of 1 token: %.3f ms each | %d of 101 tokens: %.3f ms each | %.4f ms a token\n",
    i, a, one, c, many, (many - one) / 100 }'
