#!/usr/bin/env bash
# Time from a failure to the effect, with the default settings: a host's process gone, a host
# silent, the holder killed. Medians of five in one run.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
start_platform --hosts=6 --load_ms=1000
start_nodes 3 levis
publish_first 1.0
now() { echo $(($(date +%s%N) / 1000000)); }
dump() { curl -fsS "http://${ADMINS[$1]}/dump"; }
generation() { dump 1 | grep -o '"levis/checklist-1":{[^}]*}' | grep -o '"generation":[0-9]*' | cut -d: -f2; }
state() { dump 1 | grep -o '"levis/checklist-1":{[^}]*}' | grep -o '"wholeness":"[^"]*"' | cut -d'"' -f4; }
member() { dump 1 | grep -o '"levis/checklist-1":{[^}]*}' | grep -o '"members":\["[^"]*"' | cut -d'"' -f4; }
fault() { curl -fsS -X POST -d x "http://127.0.0.2:7001/fault?target=host:$1&kind=$2&value=1" >/dev/null; }
median() { sort -n | sed -n 3p; }
trial() { # KIND: ms until out of routing, ms until whole again
  local host begun out
  host=$(member)
  begun=$(now)
  fault "$host" "$1"
  until [ "$(state)" != whole ]; do :; done
  out=$(($(now) - begun))
  until [ "$(state)" = whole ]; do :; done
  echo "$out $(($(now) - begun))"
  fault "$host" heal
  sleep 4
}
for kind in kill dark; do
  for _ in 1 2 3 4 5; do trial "$kind"; done >"$work/$kind"
  echo "host $kind: out of routing after $(cut -d' ' -f1 "$work/$kind" | median) ms, whole again after $(cut -d' ' -f2 "$work/$kind" | median) ms"
done
holder() { curl -fsS "http://$1/dump" | grep -o '"leases":{[^}]*}' | grep -o '"holder":"[^"]*"' | cut -d'"' -f4; }
restart() { # INDEX: start a node again and wait until it is ready
  build/pepperbay serve --config "$work/node-levis-$(($1 + 1)).yaml" >>"$work/nodes.log" 2>&1 &
  NODE_PIDS[$1]=$!
  pids+=($!)
  wait_until "node $1 is ready" curl -fsS "http://${ADMINS[$1]%:*}:8080/readyz"
}
for _ in 1 2 3 4 5; do
  old=$(holder "${ADMINS[0]}")
  index=$((${old#levis-} - 1))
  other=${ADMINS[$(((index + 1) % 3))]}
  begun=$(now)
  kill -9 "${NODE_PIDS[$index]}"
  until [ "$(holder "$other")" != "$old" ]; do :; done
  echo $(($(now) - begun))
  restart "$index"
  sleep 3
done >"$work/holder"
echo "holder killed: another one after $(median <"$work/holder") ms"
