#!/usr/bin/env bash
# Tests that Meta/bench.sh fails unless every row runs to its end and holds its
# bounds.
set -uo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0

expect() { # CODE DESCRIPTION
  BUILD=$work Meta/bench.sh >"$work/out" 2>&1
  local code=$?
  if [ "$code" != "$1" ]; then
    echo "FAILED: $2: exit code $code, not $1"
    cat "$work/out"
    failures=$((failures + 1))
  fi
}

bench=$work/Benchmarks/tier_bench
mkdir -p "$work/Benchmarks"
expect 1 "no benchmark is built"

printf '#!/bin/sh\necho "[{}]"\necho "all bounds held"\n' >"$bench"
chmod +x "$bench"
expect 0 "all rows hold"

printf '#!/bin/sh\necho "[{}]"\n[ "$2" = stall ] && echo "x  MISSED"\necho "all bounds held"\n' >"$bench"
expect 1 "a bound is missed"

printf '#!/bin/sh\n[ "$2" = stall ] && exit 1\necho "[{}]"\necho "all bounds held"\n' >"$bench"
expect 1 "a row ends early"

[ "$failures" = 0 ]
