#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/. Needs a compiler and the C++ library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/drive.cpp; do
  n=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -I. "$source" -o "target/review/drive-$n"
done
