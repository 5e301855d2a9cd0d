#!/usr/bin/env bash
# Installs what is missing, builds, and runs every test.
set -euo pipefail
cd "$(dirname "$0")"
./install.sh
./build.sh
ctest --test-dir build --output-on-failure -j 6
