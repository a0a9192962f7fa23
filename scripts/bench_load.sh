#!/usr/bin/env bash
# Requests at a user's size with real processes: 9 nodes, 68 hosts in 16 replicas of 4 (and 4 single
# hosts), 10 customers of which two make 70 % of the requests. Loads are parts of what the engines can
# do, worked out as in bench/routing.cpp, whose line "scored" this is to be held against.
# usage: bench_load.sh [SECONDS] [LOADS]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
seconds=${1:-20} loads=${2:-0.5 0.9 1.2 2.0}
start_platform --domains=4 --hosts=17 --load_ms=50 --slots=8 --first_token_ms=200 --token_ms=20
printf 'requests:\n  slots_per_replica: 8\n' >"$work/more.yaml"
start_nodes 9 levis "$work/more.yaml"
more="  - { name: large2, share: 0.3 }"$'\n'
for i in $(seq 3 10); do more="$more  - { name: c$i, share: 0.02 }"$'\n'; done
publish_first 0.94 "$more"
{ # the first customer gives up what the small ones get
  printf 'customers:\n  - { name: school, share: 0.3 }\n'
  for i in $(seq 3 10); do echo "  - { name: c$i, share: 0.05 }"; done
} >"$work/shares.yaml"
build/pepperbay publish "$work/shares.yaml" --wait --admin "${ADMINS[0]}" >/dev/null
customers=school,large2,c3,c4,c5,c6,c7,c8,c9,c10
whole() { [ "$(build/pepperbay status --admin "$1" | grep -c '  whole$')" -ge 16 ]; }
for admin in "${ADMINS[@]}"; do wait_until "$admin sees 16 whole replicas" whole "$admin"; done
counter() { for a in "${ADMINS[@]}"; do curl -fsS "http://$a/metrics"; done | awk -v n="pepperbay_$1" '$1 == n { s += $2 } END { print s + 0 }'; }
run() { # LOAD FAULT
  local rate before
  rate=$(awk -v l="$1" 'BEGIN { print l * 16 * 8 / (0.2 * 0.6 + 0.02 * 60) }')
  before=$(counter attempts_total)
  printf '%-11s load %s | ' "$2" "$1"
  build/pepperbay_load --nodes="$NODES" --rate="$rate" --seconds="$seconds" --tokens=60 \
    --prefixes=400 --customers=$customers --first_customer=0.35
  echo "                       attempts $(($(counter attempts_total) - before))"
}
for load in $loads; do run "$load" none; done
fault() { curl -fsS -X POST -d x "http://127.0.0.2:7001/fault?target=$1&kind=$2&value=${3:-1}" >/dev/null; }
leader=$(curl -fsS "http://${ADMINS[0]}/dump" | grep -o '"members":\["[^"]*"' | head -1 | cut -d'"' -f4)
fault "host:$leader" straggle 6
run 0.9 straggler
fault "host:$leader" straggle 1
fault domain:levis-d1 dark
run 0.9 "dark domain"
fault domain:levis-d1 heal
run 0.9 returned
