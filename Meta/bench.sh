#!/usr/bin/env bash
# Runs every row of the benchmark with five seeds, rows in parallel, and prints
# one table. Arguments go to the benchmark, such as --short. JSON is written to
# build/bench/.
set -uo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/bench
rows=(no_fault straggler slow_upstream zone_loss node_death node_freeze
      silent_connections overload greedy_party stall limits usage)
printf '%s\n' "${rows[@]}" | xargs -P 5 -I{} sh -c \
  'build/Benchmarks/tier_bench --row {} --json '"$*"' >build/bench/{}.out 2>&1'
missed=0
for row in "${rows[@]}"; do
  grep -v '^\[{' "build/bench/$row.out" | grep -vE '^(all bounds|bounds missed)'
  grep '^\[{' "build/bench/$row.out" >"build/bench/$row.json"
  missed=$((missed + $(grep -c 'MISSED$' "build/bench/$row.out")))
done
echo "missed bounds: $missed"
