#!/usr/bin/env bash
# Formats the C++ sources, but not the generated ones.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '\.capnp\.' |
  xargs clang-format -i
