#!/usr/bin/env bash
# All slopes behind docs/CAPACITY.md, one command, about eight minutes, at most 40 processes.
set -euo pipefail
cd "$(dirname "$0")/.."
echo "== control of a node without callers: nodes, hosts, customers (default settings)"
for point in "3 4 16 1" "9 4 16 1" "18 4 16 1" "32 4 16 1" "9 2 8 1" "9 8 32 1" "9 4 16 50"; do
  timeout 150 scripts/bench_control.sh $point "${SECONDS_EACH:-12}"
done
echo "== the same with the target's settings: heartbeat and probe every 2 s"
target=$'control:\n  tick: 100ms\n  heartbeat: 2s\n  probe: 2s\n  suspect_after: 6s\n  lapse_after: 15s\n  freshness: 6s\n'
for point in "9 8 16 1" "32 8 16 1"; do
  MORE_SETTINGS=$target HOSTS_EVERY=10s SETTLE=12 \
    timeout 200 scripts/bench_control.sh $point "${SECONDS_EACH:-12}"
done
echo "== a whole data centre's hosts before 9 nodes: 1 prober a host, so 82 hosts a node and not 164 (11 at the target)"
MORE_SETTINGS="$target"$'  probers_per_host: 1\n' HOSTS_EVERY=10s SETTLE=12 \
  timeout 200 scripts/bench_control.sh 9 23 32 1 "${SECONDS_EACH:-12}"
echo "== records of the control stream"
timeout 120 scripts/bench_records.sh 3 10
echo "== a node's time for requests"
timeout 120 scripts/bench_requests.sh
echo "== one routing decision"
build/pepperbay_bench_routing --decisions
echo "== from a failure to its effect (default settings)"
timeout 200 scripts/bench_recovery.sh
