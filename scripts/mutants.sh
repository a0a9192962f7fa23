#!/usr/bin/env bash
# Show that the proofs can fail: switch one mechanism off at a time, in a copy of the tree, and run
# the test that stands for it. Each line must say "fails". Not part of CI (a few minutes).
#
#   scripts/mutants.sh                      # all lists in scripts/mutants/
#   scripts/mutants.sh shared_pool          # one list
#   ONLY='event|seal' scripts/mutants.sh    # those whose name matches
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git archive HEAD | tar -x -C "$copy"
cd "$copy"
sed -i "s/ -Werror//" CMakeLists.txt # a switched-off line may leave a variable unused
cmake -S . -B build -G Ninja >/dev/null
bad=0
s=src/pepperbay
# mutant NAME FILE SED_EXPRESSION PROGRAM FILTER
mutant() {
  if ! [[ "$1" =~ ${ONLY:-.} ]]; then
    return
  fi
  cp "$2" "$2.kept"
  sed -i -E "$3" "$2"
  if cmp -s "$2" "$2.kept"; then
    echo "NOT APPLIED  $1"
    bad=1
    return
  fi
  local verdict="fails"
  if ! cmake --build build --target "$4" >build.log 2>&1; then
    verdict="DOES NOT BUILD"
    bad=1
  else
    local code=0
    RC_PARAMS="seed=20261202 max_success=300 noshrink=1" timeout 120 "build/$4" \
      --gtest_filter="$5" >run.log 2>&1 || code=$?
    case $code in
      0) verdict="STILL PASSES" ;;
      124) verdict="TIMED OUT" ;; # it found nothing in that time
    esac
    if [ "$verdict" != fails ]; then
      bad=1
    fi
  fi
  printf '%-14s %s  (%s %s)\n' "$verdict" "$1" "$4" "$5"
  mv "$2.kept" "$2"
  touch "$2" # newer than the objects made of the mutant
}
for list in "${@:-own_path shared_pool suspects restored late composition limits reach retries repeats}"; do
  for it in $list; do
    # shellcheck source=/dev/null
    source "scripts/mutants/$it.sh"
  done
done
exit $bad
