#!/usr/bin/env bash
# Builds everything into build/. Optional arguments: another build folder, and
# the sanitizers to build with, as for -fsanitize.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
sanitize=${2:-}
cmake -S . -B "$folder" -G Ninja -DCELERYCROFT_SANITIZE="$sanitize" >/dev/null
cmake --build "$folder"
