#!/usr/bin/env bash
# Install, build and run the whole path on loopback addresses: the platform's stand-in with four
# hosts, three nodes, an operator and a caller. Ends by itself with every process gone.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
. scripts/lib.sh
say() { printf '\n== %s\n' "$*"; }
ready() { curl -fsS "http://$1:8080/readyz"; }
whole() { build/pepperbay status --admin "$1:8081" | grep -q '  whole$'; }

say "the platform, four hosts of one fabric domain and a plain service (stand-ins)"
build/pepperbay_fakes --log=127.0.0.2:7000 --control=127.0.0.2:7001 --service=127.0.0.2:7002 \
  >"$work/fakes.log" 2>&1 &
pids+=($!)
wait_until "the stand-ins listen" curl -fsS http://127.0.0.2:7001/hosts

say "three nodes"
for i in 1 2 3; do
  scripts/node_settings.sh "levis-$i" levis "127.0.0.1$i" 127.0.0.11 127.0.0.12 127.0.0.13 \
    >"$work/node$i.yaml"
  build/pepperbay check-config --config "$work/node$i.yaml"
  build/pepperbay serve --config "$work/node$i.yaml" >"$work/node$i.log" 2>&1 &
  pids+=($!)
done
for i in 1 2 3; do wait_until "node $i is ready" ready "127.0.0.1$i"; done

say "an operator publishes a profile, a customer and a service"
cat >"$work/first.yaml" <<'YAML'
profiles:
  - name: checklist
    model: audit-70b
    model_version: "1"
    hosts_per_replica: 4
    priority: 2
    share: 1.0
customers:
  - { name: school, share: 0.5 }
services:
  - { name: lots, endpoints: ["127.0.0.2:7002"] }
YAML
build/pepperbay publish "$work/first.yaml" --wait --admin 127.0.0.11:8081
for i in 1 2 3; do wait_until "node $i sees a whole replica" whole "127.0.0.1$i"; done
build/pepperbay status --admin 127.0.0.12:8081

say "a caller asks for a streamed answer, at the third node"
curl -fsSN http://127.0.0.13:8080/v1/chat/completions -H 'X-Customer: school' -d '{
  "model": "checklist", "stream": true, "max_tokens": 5,
  "messages": [{"role": "user", "content": "Draft an opening audit for a school kitchen."}]}'

say "a lot is booked through the plain service; the request may not be repeated"
curl -fsS http://127.0.0.11:8080/services/lots/book -H 'X-Customer: school' \
  -H 'X-Unrepeatable: true' -d '{"lot": "bronze-7"}'
echo

say "bad input names the field and what is allowed"
curl -sS http://127.0.0.11:8080/v1/chat/completions -H 'X-Customer: school' -d '{"model": 7}'
echo

say "the users' platform (stand-ins): a store, five engines, one node before them"
build/pepperbay_fake_platform --address=127.0.0.3 --port=7100 >"$work/platform.log" 2>&1 &
platform=$!
pids+=("$platform")
cat >"$work/edge.yaml" <<'YAML'
name: edge-1
data_centre: levis
callers: 127.0.0.21:8080
admin: 127.0.0.21:8081
ready_path: /ready
peers: 127.0.0.21:8082
store: 127.0.0.3:7100
YAML
build/pepperbay edge --config "$work/edge.yaml" >"$work/edge.log" 2>&1 &
edge=$!
pids+=("$edge")
chat() {
  curl -fsSN http://127.0.0.21:8080/chat/1 -H 'Host: kitchen.example' \
    -H 'X-Pepperbay-Request-Id: demo' -H 'X-Pepperbay-Model: m' -H 'Authorization: Token key-1' -d '{}'
}
wait_until "a replica has formed and serves" chat
chat >"$work/answer"
head -n 6 "$work/answer"

say "a member of the replica dies; the node forms it anew with a spare"
curl -fsS http://127.0.0.3:7099/serving && echo
curl -fsS -X POST "http://127.0.0.3:7099/kill?engine=$(curl -fsS http://127.0.0.3:7099/serving | tr -d '[]"' | cut -d, -f3)" >/dev/null
wait_until "it serves again" chat
build/pepperbay pool-status 127.0.0.21:8081
curl -fsS http://127.0.0.3:7099/serving && echo
grep -h 'event=replica' "$work/edge.log" | tail -n 2
for pid in "$edge" "$platform"; do
  kill -TERM "$pid"
  wait "$pid"
  echo "process $pid: exit code $?"
done
pids=("${pids[@]:0:4}")

say "the nodes stop on SIGTERM and exit with 0"
for pid in "${pids[@]:1}"; do kill -TERM "$pid"; done
for pid in "${pids[@]:1}"; do
  code=0
  wait "$pid" || code=$?
  echo "node process $pid: exit code $code"
  [ "$code" = 0 ]
done
pids=("${pids[0]}")
say "done"
