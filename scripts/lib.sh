# Helpers of the demo and the benches: start stand-ins and nodes on loopback addresses, stop them at
# exit.
work=$(mktemp -d)
pids=()
NODES=""
ADMINS=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT
wait_until() { # wait_until WHAT COMMAND...
  local what=$1
  shift
  for _ in $(seq 600); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "gave up waiting until $what" >&2
  tail -n 20 "$work"/*.log >&2 || true
  return 1
}
start_platform() {
  build/pepperbay_fakes --log=127.0.0.2:7000 --control=127.0.0.2:7001 --service=127.0.0.2:7002 \
    "$@" >"$work/fakes.log" 2>&1 &
  pids+=($!)
  FAKES_PID=$!
  wait_until "the stand-ins listen" curl -fsS http://127.0.0.2:7001/hosts
}
start_nodes() { # start_nodes COUNT DATA_CENTRE [SETTINGS_FILE_TO_APPEND]
  local i ip
  for i in $(seq "$1"); do
    ip=127.0.$((1 + (i - 1) / 200)).$((10 + (i - 1) % 200))
    scripts/node_settings.sh "$2-$i" "$2" "$ip" >"$work/node-$2-$i.yaml"
    [ -z "${3:-}" ] || cat "$3" >>"$work/node-$2-$i.yaml"
    build/pepperbay serve --config "$work/node-$2-$i.yaml" >>"$work/nodes.log" 2>&1 &
    pids+=($!)
    NODE_PIDS+=($!)
    NODES="$NODES${NODES:+,}$ip:8080"
    ADMINS+=("$ip:8081")
  done
  for admin in "${ADMINS[@]}"; do
    wait_until "$admin is ready" curl -fsS "http://${admin%:*}:8080/readyz"
  done
}
NODE_PIDS=()
publish_first() { # publish_first SHARE [MORE_YAML]
  printf 'profiles:\n  - { name: checklist, model: m, model_version: "1", hosts_per_replica: 4, share: %s }\ncustomers:\n  - { name: school, share: 0.5 }\n%s\n' \
    "$1" "${2:-}" >"$work/publish.yaml"
  build/pepperbay publish "$work/publish.yaml" --wait --admin "${ADMINS[0]}" >"$work/publish.out" ||
    { cat "$work/publish.out" >&2; return 1; }
  for admin in "${ADMINS[@]}"; do
    wait_until "$admin sees whole replicas" sh -c "build/pepperbay status --admin $admin | grep -q '  whole$'"
  done
}
