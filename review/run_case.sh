#!/usr/bin/env bash
# run_case.sh N: runs the driver of case N, which starts the system's processes and the stand-ins.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
driver=target/review/drive-$1
if [ ! -x target/pepperbay ] || [ ! -x "$driver" ]; then
  echo "build first: the deploy file's build, then review/build.sh" >&2
  exit 2
fi
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout --kill-after=5 115 "$driver" target/pepperbay "$work" "review/$1/record.txt"
status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
