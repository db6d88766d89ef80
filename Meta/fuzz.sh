#!/usr/bin/env bash
# Fuzzes whole tiers with random seeds for the given number of minutes. Stops at
# the first failure and prints its seed. Needs an existing build in build/.
set -euo pipefail
cd "$(dirname "$0")/.."
minutes=${1:?usage: Meta/fuzz.sh MINUTES}
end=$(($(date +%s) + minutes * 60))
while [ "$(date +%s)" -lt "$end" ]; do
  seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
  if ! RC_PARAMS="seed=$seed max_success=300 max_size=60 noshrink=1" \
      timeout 600 build/Tests/promises_fuzz_test >build/fuzz.out 2>&1; then
    echo "failed: RC_PARAMS='seed=$seed max_success=300 max_size=60'"
    grep '^promise' build/fuzz.out || true
    exit 1
  fi
  echo "seed $seed passed"
done
