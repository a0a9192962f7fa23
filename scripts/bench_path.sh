#!/usr/bin/env bash
# Added time to first token through a node, against the same engine asked directly, in one run.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
start_platform --hosts=4 --token_ms=10 --first_token_ms=20 --slots=64
start_nodes 3 levis
publish_first 1.0
build/pepperbay_load --compare --engine=127.10.1.4:9000 --nodes="$NODES" --rate="${RATE:-60}" \
  --seconds="${SECONDS_EACH:-10}" --prefixes=100000
