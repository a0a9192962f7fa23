#!/usr/bin/env bash
# Regenerates generated/ from proto/. Run it after a change to proto/pepperbay.proto and commit both.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=proto --cpp_out=generated proto/pepperbay.proto
