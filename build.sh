#!/usr/bin/env bash
# Configures and builds everything into ./build. Extra arguments go to the build tool.
set -euo pipefail
cd "$(dirname "$0")"
[ -f build/build.ninja ] || cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER=clang++ >/dev/null
cmake --build build "$@"
