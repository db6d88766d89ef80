#!/usr/bin/env bash
# Builds and runs every row of the benchmark with five seeds and prints one
# table. Rows run in parallel. Fails if a row misses a bound or does not run to
# its end. Passes its arguments, such as --short, to the benchmark. Writes JSON
# to FOLDER/bench/, where FOLDER is build, or $BUILD if it is set. $BUILD is not
# built first.
set -uo pipefail
cd "$(dirname "$0")/.."
if [ -z "${BUILD:-}" ]; then
  BUILD=build
  Meta/build.sh "$BUILD" || exit 1
fi
export BUILD
mkdir -p "$BUILD/bench"
rows=(no_fault straggler slow_upstream zone_loss node_death node_freeze
      silent_connections overload greedy_party stall limits usage)
printf '%s\n' "${rows[@]}" | xargs -P 5 -I{} sh -c \
  '"$BUILD"/Benchmarks/tier_bench --row {} --json '"$*"' >"$BUILD"/bench/{}.out 2>&1'
missed=0
not_run=()
for row in "${rows[@]}"; do
  out=$BUILD/bench/$row.out
  grep -v '^\[{' "$out" | grep -vE '^(all bounds|bounds missed)'
  grep '^\[{' "$out" >"$BUILD/bench/$row.json" &&
    grep -qE '^(all bounds held|bounds missed)' "$out" || not_run+=("$row")
  missed=$((missed + $(grep -c 'MISSED$' "$out")))
done
echo "missed bounds: $missed"
echo "rows not run: ${#not_run[@]} ${not_run[*]}"
[ "$missed" = 0 ] && [ "${#not_run[@]}" = 0 ]
