#!/usr/bin/env bash
# Print the settings of one node for the demo and for experiments on loopback addresses.
# usage: node_settings.sh NAME DATA_CENTRE IP [SEED_IP...]
set -euo pipefail
name=$1 centre=$2 ip=$3
shift 3
echo "node:"
echo "  name: $name"
echo "  data_centre: $centre"
echo "  callers: $ip:8080"
echo "  admin: $ip:8081"
echo "  peers: $ip:8082"
echo "  seeds: [$(for seed in "$@"; do printf '%s:8082, ' "$seed"; done)]"
echo "platform:"
echo "  log: ${LOG:-127.0.0.2:7000}"
echo "  hosts: ${HOSTS:-127.0.0.2:7001}"
echo "  hosts_every: ${HOSTS_EVERY:-1s}"
