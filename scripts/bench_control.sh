#!/usr/bin/env bash
# What control costs a node that serves no callers, by the number of nodes, hosts and customers.
# usage: bench_control.sh NODES DOMAINS HOSTS_PER_DOMAIN [CUSTOMERS] [SECONDS]
# Prints one line: nodes hosts replicas customers | processor % of a core (median, most of any
# node) | resident MB | messages sent/s | peer bytes sent/s | call bytes both ways/s | in force ms
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
nodes=$1 domains=$2 hosts=$3 customers=${4:-1} seconds=${5:-15}
start_platform --domains="$domains" --hosts="$hosts" --load_ms=50 >/dev/null
printf 'requests:\n  threads: 1\n%s' "${MORE_SETTINGS:-}" >"$work/more.yaml"
start_nodes "$nodes" levis "$work/more.yaml"
more=""
for i in $(seq 2 "$customers"); do more="$more  - { name: c$i, share: 0.001 }"$'\n'; done
publish_first 1.0 "$more"
sample() { # PID ADMIN: cpu ticks, rss KB, messages, bytes, call bytes
  local page
  page=$(curl -fsS "http://$2/metrics")
  awk -v page="$page" -v rss="$(awk '/VmRSS/ {print $2}' "/proc/$1/status")" '{
    n = split(page, lines, "\n"); for (i = 1; i <= n; ++i) { split(lines[i], f, " "); v[f[1]] = f[2] }
    print $14 + $15, rss, v["pepperbay_peer_messages_sent_total"] + 0, v["pepperbay_peer_bytes_sent_total"] + 0,
      v["pepperbay_control_call_bytes_sent_total"] + v["pepperbay_control_call_bytes_received_total"] }' "/proc/$1/stat"
}
sleep "${SETTLE:-3}"
count=${#NODE_PIDS[@]}
picked=$(seq 0 $((count > 6 ? count / 6 : 1)) $((count - 1)))
for i in $picked; do sample "${NODE_PIDS[$i]}" "${ADMINS[$i]}" >"$work/before.$i"; done
sleep "$seconds"
for i in $picked; do sample "${NODE_PIDS[$i]}" "${ADMINS[$i]}" >"$work/after.$i"; done
replicas=$(build/pepperbay status --admin "${ADMINS[0]}" | grep -c ' generation ' || true)
force=$(for n in 1 2 3 4 5; do
  printf 'customers:\n  - { name: school, share: 0.%s }\n' "$((10 + n))" >"$work/force.yaml"
  begun=$(date +%s%N)
  build/pepperbay publish "$work/force.yaml" --wait --admin "${ADMINS[0]}" >/dev/null
  echo $((($(date +%s%N) - begun) / 1000000))
done | sort -n | sed -n 3p)
for i in $picked; do paste "$work/before.$i" "$work/after.$i"; done |
  awk -v s="$seconds" -v hz="$(getconf CLK_TCK)" '{ print ($6 - $1) / hz / s * 100, $7 / 1024, ($8 - $3) / s, ($9 - $4) / s, ($10 - $5) / s }' |
  sort -n | awk -v head="$nodes nodes $((domains * hosts)) hosts $replicas replicas $customers customers" -v force="$force" '
    { cpu[NR] = $1; rss += $2; msg += $3; bytes += $4; calls += $5 }
    END { printf "%s | cpu %.2f%% most %.2f%% | %.1f MB | %.1f msg/s | %.0f B/s peers | %.0f B/s calls | in force %d ms\n",
      head, cpu[int((NR + 1) / 2)], cpu[NR], rss / NR, msg / NR, bytes / NR, calls / NR, force }'
