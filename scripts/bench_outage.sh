#!/usr/bin/env bash
# Group downtime when a host is lost during an outage of the log, with and without reserved spares,
# in one run: seconds for which the replica is dark, of an outage of OUTAGE seconds.
set -euo pipefail
cd "$(dirname "$0")/.."
outage=${OUTAGE:-30}
run() { # true|false
  (
    . scripts/lib.sh
    start_platform --hosts=5 --load_ms=1000
    printf 'placement:\n  reserve_spares: %s\n' "$1" >"$work/more.yaml"
    start_nodes 3 levis "$work/more.yaml"
    publish_first 1.0
    sleep 3
    dump() { curl -fsS "http://${ADMINS[1]}/dump"; }
    host=$(dump | grep -o '"members":\["[^"]*"' | cut -d'"' -f4)
    curl -fsS -X POST -d x "http://127.0.0.2:7001/fault?target=log&kind=out&value=1" >/dev/null
    curl -fsS -X POST -d x "http://127.0.0.2:7001/fault?target=host:$host&kind=kill&value=1" >/dev/null
    dark=0
    for _ in $(seq $((outage * 10))); do
      dump | grep -q '"wholeness":"whole"' || dark=$((dark + 1))
      sleep 0.1
    done
    curl -fsS -X POST -d x "http://127.0.0.2:7001/fault?target=log&kind=out&value=0" >/dev/null
    begun=$(date +%s%N)
    wait_until "the replica is whole" sh -c "curl -fsS http://${ADMINS[1]}/dump | grep -q '\"wholeness\":\"whole\"'"
    after=$((($(date +%s%N) - begun) / 1000000))
    awk -v r="$1" -v d="$dark" -v o="$outage" -v a="$after" 'BEGIN {
      printf "reserve_spares %s: dark about %.1f s of a %d s outage, then %d ms more\n", r, d / 10, o, a }'
  )
}
run false
run true
