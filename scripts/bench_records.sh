#!/usr/bin/env bash
# What records of the control stream cost a node: processor time, bytes and memory at rest and while
# operators publish. usage: bench_records.sh [NODES] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
nodes=${1:-3} seconds=${2:-15}
start_platform --hosts=4 >/dev/null
start_nodes "$nodes" levis
publish_first 1.0
admin=${ADMINS[0]}
last=${NODE_PIDS[$((nodes - 1))]}   # a node that is not published at
sample() { awk -v rss="$(awk '/VmRSS/ {print $2}' "/proc/$last/status")" '{ print $14 + $15, rss }' "/proc/$last/stat"; }
offset() { curl -fsS "http://$admin/dump" | grep -o '"applied":[0-9]*' | head -1 | cut -d: -f2; }
measure() { # BATCH: customers published at once, as fast as they are folded; 0 for none
  local ticks rss from ticks2 rss2 to until
  read -r ticks rss < <(sample)
  from=$(offset)
  until=$((SECONDS + seconds))
  while [ "$SECONDS" -lt "$until" ]; do
    if [ "$1" = 0 ]; then sleep 1; continue; fi
    { echo "customers:"
      for i in $(seq "$1"); do echo "  - { name: c$i, share: 0.00$((RANDOM % 9 + 1)) }"; done
    } | curl -fsS -X POST --data-binary @- "http://$admin/publish" >/dev/null
    sleep 0.1
  done
  read -r ticks2 rss2 < <(sample)
  to=$(offset)
  echo "$(((to - from) * 1000 / seconds)) $(((ticks2 - ticks) * 1000 / seconds)) $((rss2 - rss))"
}
read -r rest_records rest_ticks _ < <(measure 0)
for batch in 1 10 50; do
  read -r records ticks grown < <(measure "$batch")
  awk -v n="$nodes" -v b="$batch" -v r0="$rest_records" -v t0="$rest_ticks" -v r="$records" -v t="$ticks" -v g="$grown" 'BEGIN {
    printf "%d nodes, %d at once | %.1f records/s (at rest %.1f) | processor %.2f%% (at rest %.2f%%) | %.3f ms a record | memory %+.1f MB\n",
      n, b, r / 1000, r0 / 1000, t / 1000, t0 / 1000, (t - t0) * 10 / (r - r0), g / 1024 }'
done
