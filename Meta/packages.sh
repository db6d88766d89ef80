#!/usr/bin/env bash
# Installs the packages that the build needs. Does nothing if all are installed.
set -euo pipefail
packages=(libboost1.81-dev libboost-log1.81-dev libcapnp-dev capnproto
          libexpected-dev doctest-dev nlohmann-json3-dev libssl-dev
          librapidcheck-dev libbenchmark-dev cmake ninja-build g++
          clang-format clang-tidy)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${packages[@]}"
