#!/usr/bin/env bash
# Builds everything into build/, or into the folder of the first argument with
# the sanitizers of the second.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
sanitize=${2:-}
cmake -S . -B "$folder" -G Ninja -DCELERYCROFT_SANITIZE="$sanitize" >/dev/null
cmake --build "$folder"
